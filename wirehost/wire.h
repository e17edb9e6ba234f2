// The adapter for the platform's simulator: passes batches of JSON lines to and from the decision module.
// Makes no routing decisions.
#pragma once

#include <istream>
#include <ostream>

namespace gannetcourse::wire {

/// Processes batches from `in` until its end and returns the exit code, 0 on success. On malformed input, it
/// writes one line to `err` and returns 1; nothing of the incomplete batch is written to `out`.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace gannetcourse::wire
