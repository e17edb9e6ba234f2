// The wire of the bench: batches of JSON lines to and from the decision module. Makes no decision.
#pragma once

#include <istream>
#include <ostream>

namespace gannetcourse::wire {

/// Serves batches from `in` until its end and returns the exit code. On malformed input it writes one line to
/// `err`, nothing of the unfinished batch to `out`, and returns 1.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace gannetcourse::wire
