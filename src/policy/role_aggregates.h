// Averages of this router's own work per engine of a role: tokens in flight, request rate and peak rate.
#pragma once

#include <array>
#include <cstddef>
#include <map>

#include "engine.h"

namespace gannetcourse::policy {

/// Figures per engine of the role, averaged over the engines in service.
struct RoleAggregate {
  double serving = 0;  ///< Number of engines in service.
  double engines = 0;  ///< The same, but at least 1 after the first update.
  Tokens queuedPrefillTokens = 0;
  Tokens decodeTokens = 0;
  double servedSinceUpdate = 0;  ///< Requests served, weighted by PromptStatistics::weightOf(); all engines.
  double rate = 0;               ///< Weighted requests per second that an engine serves for this router.
  double peakRate = 0;           ///< Recent maximum of `rate`.
};

/// Owns the RoleAggregate of each role.
class RoleAggregates {
 public:
  /// Updates the averages. Must be called once per housekeeping period.
  void update(const std::map<EngineId, Engine>& engines);
  /// An engine has ended a prefill or started a stream for a request of this weight
  /// (PromptStatistics::weightOf()).
  void recordServed(const Engine& engine, double weight) { aggregate(engine).servedSinceUpdate += weight; }

  /// Averages of the engine's role.
  const RoleAggregate& of(const Engine& engine) const { return of(engine.entry.role); }
  /// Averages of the role.
  const RoleAggregate& of(Role role) const { return aggregates_[static_cast<std::size_t>(role)]; }

 private:
  static constexpr std::size_t kRoles = 4;
  RoleAggregate& aggregate(const Engine& engine) {
    return aggregates_[static_cast<std::size_t>(engine.entry.role)];
  }

  std::array<RoleAggregate, kRoles> aggregates_;
};

}  // namespace gannetcourse::policy
