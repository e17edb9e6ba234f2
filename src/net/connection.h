// Non-blocking TCP connections with bounded output, listeners and connecting. Knows nothing of HTTP.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace gannetcourse::net {

// An IPv4 address and port: "127.0.0.1:8080".
struct Endpoint {
  std::string host = "127.0.0.1";  // dotted quad; names are not resolved
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
  std::string text() const { return host + ":" + std::to_string(port); }
};
// Nothing where the text is no "a.b.c.d:port".
std::optional<Endpoint> parseEndpoint(std::string_view text);

// What a connection tells its owner. The owner may close the connection, but not destroy it, in these calls;
// it destroys it from a deferred task.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  virtual void onConnected() {}
  virtual void onBytes(std::span<const std::uint8_t> bytes) = 0;
  virtual void onWritable() = 0;  // output fell below the watermark
  // The peer has ended its sending, told before what it sent last is read, held or not.
  virtual void onPeerEnded() {}
  // Told once, whoever closed; not after close() or abort(). `reason` is a short plain text.
  virtual void onClosed(const std::string& reason) = 0;
};

class Connection : private Watcher {
 public:
  static constexpr std::size_t kWatermark = 64 * 1024;  // bytes of output from which the owner should wait
  static constexpr std::size_t kReadBudget =
      256 * 1024;  // bytes read in one iteration of the loop, then others

  Connection(Loop& loop, ConnectionOwner& owner) : loop_(loop), owner_(owner) {}
  ~Connection() override { closeSocket(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Takes over an accepted socket.
  void adopt(int fd);
  // Starts connecting; onConnected() or onClosed() follows, the latter also after `timeout`. Where this
  // machine cannot open a connection just now (no descriptor, port, route or memory) it is tried again until
  // then.
  void connect(const Endpoint& to, Duration timeout);
  // Whether connecting ended for a want of this machine's own: the peer was never asked.
  bool failedLocally() const { return connectFailedLocally_; }

  bool isOpen() const { return fd_ >= 0 || connecting_; }
  bool isConnected() const { return fd_ >= 0 && !connecting_; }
  bool wantsOutput() const { return isConnected() && pendingBytes() < kWatermark; }
  std::size_t pendingBytes() const { return output_.size() - outputOffset_; }
  void append(std::string_view bytes);               // to what is pending
  void append(std::span<const std::uint8_t> bytes);  // the same
  void flush();                                      // sends as much of it as the kernel takes

  void close();          // at once
  void abort();          // at once, with a RST
  void shutdownWrite();  // ends our sending; reading goes on. To be called once nothing is pending

  // Stops reading and writing, as a machine that went silent: nothing is lost, the kernel keeps what comes.
  void suspend(bool frozen);
  bool isSuspended() const { return suspended_; }
  // Leaves what comes in the kernel, so that the peer must wait; writing goes on.
  void pauseReading(bool held);
  bool isReadingPaused() const { return readingPaused_; }
  // Reads what the kernel holds now, frozen or not, whether or not an event has told of it.
  void readNow();

 private:
  void onReady(const Ready& ready) override;
  void startConnect();
  void scheduleConnectRetry(int error);
  void finishConnect();
  void readAvailable();
  void scheduleRead(Duration delay);
  void scheduleFlush();
  void fail(const std::string& reason);
  void closeSocket();

  Loop& loop_;
  ConnectionOwner& owner_;
  int fd_ = -1;
  bool connecting_ = false, suspended_ = false, readingPaused_ = false, insideRead_ = false,
       readingForced_ = false;
  bool connectFailedLocally_ = false;  // the last try to connect failed here
  Endpoint remoteEndpoint_;            // while it connects
  TimerId connectTimeoutTimer_ = 0, connectRetryTimer_ = 0, readTimer_ = 0, writeTimer_ = 0;
  std::string output_;
  std::size_t outputOffset_ = 0;
};

// Accepts connections on a port of this machine; port 0 lets the kernel choose.
class Listener : private Watcher {
 public:
  using Accept = std::function<void(int fd)>;
  // Throws std::system_error where the port cannot be had.
  Listener(Loop& loop, const Endpoint& on, Accept accept);
  ~Listener() override { close(); }
  std::uint16_t port() const { return port_; }
  void pause(bool paused);  // leaves new connections in the kernel's queue
  void rejectConnections(
      bool refused);  // as a machine without the process: the port stays ours, connects are refused
  // Takes what stands in the kernel's queue now. False where accepting failed, so that some may still be
  // there.
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
  bool paused_ = false, rejecting_ = false;
  TimerId retryTimer_ = 0;
  Duration acceptRetryDelay_;  // before accepting is tried again
  std::uint64_t failedAccepts_ = 0;
};

}  // namespace gannetcourse::net
