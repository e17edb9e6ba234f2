// The lifecycle of requests: queued, prefilling, awaiting decode, decoding, streaming, answered.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "admission_control.h"
#include "attempt_manager.h"
#include "cost_model.h"
#include "decode_selector.h"
#include "prefill_selector.h"
#include "prefix_affinity.h"
#include "probing.h"
#include "request_queue.h"
#include "retry_safety.h"
#include "service_rate.h"
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
  CostModel& costs;
  AdmissionControl& admission;
  ServiceRate& serviceRate;
  AttemptManager& attempts;
  Probing& probing;
};

/// Owns the open requests and their queue. Guarantees that every request gets exactly one final response
/// before its client's deadline, that no request has two attempts in flight, and that every state is released
/// within its lease.
class RequestLifecycle {
 public:
  explicit RequestLifecycle(const LifecycleModules& modules) : modules_(modules), queue_(modules.context) {}

  /// Opens a request; tries to start it at once if the queue is empty.
  void open(const RequestArrived& arrival);
  /// The open request with this id; null if there is none.
  Request* find(const RequestId& id);
  /// The request's attempt has ended. Must be called after OutcomeRecorder::recordEnd() and
  /// AttemptManager::onEnded().
  void onAttemptEnded(Request& request, const AttemptEnded& end);
  /// Closes a request that was answered or needs no response: cancels its attempt and releases its state.
  void close(Request& request);

  /// Starts the queued requests that are admitted, and finishes those that cannot be served in time any more.
  void dispatchQueue();
  /// Checks all open requests for timeouts and late attempts. Must be called once per housekeeping period.
  void checkAll();
  /// Deletes closed requests without an attempt in flight. References to deleted requests become invalid.
  void removeEnded();

 private:
  void initialize(Request& request, const RequestArrived& arrival) const;
  Tokens expectedOutput(const Request& request) const;

  void enqueue(Request& request);
  PrefillPlan enqueueWithoutDispatch(Request& request);
  bool awaitsEngineList(const Request& request, Duration workAhead) const;
  bool dispatch(Request& request, const PrefillPlan& plan);
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
  RequestQueue queue_;
  std::uint64_t arrivals_ = 0;
  std::vector<RequestId> ended_;
};

}  // namespace gannetcourse::policy
