// One thread's event loop: edge-triggered epoll, one-shot timers, and work posted from other threads.
// Times are seconds of the machine's monotonic clock, the clock that router::Core is fed with.
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

/// The monotonic clock as the router's Instant.
Instant monotonicNow();
/// Milliseconds of the wall clock since 1970; may jump.
std::int64_t unixMillis();

/// Converts wall-clock times to the router's instants by an offset that is fixed within one process.
class WallClock {
 public:
  WallClock(Instant now, std::int64_t unixMsNow);
  /// Nothing for 0, which stands for no time.
  std::optional<Instant> instant(std::int64_t unixMs) const;

 private:
  double offset_;  // seconds from wall clock to the router's clock
};

/// What a watched descriptor has become ready for.
struct Ready {
  bool readable = false;
  bool writable = false;
  bool ended = false;  ///< The peer has shut down its direction or was lost.
};

/// Notified when a watched descriptor becomes ready. Edge-triggered: read or write until EAGAIN.
class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void onReady(const Ready& ready) = 0;
};

using TimerId = std::uint64_t;  ///< 0 = none.

/// The event loop of one thread. All functions but post() are for that thread only.
class Loop {
 public:
  /// A delay that ends in the next iteration, after the input that has arrived by then is read.
  static constexpr Duration kNextIteration{1e-6};

  using Clock = std::function<Instant()>;
  /// A clock other than the machine's is for tests that step through time. Throws std::system_error where
  /// epoll or eventfd fails.
  explicit Loop(Clock clock = monotonicNow);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// The time at the start of this iteration.
  Instant now() const { return now_; }
  /// The time at this moment: for durations that are sent to others.
  Instant exactNow() const { return clock_(); }

  /// Watches for reading and writing. Where the kernel lacks the memory for the moment it is retried. The
  /// watcher must stay until unwatch().
  void watch(int fd, Watcher* watcher);
  /// To be called before the descriptor is closed.
  void unwatch(int fd);

  /// Runs `task` once, at `when` or as soon after it as the loop can.
  TimerId runAt(Instant when, std::function<void()> task);
  TimerId runAfter(Duration delay, std::function<void()> task) {
    return runAt(now_ + delay, std::move(task));
  }
  /// Does nothing for a timer that has run, or 0.
  void cancelTimer(TimerId id);

  /// Runs `task` at the end of this iteration, or of the next.
  void defer(std::function<void()> task);
  /// The same from any thread.
  void post(std::function<void()> task);

  /// Runs until stop(). Tasks that are still posted are dropped with the loop.
  void run();
  /// Runs one iteration that waits for `maxWait` at most. True where an event, timer or task was handled.
  bool runOnce(Duration maxWait);
  /// Other threads post it.
  void stop();

  /// How often the kernel could not watch a descriptor at once.
  std::uint64_t failedWatches() const { return failedWatches_; }

  /// The longest iteration since the last call of this function: what a stalled host adds to every response.
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
  // With a generation, by which events of a descriptor that was closed and reused are recognized.
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
