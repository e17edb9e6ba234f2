#include "role_aggregates.h"

#include <algorithm>
#include <utility>

#include "tuning.h"

namespace gannetcourse::policy {

void RoleAggregates::update(const std::map<EngineId, Engine>& engines) {
  std::array<RoleAggregate, kRoles> sums{};
  for (const auto& [id, engine] : engines) {
    RoleAggregate& sum = sums[static_cast<std::size_t>(engine.entry.role)];
    if (engine.isServing()) sum.engines += 1;
    sum.queuedPrefillTokens += engine.attempts.queuedPrefillTokens;
    sum.decodeTokens += engine.attempts.decodeTokens;
  }
  const auto smoothed = [](double mean, double sample) {
    return mean + (sample - mean) * kHousekeepingPeriod / kRoleAverageWindow;
  };
  for (std::size_t role = 0; role < kRoles; ++role) {
    RoleAggregate& a = aggregates_[role];
    a.serving = sums[role].engines;
    a.engines = std::max(1.0, a.serving);
    a.queuedPrefillTokens = smoothed(a.queuedPrefillTokens, sums[role].queuedPrefillTokens / a.engines);
    a.decodeTokens = smoothed(a.decodeTokens, sums[role].decodeTokens / a.engines);
    const double served = std::exchange(a.servedSinceUpdate, 0) / a.engines;
    a.rate += (served - a.rate * kHousekeepingPeriod.count()) / kRoleAverageWindow.count();
    a.peakRate = std::max(a.rate, a.peakRate * (1 - kHousekeepingPeriod / kPeakRateDecay));
  }
}

}  // namespace gannetcourse::policy
