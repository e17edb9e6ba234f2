// Non-blocking TCP connections with buffered output, independent of the protocol on them.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "net/endpoint.h"
#include "net/loop.h"
#include "net/memory_budget.h"

namespace gannetcourse::net {

/// Receives a connection's events. In these functions the owner may close the connection, but must not
/// destroy it. It may destroy the connection in a deferred task; see Loop::defer().
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  virtual void onConnected() {}
  virtual void onBytes(std::span<const std::uint8_t> bytes) = 0;
  /// How many bytes the owner takes in the next onBytes(), at least 1.
  virtual std::size_t inputAllowance() { return SIZE_MAX; }
  /// Called when pending output is below kOutputWatermark and more can be appended.
  virtual void onWritable() = 0;
  /// Called when the peer has shut down its write side or the connection was lost. Its last bytes have not
  /// been read yet. Called even while reading is paused.
  virtual void onPeerShutdown() {}
  /// Called once when the connection fails or the peer closes, but not after close() or abort(). `reason` is
  /// a short plain text for logs.
  virtual void onClosed(const std::string& reason) = 0;
};

/// One TCP connection, either accepted or opened by connect(). Owns its socket. Use it on its loop's thread
/// only.
class Connection : private Watcher {
 public:
  /// Pending output, in bytes, at which the owner should wait for onWritable() before it appends more.
  static constexpr std::size_t kOutputWatermark = 64 * 1024;
  /// Maximum number of bytes read in one iteration of the loop, so that other connections are not starved.
  static constexpr std::size_t kReadBudget = 256 * 1024;

  Connection(Loop& loop, ConnectionOwner& owner) : loop_(loop), owner_(owner) {}
  ~Connection() override { closeSocket(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Takes ownership of an accepted socket.
  void adopt(int fd);
  /// Starts connecting. The owner's onConnected() or onClosed() is called later, or onClosed() at once if
  /// connecting fails at once. The limit is `timeout` seconds. Until then, connecting is retried while this
  /// machine cannot open a connection (no descriptor, port, route or memory).
  void connect(const Endpoint& to, Duration timeout);
  /// Whether connecting failed because of this machine, before anything was sent to the peer.
  bool failedLocally() const { return connectFailedLocally_; }

  bool isOpen() const { return fd_ >= 0 || connecting_; }
  bool isConnected() const { return fd_ >= 0 && !connecting_; }
  bool canAcceptOutput() const { return isConnected() && pendingBytes() < kOutputWatermark; }
  /// Bytes of output that the kernel has not accepted yet.
  std::size_t pendingBytes() const { return output_.size() - outputOffset_ + pendingSharedBytes(); }
  /// Bytes of output that the kernel has accepted since the connection was opened.
  std::uint64_t sentBytes() const { return sentBytes_; }
  /// Charges the pending output to `charge` from now on.
  void chargeOutput(MemoryCharge charge);
  /// The memory that the pending output holds.
  std::size_t outputMemory() const { return heapBytesOf(output_); }
  /// Adds to the pending output without sending it.
  void append(std::string_view bytes);
  void append(std::span<const std::uint8_t> bytes);
  /// Adds to the pending output without a copy. `bytes` must not change.
  void appendShared(std::shared_ptr<const std::string> bytes);
  /// Sends as much of the pending output as the kernel accepts.
  void flush();

  /// Closes at once.
  void close();
  /// Closes at once, with a RST.
  void abort();
  /// Shuts down our write side; reading continues. Must be called only when no output is pending.
  void shutdownWrite();

  /// While `suspended`, neither reads nor writes, as if this process did not respond; the kernel buffers
  /// input.
  void suspend(bool suspended);
  bool isSuspended() const { return suspended_; }
  /// While `paused`, does not read, so that TCP flow control stops the peer; writing continues.
  void pauseReading(bool paused);
  bool isReadingPaused() const { return readingPaused_; }
  /// Reads the available input now, without waiting for an epoll event, even while suspended or paused. Stops
  /// if the owner pauses reading in onBytes().
  void readNow();

 private:
  void onReady(const Ready& ready) override;
  void startConnect();
  void scheduleConnectRetry(int error);
  void finishConnect();
  bool readAvailable();
  bool canRead() const { return isConnected() && !readingPaused_ && (!suspended_ || readingForced_); }
  void handleReadError(int error);
  void scheduleRead(Duration delay);
  void scheduleFlush();
  std::size_t pendingSharedBytes() const {
    return sharedOutput_ == nullptr ? 0 : sharedOutput_->size() - sharedOffset_;
  }
  std::string_view nextOutput() const;
  void markSent(std::size_t bytes);
  void copySharedOutput();
  void discardSentOutput();
  void fail(const std::string& reason);
  void closeSocket();

  Loop& loop_;
  ConnectionOwner& owner_;
  int fd_ = -1;
  bool connecting_ = false;
  bool suspended_ = false;
  bool readingPaused_ = false;
  bool insideRead_ = false;     // in readAvailable(), which is not reentrant
  bool readingForced_ = false;  // in readNow()
  bool connectFailedLocally_ = false;
  Endpoint remoteEndpoint_;  // while connecting
  TimerId connectTimeoutTimer_ = 0;
  TimerId connectRetryTimer_ = 0;
  TimerId readTimer_ = 0;
  TimerId writeTimer_ = 0;
  std::string output_;
  MemoryCharge outputCharge_;
  std::size_t outputOffset_ = 0;                     // bytes at the start of output_ that have been sent
  std::shared_ptr<const std::string> sharedOutput_;  // follows output_; may be null
  std::size_t sharedOffset_ = 0;  // bytes at the start of sharedOutput_ that have been sent
  std::uint64_t sentBytes_ = 0;
};

}  // namespace gannetcourse::net
