// The calling side of gRPC: a pool of connections to one server, re-opened with bounded back-off and kept
// alive.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "grpc/protocol.h"
#include "http2/session.h"
#include "net/connection.h"

namespace gannetcourse::grpc {

struct ChannelOptions {
  http2::Limits http2;
  std::size_t maxMessageBytes = 4 * 1024 * 1024;  // of an answer's message
  std::size_t maxQueued = 10000;                  // calls that may wait for a stream; more fail at once
  std::size_t maxConnections = 4;  // a further one is opened when the others take no more streams
  Duration connectTimeout{0.25};
  Duration initialBackoff{
      0.05};  // after a failed connect; doubles up to backoffMost. Calls fail at once meanwhile
  Duration maxBackoff{1};
  Duration keepaliveEvery{5};    // a PING on a connection with calls out; 0 = never
  Duration keepaliveTimeout{2};  // without an answer to it the connection counts as broken
  std::string userAgent = "gannetcourse";
};

// How a call ended.
struct CallEnd {
  enum class Kind {
    kStatus,          // the server's own status, in `status`
    kNotSent,         // no connection: the server has seen nothing of it
    kRefusedStream,   // the server says that it has not begun on it (REFUSED_STREAM, or past its GOAWAY)
    kConnectionLost,  // the peer ended the connection; it may have run
    kAbandoned,       // this side gave the connection up; it may still run
    kReset,           // the stream was reset; it may have run
    kMalformed,       // the answer breaks gRPC's rules; it may have run
    kCancelled        // by us
  };
  Kind kind = Kind::kStatus;
  Status status;
  http2::Headers trailers;
};

class Channel;
struct ChannelConnection;

class ClientCall : public std::enable_shared_from_this<ClientCall> {
 public:
  // Handlers. onEnd is told exactly once, also after cancel(), and nothing after it.
  std::function<void(std::string_view message)> onMessage;
  std::function<void(const CallEnd& end)> onEnd;

  // Calls it off: a RST_STREAM goes out before anything submitted later. onEnd comes before it returns.
  void cancel();
  // While paused no message is told and the server may send no more than the stream's window.
  void pause(bool paused);
  bool isOver() const { return over_; }

 private:
  friend class Channel;
  friend struct ChannelConnection;
  void onData(std::span<const std::uint8_t> bytes);
  void deliverMessages();
  void end(const CallEnd& end);

  ChannelConnection* connection_ = nullptr;  // the connection that it is on
  http2::StreamId stream_ = 0;
  http2::Headers request_;
  std::string body_;
  std::optional<MessageReader> reader_;
  std::size_t unacknowledgedBytes_ = 0;  // bytes taken from the wire that the stream's window still lacks
  http2::Headers responseHeaders_, trailers_;
  bool headersReceived_ = false, remoteClosed_ = false, over_ = false, paused_ = false, delivering_ = false;
};

class Channel {
 public:
  Channel(net::Loop& loop, net::Endpoint to, ChannelOptions options = {});
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  // Starts a call. Handlers are to be set on what is returned before the loop's next task; `timeout` only
  // tells the server, it is the caller who keeps it.
  std::shared_ptr<ClientCall> start(const std::string& method, std::string_view message,
                                    std::optional<Duration> timeout = {},
                                    const http2::Headers& metadata = {});

  const net::Endpoint& endpoint() const { return endpoint_; }
  std::size_t connectionCount() const { return connections_.size(); }
  void closeIdle();                                   // connections without calls
  void closeAll();                                    // breaks what is out; their ends are told
  std::function<void()> onGoaway;                     // the server ends in good order: no new calls there
  std::function<void(http2::StreamId)> onStrayFrame;  // for auditors: something came for an ended stream

 private:
  friend class ClientCall;
  friend struct ChannelConnection;
  void dispatch(const std::shared_ptr<ClientCall>& call);
  bool startOn(ChannelConnection& link, const std::shared_ptr<ClientCall>& call);
  void openConnection();
  void onConnectionReady(ChannelConnection& link);
  void onConnectionClosed(ChannelConnection& link, bool wasReady, const std::string& reason);
  void failQueued(const std::string& reason);
  void dispatchQueued();
  void onStreamFreed();
  void scheduleKeepalive();

  net::Loop& loop_;
  net::Endpoint endpoint_;
  ChannelOptions options_;
  std::vector<std::unique_ptr<ChannelConnection>> connections_;
  std::uint64_t lastConnectionId_ = 0;
  std::deque<std::shared_ptr<ClientCall>> queued_;
  Duration backoff_{0};
  Instant retryAt_{};
  net::TimerId keepaliveTimer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gannetcourse::grpc
