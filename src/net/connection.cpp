#include "net/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

#include "net/socket_errors.h"

namespace gannetcourse::net {
namespace {

const Duration kConnectRetryDelay{0.01};   // after a connection could not be opened locally
const Duration kTransferRetryDelay{0.01};  // after the kernel lacked memory to send or receive
constexpr std::size_t kReadBufferBytes = 16384;

// Sends small writes at once, without the delay of Nagle's algorithm.
void disableNagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

// ---- Opening ----
void Connection::adopt(int fd) {
  fd_ = fd;
  disableNagle(fd_);
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
  disableNagle(fd);
  const bool connected = ::connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) == 0;
  const int error = connected ? 0 : errno;
  // After EINTR, as after EINPROGRESS, the kernel continues to establish the connection.
  if (error != 0 && error != EINPROGRESS && error != EINTR) {
    ::close(fd);
    if (isLocalFault(error)) return scheduleConnectRetry(error);
    return fail(std::string("connect: ") + std::strerror(error));
  }
  connectFailedLocally_ = false;
  fd_ = fd;
  loop_.watch(fd_, this);
}

// Retries a local failure until connect() times out. Nothing has been sent to the peer yet.
void Connection::scheduleConnectRetry(int error) {
  if (!isLocalFault(error)) return fail(std::string("socket: ") + std::strerror(error));
  connectFailedLocally_ = true;
  connectRetryTimer_ = loop_.runAfter(kConnectRetryDelay, [this] {
    connectRetryTimer_ = 0;
    startConnect();
  });
}

void Connection::finishConnect() {
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) return fail(std::string("connect: ") + std::strerror(error));
  connecting_ = false;
  loop_.cancelTimer(std::exchange(connectTimeoutTimer_, 0));
  owner_.onConnected();
}

void Connection::onReady(const Ready& ready) {
  if (connecting_) {
    if (!ready.writable) return;
    finishConnect();
  }
  if (ready.peerShutdown && isConnected()) owner_.onPeerShutdown();
  if (ready.readable) readAvailable();
  if (ready.writable && isConnected() && !suspended_) {
    flush();
    if (canAcceptOutput()) owner_.onWritable();
  }
}

// ---- Reading ----
// Returns whether the owner has received anything.
bool Connection::readAvailable() {
  if (insideRead_) return false;  // the owner called it from onBytes()
  insideRead_ = true;
  bool hasReceived = false;
  std::array<std::uint8_t, kReadBufferBytes> buffer;
  std::size_t budget = kReadBudget;
  while (canRead()) {
    if (budget == 0) {
      scheduleRead(Loop::kNextIteration);
      break;
    }
    const std::size_t most = std::min({buffer.size(), budget, owner_.inputAllowance()});
    const auto received = recv(fd_, buffer.data(), most, 0);
    if (received > 0) {
      budget -= static_cast<std::size_t>(received);
      hasReceived = true;
      owner_.onBytes({buffer.data(), static_cast<std::size_t>(received)});
    } else if (received == 0) {
      fail("closed by peer");
    } else if (errno != EINTR) {
      handleReadError(errno);
      break;
    }
  }
  insideRead_ = false;
  return hasReceived;
}

void Connection::handleReadError(int error) {
  if (isMemoryShortage(error)) return scheduleRead(kTransferRetryDelay);
  if (error != EAGAIN) fail(std::string("read: ") + std::strerror(error));
}

// Continues reading once `delay` has passed. Used when the read budget is exhausted (a fast peer must not
// starve other connections) and when memory is short. A timer is needed because edge-triggered epoll does not
// report the remaining input again.
void Connection::scheduleRead(Duration delay) {
  if (readTimer_ != 0) return;
  readTimer_ = loop_.runAfter(delay, [this] {
    readTimer_ = 0;
    readAvailable();
  });
}

void Connection::readNow() {
  const bool wasPaused = std::exchange(readingPaused_, false);
  readingForced_ = true;
  const bool hasReceived = readAvailable();
  readingForced_ = false;
  if (!hasReceived) readingPaused_ = wasPaused;  // else the owner has decided anew
}

void Connection::pauseReading(bool paused) {
  readingPaused_ = paused;
  if (!readingPaused_) readAvailable();
}

// ---- Writing ----
void Connection::chargeOutput(MemoryCharge charge) {
  outputCharge_ = std::move(charge);
  outputCharge_.set(outputMemory());
}

void Connection::append(std::string_view bytes) {
  if (!isOpen()) return;
  copySharedOutput();
  output_.append(bytes);
  outputCharge_.set(outputMemory());
}

void Connection::appendShared(std::shared_ptr<const std::string> bytes) {
  if (!isOpen()) return;
  copySharedOutput();
  sharedOutput_ = std::move(bytes);
}

// Makes room for further output, which has to follow the shared one.
void Connection::copySharedOutput() {
  if (sharedOutput_ == nullptr) return;
  output_.append(*sharedOutput_, sharedOffset_);
  sharedOutput_.reset();
  sharedOffset_ = 0;
}

std::string_view Connection::nextOutput() const {
  if (outputOffset_ < output_.size()) return std::string_view(output_).substr(outputOffset_);
  return std::string_view(*sharedOutput_).substr(sharedOffset_);
}

void Connection::markSent(std::size_t bytes) {
  (outputOffset_ < output_.size() ? outputOffset_ : sharedOffset_) += bytes;
  sentBytes_ += bytes;
}

void Connection::append(std::span<const std::uint8_t> bytes) {
  append(std::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

void Connection::flush() {
  if (!isConnected() || suspended_) return;
  while (fd_ >= 0 && pendingBytes() > 0) {
    const std::string_view next = nextOutput();
    const int more = next.size() < pendingBytes() ? MSG_MORE : 0;
    const auto sent = send(fd_, next.data(), next.size(), MSG_NOSIGNAL | more);
    if (sent >= 0) {
      markSent(static_cast<std::size_t>(sent));
      continue;
    }
    if (errno == EINTR) continue;
    if (!isMemoryShortage(errno) && errno != EAGAIN)
      return fail(std::string("write: ") + std::strerror(errno));
    if (isMemoryShortage(errno)) scheduleFlush();
    break;
  }
  discardSentOutput();
}

void Connection::discardSentOutput() {
  if (sharedOutput_ != nullptr && pendingSharedBytes() == 0) {
    sharedOutput_.reset();
    sharedOffset_ = 0;
  }
  // Moving the rest to the start costs no more than what has been sent since the last time.
  const std::size_t unsent = output_.size() - outputOffset_;
  if (outputOffset_ == 0 || outputOffset_ < unsent) return;
  output_.erase(0, outputOffset_);
  outputOffset_ = 0;
  releaseUnusedBytes(output_);
  outputCharge_.set(outputMemory());
}

void Connection::scheduleFlush() {
  if (writeTimer_ != 0) return;
  writeTimer_ = loop_.runAfter(kTransferRetryDelay, [this] {
    writeTimer_ = 0;
    if (!isConnected() || suspended_) return;
    flush();
    if (canAcceptOutput()) owner_.onWritable();
  });
}

void Connection::suspend(bool suspended) {
  suspended_ = suspended;
  if (suspended_ || !isConnected()) return;
  flush();
  readAvailable();
  if (canAcceptOutput()) owner_.onWritable();
}

// ---- Closing ----
void Connection::close() { closeSocket(); }

void Connection::abort() {
  if (fd_ >= 0) {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  closeSocket();
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

}  // namespace gannetcourse::net
