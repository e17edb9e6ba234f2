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

// The monotonic clock as the router's Instant.
Instant monotonicNow();
std::int64_t unixMillis();  // of the wall clock, which may jump

// Wall-clock times as the router's instants, always alike within one process.
class WallClock {
 public:
  WallClock(Instant now, std::int64_t unixMsNow);
  std::optional<Instant> instant(std::int64_t unixMs) const;  // 0 = none

 private:
  double offset_;  // seconds from wall clock to the router's clock
};

// What a watched descriptor has become. `ended`: its peer sends nothing more, or is gone.
struct Ready {
  bool readable = false, writable = false, ended = false;
};
// Told when a watched descriptor becomes ready. Edge-triggered: read or write until EAGAIN.
class Watcher {
 public:
  virtual ~Watcher() = default;
  virtual void onReady(const Ready& ready) = 0;
};

using TimerId = std::uint64_t;  // 0 = none

class Loop {
 public:
  // A delay that ends in the next iteration, once what has come by then was read.
  static constexpr Duration kNextIteration{1e-6};

  using Clock = std::function<Instant()>;
  // Another clock than the machine's is for tests that step through time. Throws std::system_error where
  // epoll or eventfd cannot be had.
  explicit Loop(Clock clock = monotonicNow);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // The time at the start of this iteration.
  Instant now() const { return now_; }
  // The time at this moment: for what is told to others.
  Instant exactNow() const { return clock_(); }

  // For reading and writing. Where the kernel has no memory for it just now it is tried again until it has.
  void watch(int fd, Watcher* watcher);
  void unwatch(int fd);  // to be called before the descriptor is closed

  TimerId runAt(Instant when, std::function<void()> task);
  TimerId runAfter(Duration delay, std::function<void()> task) {
    return runAt(now_ + delay, std::move(task));
  }
  void cancelTimer(TimerId id);

  // Runs `task` at the end of this iteration, or of the next. From this loop's thread only.
  void defer(std::function<void()> task);
  // The same from any thread.
  void post(std::function<void()> task);

  // Runs until stop(). Tasks that are still posted are dropped with the loop.
  void run();
  // One iteration that waits at most `most`.
  // True where anything was done.
  bool runOnce(Duration most);
  void stop();  // from this loop's thread; others post it

  // How often the kernel could not watch a descriptor at once.
  std::uint64_t failedWatches() const { return failedWatches_; }

  // How long the longest iteration took since the last call: what a stalled host adds to every answer.
  Duration takeLongestIteration();

 private:
  class Wakeup;
  int waitMillis(Duration most) const;
  bool runTimers();
  bool runDeferred();
  bool registerWithKernel(int fd, std::uint32_t generation);
  void retryWatchLater(int fd, std::uint32_t generation);
  void retryWatches();

  Clock clock_;
  int epoll_ = -1;
  int wakeupFd_ = -1;
  Instant now_;
  bool stopped_ = false;
  std::unordered_map<int, std::pair<Watcher*, std::uint32_t>> watchers_;  // with a generation
  std::uint32_t generation_ = 0;
  std::vector<std::pair<int, std::uint32_t>> unregistered_;  // watchers that the kernel does not know of yet
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
