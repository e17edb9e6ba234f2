// A listening TCP socket that accepts connections.
#pragma once

#include <cstdint>
#include <functional>

#include "net/endpoint.h"
#include "net/loop.h"

namespace gannetcourse::net {

/// Accepts connections on an endpoint of this machine; with port 0 the kernel chooses the port. Owns the
/// listening socket. Use it on its loop's thread only.
class Listener : private Watcher {
 public:
  /// Takes ownership of an accepted, non-blocking socket.
  using AcceptHandler = std::function<void(int fd)>;
  /// Starts listening. Throws std::system_error if the address cannot be bound.
  Listener(Loop& loop, const Endpoint& on, AcceptHandler acceptHandler);
  ~Listener() override { close(); }
  std::uint16_t port() const { return port_; }
  /// While `paused`, leaves new connections in the kernel's queue.
  void pause(bool paused);
  /// While `rejecting`, connects are refused as if no process listened, but the port stays reserved.
  void rejectConnections(bool rejecting);
  /// Accepts the connections in the kernel's queue. False if accepting failed, so that some may remain there.
  bool acceptPending() { return acceptUntilEmpty(); }
  void close();
  /// Number of accept() calls that failed, not counting EAGAIN, EINTR and ECONNABORTED.
  std::uint64_t failedAccepts() const { return failedAccepts_; }

 private:
  void onReady(const Ready& ready) override;
  bool acceptUntilEmpty();
  void scheduleAcceptRetry();

  Loop& loop_;
  AcceptHandler acceptHandler_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  bool paused_ = false;
  bool rejecting_ = false;
  TimerId retryTimer_ = 0;
  Duration acceptRetryDelay_;
  std::uint64_t failedAccepts_ = 0;
};

}  // namespace gannetcourse::net
