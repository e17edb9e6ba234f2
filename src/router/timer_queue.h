// The timers of a core, in the order of their times; those of equal times in the order in which they were
// scheduled.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "gannetcourse/policy.h"

namespace gannetcourse::router {

/// Who waits for the timer.
enum class TimerKind {
  kPolicy,          ///< Set by the policy.
  kCallTimeout,     ///< `key` is the call.
  kRequestTimeout,  ///< `key` is the request.
  kStreamCheck,     ///< The recovery module looks at the streams.
  kOrphanedStates,  ///< Releases of orphaned states are due.
};

/// What a timer is for.
struct Timer {
  TimerKind kind = TimerKind::kPolicy;
  std::uint64_t key = 0;
  std::string policyTimer;  ///< The policy's name of it.
};

/// Owns its timers. A timer that was taken is no longer in it.
class TimerQueue {
 public:
  /// Valid from schedule() until the timer is taken or cancelled; then its holder has to reset it.
  using Handle = std::optional<std::multimap<Instant, Timer>::iterator>;

  Handle schedule(Instant at, Timer timer) { return timers_.emplace(at, std::move(timer)); }

  /// Empties the handle too. Does nothing where it is empty.
  void cancel(Handle& handle) {
    if (handle) timers_.erase(*handle);
    handle.reset();
  }

  /// The first timer that is due, which is no longer scheduled then.
  std::optional<Timer> takeDue(Instant now) {
    if (timers_.empty() || timers_.begin()->first > now) return std::nullopt;
    return std::move(timers_.extract(timers_.begin()).mapped());
  }

  std::optional<Instant> nextDue() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.begin()->first;
  }

 private:
  std::multimap<Instant, Timer> timers_;
};

}  // namespace gannetcourse::router
