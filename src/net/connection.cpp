#include "net/connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <system_error>
#include <utility>

namespace gannetcourse::net {
namespace {

std::optional<sockaddr_in> socketAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  if (inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1) return std::nullopt;
  return address;
}

void sendAtOnce(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

constexpr int kBacklog = 4096;
const Duration kAcceptAgain{0.01};      // after accepting failed; twice as long each time
const Duration kAcceptAgainMost{0.1};   // ... and never longer
constexpr int kMostFailedAccepts = 16;  // in a row, before others have their turn
const Duration kDialAgain{0.01};        // after this machine could not open a connection
const Duration kTransferAgain{0.01};    // after the kernel had no memory for bytes

// Errors of socket() and connect() that tell of this machine, not of the peer.
bool isLocalFault(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EAGAIN:  // no local port, or no entry in the routing cache
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case ENETUNREACH:
    case ENETDOWN:
    case EPERM:  // a local firewall
    case EACCES:
      return true;
    default:
      return false;
  }
}

bool lacksMemory(int error) { return error == ENOMEM || error == ENOBUFS; }

// A socket that is bound to the address, whose port is filled in; -1 where that cannot be.
int bound(sockaddr_in& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int reuse = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0)
    return fd;
  const int fault = errno;
  ::close(fd);
  errno = fault;
  return -1;
}

}  // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Endpoint endpoint{std::string(text.substr(0, colon)), 0};
  const char* const end = text.data() + text.size();
  const auto [stop, fault] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
  if (fault != std::errc() || stop != end || !socketAddress(endpoint)) return std::nullopt;
  return endpoint;
}

void Connection::adopt(int fd) {
  fd_ = fd;
  sendAtOnce(fd_);
  loop_.watch(fd_, this);
}

void Connection::connect(const Endpoint& to, Duration timeout) {
  remoteEndpoint_ = to;
  connecting_ = true;
  connectTimeoutTimer_ = loop_.runAfter(timeout, [this] {
    connectTimeoutTimer_ = 0;
    fail(connectFailedLocally_ ? "connect: not possible on this machine" : "connect: timed out");
  });
  startConnect();
}

void Connection::startConnect() {
  const auto address = socketAddress(remoteEndpoint_);
  if (!address) return fail("no address: " + remoteEndpoint_.text());
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return scheduleConnectRetry(errno);
  sendAtOnce(fd);
  const bool connected = ::connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) == 0;
  const int error = connected ? 0 : errno;
  // Interrupted by a signal it goes on, as every non-blocking connect does.
  if (error != 0 && error != EINPROGRESS && error != EINTR) {
    ::close(fd);
    return isLocalFault(error) ? scheduleConnectRetry(error)
                               : fail(std::string("connect: ") + std::strerror(error));
  }
  connectFailedLocally_ = false;
  fd_ = fd;
  loop_.watch(fd_, this);
}

// The peer has not been asked for anything yet: its connection may still be opened in time.
void Connection::scheduleConnectRetry(int error) {
  if (!isLocalFault(error)) return fail(std::string("socket: ") + std::strerror(error));
  connectFailedLocally_ = true;
  connectRetryTimer_ = loop_.runAfter(kDialAgain, [this] {
    connectRetryTimer_ = 0;
    startConnect();
  });
}

void Connection::finishConnect() {
  int fault = 0;
  socklen_t size = sizeof fault;
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &fault, &size);
  if (fault != 0) return fail(std::string("connect: ") + std::strerror(fault));
  connecting_ = false;
  loop_.cancelTimer(std::exchange(connectTimeoutTimer_, 0));
  owner_.onConnected();
}

void Connection::onReady(const Ready& ready) {
  if (connecting_) {
    if (!ready.writable) return;
    finishConnect();
  }
  if (ready.ended && isConnected()) owner_.onPeerEnded();
  if (ready.readable) readAvailable();
  if (ready.writable && isConnected() && !suspended_) {
    flush();
    if (wantsOutput()) owner_.onWritable();
  }
}

void Connection::readAvailable() {
  if (insideRead_) return;  // the owner asked for it while it is told of bytes
  insideRead_ = true;
  std::array<std::uint8_t, 16384> buffer;
  std::size_t budget = kReadBudget;
  while (isConnected() && ((!suspended_ && !readingPaused_) || readingForced_)) {
    if (budget == 0) {
      scheduleRead(Loop::kNextIteration);
      break;
    }
    const auto got = recv(fd_, buffer.data(), std::min(buffer.size(), budget), 0);
    if (got > 0) {
      budget -= static_cast<std::size_t>(got);
      owner_.onBytes({buffer.data(), static_cast<std::size_t>(got)});
    } else if (got == 0) {
      fail("closed by peer");
    } else if (errno != EINTR) {
      if (lacksMemory(errno)) {
        scheduleRead(kTransferAgain);
      } else if (errno != EAGAIN) {
        fail(std::string("read: ") + std::strerror(errno));
      }
      break;
    }
  }
  insideRead_ = false;
}

