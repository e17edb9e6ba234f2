// This router's own work at the engines of a role: what one of them has on average, and what it does at most.
#pragma once

#include <array>
#include <cstddef>
#include <map>

#include "engine.h"

namespace gannetcourse::policy {

/// Figures of one engine of the role, on average over the engines in service.
struct RoleAggregate {
  double engines = 0;  ///< In service; at least 1 once updated.
  Tokens queuedPrefillTokens = 0;
  Tokens decodeTokens = 0;
  double servedSinceUpdate = 0;  ///< Mean requests, of all engines together.
  double rate = 0;               ///< Mean requests a second that one engine serves for this router.
  double peakRate = 0;           ///< The highest rate lately.
};

/// Owns the averages of each role.
class RoleAggregates {
 public:
  /// To be called once each housekeeping period.
  void update(const std::map<EngineId, Engine>& engines);
  /// An engine has ended a prefill or begun a stream for a request of this weight (PromptStatistics).
  void recordServed(const Engine& engine, double weight) { aggregate(engine).servedSinceUpdate += weight; }

  /// Of the engine's role.
  const RoleAggregate& of(const Engine& engine) const { return of(engine.entry.role); }
  /// Of a role.
  const RoleAggregate& of(Role role) const { return aggregates_[static_cast<std::size_t>(role)]; }

 private:
  static constexpr std::size_t kRoles = 4;
  RoleAggregate& aggregate(const Engine& engine) {
    return aggregates_[static_cast<std::size_t>(engine.entry.role)];
  }

  std::array<RoleAggregate, kRoles> aggregates_;
};

}  // namespace gannetcourse::policy
