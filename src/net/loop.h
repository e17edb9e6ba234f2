// The event loop of one thread: edge-triggered epoll, one-shot timers, and tasks posted from other threads.
// Times are seconds of the machine's monotonic clock; router::Core receives times of the same clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::net {

/// The current time of the monotonic clock.
Instant monotonicNow();
/// Milliseconds since 1970 by the wall clock, which may jump.
std::int64_t unixMillis();

/// Converts wall-clock times to times of the monotonic clock by an offset that is fixed at construction.
class WallClock {
 public:
  WallClock(Instant now, std::int64_t unixMsNow);
  /// The monotonic time of `unixMs`; std::nullopt for 0 or less, which means that no time is given.
  std::optional<Instant> instant(std::int64_t unixMs) const;

 private:
  double offset_;  // seconds to add to wall-clock time for monotonic time
};

/// The operations for which a watched descriptor is ready.
struct Ready {
  bool readable = false;
  bool writable = false;
  bool peerShutdown = false;  ///< The peer has shut down its write side, or the connection was lost.
};

/// Notified when a watched descriptor becomes ready. Events are edge-triggered: read or write until EAGAIN.
class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void onReady(const Ready& ready) = 0;
};

using TimerId = std::uint64_t;  ///< 0 = none.

/// The event loop of one thread. All functions except post() may be called on that thread only.
class Loop {
 public:
  /// A timer delay that ends in the next iteration, after that iteration's input has been read.
  static constexpr Duration kNextIteration{1e-6};

  using Clock = std::function<Instant()>;
  /// Tests may pass a clock of their own, to control the time. Throws std::system_error if epoll or eventfd
  /// fails.
  explicit Loop(Clock clock = monotonicNow);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// The time at the start of this iteration.
  Instant now() const { return now_; }
  /// The current time, for durations that are sent to other processes.
  Instant exactNow() const { return clock_(); }

  /// Watches a descriptor for reading and writing. Retries later if the kernel lacks memory. `watcher` must
  /// outlive the call of unwatch().
  void watch(int fd, Watcher* watcher);
  /// Must be called before the descriptor is closed.
  void unwatch(int fd);

  /// Runs `task` once, at `when` or as soon as possible after it.
  TimerId runAt(Instant when, std::function<void()> task);
  TimerId runAfter(Duration delay, std::function<void()> task) {
    return runAt(now_ + delay, std::move(task));
  }
  /// Does nothing if the timer has run already, or if `id` is 0.
  void cancelTimer(TimerId id);

  /// Runs `task` at the end of this iteration; of the next one if this one is already running deferred tasks.
  void defer(std::function<void()> task);
  /// Like defer(), but may be called from any thread.
  void post(std::function<void()> task);

  /// Runs until stop(). Posted tasks that have not run by then are dropped when the loop is destroyed.
  void run();
  /// Runs one iteration that waits for at most `maxWait`. True if an event, timer or task was handled.
  bool runOnce(Duration maxWait);
  /// Ends run() after the current iteration. Other threads must call it through post().
  void stop();

  /// How often adding a descriptor to epoll failed and had to be retried.
  std::uint64_t failedWatches() const { return failedWatches_; }

  /// The duration of the longest iteration since the last call of this function. A stalled host delays every
  /// response by as much.
  Duration takeLongestIteration();

 private:
  int waitMillis(Duration maxWait) const;
  void handleEvent(std::uint64_t tag, std::uint32_t events);
  void drainWakeups();
  bool runTimers();
  bool runDeferred();
  bool registerWithKernel(int fd, std::uint32_t generation);
  void retryWatchLater(int fd, std::uint32_t generation);
  void retryWatches();

  Clock clock_;
  int epoll_ = -1;
  int wakeupFd_ = -1;  // eventfd that post() writes to
  Instant now_;
  bool stopped_ = false;
  // The watcher and generation of each descriptor. The generation distinguishes events of a closed descriptor
  // from those of a new one that has the same number.
  std::unordered_map<int, std::pair<Watcher*, std::uint32_t>> watchers_;
  std::uint32_t generation_ = 0;
  std::vector<std::pair<int, std::uint32_t>> unregistered_;  // not registered with epoll yet
  std::uint64_t failedWatches_ = 0;
  std::map<std::pair<Instant, TimerId>, std::function<void()>> timers_;
  std::unordered_map<TimerId, Instant> timerTimes_;
  TimerId nextTimer_ = 1;
  std::vector<std::function<void()>> deferred_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;  // guarded by mutex_
  Duration longestIteration_{0};
};

}  // namespace gannetcourse::net
