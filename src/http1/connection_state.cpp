#include "http1/connection_state.h"

namespace gannetcourse::http1 {

ServerAction ServerConnectionState::moveTo(ServerPhase phase, ServerAction action) {
  phase_ = phase;
  return action;
}

ServerAction ServerConnectionState::handle(ServerEvent event) {
  if (phase_ == ServerPhase::kClosed) return ServerAction::kNone;
  if (event == ServerEvent::kPeerClosed) {
    const ServerAction action = isResponding() ? ServerAction::kCloseAndNotify : ServerAction::kClose;
    return moveTo(ServerPhase::kClosed, action);
  }
  if (isResponding()) return handleWhileResponding(event);
  if (isReadingRequests()) return handleBeforeResponse(event);
  return handleWhileClosing(event);
}

// kNew, kIdle and kReceiving.
ServerAction ServerConnectionState::handleBeforeResponse(ServerEvent event) {
  switch (event) {
    case ServerEvent::kBytesReceived:
      return moveTo(ServerPhase::kReceiving, ServerAction::kNone);
    case ServerEvent::kRequestComplete:
      return moveTo(ServerPhase::kResponding, ServerAction::kDispatchRequest);
    case ServerEvent::kRequestMalformed:
      return moveTo(ServerPhase::kFlushing, ServerAction::kRejectRequest);
    case ServerEvent::kTimedOut:
      if (phase_ == ServerPhase::kReceiving)
        return moveTo(ServerPhase::kFlushing, ServerAction::kRejectRequest);
      return moveTo(ServerPhase::kFlushing, ServerAction::kFlushOutput);
    case ServerEvent::kDrain:
      // A new connection stays open: its first request may be in transit and must get a response.
      if (phase_ == ServerPhase::kIdle) return moveTo(ServerPhase::kFlushing, ServerAction::kFlushOutput);
      return ServerAction::kNone;
    default:
      return ServerAction::kNone;
  }
}

ServerAction ServerConnectionState::handleWhileResponding(ServerEvent event) {
  switch (event) {
    case ServerEvent::kResponseComplete:
      return moveTo(ServerPhase::kIdle, ServerAction::kNone);
    case ServerEvent::kLastResponseComplete:
      return moveTo(ServerPhase::kFlushing, ServerAction::kNone);
    case ServerEvent::kTimedOut:
      return moveTo(ServerPhase::kClosed, ServerAction::kCloseAndNotify);
    default:
      return ServerAction::kNone;
  }
}

// kFlushing and kLingering.
ServerAction ServerConnectionState::handleWhileClosing(ServerEvent event) {
  if (event == ServerEvent::kOutputFlushed && phase_ == ServerPhase::kFlushing)
    return moveTo(ServerPhase::kLingering, ServerAction::kShutdownWrite);
  if (event == ServerEvent::kTimedOut) return moveTo(ServerPhase::kClosed, ServerAction::kClose);
  return ServerAction::kNone;
}

bool ClientConnectionState::handle(ClientEvent event) {
  switch (event) {
    case ClientEvent::kConnected:
      if (phase_ == ClientPhase::kConnecting) phase_ = ClientPhase::kCallInProgress;
      break;
    case ClientEvent::kCallStarted:
      if (phase_ == ClientPhase::kIdle) phase_ = ClientPhase::kCallInProgress;
      break;
    case ClientEvent::kResponseComplete:
      if (phase_ == ClientPhase::kCallInProgress) phase_ = ClientPhase::kSettling;
      break;
    case ClientEvent::kSettleTimeElapsed:
      if (phase_ == ClientPhase::kSettling) phase_ = ClientPhase::kIdle;
      break;
    case ClientEvent::kBytesReceived:
      if (hasNoCall()) phase_ = ClientPhase::kClosed;
      break;
    case ClientEvent::kLastResponseComplete:
    case ClientEvent::kAborted:
    case ClientEvent::kPeerClosed:
      phase_ = ClientPhase::kClosed;
      break;
  }
  return phase_ != ClientPhase::kClosed;
}

}  // namespace gannetcourse::http1
