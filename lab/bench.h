// Measures what the node costs, as ratios within one run: against direct calls to engines, and against the
// relay.
#pragma once

#include <ostream>
#include <string>

namespace gannetcourse::lab {

struct BenchOptions {
  double seconds = 2;    // of each measurement
  int rounds = 3;        // of all of them in turn; medians are printed
  int concurrency = 64;  // requests at once
  int tokens = 40;       // of a response
  std::string nodeBinary;
  bool memory = true;  // with 1,000 and 10,000 open streams
};

/// Runs all measurements and prints a table of ratios. Throws std::runtime_error where requests fail.
void bench(const BenchOptions& options, std::ostream& out);

}  // namespace gannetcourse::lab
