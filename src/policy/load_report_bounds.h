// Bounds on figures that engines report. A faulty engine may report any number that can be parsed; a huge one
// would dominate the smoothed figures for minutes.
#pragma once

#include <algorithm>
#include <cmath>
#include <optional>

#include "gannetcourse/policy.h"
#include "tuning.h"

namespace gannetcourse::policy {

/// Clamps a figure to [0, max]; NaN becomes 0.
inline double bounded(double figure, double max) {
  return std::isnan(figure) ? 0 : std::clamp(figure, 0.0, max);
}

/// Clamps each figure that is present in the report to its bounds.
inline LoadReport bounded(LoadReport load) {
  const auto bound = [](std::optional<double>& figure, double max) {
    if (figure) figure = bounded(*figure, max);
  };
  bound(load.requestsInFlight, kMaxReportedRequests);
  bound(load.requestsQueued, kMaxReportedRequests);
  bound(load.slotUtilization, kMaxReportedUtilization);
  bound(load.memoryUtilization, kMaxReportedUtilization);
  bound(load.queuedPrefillTokens, kMaxReportedTokens);
  return load;
}

/// Clamps the reported number of cached tokens to the length of the prompt.
inline Tokens boundedCachedTokens(Tokens cachedTokens, Tokens promptTokens) {
  return bounded(cachedTokens, promptTokens);
}

}  // namespace gannetcourse::policy
