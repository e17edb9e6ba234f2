// Measures the cost of the node relative to direct calls to engines and to a relay, as ratios within one run.
#pragma once

#include <ostream>
#include <string>

namespace gannetcourse::lab {

/// Options of a benchmark run.
struct BenchOptions {
  double seconds = 2;      // duration of each measurement
  int rounds = 3;          // repetitions of all measurements; medians are printed
  int concurrency = 64;    // requests in flight
  int tokens = 40;         // tokens of a response
  std::string nodeBinary;  // path of the daemon
  bool memory = true;      // whether to measure memory, with 1,000 and 10,000 open streams
};

/// Runs all measurements and prints a table of ratios. Throws std::runtime_error if requests fail.
void bench(const BenchOptions& options, std::ostream& out);

}  // namespace gannetcourse::lab
