// Drives the real core through every order of events that a stream's life can meet, up to a depth, and holds
// each against the rules: one answer, nothing after it, tokens once and in order, never two attempts out.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gannetcourse/recovery.h"

namespace gannetcourse::lab {

struct ExploreOptions {
  int depth = 5;              // events after the first token
  int streams = 1;            // of live(): that share one budget
  recovery::Limits recovery;  // what the core is told; a broken one shows that the check can fail
  double engineLease = 2;     // seconds after which the engines of this world end a stream by themselves
};

struct Explored {
  std::uint64_t paths = 0, steps = 0;
  std::vector<std::string> faults;  // "token, break, ...: what was wrong", the first few
};

Explored explore(const ExploreOptions& options);
// Random lives instead, one for each seed; a seed gives the same life again.
Explored live(const ExploreOptions& options, std::uint64_t from, std::uint64_t count);

}  // namespace gannetcourse::lab
