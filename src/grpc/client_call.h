// One gRPC call of a client.
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
    kStatus,          ///< The server's own status, in `status`.
    kNotSent,         ///< No connection: the server has seen nothing of it.
    kRefusedStream,   ///< The server has not processed it (REFUSED_STREAM, or past its GOAWAY).
    kConnectionLost,  ///< The peer ended the connection; it may have run.
    kAbandoned,       ///< This side gave the connection up; it may still run.
    kReset,           ///< The stream was reset; it may have run.
    kMalformed,       ///< The response violates gRPC's protocol; it may have run.
    kCancelled        ///< Cancelled by this side.
  };
  Kind kind = Kind::kStatus;
  Status status;
  http2::Headers trailers;

  /// An end that has a status of this side's making and no trailers.
  static CallEnd local(Kind kind, Code code, std::string message);
};

struct ChannelConnection;

/// A call in progress, made by Channel::start(). Shared by its caller and the channel.
class ClientCall : public std::enable_shared_from_this<ClientCall> {
 public:
  /// Called for each message; not after onEnd.
  std::function<void(std::string_view message)> onMessage;
  /// Called exactly once, also after cancel().
  std::function<void(const CallEnd& end)> onEnd;

  /// Resets the stream: the RST_STREAM precedes everything submitted later. onEnd is called before it
  /// returns.
  void cancel();
  /// While paused no message is passed on, and the server can send no more than the stream's window.
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
