// Drives the real core through every order of events that a stream can meet, up to a depth, and checks the
// invariants: one final response, nothing after it, tokens once and in order, never two open attempts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gannetcourse/recovery.h"

namespace gannetcourse::lab {

struct FaultSearchOptions {
  int depth = 5;              // events after the first token
  int streams = 1;            // of searchRandomly(): they share one budget
  recovery::Limits recovery;  // of the core; wrong ones show that the check can fail
  double engineLease = 2;     // seconds after which simulated engines end a stream by themselves
};

struct FaultSearchResult {
  std::uint64_t paths = 0, steps = 0;
  std::vector<std::string> violations;  // "token, break, ...: what was wrong", the first few
};

FaultSearchResult searchAllOrders(const FaultSearchOptions& options);
/// Random event orders instead, one for each seed; a seed gives the same order again.
FaultSearchResult searchRandomly(const FaultSearchOptions& options, std::uint64_t from, std::uint64_t count);

}  // namespace gannetcourse::lab
