// One connection of a Client's pool: sends a call's request, passes the response to the call's handler, and
// determines with the state machine of connection_state.h whether the connection can be reused.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "http1/client.h"
#include "http1/connection_state.h"
#include "http1/parser.h"
#include "net/connection.h"

namespace gannetcourse::http1 {

/// A connection to one server. Owned by its Client, which removes it once it is closed. It is destroyed at
/// the end of that iteration of the loop, so that it may close itself in its own callbacks.
class ClientConnection final : public net::ConnectionOwner,
                               public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(Client& client, const net::Endpoint& endpoint);

  /// Connects and starts a call. If connecting fails at once, the call's onEnd() is scheduled on return.
  void open(CallId call, Client::HeadMaker makeHead, std::shared_ptr<const std::string> body,
            std::shared_ptr<ResponseHandler> handler);
  /// Starts a call on an idle connection; `body` may be null.
  void startCall(CallId call, Client::HeadMaker makeHead, std::shared_ptr<const std::string> body,
                 std::shared_ptr<ResponseHandler> handler);

  /// Whether it can take another call. Reads pending input first, to detect that the server has closed.
  bool isUsable();
  /// Closes the connection without notifying the call's handler.
  void cancel();
  void close();
  /// Closes the connection if it has been idle for too long. Fails the call if a head or chunk of its
  /// response takes too long to arrive.
  void checkTimeouts(Instant now);
  /// Ends the call with kNotConnected if its request has not been sent yet.
  void cancelUnsent();
  void pauseReading(bool paused);

  const net::Endpoint& endpoint() const { return endpoint_; }
  const ClientConnectionState& state() const { return state_; }
  CallId call() const { return call_; }  ///< 0 = no call in flight.
  Instant lastResponseAt() const { return lastResponseAt_; }
  /// Marks an idle connection as in use. Must be called before startCall().
  void reserve() { state_.handle(ClientEvent::kCallStarted); }

 private:
  // ---- net::ConnectionOwner ----
  void onConnected() override;
  void onWritable() override {}
  void onBytes(std::span<const std::uint8_t> bytes) override;
  std::size_t inputAllowance() override;
  void onClosed(const std::string& reason) override;

  ResponseParser::Callbacks parserCallbacks();
  void sendRequest();
  void deferSend();
  void trackIncompleteHeadOrChunk();
  bool handlerLimitsBody() const;
  void finishResponse();
  void becomeIdle();
  void fail(CallResult result, const std::string& reason);
  void endCall(CallResult result, const std::string& reason);

  Client& client_;
  net::Connection connection_;
  net::Endpoint endpoint_;
  ClientConnectionState state_;
  std::unique_ptr<ResponseParser> parser_;
  net::MemoryCharge connectionCharge_, inputCharge_;
  std::shared_ptr<ResponseHandler> handler_;  // null once the call has ended
  CallId call_ = 0;
  Client::HeadMaker makeHead_;  // null once the request has been sent
  std::shared_ptr<const std::string> body_;
  bool requestSent_ = false;
  bool headComplete_ = false;  // of the final response, not of an informational one
  int sendDeferrals_ = 0;
  Instant lastResponseAt_{};
  std::optional<Instant> headOrChunkStartedAt_;  // empty between heads and chunks
  std::uint64_t headsAndChunksSeen_ = 0;         // parser's count at the last update
};

}  // namespace gannetcourse::http1
