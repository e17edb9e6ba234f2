// An HTTP/2 connection, as client or server: nghttp2 on top of net::Connection. Flow control is per stream:
// bytes that the owner has not consumed reduce the window of their stream and do not delay other streams.
// Independent of gRPC.
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

/// The error codes of RFC 9113, section 7, that this project refers to by name.
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
  std::uint32_t streamWindow = 64 * 1024;        ///< Bytes that the peer may send on a stream unconsumed.
  std::uint32_t connectionWindow = 1024 * 1024;  ///< Bytes that the peer may send, in total, unread.
  std::uint32_t maxStreams = 1000;               ///< Streams that may be open at a time.
  std::size_t maxHeaderBytes = 16 * 1024;  ///< Size of one header block: names, values, 32 bytes per field.
};

/// Receives a session's events. In these functions the owner may call the session, but must not destroy it.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  /// Called on the client side when the connection is established.
  virtual void onSessionReady() {}
  /// Called for each header block: request, response or trailers. `overflow`: the block exceeded
  /// maxHeaderBytes and `headers` is incomplete.
  virtual void onHeaders(StreamId stream, Headers headers, bool overflow) = 0;
  virtual void onData(StreamId stream, std::span<const std::uint8_t> bytes) = 0;
  /// Called when the peer has ended its side of the stream.
  virtual void onRemoteEnd(StreamId stream) = 0;
  /// Called once for each stream. On the client side, kRefusedStream means that the peer has not processed
  /// it.
  virtual void onStreamClosed(StreamId stream, std::uint32_t code) = 0;
  /// Called when nghttp2 has taken all of the stream's pending output.
  virtual void onOutputTaken(StreamId) {}
  /// Called when the peer has sent GOAWAY: no new streams can be opened.
  virtual void onGoaway() {}
  /// Called when the peer has acknowledged a PING.
  virtual void onPong() {}
  /// Called when the peer sends HEADERS or DATA on a stream that was recently closed without an error.
  virtual void onStrayFrame(StreamId) {}
  /// Called when the session has ended, after onStreamClosed() with kInternalError for every open stream.
  /// `reason` is a short plain text for logs.
  virtual void onSessionClosed(const std::string& reason) = 0;
};

/// One HTTP/2 connection. Owns the socket and the streams' pending output. Use it on its
/// loop's thread only.
class Session final : private net::ConnectionOwner {
 public:
  enum class Side { kServer, kClient };
  Session(net::Loop& loop, Side side, SessionOwner& owner, const Limits& limits);
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  /// Takes ownership of an accepted socket.
  void adopt(int fd);
  /// Starts connecting. Calls onSessionReady(), or onSessionClosed() on failure and after `timeout` seconds.
  void connect(const net::Endpoint& to, Duration timeout);

  /// Client side: opens a stream with a complete request. Returns 0 if no stream can be opened.
  StreamId request(const Headers& headers, std::string_view body);
  /// Sends the headers of a response. To be followed by send() and finish().
  void respond(StreamId stream, const Headers& headers);
  /// Sends headers that end the stream.
  void respondHeadersOnly(StreamId stream, const Headers& headers);
  /// Sends `head` and then `bytes` as body. Returns the stream's pending bytes, or 0 if it accepts no output.
  std::size_t send(StreamId stream, std::string_view head, std::string_view bytes);
  /// Ends our side of the stream after its pending output, with `trailers` if there are any.
  void finish(StreamId stream, const Headers& trailers);
  /// Declares that the peer's remaining input on the stream is not needed: the stream is reset with kNoError
  /// once our side of it has ended.
  void discardRemainingInput(StreamId stream);
  /// Resets the stream at once: RST_STREAM is sent before any frame that is submitted after this call.
  void reset(StreamId stream, std::uint32_t code);
  /// Reports that the owner has consumed `bytes` of a stream; the peer may send as many more.
  void consumed(StreamId stream, std::size_t bytes);
  /// Bytes of the stream's body that nghttp2 has not taken yet.
  std::size_t pendingBytes(StreamId stream) const;

  void ping();
  /// Starts a graceful shutdown: no new streams; open streams may finish.
  void goaway();
  /// Closes at once without notifying the owner.
  void close();
  /// Closes at once with a TCP RST, without notifying the owner.
  void abort();
  /// Closes at once and notifies the owner.
  void fail(const std::string& reason);
  bool isOpen() const { return connection_.isOpen() && !closed_; }
  bool closedByPeer() const { return closedByPeer_; }  ///< The peer closed or reset the connection.
  bool canOpenStream() const;                          ///< Client side: another stream can be opened.
  Instant lastReceivedAt() const { return lastReceivedAt_; }
  net::Connection& connection() { return connection_; }

 private:
  struct Stream {
    Headers headers;  // of the header block that is being received
    std::size_t headerBytes = 0;
    bool headersOverflow = false;
    std::string output;
    std::size_t outputOffset = 0;  // bytes at the start of output that nghttp2 has taken
    bool outputEnded = false;      // nothing will be added to output
    bool outputDeferred = false;   // nghttp2 reads output again after resumeOutput()
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
  // Moves frames from nghttp2 to the connection while its pending output is below the watermark.
  void sendPendingFrames();
  // Calls sendPendingFrames() at the end of the loop's iteration, once for any number of calls.
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
  std::array<StreamId, 32> recentlyClosed_{};  // ring buffer of streams without an error; finds stray frames
  std::size_t recentlyClosedCount_ = 0;
  StreamId cachedStreamId_ = -1;  // of the last result of find(); -1 = none
  Stream* cachedStream_ = nullptr;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed; for deferred tasks
  bool insideNghttp2_ = false;  // in a call of nghttp2, which is not reentrant
  bool sendScheduled_ = false;
  bool draining_ = false;
  bool closed_ = false;
  bool closedByPeer_ = false;
  Instant lastReceivedAt_{};
};

}  // namespace gannetcourse::http2
