// The timers of a core, ordered by due time. Timers that are due at the same time fire in the order in which
// they were scheduled.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "gannetcourse/policy.h"

namespace gannetcourse::router {

/// The component that a timer belongs to.
enum class TimerKind {
  kPolicy,          ///< Set by the policy.
  kCallTimeout,     ///< Time-out of the call `key`.
  kRequestTimeout,  ///< Time-out of the request `key`.
  kStreamCheck,     ///< The recovery module checks the streams.
  kOrphanedStates,  ///< Releases of orphaned states are due.
};

/// The purpose of a timer: its kind, and the call, request or policy timer that it belongs to.
struct Timer {
  TimerKind kind = TimerKind::kPolicy;
  std::uint64_t key = 0;
  std::string policyTimer;  ///< For kPolicy: the policy's id of the timer.
};

/// Owns the scheduled timers, until they are taken or cancelled.
class TimerQueue {
 public:
  /// Refers to a scheduled timer. Valid until the timer is taken or cancelled; cancel() resets the handle,
  /// but after takeDue() its owner must reset it.
  using Handle = std::optional<std::multimap<Instant, Timer>::iterator>;

  Handle schedule(Instant at, Timer timer) { return timers_.emplace(at, std::move(timer)); }

  /// Removes the timer and resets the handle. Does nothing if the handle is empty.
  void cancel(Handle& handle) {
    if (handle) timers_.erase(*handle);
    handle.reset();
  }

  /// Removes and returns the earliest timer that is due; absent if none is.
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
