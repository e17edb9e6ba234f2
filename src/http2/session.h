// One HTTP/2 connection of either side: nghttp2 on a net::Connection. Flow control is passed on: what a
// stream's owner has not consumed closes that stream's window and costs other streams nothing. Does not know
// gRPC.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "http2/headers.h"
#include "net/connection.h"

struct nghttp2_session;

namespace gannetcourse::http2 {

using StreamId = std::int32_t;

/// Error codes of RFC 9113, section 7, that are used by name.
enum ErrorCode : std::uint32_t {
  kNoError = 0x0,
  kInternalError = 0x2,
  kRefusedStream = 0x7,
  kCancel = 0x8,
  kEnhanceYourCalm = 0xb,
  kInadequateSecurity = 0xc,
};

/// Limits of one connection.
struct Limits {
  std::uint32_t streamWindow = 64 * 1024;        ///< Bytes that a peer may send on a stream unconsumed.
  std::uint32_t connectionWindow = 1024 * 1024;  ///< ... and on all streams ahead of this loop.
  std::uint32_t maxStreams = 1000;               ///< That the peer may have open.
  std::size_t maxHeaderBytes = 16 * 1024;        ///< Of one header block, names and values.
};

/// Receives a session's events. The owner may call the session in these functions, but not destroy it.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  /// A client's connection is established.
  virtual void onSessionReady() {}
  /// A header block: request, response or trailers. `overflow`: it exceeded the limit and was cut.
  virtual void onHeaders(StreamId stream, Headers headers, bool overflow) = 0;
  virtual void onData(StreamId stream, std::span<const std::uint8_t> bytes) = 0;
  /// The peer has ended its direction of the stream.
  virtual void onRemoteEnd(StreamId stream) = 0;
  /// Called once for each stream. On a client, kRefusedStream says that the peer has not processed it.
  virtual void onStreamClosed(StreamId stream, std::uint32_t code) = 0;
  /// The stream's pending output has been sent.
  virtual void onDrained(StreamId) {}
  /// The peer has sent GOAWAY: no new streams can be opened.
  virtual void onGoaway() {}
  /// The peer has acknowledged a PING.
  virtual void onPong() {}
  /// The peer sent a frame for a stream that had ended without an error.
  virtual void onStrayFrame(StreamId) {}
  /// The session has ended; onStreamClosed() was called for every open stream before, with kInternalError.
  /// `reason` is a short plain text for logs.
  virtual void onSessionClosed(const std::string& reason) = 0;
};

/// One HTTP/2 connection. For its loop's thread only.
class Session final : private net::ConnectionOwner {
 public:
  enum class Side { kServer, kClient };
  Session(net::Loop& loop, Side side, SessionOwner& owner, const Limits& limits);
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Takes over an accepted socket.
  void adopt(int fd);
  /// Connects; onSessionReady() or onSessionClosed() follows, the latter also after `timeout`.
  void connect(const net::Endpoint& to, Duration timeout);

  /// Opens a client's stream with a complete request; 0 where no stream can be opened.
  StreamId request(const Headers& headers, std::string_view body);
  /// Sends a response's headers; send() and finish() follow.
  void respond(StreamId stream, const Headers& headers);
  /// Sends headers that end the stream.
  void respondHeadersOnly(StreamId stream, const Headers& headers);
  /// Sends `head` and then `bytes` as body. Returns the stream's pending bytes, 0 where it accepts none.
  std::size_t send(StreamId stream, std::string_view head, std::string_view bytes);
  /// Ends the stream after its pending output.
  void finish(StreamId stream, const Headers& trailers);
  /// The peer's further input on the stream is not wanted: once our direction has ended the stream is reset,
  /// without an error.
  void discardRemainingInput(StreamId stream);
  /// Resets the stream at once: the frame precedes everything that is submitted after this call.
  void reset(StreamId stream, std::uint32_t code);
  /// The owner has consumed `bytes` of a stream: the peer may send as many more.
  void consumed(StreamId stream, std::size_t bytes);
  /// Bytes of the stream's body that are not in the connection's output yet.
  std::size_t pendingBytes(StreamId stream) const;

  void ping();
  /// Graceful shutdown: open streams end first.
  void goaway();
  /// Closes at once without notifying the owner.
  void close();
  /// The same with a RST.
  void abort();
  /// Closes at once and notifies the owner.
  void fail(const std::string& reason);
  bool isOpen() const { return connection_.isOpen() && !closed_; }
  bool closedByPeer() const { return closedByPeer_; }  ///< The peer closed or reset the connection.
  bool canOpenStream() const;                          ///< A client may open one more stream.
  Instant lastReceivedAt() const { return lastReceivedAt_; }
  net::Connection& connection() { return connection_; }

 private:
  struct Stream {
    Headers headers;  // of the block that is being received
    std::size_t headerBytes = 0;
    bool headersOverflow = false;
    std::string output;
    std::size_t outputOffset = 0;  // bytes at the start of output that nghttp2 has taken
    bool outputEnded = false;      // nothing is added to output any more
    bool outputDeferred = false;   // nghttp2 waits for resumeOutput()
    bool discardInput = false;
    Headers trailers;
  };
  struct Callbacks;  // session_callbacks.h
  friend struct Callbacks;

  // ---- net::ConnectionOwner ----
  void onConnected() override;
  void onBytes(std::span<const std::uint8_t> bytes) override;
  void onWritable() override { sendPendingFrames(); }
  void onClosed(const std::string& reason) override;

  Stream* find(StreamId id);
  Stream* findAcceptingOutput(StreamId id);
  void startSession();
  void submitSettings();
  // Moves frames from nghttp2 to the connection while that wants output.
  void sendPendingFrames();
  // The same, once at the end of the loop's iteration.
  void scheduleSend();
  void submitResponse(StreamId id, const Headers& headers);
  void resumeOutput(StreamId id, Stream& stream);
  void closeIfFinished();
  void closeAllStreams(const std::string& reason);

  net::Loop& loop_;
  Side side_;
  SessionOwner& owner_;
  Limits limits_;
  net::Connection connection_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<StreamId, Stream> streams_;
  std::array<StreamId, 32> recentlyClosed_{};  // ring of streams without an error, to notice stray frames
  std::size_t recentlyClosedCount_ = 0;
  StreamId cachedStreamId_ = -1;  // of the stream that was found last; -1 = none
  Stream* cachedStream_ = nullptr;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed; for deferred tasks
  bool insideNghttp2_ = false;  // in a call of nghttp2, which must not be entered again
  bool sendScheduled_ = false;
  bool draining_ = false;
  bool closed_ = false;
  bool closedByPeer_ = false;
  Instant lastReceivedAt_{};
};

}  // namespace gannetcourse::http2
