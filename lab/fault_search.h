// Runs the real router core through every order of the events that can happen to a stream, up to a given
// number of events, and checks the invariants: a stream gets one final response and nothing after that
// response, each token is delivered once and in order, and a request never has two open attempts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gannetcourse/recovery.h"

namespace gannetcourse::lab {

struct FaultSearchOptions {
  int depth = 5;              // events after the first token
  int streams = 1;            // streams of searchRandomly(), which share one continuation budget
  recovery::Limits recovery;  // limits of the core; wrong ones show that the search detects violations
  double engineLease = 2;     // seconds without contact after which a simulated engine ends a stream
};

struct FaultSearchResult {
  std::uint64_t paths = 0, steps = 0;
  /// At most 20 texts. From searchAllOrders(): the events that led to a violation, separated by commas, then
  /// ": " and the violation. From searchRandomly(): "seed N: " and the violation.
  std::vector<std::string> violations;
};

/// Runs every order of events of one stream, up to options.depth events.
FaultSearchResult searchAllOrders(const FaultSearchOptions& options);
/// Runs one random order of events for each of `count` seeds, beginning with `firstSeed`. A seed always gives
/// the same order.
FaultSearchResult searchRandomly(const FaultSearchOptions& options, std::uint64_t firstSeed,
                                 std::uint64_t count);

}  // namespace gannetcourse::lab
