// One connection from a client: feeds the state machine of connection_state.h and carries out its actions.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <tuple>

#include "http1/connection_state.h"
#include "http1/parser.h"
#include "http1/server.h"
#include "net/connection.h"

namespace gannetcourse::http1 {

/// Owned by its Server, which removes it once it is closed; destroyed at the end of that iteration of the
/// loop, so that it may close itself in its own callbacks.
class ServerConnection final : public net::ConnectionOwner {
 public:
  /// Takes over the accepted socket.
  ServerConnection(Server& server, int fd);
  ~ServerConnection() override { detachExchange(); }

  // ---- The response to the request in progress; see Exchange ----
  void respond(int status, std::string_view fields, std::string_view body, bool close);
  void beginStream(std::string_view fields);
  void sendChunk(std::string_view bytes);
  void endStream();
  void abortStream() { finishResponse(true); }

  // ---- For its server ----
  /// Closes at once; its server removes it.
  void close();
  void drain() { handleEvent(ServerEvent::kDrain); }
  /// Reads what the kernel holds. True where that completed a request, which has been dispatched.
  bool readPendingRequest();
  /// Dispatches a request that the kernel holds already; without one the connection ends.
  void closeUnlessRequested();
  /// Ends the present phase where it has exceeded its time limit.
  void checkTimeouts(Instant now);
  /// Whether it may be closed in favour of a new connection.
  bool isEvictable() const;
  /// The least is evicted first: lingering ones, then those that never had a request, then the longest idle.
  std::tuple<bool, bool, Instant> evictionRank() const;
  bool isRemoved() const { return *removed_; }
  void markRemoved() { *removed_ = true; }
  const ServerConnectionState& state() const { return state_; }
  std::uint64_t bufferedBytes() const { return parser_.bufferedBytes(); }
  std::size_t unsentBytes() const { return connection_.pendingBytes(); }

 private:
  // ---- net::ConnectionOwner ----
  void onBytes(std::span<const std::uint8_t> bytes) override;
  void onWritable() override;
  void onPeerEnded() override { handleEvent(ServerEvent::kPeerClosed); }
  void onClosed(const std::string&) override { handleEvent(ServerEvent::kPeerClosed); }

  // The one place where the state machine is driven and its actions are carried out.
  void handleEvent(ServerEvent event);
  void perform(ServerAction action, ServerEvent event);
  Instant phaseDeadline() const;

  // Whether the client leaves as much output unread as may wait. Until it reads on, its next request is not
  // parsed, or responses would pile up here.
  bool isOutputFull() const { return connection_.pendingBytes() >= net::Connection::kOutputWatermark; }
  // Input after the last response, up to a bound.
  void discardInput(std::size_t bytes);
  // Parses what is buffered, up to the end of one request.
  void parseInput();
  void dispatchRequest();
  void rejectInput(int status);
  void sendRejection(int status);
  // The response is complete, or aborted; `last`: the connection is not kept alive.
  void finishResponse(bool last);
  // Whether as much waits behind the request in progress as may. Reading on is what reveals a disconnect: an
  // end that arrives behind bytes that nobody reads cannot be seen.
  bool isPipelineFull() const;
  // Parses a request whose bytes arrived while another was in progress.
  void parsePipelined();
  void continueAfterFlush();
  void setReadingPaused(bool paused);
  void notifyClientDisconnected();
  void detachExchange();

  Server& server_;
  net::Connection connection_;
  RequestParser parser_;
  ServerConnectionState state_;
  std::shared_ptr<Exchange> exchange_;  // null while no request is in progress
  // True once the server has removed it; shared with deferred tasks, which may outlive it.
  std::shared_ptr<bool> removed_ = std::make_shared<bool>(false);
  bool keepAlive_ = true;
  bool hadRequest_ = false;
  bool backpressure_ = false;  // the handler was notified that the client reads too slowly
  int rejectStatus_;
  Instant phaseStartedAt_;
  Instant lastProgressAt_{};  // when the client last took output, or none was pending
  std::size_t lastPendingBytes_ = 0;
  std::uint64_t discardedBytes_ = 0;
  std::uint64_t requestsDispatched_ = 0;
};

}  // namespace gannetcourse::http1
