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
  recovery::Limits recovery;  // what the core is told; a broken one shows that the check can fail
  double engineLease = 2;     // seconds after which the engines of this world end a stream by themselves
};

struct Explored {
  std::uint64_t paths = 0, steps = 0;
  std::vector<std::string> faults;  // "token, break, ...: what was wrong", the first few
};

Explored explore(const ExploreOptions& options);

}  // namespace gannetcourse::lab
