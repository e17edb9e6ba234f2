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

/// The modules that a request passes on its way.
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

/// Owns the open requests and their queue. Every request gets exactly one final response, before its client's
/// deadline; none has two attempts in flight, and no state outlasts its lease.
class RequestLifecycle {
 public:
  explicit RequestLifecycle(const LifecycleModules& modules) : m_(modules) {}

  /// Opens a request, and starts it at once where it is alone in the queue.
  void open(const RequestArrived& arrival);
  /// Null for an unknown id.
  Request* find(const RequestId& id);
  /// The request's attempt has ended; it was recorded and taken out of the account.
  void onAttemptEnded(Request& request, const AttemptEnded& end);
  /// Closes a request that needs no response any more.
  void abandon(Request& request);

  /// Starts the queued requests that are admitted, tightest objective first.
  void dispatchQueue();
  /// To be called once each housekeeping period.
  void watchAll();
  /// Forgets requests that are over. References to them become invalid.
  void removeEnded();

 private:
  void describe(Request& request, const RequestArrived& arrival) const;
  Tokens expectedOutput(const Request& request) const;

  void enqueue(Request& request);
  void enqueueForHousekeeping(const Request& request);
  bool isQueued(const RequestId& id) const;
  bool dispatch(Request& request);
  void startPrefill(Request& request, const PrefillPlan& plan);
  void startDecodeOrWait(Request& request);
  void retryOrFinish(Request& request, const AttemptEnded& end);
  bool canRunAnywhere(const Request& request) const;
  void finish(Request& request);

  void watch(Request& request);
  void releaseDuringDecode(Request& request);
  bool isPastResponseTime(const Request& request) const;
  bool canStateWait(const Request& request) const;

  LifecycleModules m_;
  std::map<RequestId, Request> requests_;
  std::set<std::pair<Instant, RequestId>> queue_;  // by objective; may name requests that wait no more
  std::vector<RequestId> ended_;
};

}  // namespace gannetcourse::policy
