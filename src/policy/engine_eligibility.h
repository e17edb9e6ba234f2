// Decides which engines may get an attempt of a request, and breaks ties between candidates of equal cost.
#pragma once

#include <algorithm>

#include "engine_health.h"
#include "hashing.h"
#include "retry_safety.h"
#include "slow_start.h"

namespace gannetcourse::policy {

/// Which engines are eligible by their health.
enum class HealthRule {
  kHealthyOnly,  ///< Engines that are not ejected and at which the request has not failed.
  kAny           ///< Any engine in service; used if no healthy one is eligible.
};

/// Combines the conditions for every attempt: engine in service, idempotency, slow start and health. Holds no
/// state.
class EngineEligibility {
 public:
  EngineEligibility(const EngineHealth& health, const SlowStart& slowStart, const RetrySafety& retrySafety)
      : health_(health), slowStart_(slowStart), retrySafety_(retrySafety) {}

  /// Whether an attempt of the request may be started there now. `rule` affects only the condition on health.
  bool isEligible(const Engine& engine, const Request& request, HealthRule rule) const {
    if (!engine.isServing() || !retrySafety_.isAllowedOn(engine, request)) return false;
    if (!slowStart_.isWithinBudget(engine, request)) return false;
    return rule == HealthRule::kAny ||
           (health_.isHealthyFor(engine, request) && !hasFailedOn(engine, request));
  }

 private:
  static bool hasFailedOn(const Engine& engine, const Request& request) {
    const auto& failed = request.failedEngines;
    return std::find(failed.begin(), failed.end(), engine.entry.id) != failed.end();
  }

  const EngineHealth& health_;
  const SlowStart& slowStart_;
  const RetrySafety& retrySafety_;
};

/// Tracks the cheapest of the engines passed to offer(), without owning them. Ties between prefill engines
/// are broken by a hash of the shared prefix, if there is one: all routers then select the same engine for
/// it. Other ties are broken by a hash of the session.
class CheapestEngine {
 public:
  /// Considers an engine at this cost. Returns whether it is now the cheapest.
  bool offer(const Request& request, Engine& engine, Duration cost) {
    if (cost > cost_) return false;
    if (cost == cost_ && tieBreak(request, engine) >= tieBreak(request, *engine_)) return false;
    engine_ = &engine;
    cost_ = cost;
    return true;
  }
  /// The cheapest engine; null if none was offered.
  Engine* engine() const { return engine_; }

 private:
  static std::uint64_t tieBreak(const Request& request, const Engine& engine) {
    const RequestArrived& arrival = request.arrival;
    const bool byPrefix = arrival.prefixKey != 0 && engine.isPrefill();
    return hashCombine(byPrefix ? arrival.prefixKey : arrival.sessionKey, engine.entry.id.value);
  }

  Engine* engine_ = nullptr;
  Duration cost_{1e18};
};

}  // namespace gannetcourse::policy
