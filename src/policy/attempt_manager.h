// Attempts at engines: starts, timeouts and cancellations, and the counts of attempts in flight.
#pragma once

#include "cost_model.h"
#include "engine_health.h"
#include "prefill_selector.h"
#include "retry_safety.h"
#include "slow_start.h"

namespace gannetcourse::policy {

/// Owns the EngineAttempts of each engine and the attempt fields of each request. At most one attempt of a
/// request is in flight.
class AttemptManager {
 public:
  AttemptManager(DecisionContext& context, EngineRegistry& registry, SlowStart& slowStart,
                 EngineHealth& health, const CostModel& costs, const RetrySafety& retrySafety)
      : context_(context),
        registry_(registry),
        slowStart_(slowStart),
        health_(health),
        costs_(costs),
        retrySafety_(retrySafety) {}

  /// Starts the planned attempt; the plan must have an engine.
  void startPrefill(Request& request, const PrefillPlan& plan);
  /// Starts a decode attempt at `engine` for the state kept by the prefill engine `from`.
  void startDecode(Request& request, Engine& engine, Engine& from);
  /// The first token was received: counts the attempt as streaming.
  void onStreamStarted(Request& request, Engine& engine);
  /// The request's attempt has ended: removes the attempt from the engine's counts. Does not change the
  /// request's stage.
  void onEnded(Request& request);

  /// Must be called once per housekeeping period for each unanswered attempt. Cancels the attempt if it is
  /// late, another attempt could follow, and the engine is either silent or has answered later attempts.
  void checkForSilence(Request& request);
  /// Asks the host to cancel the attempt in flight.
  void cancel(Request& request);

 private:
  void start(Request& request, Engine& engine, Duration expectedDuration, Duration timeForAnother);
  bool isTimeForAnother(const Request& request, Instant at) const;
  Duration timeoutOf(const Request& request) const;
  Duration silenceTimeout(const Request& request) const;
  void endStateTransfer(const Request& request);

  DecisionContext& context_;
  EngineRegistry& registry_;
  SlowStart& slowStart_;
  EngineHealth& health_;
  const CostModel& costs_;
  const RetrySafety& retrySafety_;
};

}  // namespace gannetcourse::policy
