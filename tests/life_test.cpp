// The state machines of connections, without sockets.
#include "http1/life.h"

#include <gtest/gtest.h>

#include <random>
#include <vector>

namespace gannetcourse::http1 {
namespace {

using H = ServerHappening;
using P = ServerPhase;
using S = ServerStep;

// A life that has come to a phase by the shortest way.
ServerLife lifeIn(P phase) {
  ServerLife life;
  const std::vector<std::pair<P, std::vector<H>>> ways = {
      {P::kFresh, {}},
      {P::kIdle, {H::kBytes, H::kRequestWhole, H::kAnswered}},
      {P::kReceiving, {H::kBytes}},
      {P::kAnswering, {H::kBytes, H::kRequestWhole}},
      {P::kFlushing, {H::kBytes, H::kRequestWhole, H::kAnsweredLast}},
      {P::kLingering, {H::kBytes, H::kRequestWhole, H::kAnsweredLast, H::kFlushed}},
      {P::kClosed, {H::kPeerEnded}}};
  for (const auto& [to, way] : ways) {
    if (to != phase) continue;
    for (const H step : way) life.on(step);
  }
  EXPECT_EQ(life.phase(), phase);
  return life;
}

const std::vector<P> kPhases = {P::kFresh,    P::kIdle,      P::kReceiving, P::kAnswering,
                                P::kFlushing, P::kLingering, P::kClosed};
const std::vector<H> kHappenings = {H::kBytes,     H::kRequestWhole, H::kUnreadable,
                                    H::kAnswered,  H::kAnsweredLast, H::kFlushed,
                                    H::kPeerEnded, H::kOverdue,      H::kDrain};

TEST(ServerLife, AnEndedPeerHasLeftInEveryPhase) {
  for (const P phase : kPhases) {
    ServerLife life = lifeIn(phase);
    const S step = life.on(H::kPeerEnded);
    EXPECT_EQ(life.phase(), P::kClosed);
    EXPECT_EQ(step, phase == P::kAnswering ? S::kGone : phase == P::kClosed ? S::kNone : S::kClose);
  }
}

TEST(ServerLife, NothingIsServedOnceOurSendingEnds) {
  for (const P phase : {P::kFlushing, P::kLingering, P::kClosed}) {
    for (const H what : kHappenings) {
      ServerLife life = lifeIn(phase);
      EXPECT_FALSE(life.reads());
      const S step = life.on(what);
      EXPECT_NE(step, S::kServe);
      EXPECT_NE(step, S::kTurnAway);
      EXPECT_FALSE(life.reads());
    }
  }
}

TEST(ServerLife, ALastAnswerIsFlushedThenShutThenWaitedFor) {
  ServerLife life = lifeIn(P::kAnswering);
  EXPECT_EQ(life.on(H::kAnsweredLast), S::kNone);
  EXPECT_EQ(life.on(H::kBytes), S::kNone);
  EXPECT_EQ(life.on(H::kFlushed), S::kShut);
  EXPECT_EQ(life.phase(), P::kLingering);
  EXPECT_EQ(life.on(H::kBytes), S::kNone);
  EXPECT_EQ(life.on(H::kPeerEnded), S::kClose);
}

TEST(ServerLife, ADrainEndsWhatRestsAndLetsTheOthersAskOnce) {
  ServerLife idle = lifeIn(P::kIdle);
  EXPECT_EQ(idle.on(H::kDrain), S::kFlush);
  EXPECT_EQ(idle.on(H::kFlushed), S::kShut);
  for (const P phase : {P::kFresh, P::kReceiving, P::kAnswering}) {
    ServerLife life = lifeIn(phase);
    EXPECT_EQ(life.on(H::kDrain), S::kNone);
    EXPECT_EQ(life.phase(), phase);
  }
}

TEST(ServerLife, EveryPhaseEndsWhenItLastsTooLong) {
  for (const P phase : kPhases) {
    ServerLife life = lifeIn(phase);
    for (int i = 0; i < 4 && life.phase() != P::kClosed; ++i) {
      const S step = life.on(H::kOverdue);
      if (step == S::kFlush || step == S::kTurnAway) life.on(H::kFlushed);
    }
    EXPECT_EQ(life.phase(), P::kClosed);
  }
}

TEST(ServerLife, RandomHappeningsNeverServeTwiceAtOnceNorAfterTheEnd) {
  std::mt19937 random(7);
  for (int life = 0; life < 2000; ++life) {
    ServerLife l;
    bool open = false, ended = false;
    for (int i = 0; i < 40; ++i) {
      const H what = kHappenings[random() % kHappenings.size()];
      if (open && (what == H::kAnswered || what == H::kAnsweredLast)) open = false;
      const bool before = l.answering();
      const S step = l.on(what);
      if (step == S::kServe) {
        EXPECT_FALSE(open);
        EXPECT_FALSE(ended);
        open = true;
      }
      if (step == S::kShut || step == S::kClose || step == S::kGone) ended = true;
      if (step == S::kGone) {
        EXPECT_TRUE(before);
        open = false;
      }
      EXPECT_EQ(open, l.answering());
    }
  }
}

TEST(ClientLife, IsUsedAgainOnlyAfterItsRest) {
  ClientLife life;
  EXPECT_TRUE(life.on(ClientHappening::kUp));
  EXPECT_TRUE(life.on(ClientHappening::kAnswerKept));
  EXPECT_FALSE(life.idle());
  EXPECT_TRUE(life.on(ClientHappening::kRested));
  EXPECT_TRUE(life.idle());
  EXPECT_TRUE(life.on(ClientHappening::kCall));
  EXPECT_EQ(life.phase(), ClientPhase::kCalling);
  EXPECT_TRUE(life.on(ClientHappening::kRested));  // of an earlier rest
  EXPECT_EQ(life.phase(), ClientPhase::kCalling);
  EXPECT_FALSE(life.on(ClientHappening::kAnswerLast));
}

TEST(ClientLife, UnaskedBytesEndItWhileNothingIsOut) {
  ClientLife life;
  life.on(ClientHappening::kUp);
  EXPECT_TRUE(life.on(ClientHappening::kUnaskedBytes));  // the answer's own
  life.on(ClientHappening::kAnswerKept);
  EXPECT_FALSE(life.on(ClientHappening::kUnaskedBytes));
  EXPECT_TRUE(life.closed());
  for (const auto what : {ClientHappening::kUp, ClientHappening::kCall, ClientHappening::kRested})
    EXPECT_FALSE(life.on(what));
}

}  // namespace
}  // namespace gannetcourse::http1
