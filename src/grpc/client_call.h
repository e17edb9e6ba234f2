// A gRPC call, client side.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "grpc/protocol.h"
#include "http2/session.h"

namespace gannetcourse::grpc {

/// How a call ended.
struct CallEnd {
  enum class Kind {
    kStatus,          ///< The server responded with `status`.
    kNotSent,         ///< There was no connection; the server received nothing.
    kRefusedStream,   ///< The server did not process the call (REFUSED_STREAM, or above its GOAWAY's limit).
    kConnectionLost,  ///< The peer closed the connection; the call may have run.
    kAbandoned,       ///< This side closed the connection; the call may still be running.
    kReset,           ///< The stream was reset; the call may have run.
    kMalformed,       ///< The response violates the gRPC protocol; the call may have run.
    kCancelled        ///< Cancelled by this side.
  };
  Kind kind = Kind::kStatus;
  Status status;
  http2::Headers trailers;

  /// Returns an end whose status is set by this side, without trailers.
  static CallEnd local(Kind kind, Code code, std::string message);
};

struct ChannelConnection;

/// A call started by Channel::start(). Shared by its caller and the channel. Use only on the loop's thread.
class ClientCall : public std::enable_shared_from_this<ClientCall> {
 public:
  /// Called for each message of the response; never called after onEnd.
  std::function<void(std::string_view message)> onMessage;
  /// Called exactly once, also after cancel().
  std::function<void(const CallEnd& end)> onEnd;

  /// Resets the stream and calls onEnd before returning. The RST_STREAM is sent before anything that is
  /// submitted to the connection later.
  void cancel();
  /// Pauses or resumes the call. A paused call delivers no messages, and the server can send at most the
  /// bytes of the stream's flow-control window.
  void pause(bool paused);
  bool isOver() const { return over_; }

 private:
  friend class Channel;
  friend struct ChannelConnection;
  void onData(std::span<const std::uint8_t> bytes);
  void deliverMessages();
  void updateWindow();
  void resetStream();
  void end(const CallEnd& end);

  ChannelConnection* connection_ = nullptr;  // null before the call is sent and after its stream has closed
  http2::StreamId stream_ = 0;
  http2::Headers requestHeaders_;
  std::string body_;
  std::optional<MessageReader> reader_;
  std::size_t unacknowledgedBytes_ = 0;  // received, but not returned to the stream's window
  http2::Headers responseHeaders_;
  http2::Headers trailers_;
  bool headersReceived_ = false;
  bool remoteClosed_ = false;
  bool over_ = false;
  bool paused_ = false;
  bool delivering_ = false;
};

}  // namespace gannetcourse::grpc
