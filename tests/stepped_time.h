// Test fixture for a platform node on loopback sockets with simulated time: the clock advances only when a
// test advances it. Timeouts of seconds take milliseconds, and results do not depend on the load of the
// machine.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "platform_fixture.h"

namespace gannetcourse::test {

// A socket that no event loop handles: each operation takes effect when the test calls it.
class RawSocket {
 public:
  RawSocket() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}
  explicit RawSocket(int accepted) : fd_(accepted) {}
  ~RawSocket() { close(); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  // Must be called before connect().
  void shrinkReceiveBuffer() {
    const int bytes = 4096;
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }
  bool connect(std::uint16_t port) {
    const sockaddr_in to = loopback(port);
    return ::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
  }
  // Sends as many bytes as the kernel accepts without blocking; returns their number.
  std::size_t send(std::string_view bytes) {
    const auto sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  // Returns the bytes received so far, without blocking.
  std::string receive() {
    std::string all;
    char buffer[16384];
    for (;;) {
      const auto got = recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
      if (got <= 0) {
        ended_ = ended_ || got == 0 || (errno != EAGAIN && errno != EINTR);
        return all;
      }
      all.append(buffer, static_cast<std::size_t>(got));
    }
  }
  bool ended() const { return ended_; }
  // Closes the connection with a TCP reset.
  void reset() {
    const linger immediately{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    close();
  }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  int fd() const { return fd_; }

  static sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

 private:
  int fd_;
  bool ended_ = false;
};

// Listens on loopback at a port that the kernel assigns; returns the port.
inline std::uint16_t listenOnLoopback(const RawSocket& socket, int backlog) {
  sockaddr_in address = RawSocket::loopback(0);
  socklen_t size = sizeof address;
  EXPECT_EQ(::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&address), size), 0);
  EXPECT_EQ(::listen(socket.fd(), backlog), 0);
  getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Shrinks the kernel's send buffer of the other end of a connection, which is in this process too, so that
// unsent bytes stay in that end's own output buffer.
inline void shrinkSendBufferOfPeer(const RawSocket& socket) {
  sockaddr_in mine{};
  socklen_t size = sizeof mine;
  getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&mine), &size);
  constexpr int kMostDescriptors = 1024, kBytes = 4096;
  for (int fd = 0; fd < kMostDescriptors; ++fd) {
    sockaddr_in peer{};
    size = sizeof peer;
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) continue;
    if (peer.sin_port == mine.sin_port) setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kBytes, sizeof kBytes);
  }
}

// A port at which connection attempts are never completed: its accept queue is full, so the kernel does not
// answer further attempts.
class UnresponsivePort {
 public:
  UnresponsivePort() {
    port_ = listenOnLoopback(listener_, 0);
    filler_.connect(port_);
  }
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  RawSocket listener_, filler_;
  std::uint16_t port_ = 0;
};

// Sends a byte over loopback and waits for it. When it arrives, all bytes sent earlier have been delivered.
class DeliveryBarrier {
 public:
  DeliveryBarrier() {
    RawSocket listener;
    near_.connect(listenOnLoopback(listener, 1));
    far_ = std::make_unique<RawSocket>(::accept(listener.fd(), nullptr, nullptr));
  }
  void pass() {
    char byte = 'b';
    while (near_.send({&byte, 1}) == 0) {
    }
    while (::recv(far_->fd(), &byte, 1, 0) != 1) {
    }
  }

 private:
  RawSocket near_;
  std::unique_ptr<RawSocket> far_;
};

class SteppedTest : public PlatformTest {
 protected:
  SteppedTest() : SteppedTest(std::make_shared<Instant>(Instant(Duration(1000)))) {}

  Instant now() const { return *time_; }
  // Runs the loop until nothing more happens at the current simulated time.
  void runUntilIdle() {
    for (int idleRounds = 0; idleRounds < 2;) {
      const bool busy = loop.runOnce(Duration(0));
      barrier_.pass();
      idleRounds = busy ? 0 : idleRounds + 1;
    }
  }
  void advance(double seconds) {
    const Instant end = now() + Duration(seconds);
    while (now() < end) {
      *time_ = std::min(end, now() + kTick);
      runUntilIdle();
    }
  }
  // Waits until the kernel has delivered all bytes sent so far, without running the loop.
  void deliverSentBytes() { barrier_.pass(); }
  // Advances the clock without running the loop, as if the process had been paused within an iteration.
  void stall(double seconds) { *time_ = now() + Duration(seconds); }
  // Advances the clock in steps of `kTick` until `done` holds; returns false if it does not hold in time.
  bool becomesTrueWithin(double seconds, const std::function<bool()>& done) {
    const Instant end = now() + Duration(seconds);
    runUntilIdle();
    while (!done() && now() < end) {
      *time_ = now() + kTick;
      runUntilIdle();
    }
    return done();
  }

  static constexpr Duration kTick{0.005};

  std::size_t attemptCount(const ScriptedServer& engine) const {
    return engine.count("POST", "/v1/chat/completions?x=1");
  }
  std::size_t releaseCount(const std::string& id) const {
    return prefillEngine.count("DELETE", "/kv/leases/" + id) +
           decodeEngine.count("DELETE", "/kv/leases/" + id);
  }
  // Answers releases only; every other request stays unanswered.
  static void leaveUnanswered(Peer& peer, const http1::Request& request) { answerRelease(peer, request); }
  // The newest open connection to discovery; null if there is none.
  std::shared_ptr<Peer> openWatch() const {
    std::shared_ptr<Peer> open;
    for (const auto& peer : discovery.peers) {
      if (!peer->closed) open = peer;
    }
    return open;
  }
  void announceEngineStates(std::uint64_t index, const std::string& prefillStatus,
                            const std::string& decodeStatus) {
    openWatch()->send(
        chunkOf(engineListJson(index, false,
                               {engineJson("r1", "prefill", prefillEngine.address(), prefillStatus),
                                engineJson("w1", "decode", decodeEngine.address(), decodeStatus)})
                    .dump() +
                "\n"));
    runUntilIdle();
  }

 private:
  explicit SteppedTest(const std::shared_ptr<Instant>& time)
      : PlatformTest([time] { return *time; }), time_(time) {}
  std::shared_ptr<Instant> time_;
  DeliveryBarrier barrier_;
};

}  // namespace gannetcourse::test
