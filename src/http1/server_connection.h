// One connection from a client: passes events to the state machine of connection_state.h and performs the
// actions that it returns.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <tuple>

#include "http1/arrival_times.h"
#include "http1/connection_state.h"
#include "http1/parser.h"
#include "http1/server.h"
#include "net/connection.h"

namespace gannetcourse::http1 {

/// A connection accepted by a Server, which owns it and removes it once it is closed. It is destroyed at the
/// end of that iteration of the loop, so that it may close itself in its own callbacks.
class ServerConnection final : public net::ConnectionOwner {
 public:
  /// Takes ownership of the accepted socket.
  ServerConnection(Server& server, int fd);
  ~ServerConnection() override { detachExchange(); }

  // ---- The response to the request in progress; see Exchange ----
  void respond(int status, std::string_view fields, std::string_view body, bool close);
  void beginStream(std::string_view fields);
  void sendChunk(std::string_view bytes);
  void endStream();
  void abortStream() { finishResponse(true); }

  // ---- Called by its server ----
  /// Closes at once and removes the connection from its server.
  void close();
  void drain();
  /// Whether a request is being received or answered, or one that has been read waits.
  bool isBusy() const;
  /// Reads pending input. True if that completed a request; the request has then been dispatched.
  bool readPendingRequest();
  /// Reads pending input, and closes the connection if no request has begun.
  void closeUnlessRequestHasBegun();
  /// Ends the current phase if it has exceeded its time limit.
  void checkTimeouts(Instant now);
  /// Whether it may be closed to make room for a new connection.
  bool isEvictable() const;
  /// The connection with the lowest rank is evicted first: lingering ones, then those that have had no
  /// request, then the one that has been in its phase for the longest time.
  std::tuple<bool, bool, Instant> evictionRank() const;
  bool isRemoved() const { return *removed_; }
  void markRemoved() { *removed_ = true; }
  const ServerConnectionState& state() const { return state_; }
  /// Memory held for requests that have not been dispatched.
  std::uint64_t partialRequestBytes() const { return inputCharge_.bytes() + requestCharge_.bytes(); }
  /// Memory that the request being received will need, as far as it is known.
  std::uint64_t expectedRequestBytes() const { return parser_.expectedMemory(); }
  /// Rejects the request that is being received.
  void rejectForMemory();
  std::size_t unsentBytes() const { return connection_.pendingBytes(); }

 private:
  // ---- net::ConnectionOwner ----
  void onBytes(std::span<const std::uint8_t> bytes) override;
  std::size_t inputAllowance() override;
  void onWritable() override;
  void onPeerShutdown() override { handleEvent(ServerEvent::kPeerClosed); }
  void onClosed(const std::string&) override { handleEvent(ServerEvent::kPeerClosed); }

  // Passes the event to the state machine and performs its action. All events go through this function.
  void handleEvent(ServerEvent event);
  void performAction(ServerAction action, ServerEvent event);
  Instant phaseDeadline() const;

  // Whether the connection ends with the response in progress. A drain leaves it open for the requests that
  // have been read behind that one: each of them is owed a response.
  bool isLastResponse() const;
  // Whether bytes that follow the request in progress have been read, or reading them is paused.
  bool hasPendingInput() const;
  // Whether pending output has reached the watermark or, while memory is short, the fair part. The client's
  // next request is then not parsed until the client reads, so that pending responses stay bounded.
  bool isOutputFull() const;
  // Discards input after the last response; closes the connection after more than limits.maxBodyBytes.
  void discardInput(std::size_t bytes);
  // Parses the buffered bytes, at most to the end of one request.
  void parseInput();
  void dispatchRequest();
  void rejectInput(int status);
  void sendRejection(int status);
  // Called when the response is complete or aborted. `last`: the connection is not kept alive.
  void finishResponse(bool last);
  // Whether the bytes buffered behind the request in progress have reached their limit. While there is
  // memory, reading continues up to limits.maxPipelinedBytes, because a disconnect cannot be detected behind
  // unread bytes.
  bool isPipelineFull() const;
  // Parses a request whose bytes arrived while another request was in progress.
  void parsePipelined();
  void continueAfterFlush();
  void setReadingPaused(bool paused);
  void discardRequests();
  void updateCharges();
  void notifyClientDisconnected();
  void detachExchange();

  Server& server_;
  net::Connection connection_;
  RequestParser parser_;
  ArrivalTimes arrivalTimes_;
  ServerConnectionState state_;
  net::MemoryCharge connectionCharge_, inputCharge_, requestCharge_;
  std::shared_ptr<Exchange> exchange_;  // null while no request is in progress
  // True once the server has removed this connection. Shared with deferred tasks, which may outlive it.
  std::shared_ptr<bool> removed_ = std::make_shared<bool>(false);
  bool keepAlive_ = true;
  bool hadRequest_ = false;
  bool backpressure_ = false;  // onBackpressure(true) was called last
  int rejectStatus_;
  const Instant acceptedAt_;
  Instant phaseStartedAt_;
  Instant lastByteArrivedAt_{};      // of what has been parsed
  Instant lastProgressAt_{};         // when output was last sent, or none was pending
  std::uint64_t lastSentBytes_ = 0;  // the connection's count at the last check of the time limits
  std::uint64_t discardedBytes_ = 0;
  std::uint64_t requestsDispatched_ = 0;
};

}  // namespace gannetcourse::http1
