// Measures what the node costs, as ratios within one run: against engines asked directly, and against the
// relay.
#pragma once

#include <ostream>
#include <string>

namespace gannetcourse::lab {

struct BenchOptions {
  double seconds = 2;    // of each measurement
  int rounds = 3;        // of all of them in turn; medians are told
  int concurrency = 64;  // requests at once
  int tokens = 40;       // of an answer
  std::string nodeBinary;
  bool memory = true;  // with 1,000 and 10,000 open streams
};

// Ends by itself. Prints a table of ratios.
void bench(const BenchOptions& options, std::ostream& out);

}  // namespace gannetcourse::lab
