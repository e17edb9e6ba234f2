// The client side of gRPC: a pool of connections to one server, reconnected with bounded backoff and kept
// alive by PINGs.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "grpc/client_call.h"
#include "grpc/protocol.h"
#include "http2/session.h"
#include "net/connection.h"

namespace gannetcourse::grpc {

/// Limits and timing of a Channel.
struct ChannelOptions {
  http2::Limits http2;
  std::size_t maxMessageBytes = 4 * 1024 * 1024;  ///< Of a response's message.
  std::size_t maxQueued = 10000;                  ///< Calls that may wait for a stream; more fail at once.
  std::size_t maxConnections = 4;  ///< A further one is opened when the others accept no more streams.
  Duration connectTimeout{0.25};
  Duration initialBackoff{0.05};  ///< After a failed connect; doubles up to maxBackoff. Calls fail meanwhile.
  Duration maxBackoff{1};
  Duration keepaliveInterval{5};  ///< Interval of PINGs on a connection with calls in flight; 0 = never.
  Duration keepaliveTimeout{2};   ///< Without an acknowledgement the connection counts as broken.
  std::string userAgent = "gannetcourse";
};

/// Calls to one server. For its loop's thread only.
class Channel {
 public:
  Channel(net::Loop& loop, net::Endpoint to, ChannelOptions options = {});
  /// Calls in flight end without onEnd.
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Starts a call. Its handlers are to be set before the loop's next task. `timeout` is only sent to the
  /// server: the caller enforces it.
  std::shared_ptr<ClientCall> start(const std::string& method, std::string_view message,
                                    std::optional<Duration> timeout = {},
                                    const http2::Headers& metadata = {});

  const net::Endpoint& endpoint() const { return endpoint_; }
  std::size_t connectionCount() const { return connections_.size(); }
  /// Closes connections without calls.
  void closeIdle();
  /// Closes all connections; the calls' onEnd is called.
  void closeAll();
  /// The server shuts down gracefully: it accepts no new calls.
  std::function<void()> onGoaway;
  /// For audits: a frame arrived for a stream that had ended.
  std::function<void(http2::StreamId)> onStrayFrame;

 private:
  friend class ClientCall;
  friend struct ChannelConnection;
  void dispatch(const std::shared_ptr<ClientCall>& call);
  bool startOn(ChannelConnection& connection, const std::shared_ptr<ClientCall>& call);
  void failLater(const std::shared_ptr<ClientCall>& call, const std::string& reason);
  void openConnection();
  void onConnectionReady(ChannelConnection& connection);
  void onConnectionClosed(ChannelConnection& connection, bool wasReady, const std::string& reason);
  void failQueued(const std::string& reason);
  void dispatchQueued();
  void onStreamFreed();
  void scheduleKeepalive();
  void sendKeepalives();
  void sendPing(ChannelConnection& connection);
  void checkPong(std::uint64_t connectionId, std::uint64_t ping);

  net::Loop& loop_;
  net::Endpoint endpoint_;
  ChannelOptions options_;
  std::vector<std::unique_ptr<ChannelConnection>> connections_;
  std::uint64_t lastConnectionId_ = 0;
  std::deque<std::shared_ptr<ClientCall>> queued_;
  Duration backoff_{0};
  Instant retryAt_{};  // no connect before
  net::TimerId keepaliveTimer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed; for deferred tasks
};

}  // namespace gannetcourse::grpc
