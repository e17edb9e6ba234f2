// Drives the real core through every order of events that a stream's life can meet, up to a depth, and holds
// each against the rules: one answer, nothing after it, tokens once and in order, never two attempts out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gannetcourse/recovery.h"

namespace gannetcourse::lab {

struct FaultSearchOptions {
  int depth = 5;              // events after the first token
  int streams = 1;            // of live(): that share one budget
  recovery::Limits recovery;  // what the core is told; a broken one shows that the check can fail
  double engineLease = 2;     // seconds after which the engines of this world end a stream by themselves
};

struct FaultSearchResult {
  std::uint64_t paths = 0, steps = 0;
  std::vector<std::string> violations;  // "token, break, ...: what was wrong", the first few
};

FaultSearchResult searchAllOrders(const FaultSearchOptions& options);
// Random lives instead, one for each seed; a seed gives the same life again.
FaultSearchResult searchRandomly(const FaultSearchOptions& options, std::uint64_t from, std::uint64_t count);

}  // namespace gannetcourse::lab
