// Outlier ejection: detects engines that fail, are silent or cannot be reached.
#pragma once

#include "decision_context.h"
#include "engine_registry.h"
#include "slow_start.h"

namespace gannetcourse::policy {

/// Owns the HealthRecord of each engine. Failures increase a failure score; successes and time reduce it.
///
/// An engine may fail for one class or one tenant only. Each class and each tenant therefore has its own
/// score at an engine, and the outcome of an attempt changes only the scores of the request's class and
/// tenant. The lower of these two scores applies to a request: a fault that affects one class does not eject
/// the engine for the other classes of a tenant. Failed connections affect all requests and have one score
/// per engine.
class EngineHealth {
 public:
  EngineHealth(const DecisionContext& context, EngineRegistry& registry, SlowStart& slowStart)
      : context_(context), registry_(registry), slowStart_(slowStart) {}

  /// An attempt of the request has failed at the engine, with an outcome that counts against the engine.
  void recordFailure(Engine& engine, const Request& request, Outcome outcome);
  /// The engine has completed a prefill, started a stream or completed one for the request.
  void recordSuccess(Engine& engine, const Request& request);
  /// A probe could not connect to the engine.
  void recordProbeConnectFailure(Engine& engine);
  /// An attempt in flight at the engine has exceeded half of its silence timeout by `late`. The largest value
  /// since clearOverdue() counts.
  void recordOverdue(Engine& engine, Duration late);
  /// Must be called once per housekeeping period, before attempts are checked for silence.
  void clearOverdue();

  /// Failure score of the engine for the request; 0 = no known failures, ejected at kEjectionScore or above.
  double failureScore(const Engine& engine, const Request& request) const;
  /// Whether an attempt of the request may be started at the engine: the engine is not ejected, and if it is
  /// half-open, it has no unanswered attempt.
  bool isHealthyFor(const Engine& engine, const Request& request) const;
  /// Cost added in selection: the failure score, in seconds, plus HealthRecord::overdue.
  Duration penalty(const Engine& engine, const Request& request) const;
  /// Whether the engine has answered no attempt of any request since the request's attempt was started.
  static bool isSilentTo(const Engine& engine, const Request& request);
  /// Whether the engine has answered an attempt of the same class that was started later than this request's.
  static bool hasAnsweredLaterAttempt(const Engine& engine, const Request& request);

 private:
  double level(const DecayingSum& score) const;
  void increase(DecayingSum& score, double steps);
  void suspectCellOf(const Engine& lost);
  bool isHalfOfRoleEjected(Role role, const Request& request) const;

  const DecisionContext& context_;
  EngineRegistry& registry_;
  SlowStart& slowStart_;
};

}  // namespace gannetcourse::policy
