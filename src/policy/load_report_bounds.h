// Bounds on figures that engines report. A faulty engine may report any number that can be parsed, and
// smoothed into the learned figures one of them would outweigh all others for minutes.
#pragma once

#include <algorithm>
#include <cmath>
#include <optional>

#include "gannetcourse/policy.h"
#include "tuning.h"

namespace gannetcourse::policy {

/// A figure within 0 and `max`; one that is not a number counts as 0.
inline double bounded(double figure, double max) {
  return std::isnan(figure) ? 0 : std::clamp(figure, 0.0, max);
}

/// A load report with each figure that it has within its bounds.
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

/// Tokens of a prompt that were found cached: no more than it has.
inline Tokens boundedCachedTokens(Tokens cachedTokens, Tokens promptTokens) {
  return bounded(cachedTokens, promptTokens);
}

}  // namespace gannetcourse::policy
