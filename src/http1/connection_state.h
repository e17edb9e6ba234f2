// The states of an HTTP/1.1 connection, on both sides, as state machines without sockets or clock.
// `docs/design/connection-state.md` has the transition tables.
#pragma once

namespace gannetcourse::http1 {

// ---- Server side: a connection from a client ----

/// What a server's connection is doing.
enum class ServerPhase {
  kNew,         // no request has started on it yet
  kIdle,        // between two requests
  kReceiving,   // part of a request has arrived
  kResponding,  // a request has been dispatched; its response is not complete
  kFlushing,    // the remaining output is written; further input is not parsed
  kLingering,   // our direction is shut down; input is discarded, so that no reset destroys the response
  kClosed
};

/// What happens to a server's connection.
enum class ServerEvent {
  kBytesReceived,         // bytes of a request
  kRequestComplete,       // a request has arrived completely
  kRequestMalformed,      // the input is not a request, or exceeds a limit
  kResponseComplete,      // the response is complete and the connection is kept alive
  kLastResponseComplete,  // the response is complete, or aborted, and the connection is not kept alive
  kOutputFlushed,         // the kernel has accepted all output
  kPeerClosed,            // the client closed, shut down its direction, or was lost
  kTimedOut,              // the phase exceeded its time limit
  kDrain                  // the server accepts no further requests on idle connections
};

/// What the owner of a server's connection has to do after an event.
enum class ServerAction {
  kNone,
  kDispatchRequest,  // pass the request to the handler
  kRejectRequest,    // send an error as the last response
  kFlushOutput,      // check whether all output is written; kOutputFlushed follows when it is
  kShutdownWrite,    // shut down our direction
  kClose,
  kCloseAndNotify  // notify the handler that the client disconnected, and close
};

/// State machine of a connection from a client.
class ServerConnectionState {
 public:
  /// Applies `event` and returns the action that the owner has to carry out. Events that have no meaning in
  /// the present phase change nothing.
  ServerAction handle(ServerEvent event);
  ServerPhase phase() const { return phase_; }
  bool isBetweenRequests() const { return phase_ == ServerPhase::kNew || phase_ == ServerPhase::kIdle; }
  bool isResponding() const { return phase_ == ServerPhase::kResponding; }
  /// Whether input is still read as requests.
  bool isReadingRequests() const {
    return isBetweenRequests() || phase_ == ServerPhase::kReceiving || isResponding();
  }

 private:
  ServerAction moveTo(ServerPhase phase, ServerAction action);
  ServerAction handleBeforeResponse(ServerEvent event);
  ServerAction handleWhileResponding(ServerEvent event);
  ServerAction handleWhileClosing(ServerEvent event);

  ServerPhase phase_ = ServerPhase::kNew;
};

// ---- Client side: a connection to a server ----

/// What a client's connection is doing.
enum class ClientPhase {
  kConnecting,      // not established; a call waits for it
  kCallInProgress,  // a call is in flight
  kSettling,        // its last response has just ended: a second response may still follow it
  kIdle,            // available for a call
  kClosed
};

/// What happens to a client's connection.
enum class ClientEvent {
  kConnected,
  kCallStarted,
  kResponseComplete,      // the response is complete and the server keeps the connection alive
  kLastResponseComplete,  // the response is complete and the connection cannot be used again
  kSettleTimeElapsed,     // nothing followed the response for the settle delay
  kBytesReceived,
  kAborted,    // the call was cancelled, its response is malformed, or the connection is no longer wanted
  kPeerClosed  // the server closed or was lost
};

/// State machine of a connection to a server.
class ClientConnectionState {
 public:
  /// Applies `event`. True while the connection stays open, false once it is closed.
  bool handle(ClientEvent event);
  ClientPhase phase() const { return phase_; }
  bool isIdle() const { return phase_ == ClientPhase::kIdle; }
  /// Whether it is established without a call in flight.
  bool hasNoCall() const { return isIdle() || phase_ == ClientPhase::kSettling; }
  bool isClosed() const { return phase_ == ClientPhase::kClosed; }

 private:
  ClientPhase phase_ = ClientPhase::kConnecting;
};

}  // namespace gannetcourse::http1
