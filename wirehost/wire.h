// The wire of the bench: JSON lines to and from the module's interface. No decision is made here.
#pragma once

#include <istream>
#include <ostream>

namespace gannetcourse::wire {

// Serves batches from `in` until its end. Returns the exit code; on malformed input it writes one plain line
// to `err`, nothing of the unfinished batch to `out`, and returns 1.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace gannetcourse::wire
