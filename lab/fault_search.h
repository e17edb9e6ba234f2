// Runs the real router core through every order of the events that can happen to a stream, up to a given
// number of events, and checks the invariants: one final response, nothing after it, each token once and in
// order, never two open attempts.
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
  std::vector<std::string> violations;  // "progress, token gap, ...: violation"; only the first 20
};

/// Runs every order of events of one stream, up to options.depth events.
FaultSearchResult searchAllOrders(const FaultSearchOptions& options);
/// Runs one random order of events for each of `count` seeds, beginning with `firstSeed`. A seed always gives
/// the same order.
FaultSearchResult searchRandomly(const FaultSearchOptions& options, std::uint64_t firstSeed,
                                 std::uint64_t count);

}  // namespace gannetcourse::lab
