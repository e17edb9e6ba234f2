// One HTTP/2 connection of either side, by nghttp2, on a net::Connection. Flow control is passed on: what a
// stream's owner has not taken keeps that stream's window shut and costs other streams nothing. Knows no
// gRPC.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/connection.h"

struct nghttp2_session;
struct nghttp2_session_callbacks;

namespace gannetcourse::http2 {

using StreamId = std::int32_t;

struct Header {
  std::string name, value;
};
using Headers = std::vector<Header>;
// The first value under `name`, or nullptr.
const std::string* find(const Headers& headers, std::string_view name);

// Error codes of RFC 9113, section 7, as far as they are used by name.
enum ErrorCode : std::uint32_t {
  kNoError = 0x0,
  kInternalError = 0x2,
  kRefusedStream = 0x7,
  kCancel = 0x8,
  kEnhanceYourCalm = 0xb,
};

struct Limits {
  std::uint32_t streamWindow = 64 * 1024;        // bytes that a peer may send on a stream ahead of its owner
  std::uint32_t connectionWindow = 1024 * 1024;  // ... and on all of them ahead of this loop
  std::uint32_t maxStreams = 1000;               // that the peer may have open
  std::size_t maxHeaderBytes = 16 * 1024;        // of one header block, names and values
};

// What a session tells its owner, which may call the session but not destroy it in these calls.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  virtual void onSessionReady() {}  // a client's connection stands
  // A header block: request, answer or trailers. `overflow`: it was larger than the limit and was cut.
  virtual void onHeaders(StreamId stream, Headers headers, bool overflow) = 0;
  virtual void onData(StreamId stream, std::span<const std::uint8_t> bytes) = 0;
  virtual void onRemoteEnd(StreamId stream) = 0;
  // Told once for each stream. On a client kRefusedStream says that the peer has not begun on it.
  virtual void onStreamClosed(StreamId stream, std::uint32_t code) = 0;
  virtual void onDrained(StreamId) {}  // its pending output is all out
  virtual void onGoaway() {}           // no new streams may be opened
  virtual void onPong() {}
  virtual void onStrayFrame(StreamId) {}  // the peer sent something for a stream that had ended
  // The end; every open stream was told of before, with kInternalError.
  virtual void onSessionClosed(const std::string& reason) = 0;
};

class Session final : private net::ConnectionOwner {
 public:
  enum class Side { kServer, kClient };
  Session(net::Loop& loop, Side side, SessionOwner& owner, const Limits& limits);
  ~Session() override;
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void adopt(int fd);
  void connect(const net::Endpoint& to, Duration timeout);

  // Opens a stream of a client; 0 where the session takes none any more.
  StreamId request(const Headers& headers, std::string_view body);
  void respond(StreamId stream, const Headers& headers);
  void respondHeadersOnly(StreamId stream, const Headers& headers);  // headers that end the stream
  // Two parts of one text; the bytes of body that are pending then, 0 where the stream takes none.
  std::size_t send(StreamId stream, std::string_view head, std::string_view bytes);
  void finish(StreamId stream, const Headers& trailers);
  // What the peer still sends on the stream is not wanted: it is reset, without an error, once our end is
  // out.
  void discardRemainingInput(StreamId stream);
  // Goes out before anything that is submitted elsewhere after this call.
  void reset(StreamId stream, std::uint32_t code);
  // The owner took `bytes` of a stream: the peer may send as many more.
  void consumed(StreamId stream, std::size_t bytes);
  std::size_t pendingBytes(StreamId stream) const;  // bytes of body that are not yet in the connection

  void ping();
  void goaway();                         // in good order: open streams end first
  void close();                          // at once, owner not told
  void abort();                          // at once with a RST, owner not told
  void fail(const std::string& reason);  // at once, owner told
  bool isOpen() const { return connection_.isOpen() && !closed_; }
  bool closedByPeer() const { return closedByPeer_; }         // it closed the connection, or reset it
  bool canOpenStream() const;                                 // a client may open one more
  Instant lastReceivedAt() const { return lastReceivedAt_; }  // when the peer last sent anything
  net::Connection& connection() { return connection_; }

 private:
  struct Stream {
    Headers headers;
    std::size_t headerBytes = 0;
    bool headersOverflow = false;
    std::string output;
    std::size_t outputOffset = 0;
    bool outputEnded = false, outputDeferred = false, discardInput = false;
    Headers trailers;
  };
  struct Callbacks;
  friend struct Callbacks;

  void onConnected() override;
  void onBytes(std::span<const std::uint8_t> bytes) override;
  void onWritable() override { sendPendingFrames(); }
  void onClosed(const std::string& reason) override;

  Stream* find(StreamId id);
  void startSession();
  void sendPendingFrames();  // moves frames from nghttp2 to the connection while it has room
  void scheduleSend();       // once at the end of the loop's iteration
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
  std::array<StreamId, 32> recentlyClosed_{};  // the last ones; nothing more may come for them
  StreamId cachedStreamId_ = -1;               // of the stream that was found last; -1 = none
  Stream* cachedStream_ = nullptr;
  std::size_t recentlyClosedCount_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool insideNghttp2_ = false;  // in a call of nghttp2, which must not be entered again
  bool sendScheduled_ = false, draining_ = false, closed_ = false, closedByPeer_ = false;
  Instant lastReceivedAt_{};
};

}  // namespace gannetcourse::http2
