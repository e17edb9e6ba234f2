// State machines of HTTP/1.1 connections, one for the server and one for the client side. They use neither
// sockets nor a clock.
// `docs/design/connection-state.md` has the transition tables.
#pragma once

namespace gannetcourse::http1 {

// ---- Server side: a connection from a client ----

/// Phase of a server's connection.
enum class ServerPhase {
  kNew,         // no request has begun on it yet
  kIdle,        // between two requests
  kReceiving,   // part of a request has arrived
  kResponding,  // a request has been dispatched; its response is not complete
  kFlushing,    // the remaining output is being written; input is no longer parsed
  kLingering,   // our write side is shut down; input is discarded, since a RST could destroy the response
  kClosed
};

/// Input of ServerConnectionState.
enum class ServerEvent {
  kBytesReceived,         // bytes of a request arrived
  kRequestComplete,       // all bytes of a request have arrived
  kRequestMalformed,      // the input is not a request, or exceeds a limit
  kResponseComplete,      // the response is complete and the connection is kept alive
  kLastResponseComplete,  // the response is complete, or aborted, and the connection is not kept alive
  kOutputFlushed,         // the kernel has accepted all output
  kPeerClosed,            // the client closed, shut down its write side, or was lost
  kTimedOut,              // the current phase exceeded its time limit
  kDrain                  // the server accepts no further requests on idle connections
};

/// What the owner of a server's connection must do after an event.
enum class ServerAction {
  kNone,
  kDispatchRequest,  // pass the request to the handler
  kRejectRequest,    // send an error as the last response
  kFlushOutput,      // check whether all output is written; kOutputFlushed follows when it is
  kShutdownWrite,    // shut down our write side
  kClose,
  kCloseAndNotify  // notify the handler that the client disconnected, and close
};

/// State machine of a connection from a client.
class ServerConnectionState {
 public:
  /// Applies `event` and returns the action that the owner must perform. Events that do not apply in the
  /// current phase are ignored.
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

/// Phase of a client's connection.
enum class ClientPhase {
  kConnecting,      // not established yet; its first call is waiting
  kCallInProgress,  // a call is in flight
  kSettling,        // the response has just ended; extra bytes within the settle delay forbid reuse
  kIdle,            // available for the next call
  kClosed
};

/// Input of ClientConnectionState.
enum class ClientEvent {
  kConnected,
  kCallStarted,
  kResponseComplete,      // the response is complete and the server keeps the connection alive
  kLastResponseComplete,  // the response is complete and the connection cannot be used again
  kSettleTimeElapsed,     // nothing followed the response for the settle delay
  kBytesReceived,
  kAborted,    // the call was cancelled, its response is malformed, or the connection is no longer needed
  kPeerClosed  // the server closed or was lost
};

/// State machine of a connection to a server.
class ClientConnectionState {
 public:
  /// Applies `event`. Returns whether the connection is still open.
  bool handle(ClientEvent event);
  ClientPhase phase() const { return phase_; }
  bool isIdle() const { return phase_ == ClientPhase::kIdle; }
  /// Whether it is established and no call is in flight.
  bool hasNoCall() const { return isIdle() || phase_ == ClientPhase::kSettling; }
  bool isClosed() const { return phase_ == ClientPhase::kClosed; }

 private:
  ClientPhase phase_ = ClientPhase::kConnecting;
};

}  // namespace gannetcourse::http1