// A peer that sends faster than its bytes are handled must not keep the loop from the others. The edge has
// been used up, so that the rest is read by our own timer, in the next iteration.
void Connection::scheduleRead(Duration delay) {
  if (readTimer_ != 0) return;
  readTimer_ = loop_.runAfter(delay, [this] {
    readTimer_ = 0;
    readAvailable();
  });
}

void Connection::scheduleFlush() {
  if (writeTimer_ != 0) return;
  writeTimer_ = loop_.runAfter(kTransferAgain, [this] {
    writeTimer_ = 0;
    if (!isConnected() || suspended_) return;
    flush();
    if (wantsOutput()) owner_.onWritable();
  });
}

void Connection::append(std::string_view bytes) {
  if (isOpen()) output_.append(bytes);
}

void Connection::append(std::span<const std::uint8_t> bytes) {
  append(std::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

void Connection::flush() {
  if (!isConnected() || suspended_) return;
  while (fd_ >= 0 && pendingBytes() > 0) {
    const auto sent = send(fd_, output_.data() + outputOffset_, pendingBytes(), MSG_NOSIGNAL);
    if (sent >= 0) {
      outputOffset_ += static_cast<std::size_t>(sent);
    } else if (errno != EINTR) {
      if (lacksMemory(errno)) {
        scheduleFlush();
      } else if (errno != EAGAIN) {
        return fail(std::string("write: ") + std::strerror(errno));
      }
      break;
    }
  }
  if (pendingBytes() == 0) {
    output_.clear();
    outputOffset_ = 0;
  } else if (outputOffset_ > kWatermark) {
    output_.erase(0, outputOffset_);
    outputOffset_ = 0;
  }
}

void Connection::close() { closeSocket(); }

void Connection::abort() {
  if (fd_ >= 0) {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  closeSocket();
}

void Connection::readNow() {
  readingForced_ = true;
  readAvailable();
  readingForced_ = false;
}

void Connection::suspend(bool frozen) {
  suspended_ = frozen;
  if (suspended_ || !isConnected()) return;
  flush();
  readAvailable();
  if (wantsOutput()) owner_.onWritable();
}

void Connection::pauseReading(bool held) {
  readingPaused_ = held;
  if (!readingPaused_) readAvailable();
}

void Connection::shutdownWrite() {
  if (isConnected()) shutdown(fd_, SHUT_WR);
}

void Connection::fail(const std::string& reason) {
  closeSocket();
  owner_.onClosed(reason);
}

void Connection::closeSocket() {
  for (TimerId* const timer : {&connectTimeoutTimer_, &connectRetryTimer_, &readTimer_, &writeTimer_})
    loop_.cancelTimer(std::exchange(*timer, 0));
  connecting_ = false;
  if (fd_ < 0) return;
  loop_.unwatch(fd_);
  ::close(std::exchange(fd_, -1));
}

Listener::Listener(Loop& loop, const Endpoint& on, Accept accept)
    : loop_(loop), accept_(std::move(accept)), acceptRetryDelay_(kAcceptAgain) {
  auto address = socketAddress(on);
  // A port that the kernel chose is bound by its number as well: only then it stays ours while refusing.
  const int chooser = address && on.port == 0 ? bound(*address) : -1;
  fd_ = address ? bound(*address) : -1;
  const bool listens = fd_ >= 0 && listen(fd_, kBacklog) == 0;
  const int fault = address ? errno : EINVAL;
  if (chooser >= 0) ::close(chooser);
  if (!listens) {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    throw std::system_error(fault, std::generic_category(), "cannot listen on " + on.text());
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
      acceptRetryDelay_ = kAcceptAgain;
      accept_(fd);
      continue;
    }
    if (errno == EAGAIN) return true;
    if (errno == EINTR || errno == ECONNABORTED) continue;
    ++failedAccepts_;
    // An error of the connection that was next has taken it off the queue: the others are still there.
    // Without a descriptor or memory the kernel keeps them all.
    const bool ofConnection = !isLocalFault(errno);
    if (ofConnection && ++failures < kMostFailedAccepts) continue;
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
  acceptRetryDelay_ = std::min(kAcceptAgainMost, 2 * acceptRetryDelay_);
}

void Listener::rejectConnections(bool refused) {
  if (fd_ < 0 || rejecting_ == refused) return;
  rejecting_ = refused;
  // A listening socket that is shut down keeps its port and answers connects with a RST, until it listens
  // again.
  if (refused) {
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
