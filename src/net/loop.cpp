#include "net/loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <system_error>
#include <utility>

namespace gannetcourse::net {

Instant monotonicNow() {
  return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

std::int64_t unixMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

WallClock::WallClock(Instant now, std::int64_t unixMsNow)
    : offset_(now.time_since_epoch().count() - static_cast<double>(unixMsNow) / 1000) {}

std::optional<Instant> WallClock::instant(std::int64_t unixMs) const {
  if (unixMs <= 0) return std::nullopt;
  return Instant(Duration(static_cast<double>(unixMs) / 1000 + offset_));
}

namespace {
const Duration kWatchAgain{0.01};  // after the kernel could not watch a descriptor

[[noreturn]] void systemFault(const char* what) {
  throw std::system_error(errno, std::generic_category(), what);
}

std::uint64_t tagOf(int fd, std::uint32_t generation) {
  return (static_cast<std::uint64_t>(generation) << 32) | static_cast<std::uint32_t>(fd);
}
}  // namespace

Loop::Loop(Clock clock) : clock_(std::move(clock)), epoll_(epoll_create1(EPOLL_CLOEXEC)), now_(clock_()) {
  if (epoll_ < 0) systemFault("epoll_create1");
  wakeupFd_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (wakeupFd_ < 0) {
    const int fault = errno;
    close(epoll_);
    throw std::system_error(fault, std::generic_category(), "eventfd");
  }
  if (!registerWithKernel(wakeupFd_, 0)) retryWatchLater(wakeupFd_, 0);
}

Loop::~Loop() {
  if (wakeupFd_ >= 0) close(wakeupFd_);
  if (epoll_ >= 0) close(epoll_);
}

void Loop::watch(int fd, Watcher* watcher) {
  const std::uint32_t generation = ++generation_;
  watchers_[fd] = {watcher, generation};
  if (!registerWithKernel(fd, generation)) retryWatchLater(fd, generation);
}

// False where the kernel lacks the memory, or the user's share of it, for a moment. Whatever the descriptor
// has become until it is registered is told then: adding it to epoll reports its present state.
bool Loop::registerWithKernel(int fd, std::uint32_t generation) {
  epoll_event event{};
  event.events = EPOLLET | (fd == wakeupFd_ ? EPOLLIN : EPOLLIN | EPOLLOUT | EPOLLRDHUP);
  event.data.u64 = tagOf(fd, generation);
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) == 0) return true;
  if (errno != ENOMEM && errno != ENOSPC) systemFault("epoll_ctl");
  ++failedWatches_;
  return false;
}

void Loop::retryWatchLater(int fd, std::uint32_t generation) {
  unregistered_.emplace_back(fd, generation);
  if (unregistered_.size() == 1) runAfter(kWatchAgain, [this] { retryWatches(); });
}

void Loop::retryWatches() {
  for (const auto& [fd, generation] : std::exchange(unregistered_, {})) {
    const auto it = watchers_.find(fd);
    const bool wanted = fd == wakeupFd_ || (it != watchers_.end() && it->second.second == generation);
    if (wanted && !registerWithKernel(fd, generation)) retryWatchLater(fd, generation);
  }
}

void Loop::unwatch(int fd) {
  if (watchers_.erase(fd) > 0) epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}

TimerId Loop::runAt(Instant when, std::function<void()> task) {
  const TimerId id = nextTimer_++;
  timers_.emplace(std::make_pair(when, id), std::move(task));
  timerTimes_.emplace(id, when);
  return id;
}

void Loop::cancelTimer(TimerId id) {
  const auto it = timerTimes_.find(id);
  if (it == timerTimes_.end()) return;
  timers_.erase({it->second, id});
  timerTimes_.erase(it);
}

void Loop::defer(std::function<void()> task) { deferred_.push_back(std::move(task)); }

void Loop::post(std::function<void()> task) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    posted_.push_back(std::move(task));
  }
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = write(wakeupFd_, &one, sizeof one);
}

void Loop::run() {
  stopped_ = false;
  while (!stopped_) runOnce(Duration(60));
}

void Loop::stop() { stopped_ = true; }

int Loop::waitMillis(Duration most) const {
  if (!deferred_.empty()) return 0;
  double wait = most.count();
  if (!timers_.empty()) wait = std::min(wait, (timers_.begin()->first.first - clock_()).count());
  return std::max(0, static_cast<int>(std::ceil(wait * 1000)));
}

bool Loop::runOnce(Duration most) {
  std::array<epoll_event, 256> events{};
  const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), waitMillis(most));
  if (count < 0 && errno != EINTR) systemFault("epoll_wait");
  now_ = clock_();
  for (int i = 0; i < count; ++i) {
    const auto tag = events[static_cast<std::size_t>(i)].data.u64;
    const auto ready = events[static_cast<std::size_t>(i)].events;
    const int fd = static_cast<int>(tag & 0xffffffffU);
    if (fd == wakeupFd_) {
      std::uint64_t drained = 0;
      [[maybe_unused]] const auto got = read(wakeupFd_, &drained, sizeof drained);
      continue;
    }
    const auto it = watchers_.find(fd);  // may have been closed, and its number reused, in this iteration
    if (it == watchers_.end() || it->second.second != static_cast<std::uint32_t>(tag >> 32)) continue;
    it->second.first->onReady({(ready & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0,
                               (ready & (EPOLLOUT | EPOLLHUP | EPOLLERR)) != 0,
                               (ready & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0});
  }
  const bool timers = runTimers();
  const bool tasks = runDeferred();
  longestIteration_ = std::max(longestIteration_, clock_() - now_);
  return count > 0 || timers || tasks;
}

bool Loop::runTimers() {
  bool any = false;
  while (!timers_.empty() && timers_.begin()->first.first <= now_) {
    auto node = timers_.extract(timers_.begin());
    timerTimes_.erase(node.key().second);
    node.mapped()();
    any = true;
  }
  return any;
}

bool Loop::runDeferred() {
  std::vector<std::function<void()>> tasks;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    tasks.swap(posted_);
  }
  tasks.insert(tasks.end(), std::make_move_iterator(deferred_.begin()),
               std::make_move_iterator(deferred_.end()));
  deferred_.clear();
  for (const auto& task : tasks) task();
  return !tasks.empty();
}

Duration Loop::takeLongestIteration() { return std::exchange(longestIteration_, Duration(0)); }

}  // namespace gannetcourse::net
