#include "fault_shim.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>

namespace gannetcourse::soak {
namespace {

constexpr double kMinStallInterval = 0.3;  // seconds

// The C library's implementation of a replaced function.
template <class Function>
Function original(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

std::uint32_t drawPerMille() {
  static thread_local std::uint64_t state = 0x9e3779b97f4a7c15ULL ^ static_cast<std::uint64_t>(getpid());
  state ^= state << 13;
  state ^= state >> 7;
  state ^= state << 17;
  return static_cast<std::uint32_t>(state % kAlways);
}

// Decides at random, by the fault plan, whether this call fails. If so, sets errno and returns true.
bool injectFailure(FaultyCall call) {
  FaultRule& rule = faultPlan().rules[static_cast<std::uint32_t>(call)];
  if (rule.perMille == 0 || rule.remaining == 0 || drawPerMille() >= rule.perMille) return false;
  if (rule.remaining != kUnlimited) --rule.remaining;
  ++rule.failed;
  errno = rule.error;
  return true;
}

bool isFile(int fd) {
  struct stat status {};
  return fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

// The number of bytes that a recv() or send() call is allowed to transfer: all, or a random part of them.
std::size_t transferSize(std::size_t bytes) {
  const bool part = bytes > 1 && drawPerMille() < faultPlan().shortPerMille;
  return part ? 1 + drawPerMille() % (bytes - 1) : bytes;
}

double monotonicSeconds() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

// Delays a call of send() at random, by the fault plan. Two stalls of a thread are at least kMinStallInterval
// apart, because several stalls in one iteration of the event loop would exceed the delay that the
// requirements allow for.
void maybeStall() {
  static thread_local double lastStallEnd = 0;
  const FaultPlan& plan = faultPlan();
  if (plan.stallMillis == 0 || drawPerMille() >= plan.stallPerMille) return;
  if (monotonicSeconds() - lastStallEnd < kMinStallInterval) return;
  usleep(plan.stallMillis * 1000);
  lastStallEnd = monotonicSeconds();
}

FaultPlan* sharedPlan() {
  const char* const path = std::getenv("FAULT_PLAN");
  if (path == nullptr) return nullptr;
  static const auto kOpenFile = original<int (*)(const char*, int, ...)>("open");
  const int fd = kOpenFile(path, O_RDWR | O_CLOEXEC);
  if (fd < 0) return nullptr;
  void* const memory = mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  return memory == MAP_FAILED ? nullptr : static_cast<FaultPlan*>(memory);
}

}  // namespace

FaultPlan& faultPlan() {
  static FaultPlan processPlan;
  static FaultPlan* const kShared = sharedPlan();
  return kShared != nullptr ? *kShared : processPlan;
}

}  // namespace gannetcourse::soak

using gannetcourse::soak::FaultyCall;
namespace soak = gannetcourse::soak;

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto kNext = soak::original<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  return soak::injectFailure(FaultyCall::kAccept) ? -1 : kNext(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto kNext = soak::original<int (*)(int, int, int)>("socket");
  return soak::injectFailure(FaultyCall::kSocket) ? -1 : kNext(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto kNext = soak::original<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (soak::injectFailure(FaultyCall::kConnect)) return -1;
  const int result = kNext(fd, address, size);
  std::uint32_t& interrupted = soak::faultPlan().interruptedConnects;
  if (result != 0 && errno == EINPROGRESS && interrupted > 0) {
    --interrupted;
    errno = EINTR;
  }
  return result;
}

int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) noexcept {
  static const auto kNext = soak::original<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
  if (operation == EPOLL_CTL_ADD && soak::injectFailure(FaultyCall::kWatch)) return -1;
  return kNext(epoll, operation, fd, event);
}

ssize_t recv(int fd, void* buffer, std::size_t size, int flags) {
  static const auto kNext = soak::original<ssize_t (*)(int, void*, std::size_t, int)>("recv");
  return soak::injectFailure(FaultyCall::kReceive) ? -1 : kNext(fd, buffer, soak::transferSize(size), flags);
}

ssize_t send(int fd, const void* buffer, std::size_t size, int flags) {
  static const auto kNext = soak::original<ssize_t (*)(int, const void*, std::size_t, int)>("send");
  if (soak::injectFailure(FaultyCall::kSend)) return -1;
  soak::maybeStall();
  return kNext(fd, buffer, soak::transferSize(size), flags);
}

int open(const char* path, int flags, ...) {
  static const auto kNext = soak::original<int (*)(const char*, int, ...)>("open");
  va_list more;
  va_start(more, flags);
  const mode_t mode = (flags & O_CREAT) != 0 ? va_arg(more, mode_t) : 0;
  va_end(more);
  return soak::injectFailure(FaultyCall::kOpen) ? -1 : kNext(path, flags, mode);
}

FILE* fopen(const char* path, const char* mode) {
  static const auto kNext = soak::original<FILE* (*)(const char*, const char*)>("fopen");
  return soak::injectFailure(FaultyCall::kOpen) ? nullptr : kNext(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
  static const auto kNext = soak::original<FILE* (*)(const char*, const char*)>("fopen64");
  return soak::injectFailure(FaultyCall::kOpen) ? nullptr : kNext(path, mode);
}

ssize_t write(int fd, const void* buffer, std::size_t size) {
  static const auto kNext = soak::original<ssize_t (*)(int, const void*, std::size_t)>("write");
  return soak::isFile(fd) && soak::injectFailure(FaultyCall::kWrite) ? -1 : kNext(fd, buffer, size);
}

ssize_t writev(int fd, const iovec* parts, int count) {
  static const auto kNext = soak::original<ssize_t (*)(int, const iovec*, int)>("writev");
  return soak::isFile(fd) && soak::injectFailure(FaultyCall::kWrite) ? -1 : kNext(fd, parts, count);
}

int fsync(int fd) {
  static const auto kNext = soak::original<int (*)(int)>("fsync");
  return soak::injectFailure(FaultyCall::kSync) ? -1 : kNext(fd);
}

int rename(const char* from, const char* to) noexcept {
  static const auto kNext = soak::original<int (*)(const char*, const char*)>("rename");
  return soak::injectFailure(FaultyCall::kRename) ? -1 : kNext(from, to);
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static const auto kNext = soak::original<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int result = kNext(clock, time);
  if (result == 0 && clock == CLOCK_REALTIME) time->tv_sec += soak::faultPlan().wallClockStepMillis / 1000;
  return result;
}

}  // extern "C"
