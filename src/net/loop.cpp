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
const Duration kWatchRetryDelay{0.01};  // after epoll could not add a descriptor
const Duration kMaxWait{60};            // of one iteration of run()
constexpr int kGenerationShift = 32;

[[noreturn]] void throwSystemError(const char* what) {
  throw std::system_error(errno, std::generic_category(), what);
}

std::uint64_t tagOf(int fd, std::uint32_t generation) {
  return (static_cast<std::uint64_t>(generation) << kGenerationShift) | static_cast<std::uint32_t>(fd);
}
}  // namespace

Loop::Loop(Clock clock) : clock_(std::move(clock)), epoll_(epoll_create1(EPOLL_CLOEXEC)), now_(clock_()) {
  if (epoll_ < 0) throwSystemError("epoll_create1");
  wakeupFd_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (wakeupFd_ < 0) {
    const int error = errno;
    close(epoll_);
    throw std::system_error(error, std::generic_category(), "eventfd");
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

// False if the kernel lacks memory or the user's limit of epoll watches is reached; the caller retries later.
// No event is lost meanwhile: adding a descriptor to epoll reports its current state.
bool Loop::registerWithKernel(int fd, std::uint32_t generation) {
  epoll_event event{};
  event.events = EPOLLET | (fd == wakeupFd_ ? EPOLLIN : EPOLLIN | EPOLLOUT | EPOLLRDHUP);
  event.data.u64 = tagOf(fd, generation);
  if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event) == 0) return true;
  if (errno != ENOMEM && errno != ENOSPC) throwSystemError("epoll_ctl");
  ++failedWatches_;
  return false;
}

void Loop::retryWatchLater(int fd, std::uint32_t generation) {
  unregistered_.emplace_back(fd, generation);
  if (unregistered_.size() == 1) runAfter(kWatchRetryDelay, [this] { retryWatches(); });
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
  while (!stopped_) runOnce(kMaxWait);
}

void Loop::stop() { stopped_ = true; }

int Loop::waitMillis(Duration maxWait) const {
  if (!deferred_.empty()) return 0;
  double wait = maxWait.count();
  if (!timers_.empty()) wait = std::min(wait, (timers_.begin()->first.first - clock_()).count());
  return std::max(0, static_cast<int>(std::ceil(wait * 1000)));
}

bool Loop::runOnce(Duration maxWait) {
  std::array<epoll_event, 256> events{};
  const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), waitMillis(maxWait));
  if (count < 0 && errno != EINTR) throwSystemError("epoll_wait");
  now_ = clock_();
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<std::size_t>(i)];
    handleEvent(event.data.u64, event.events);
  }
  const bool ranTimers = runTimers();
  const bool ranTasks = runDeferred();
  longestIteration_ = std::max(longestIteration_, clock_() - now_);
  return count > 0 || ranTimers || ranTasks;
}

void Loop::handleEvent(std::uint64_t tag, std::uint32_t events) {
  const int fd = static_cast<int>(tag & 0xffffffffU);
  const auto generation = static_cast<std::uint32_t>(tag >> kGenerationShift);
  if (fd == wakeupFd_) return drainWakeups();
  // The descriptor may have been closed, and its number reused, in this iteration.
  const auto found = watchers_.find(fd);
  if (found == watchers_.end() || found->second.second != generation) return;
  Ready ready;
  ready.readable = (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  ready.writable = (events & (EPOLLOUT | EPOLLHUP | EPOLLERR)) != 0;
  ready.peerShutdown = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  found->second.first->onReady(ready);
}

void Loop::drainWakeups() {
  std::uint64_t wakeups = 0;
  [[maybe_unused]] const auto received = read(wakeupFd_, &wakeups, sizeof wakeups);
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
