// One connection from a client: feeds its life's state machine (life.h) and carries out what that says.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "http1/connection_state.h"
#include "http1/parser.h"
#include "http1/server.h"
#include "net/connection.h"

namespace gannetcourse::http1 {

class ServerConnection final : public net::ConnectionOwner {
 public:
  ServerConnection(Server& server, int fd);
  ~ServerConnection() override { detachExchange(); }

  // ---- The answer to the request at hand; see Exchange ----
  void respond(int status, std::string_view fields, std::string_view body, bool close);
  void beginStream(std::string_view fields);
  void sendChunk(std::string_view bytes);
  void endStream() {
    connection_.append("0\r\n\r\n");
    finishResponse(!keepAlive_ || server_.draining_);
  }

  void abortStream() { finishResponse(true); }

  void close();  // at once; its server drops it
  void drain() { handleEvent(ServerEvent::kDrain); }
  // Reads what the kernel holds. True where that was the end of a request, which is answered now.
  bool readPendingRequest();
  // A request that the kernel holds already is read and answered; a connection without one is ended.
  void closeUnlessRequested();
  const ServerConnectionState& state() const { return state_; }
  std::uint64_t bufferedBytes() const { return parser_.bufferedBytes(); }
  std::size_t unsentBytes() const { return connection_.pendingBytes(); }
  // Ends the phase that it is in where that has lasted too long.
  void checkTimeouts(Instant now);

 private:
  // ---- net::ConnectionOwner ----
  void onBytes(std::span<const std::uint8_t> bytes) override;
  void onWritable() override;
  void onPeerEnded() override { handleEvent(ServerEvent::kPeerClosed); }
  void onClosed(const std::string&) override { handleEvent(ServerEvent::kPeerClosed); }

  // The one place where the state machine is driven and its actions are carried out.
  void handleEvent(ServerEvent event);
  // When the phase that it is in has lasted too long.
  Instant phaseDeadline() const;

  // Whether the client leaves as much of its earlier answers unread as may wait. Until it reads on, its next
  // request is not taken up, or its answers would pile up here.
  bool isOutputFull() const { return connection_.pendingBytes() >= net::Connection::kWatermark; }

  // What comes behind a last answer is dropped, up to a bound.
  void discardInput(std::size_t bytes);

  void parseInput();               // what has come, up to the end of one request
  void dispatchRequest();          // hands a whole request on
  void rejectInput(int status);    // what has come is no request, or too much
  void sendRejection(int status);  // the answer to such a one, as the last on the connection
  void finishResponse(bool last);  // the answer is whole

  // Whether as much waits behind a request as may. Reading on is what shows that a client has gone: an end
  // that comes behind bytes that nobody reads cannot be seen.
  bool isPipelineFull() const;

  // A request whose bytes came while another was answered.
  void parsePipelined();

  void continueAfterFlush();  // goes on once all output is with the kernel
  void setReadingPaused(bool held) {
    if (connection_.isReadingPaused() != held) connection_.pauseReading(held);
  }

  void notifyClientDisconnected();  // tells who answers that the client has left
  void detachExchange() {
    if (exchange_) exchange_->connection_ = nullptr;
    exchange_.reset();
  }

  friend class Server;
  Server& server_;
  net::Connection connection_;
  RequestParser parser_;
  ServerConnectionState state_;
  std::shared_ptr<Exchange> exchange_;
  std::shared_ptr<bool> removed_ = std::make_shared<bool>(false);  // true: dropped
  bool keepAlive_ = true, hadRequest_ = false, backpressure_ = false;
  int rejectStatus_ = 400;
  Instant phaseStartedAt_;  // when its phase began
  Instant lastProgressAt_{};
  std::size_t lastPendingBytes_ = 0;
  std::uint64_t discardedBytes_ = 0, requestsDispatched_ = 0;
};

}  // namespace gannetcourse::http1
