// The lifecycle of requests: queued, prefilling, awaiting decode, decoding, streaming, answered.
#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "admission_control.h"
#include "attempt_manager.h"
#include "decode_selector.h"
#include "prefill_selector.h"
#include "prefix_affinity.h"
#include "probing.h"
#include "retry_safety.h"
#include "stream_pace.h"

namespace gannetcourse::policy {

/// The modules that the lifecycle of a request uses.
struct LifecycleModules {
  DecisionContext& context;
  EngineRegistry& registry;
  EngineHealth& health;
  PrefixAffinity& affinity;
  StreamPace& pace;
  const RetrySafety& retrySafety;
  PrefillSelector& prefillSelector;
  DecodeSelector& decodeSelector;
  AdmissionControl& admission;
  AttemptManager& attempts;
  Probing& probing;
};

/// Owns the open requests and their queue. Guarantees that every request gets exactly one final response
/// before its client's deadline, that no request has two attempts in flight, and that every state is released
/// within its lease.
class RequestLifecycle {
 public:
  explicit RequestLifecycle(const LifecycleModules& modules) : modules_(modules) {}

  /// Opens a request; tries to start it at once if the queue is empty.
  void open(const RequestArrived& arrival);
  /// The open request with this id; null if there is none.
  Request* find(const RequestId& id);
  /// The request's attempt has ended. Must be called after OutcomeRecorder::recordEnd() and
  /// AttemptManager::onEnded().
  void onAttemptEnded(Request& request, const AttemptEnded& end);
  /// Closes a request that was answered or needs no response: cancels its attempt and releases its state.
  void close(Request& request);

  /// Starts the queued requests that are admitted, earliest objective first.
  void dispatchQueue();
  /// Checks all open requests for timeouts and late attempts. Must be called once per housekeeping period.
  void checkAll();
  /// Deletes closed requests without an attempt in flight. References to deleted requests become invalid.
  void removeEnded();

 private:
  void initialize(Request& request, const RequestArrived& arrival) const;
  Tokens expectedOutput(const Request& request) const;

  void enqueue(Request& request);
  void enqueueWithoutDispatch(const Request& request);
  bool isQueued(const RequestId& id) const;
  bool dispatch(Request& request);
  void startPrefill(Request& request, const PrefillPlan& plan);
  void startDecodeOrWait(Request& request);
  void retryOrFinish(Request& request, const AttemptEnded& end);
  bool canRunAnywhere(const Request& request) const;
  void finish(Request& request);

  void check(Request& request);
  void releaseDuringDecode(Request& request);
  bool isResponseDue(const Request& request) const;
  bool canStateWait(const Request& request) const;

  LifecycleModules modules_;
  std::map<RequestId, Request> requests_;
  // Ordered by objective. May contain ids of requests that are no longer queued.
  std::set<std::pair<Instant, RequestId>> queue_;
  std::vector<RequestId> ended_;
};

}  // namespace gannetcourse::policy
