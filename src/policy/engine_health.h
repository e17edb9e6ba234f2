// Outlier ejection: which engines fail, are silent or cannot be reached.
#pragma once

#include "decision_context.h"
#include "engine_registry.h"
#include "slow_start.h"

namespace gannetcourse::policy {

/// Owns the failure scores of all engines. Failures add to a score; successes and time reduce it. An engine
/// may fail for one class or one tenant only, so each has its score, and the lower of a request's two counts:
/// other requests' successes do not hide such a fault, nor does it cost them the engine.
class EngineHealth {
 public:
  EngineHealth(const DecisionContext& context, EngineRegistry& registry, SlowStart& slowStart)
      : context_(context), registry_(registry), slowStart_(slowStart) {}

  /// An attempt of the request failed there with one of the outcomes that an engine answers for.
  void recordFailure(Engine& engine, const Request& request, Outcome outcome);
  /// The engine has ended a prefill, begun a stream or ended one for the request.
  void recordSuccess(Engine& engine, const Request& request);
  /// A probe could not connect.
  void recordProbeConnectFailure(Engine& engine);
  /// An attempt in flight there is late by this; the longest counts until clearOverdue().
  void recordOverdue(Engine& engine, Duration late);
  /// To be called once each housekeeping period, before attempts are watched.
  void clearOverdue();

  /// 0 = no failures known; ejected from kEjectionScore.
  double failureScore(const Engine& engine, const Request& request) const;
  /// Whether an attempt of the request may be started there: the engine is not ejected, and one that recovers
  /// has no other unanswered attempt.
  bool isHealthyFor(const Engine& engine, const Request& request) const;
  /// The failure score and the lateness of its attempts, as a cost.
  Duration penalty(const Engine& engine, const Request& request) const;
  /// Whether the engine has answered nothing since the request's attempt was started there.
  static bool isSilentTo(const Engine& engine, const Request& request);
  /// Whether it has answered an attempt of the same class that was started later.
  static bool hasOvertaken(const Engine& engine, const Request& request);

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
