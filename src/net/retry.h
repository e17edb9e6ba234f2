// Retries what fails for the moment, before there is a loop that could wait for it.
#pragma once

#include <thread>

#include "net/loop.h"

namespace gannetcourse::net {

/// Returns make(), which is called again after each exception of type `Exception` until `timeout` has passed;
/// then the exception is passed on. Other exceptions are passed on at once. Blocks its thread.
template <class Exception, class Make>
auto retryOn(Duration timeout, const Make& make) -> decltype(make()) {
  constexpr Duration kRetryDelay{0.05};
  const Instant giveUpAt = monotonicNow() + timeout;
  for (;;) {
    try {
      return make();
    } catch (const Exception&) {
      if (monotonicNow() >= giveUpAt) throw;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
}

}  // namespace gannetcourse::net
