// Retries an operation that fails temporarily, for use at startup before an event loop runs.
#pragma once

#include <thread>

#include "net/loop.h"

namespace gannetcourse::net {

/// Returns the result of make(). Calls it again after each exception of type `Exception` until `timeout` has
/// passed, then rethrows. Exceptions of other types are not caught. Blocks the thread between calls.
template <class Exception, class Make>
auto retryOn(Duration timeout, const Make& make) -> decltype(make()) {
  constexpr Duration kRetryDelay{0.05};
  const Instant deadline = monotonicNow() + timeout;
  for (;;) {
    try {
      return make();
    } catch (const Exception&) {
      if (monotonicNow() >= deadline) throw;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
}

}  // namespace gannetcourse::net
