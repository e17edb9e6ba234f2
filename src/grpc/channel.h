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
  std::size_t maxMessageBytes = 4 * 1024 * 1024;  ///< Largest accepted response message.
  std::size_t maxQueued = 10000;                  ///< Calls that may wait for a stream; further calls fail.
  std::size_t maxConnections = 4;                 ///< One is added when the open ones accept no more streams.
  Duration connectTimeout{0.25};
  /// Delay after a failed connect, doubled at each further failure up to maxBackoff. During the
  /// delay a call fails if no open connection has a free stream.
  Duration initialBackoff{0.05};
  Duration maxBackoff{1};
  Duration keepaliveInterval{5};  ///< Interval of PINGs on connections with calls in flight; 0 = none.
  Duration keepaliveTimeout{2};   ///< A connection fails if a PING is not acknowledged in time.
  std::string userAgent = "gannetcourse";
};

/// Starts calls to one server and owns the connections to it. Use only on the loop's thread.
class Channel {
 public:
  Channel(net::Loop& loop, net::Endpoint server, ChannelOptions options = {});
  /// Ends the calls in flight without calling their onEnd.
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Starts a call. The caller must set the call's handlers before returning to the loop. `timeout` is only
  /// sent to the server; the caller has to enforce it.
  std::shared_ptr<ClientCall> start(const std::string& method, std::string_view message,
                                    std::optional<Duration> timeout = {},
                                    const http2::Headers& metadata = {});

  const net::Endpoint& endpoint() const { return endpoint_; }
  std::size_t connectionCount() const { return connections_.size(); }
  /// Closes the connections that have no calls.
  void closeIdle();
  /// Closes all connections and ends all calls, calling their onEnd.
  void closeAll();
  /// Called when the server shuts down gracefully (GOAWAY) and accepts no new calls.
  std::function<void()> onGoaway;
  /// Called for a frame on a stream that had already ended without an error. Used by test audits.
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
  Instant retryAt_{};  // no connection attempt before this time
  net::TimerId keepaliveTimer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed, for deferred tasks
};

}  // namespace gannetcourse::grpc
