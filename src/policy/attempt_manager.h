// Attempts at engines: their start, timeout and cancellation, and the account of those in flight.
#pragma once

#include "cost_model.h"
#include "engine_health.h"
#include "prefill_selector.h"
#include "retry_safety.h"
#include "slow_start.h"

namespace gannetcourse::policy {

/// Owns the engines' EngineAttempts and the attempt's fields of each request. One attempt of a request is in
/// flight at most.
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

  /// Starts the planned attempt; the plan has an engine.
  void startPrefill(Request& request, const PrefillPlan& plan);
  /// Starts a decode attempt for the state that waits at `from`.
  void startDecode(Request& request, Engine& engine, Engine& from);
  /// The first token has come: moves the attempt to the streaming ones.
  void onStreamStarted(Request& request, Engine& engine);
  /// The attempt has ended: takes it out of the account. The request's stage stays.
  void onEnded(Request& request);

  /// To be called once each housekeeping period for an attempt without an answer. Cancels it when its engine
  /// is silent or has answered later ones, and another attempt could follow.
  void watch(Request& request);
  /// Asks the host to cancel the attempt in flight.
  void cancel(Request& request);

 private:
  void start(Request& request, Engine& engine, Duration expectedDuration);
  Duration timeoutOf(const Request& request) const;
  Duration patience(const Request& request) const;
  void endStateTransfer(const Request& request);

  DecisionContext& context_;
  EngineRegistry& registry_;
  SlowStart& slowStart_;
  EngineHealth& health_;
  const CostModel& costs_;
  const RetrySafety& retrySafety_;
};

}  // namespace gannetcourse::policy
