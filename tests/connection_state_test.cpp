// Tests of the HTTP/1.1 connection state machines, without sockets.
#include "http1/connection_state.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace gannetcourse::http1 {
namespace {

using Event = ServerEvent;
using Phase = ServerPhase;
using Action = ServerAction;

// Returns a state machine that has reached `phase` by the shortest sequence of events.
ServerConnectionState stateIn(Phase phase) {
  ServerConnectionState state;
  const std::vector<std::pair<Phase, std::vector<Event>>> paths = {
      {Phase::kNew, {}},
      {Phase::kIdle, {Event::kBytesReceived, Event::kRequestComplete, Event::kResponseComplete}},
      {Phase::kReceiving, {Event::kBytesReceived}},
      {Phase::kResponding, {Event::kBytesReceived, Event::kRequestComplete}},
      {Phase::kFlushing, {Event::kBytesReceived, Event::kRequestComplete, Event::kLastResponseComplete}},
      {Phase::kLingering,
       {Event::kBytesReceived, Event::kRequestComplete, Event::kLastResponseComplete, Event::kOutputFlushed}},
      {Phase::kClosed, {Event::kPeerClosed}}};
  for (const auto& [to, path] : paths) {
    if (to != phase) continue;
    for (const Event event : path) state.handle(event);
  }
  EXPECT_EQ(state.phase(), phase);
  return state;
}

const std::vector<Phase> kPhases = {Phase::kNew,        Phase::kIdle,     Phase::kReceiving,
                                    Phase::kResponding, Phase::kFlushing, Phase::kLingering,
                                    Phase::kClosed};
const std::vector<Event> kEvents = {Event::kBytesReceived,
                                    Event::kRequestComplete,
                                    Event::kRequestMalformed,
                                    Event::kResponseComplete,
                                    Event::kLastResponseComplete,
                                    Event::kOutputFlushed,
                                    Event::kPeerClosed,
                                    Event::kTimedOut,
                                    Event::kDrain};

TEST(ServerConnectionState, ClosesInEveryPhaseWhenPeerCloses) {
  for (const Phase phase : kPhases) {
    ServerConnectionState state = stateIn(phase);
    const Action action = state.handle(Event::kPeerClosed);
    EXPECT_EQ(state.phase(), Phase::kClosed);
    EXPECT_EQ(action, phase == Phase::kResponding ? Action::kCloseAndNotify
                      : phase == Phase::kClosed   ? Action::kNone
                                                  : Action::kClose);
  }
}

TEST(ServerConnectionState, DispatchesNoRequestWhileClosing) {
  for (const Phase phase : {Phase::kFlushing, Phase::kLingering, Phase::kClosed}) {
    for (const Event event : kEvents) {
      ServerConnectionState state = stateIn(phase);
      EXPECT_FALSE(state.isReadingRequests());
      const Action action = state.handle(event);
      EXPECT_NE(action, Action::kDispatchRequest);
      EXPECT_NE(action, Action::kRejectRequest);
      EXPECT_FALSE(state.isReadingRequests());
    }
  }
}

TEST(ServerConnectionState, FlushesShutsDownAndLingersAfterLastResponse) {
  ServerConnectionState state = stateIn(Phase::kResponding);
  EXPECT_EQ(state.handle(Event::kLastResponseComplete), Action::kNone);
  EXPECT_EQ(state.handle(Event::kBytesReceived), Action::kNone);
  EXPECT_EQ(state.handle(Event::kOutputFlushed), Action::kShutdownWrite);
  EXPECT_EQ(state.phase(), Phase::kLingering);
  EXPECT_EQ(state.handle(Event::kBytesReceived), Action::kNone);
  EXPECT_EQ(state.handle(Event::kPeerClosed), Action::kClose);
}

TEST(ServerConnectionState, ClosesIdleAndKeepsOtherConnectionsOnDrain) {
  ServerConnectionState idle = stateIn(Phase::kIdle);
  EXPECT_EQ(idle.handle(Event::kDrain), Action::kFlushOutput);
  EXPECT_EQ(idle.handle(Event::kOutputFlushed), Action::kShutdownWrite);
  for (const Phase phase : {Phase::kNew, Phase::kReceiving, Phase::kResponding}) {
    ServerConnectionState state = stateIn(phase);
    EXPECT_EQ(state.handle(Event::kDrain), Action::kNone);
    EXPECT_EQ(state.phase(), phase);
  }
}

TEST(ServerConnectionState, ClosesFromEveryPhaseAfterTimeouts) {
  for (const Phase phase : kPhases) {
    ServerConnectionState state = stateIn(phase);
    for (int i = 0; i < 4 && state.phase() != Phase::kClosed; ++i) {
      const Action action = state.handle(Event::kTimedOut);
      if (action == Action::kFlushOutput || action == Action::kRejectRequest)
        state.handle(Event::kOutputFlushed);
    }
    EXPECT_EQ(state.phase(), Phase::kClosed);
  }
}

TEST(ServerConnectionState, DispatchesAtMostOneRequestAtATimeAndNoneAfterClosing) {
  std::mt19937 random(7);
  for (int round = 0; round < 2000; ++round) {
    ServerConnectionState state;
    bool requestInProgress = false, closing = false;
    for (int i = 0; i < 40; ++i) {
      const Event event = kEvents[random() % kEvents.size()];
      if (requestInProgress && (event == Event::kResponseComplete || event == Event::kLastResponseComplete))
        requestInProgress = false;
      const bool wasResponding = state.isResponding();
      const Action action = state.handle(event);
      if (action == Action::kDispatchRequest) {
        EXPECT_FALSE(requestInProgress);
        EXPECT_FALSE(closing);
        requestInProgress = true;
      }
      if (action == Action::kShutdownWrite || action == Action::kClose || action == Action::kCloseAndNotify)
        closing = true;
      if (action == Action::kCloseAndNotify) {
        EXPECT_TRUE(wasResponding);
        requestInProgress = false;
      }
      EXPECT_EQ(requestInProgress, state.isResponding());
    }
  }
}

TEST(ClientConnectionState, IsIdleOnlyAfterSettleDelay) {
  ClientConnectionState state;
  EXPECT_TRUE(state.handle(ClientEvent::kConnected));
  EXPECT_TRUE(state.handle(ClientEvent::kResponseComplete));
  EXPECT_FALSE(state.isIdle());
  EXPECT_TRUE(state.handle(ClientEvent::kSettleTimeElapsed));
  EXPECT_TRUE(state.isIdle());
  EXPECT_TRUE(state.handle(ClientEvent::kCallStarted));
  EXPECT_EQ(state.phase(), ClientPhase::kCallInProgress);
  EXPECT_TRUE(state.handle(ClientEvent::kSettleTimeElapsed));  // late timer of the previous settle delay
  EXPECT_EQ(state.phase(), ClientPhase::kCallInProgress);
  EXPECT_FALSE(state.handle(ClientEvent::kLastResponseComplete));
}

TEST(ClientConnectionState, ClosesOnBytesReceivedWhileNoCallIsInFlight) {
  ClientConnectionState state;
  state.handle(ClientEvent::kConnected);
  EXPECT_TRUE(state.handle(ClientEvent::kBytesReceived));  // bytes of the response
  state.handle(ClientEvent::kResponseComplete);
  EXPECT_FALSE(state.handle(ClientEvent::kBytesReceived));
  EXPECT_TRUE(state.isClosed());
  for (const auto event :
       {ClientEvent::kConnected, ClientEvent::kCallStarted, ClientEvent::kSettleTimeElapsed})
    EXPECT_FALSE(state.handle(event));
}

}  // namespace
}  // namespace gannetcourse::http1
