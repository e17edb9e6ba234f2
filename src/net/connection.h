// Non-blocking TCP connections with buffered output. Does not know which protocol they carry.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "net/endpoint.h"
#include "net/loop.h"

namespace gannetcourse::net {

/// Receives a connection's events. The owner may close the connection in these functions, but not destroy it;
/// it destroys it from a deferred task.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  virtual void onConnected() {}
  virtual void onBytes(std::span<const std::uint8_t> bytes) = 0;
  /// Pending output has fallen below the watermark.
  virtual void onWritable() = 0;
  /// The peer has shut down its direction; called before its last bytes are read, reading paused or not.
  virtual void onPeerEnded() {}
  /// Called once when the connection fails or the peer closes, but not after close() or abort(). `reason` is
  /// a short plain text for logs.
  virtual void onClosed(const std::string& reason) = 0;
};

/// One TCP connection, accepted or opened here. For its loop's thread only.
class Connection : private Watcher {
 public:
  /// Pending output from which the owner should wait for onWritable(), bytes.
  static constexpr std::size_t kOutputWatermark = 64 * 1024;
  /// Bytes read in one iteration of the loop, so that other connections are served too.
  static constexpr std::size_t kReadBudget = 256 * 1024;

  Connection(Loop& loop, ConnectionOwner& owner) : loop_(loop), owner_(owner) {}
  ~Connection() override { closeSocket(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Takes over an accepted socket.
  void adopt(int fd);
  /// Starts connecting; onConnected() or onClosed() follows, the latter also after `timeout`. Where this
  /// machine cannot open a connection for the moment (no descriptor, port, route or memory) it is retried
  /// until then.
  void connect(const Endpoint& to, Duration timeout);
  /// Whether connecting failed because of this machine: the peer has seen nothing of it.
  bool failedLocally() const { return connectFailedLocally_; }

  bool isOpen() const { return fd_ >= 0 || connecting_; }
  bool isConnected() const { return fd_ >= 0 && !connecting_; }
  bool wantsOutput() const { return isConnected() && pendingBytes() < kOutputWatermark; }
  /// Output that the kernel has not accepted yet.
  std::size_t pendingBytes() const { return output_.size() - outputOffset_; }
  /// Adds to the pending output.
  void append(std::string_view bytes);
  void append(std::span<const std::uint8_t> bytes);
  /// Sends as much of the pending output as the kernel accepts.
  void flush();

  /// Closes at once.
  void close();
  /// Closes at once, with a RST.
  void abort();
  /// Shuts down our direction; reading goes on. To be called when no output is pending.
  void shutdownWrite();

  /// Stops reading and writing, like a machine that fell silent: the kernel keeps what arrives.
  void suspend(bool suspended);
  bool isSuspended() const { return suspended_; }
  /// Leaves input in the kernel, so that the peer has to wait; writing goes on.
  void pauseReading(bool paused);
  bool isReadingPaused() const { return readingPaused_; }
  /// Reads what the kernel holds now, even if suspended or paused, and whether or not an event announced it.
  void readNow();

 private:
  void onReady(const Ready& ready) override;
  void startConnect();
  void scheduleConnectRetry(int error);
  void finishConnect();
  void readAvailable();
  bool canRead() const { return isConnected() && ((!suspended_ && !readingPaused_) || readingForced_); }
  void handleReadError(int error);
  void scheduleRead(Duration delay);
  void scheduleFlush();
  void discardSentOutput();
  void fail(const std::string& reason);
  void closeSocket();

  Loop& loop_;
  ConnectionOwner& owner_;
  int fd_ = -1;
  bool connecting_ = false;
  bool suspended_ = false;
  bool readingPaused_ = false;
  bool insideRead_ = false;     // in readAvailable(), which must not be entered again
  bool readingForced_ = false;  // in readNow()
  bool connectFailedLocally_ = false;
  Endpoint remoteEndpoint_;  // while connecting
  TimerId connectTimeoutTimer_ = 0;
  TimerId connectRetryTimer_ = 0;
  TimerId readTimer_ = 0;
  TimerId writeTimer_ = 0;
  std::string output_;
  std::size_t outputOffset_ = 0;  // bytes at the start of output_ that have been sent
};

}  // namespace gannetcourse::net
