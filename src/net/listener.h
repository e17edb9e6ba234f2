// Accepts TCP connections.
#pragma once

#include <cstdint>
#include <functional>

#include "net/endpoint.h"
#include "net/loop.h"

namespace gannetcourse::net {

/// Accepts connections on a port of this machine; port 0 lets the kernel choose. For its loop's thread only.
class Listener : private Watcher {
 public:
  /// Receives an accepted, non-blocking socket, which it owns from then on.
  using Accept = std::function<void(int fd)>;
  /// Listens at once. Throws std::system_error where the address cannot be bound.
  Listener(Loop& loop, const Endpoint& on, Accept accept);
  ~Listener() override { close(); }
  std::uint16_t port() const { return port_; }
  /// Leaves new connections in the kernel's queue.
  void pause(bool paused);
  /// Behaves like a machine on which the process does not run: connects are refused, but the port stays ours.
  void rejectConnections(bool rejecting);
  /// Accepts what stands in the kernel's queue now. False where accepting failed, so that some may remain.
  bool acceptPending() { return acceptUntilEmpty(); }
  void close();
  std::uint64_t failedAccepts() const { return failedAccepts_; }

 private:
  void onReady(const Ready& ready) override;
  bool acceptUntilEmpty();
  void scheduleAcceptRetry();

  Loop& loop_;
  Accept accept_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  bool paused_ = false;
  bool rejecting_ = false;
  TimerId retryTimer_ = 0;
  Duration acceptRetryDelay_;
  std::uint64_t failedAccepts_ = 0;
};

}  // namespace gannetcourse::net
