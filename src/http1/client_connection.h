// One connection of a Client's pool: sends a call's request, passes its response on, and decides with the
// state machine of connection_state.h whether it can be used again.
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

/// Owned by its Client's pool, which removes it once it is closed; destroyed at the end of that iteration of
/// the loop, so that it may close itself in its own callbacks.
class ClientConnection final : public net::ConnectionOwner,
                               public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(Client& client, const net::Endpoint& endpoint);

  /// Connects for a call; may have failed, and the call's end be scheduled, when this returns.
  void open(CallId call, Client::HeadMaker makeHead, std::shared_ptr<const std::string> body,
            std::shared_ptr<ResponseHandler> handler);
  /// Starts a call on an idle connection; `body` may be null.
  void startCall(CallId call, Client::HeadMaker makeHead, std::shared_ptr<const std::string> body,
                 std::shared_ptr<ResponseHandler> handler);

  /// Whether it can take another call. Reads what the kernel holds first, to notice that the peer closed.
  bool isUsable();
  /// Drops the call without notifying its handler, and closes.
  void cancel();
  void close();
  /// Ends what has exceeded its time limit: an idle connection, or a head or chunk that does not end.
  void checkTimeouts(Instant now);
  /// Ends a call of which nothing has been sent yet, as kNotConnected.
  void cancelUnsent();
  void pauseReading(bool paused);

  const net::Endpoint& endpoint() const { return endpoint_; }
  const ClientConnectionState& state() const { return state_; }
  CallId call() const { return call_; }  ///< 0 = none in flight.
  Instant lastResponseAt() const { return lastResponseAt_; }
  /// To be called when a call is assigned to it, before startCall().
  void reserve() { state_.handle(ClientEvent::kCallStarted); }

 private:
  // ---- net::ConnectionOwner ----
  void onConnected() override;
  void onWritable() override {}
  void onBytes(std::span<const std::uint8_t> bytes) override;
  void onClosed(const std::string& reason) override;

  ResponseParser::Callbacks parserCallbacks();
  void sendRequest();
  void deferSend();
  void trackPartialPart();
  void finishResponse();
  void becomeIdle();
  void fail(CallResult result, const std::string& reason);
  void endCall(CallResult result, const std::string& reason);

  Client& client_;
  net::Connection connection_;
  net::Endpoint endpoint_;
  ClientConnectionState state_;
  std::unique_ptr<ResponseParser> parser_;
  std::shared_ptr<ResponseHandler> handler_;  // null once the call has ended
  CallId call_ = 0;
  Client::HeadMaker makeHead_;  // until the request is sent
  std::shared_ptr<const std::string> body_;
  bool requestSent_ = false;
  int sendDeferrals_ = 0;
  Instant lastResponseAt_{};
  std::optional<Instant> partStartedAt_;  // of the head or chunk that is incomplete
  std::uint64_t partsSeen_ = 0;           // heads and chunks started by then
};

}  // namespace gannetcourse::http1
