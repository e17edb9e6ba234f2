#include "net/listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <system_error>
#include <utility>

#include "net/socket_errors.h"

namespace gannetcourse::net {
namespace {

constexpr int kBacklog = 4096;
const Duration kInitialAcceptRetryDelay{0.01};  // doubled after each failure
const Duration kMaxAcceptRetryDelay{0.1};
constexpr int kMaxConsecutiveFailures = 16;  // before accepting is retried after a delay

// Returns a socket bound to `address` and sets the port in `address`; -1 with errno on failure.
int bindSocket(sockaddr_in& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int reuse = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0)
    return fd;
  const int error = errno;
  ::close(fd);
  errno = error;
  return -1;
}

}  // namespace

Listener::Listener(Loop& loop, const Endpoint& on, AcceptHandler acceptHandler)
    : loop_(loop), acceptHandler_(std::move(acceptHandler)), acceptRetryDelay_(kInitialAcceptRetryDelay) {
  auto address = socketAddress(on);
  // With port 0, the first socket only obtains a port from the kernel; the listening socket is then bound to
  // that port by number. Otherwise the port would be released while rejectConnections() shuts the socket
  // down.
  const int ephemeralPortFd = address && on.port == 0 ? bindSocket(*address) : -1;
  fd_ = address ? bindSocket(*address) : -1;
  const bool listens = fd_ >= 0 && listen(fd_, kBacklog) == 0;
  const int error = address ? errno : EINVAL;
  if (ephemeralPortFd >= 0) ::close(ephemeralPortFd);
  if (!listens) {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    throw std::system_error(error, std::generic_category(), "cannot listen on " + on.text());
  }
  port_ = ntohs(address->sin_port);
  loop_.watch(fd_, this);
}

void Listener::onReady(const Ready&) { acceptUntilEmpty(); }

bool Listener::acceptUntilEmpty() {
  int failures = 0;
  while (fd_ >= 0 && !paused_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      failures = 0;
      acceptRetryDelay_ = kInitialAcceptRetryDelay;
      acceptHandler_(fd);
      continue;
    }
    if (errno == EAGAIN) return true;
    if (errno == EINTR || errno == ECONNABORTED) continue;
    ++failedAccepts_;
    // An error of the connection itself removes it from the queue, so that the next one can be accepted at
    // once. After a local fault, such as a lack of descriptors or memory, all connections stay in the queue.
    const bool isConnectionError = !isLocalFault(errno);
    if (isConnectionError && ++failures < kMaxConsecutiveFailures) continue;
    scheduleAcceptRetry();
    return false;
  }
  return true;
}

void Listener::scheduleAcceptRetry() {
  if (retryTimer_ != 0) return;
  retryTimer_ = loop_.runAfter(acceptRetryDelay_, [this] {
    retryTimer_ = 0;
    acceptUntilEmpty();
  });
  acceptRetryDelay_ = std::min(kMaxAcceptRetryDelay, 2 * acceptRetryDelay_);
}

void Listener::rejectConnections(bool rejecting) {
  if (fd_ < 0 || rejecting_ == rejecting) return;
  rejecting_ = rejecting;
  // After shutdown() a listening socket keeps its port, and the kernel answers connects with a RST until
  // listen() is called again.
  if (rejecting) {
    loop_.unwatch(fd_);
    shutdown(fd_, SHUT_RD);
  } else if (listen(fd_, kBacklog) == 0) {
    loop_.watch(fd_, this);
  }
}

void Listener::pause(bool paused) {
  paused_ = paused;
  if (!paused_) acceptUntilEmpty();
}

void Listener::close() {
  loop_.cancelTimer(std::exchange(retryTimer_, 0));
  if (fd_ < 0) return;
  loop_.unwatch(fd_);
  ::close(std::exchange(fd_, -1));
}

}  // namespace gannetcourse::net
