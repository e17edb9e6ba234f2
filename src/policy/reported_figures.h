// Bounds on figures that engines report. An engine that spoils its answers may tell any number in a form that
// can be read, and smoothed into what is known, one of them would outweigh all others for minutes.
#pragma once

#include <algorithm>
#include <cmath>
#include <optional>

#include "gannetcourse/policy.h"

namespace gannetcourse {

constexpr double kMostReportedCount = 1e4;  // requests at one engine
constexpr double kMostReportedShare =
    2;  // of slots or memory; a little over 1 where work was taken beyond them
constexpr double kMostReportedTokens = 1e8;  // prompt tokens that wait at one engine

// A figure within 0 and `most`; one that is no number counts as 0.
inline double bounded(double figure, double most) {
  return std::isnan(figure) ? 0 : std::clamp(figure, 0.0, most);
}

// A load report with each figure that it tells within its bounds.
inline LoadReport believable(LoadReport load) {
  const auto bound = [](std::optional<double>& figure, double most) {
    if (figure) figure = bounded(*figure, most);
  };
  bound(load.requestsInFlight, kMostReportedCount);
  bound(load.requestsQueued, kMostReportedCount);
  bound(load.slotUtilization, kMostReportedShare);
  bound(load.memoryUtilization, kMostReportedShare);
  bound(load.queuedPrefillTokens, kMostReportedTokens);
  return load;
}

// Tokens of a prompt that were found kept: no more than it has.
inline double believableKept(double keptTokens, double promptTokens) {
  return bounded(keptTokens, promptTokens);
}

}  // namespace gannetcourse
