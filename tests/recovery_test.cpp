// The recovery module: when a stream counts as lost, and whether, when and how many go on.
#include "gannetcourse/recovery.h"

#include <gtest/gtest.h>

namespace gannetcourse::recovery {
namespace {

Instant at(double seconds) { return Instant(Duration(seconds)); }

Limits limits() {
  Limits l;
  l.maxAttempts = 6;
  l.rebuildBurst = 3000;
  l.rebuildShare = 0.5;
  l.effects = {Effect::kSafe, Effect::kUnsafe, Effect::kKeyed, Effect::kSafe};
  l.worths = {1, 1, 1, 5};
  return l;
}

Lost lost(StreamKey key, std::size_t classIndex = 0, double tokens = 1000, double left = 10) {
  return {key, classIndex, tokens, Duration(left), 0, 2};
}

class RecoveryTest : public ::testing::Test {
 protected:
  // Streams that bring a token every 50 ms until `end`.
  void run(StreamKey key, double from, double end, std::size_t classIndex = 0) {
    recovery.started(at(from), key, classIndex);
    for (double t = from; t < end; t += 0.05) recovery.token(at(t), key, 6);
  }
  Recovery recovery{limits()};
};

TEST_F(RecoveryTest, ASafeStreamGoesOn) {
  run(1, 0, 1);
  EXPECT_EQ(recovery.lost(at(1), lost(1)).verdict, Verdict::kGoOn);
}

TEST_F(RecoveryTest, AStreamWithAnEffectNeverGoesOn) {
  run(1, 0, 1, 1);
  run(2, 0, 1, 2);
  for (const StreamKey key : {1, 2}) {
    const Decision d = recovery.lost(at(1), lost(key, key));
    EXPECT_EQ(d.verdict, Verdict::kGiveUp);
    EXPECT_EQ(d.why, "its effect may have happened");
  }
}

TEST_F(RecoveryTest, GivesUpWhereNothingCanBeGained) {
  run(1, 0, 1);
  Lost late = lost(1);
  late.timeLeft = Duration(0.3);
  EXPECT_EQ(recovery.lost(at(1), late).why, "no time left");
  Lost tried = lost(1);
  tried.attempts = 5;
  EXPECT_EQ(recovery.lost(at(1), tried).why, "no attempts left");
  Lost moved = lost(1);
  moved.moves = 3;
  EXPECT_EQ(recovery.lost(at(1), moved).why, "moved too often");
  EXPECT_EQ(recovery.lost(at(1), lost(9)).why, "its text was not kept");
}

TEST_F(RecoveryTest, TextPastItsBudgetEndsThat) {
  Limits l = limits();
  l.keptPerStream = 100;
  l.keptPerNode = 150;
  Recovery small(l);
  small.started(at(0), 1, 0);
  small.started(at(0), 2, 0);
  EXPECT_TRUE(small.token(at(0), 1, 90));
  EXPECT_FALSE(small.token(at(0), 2, 70)) << "over the node's";
  EXPECT_EQ(small.keptBytes(), 90u);
  EXPECT_FALSE(small.token(at(0), 1, 20)) << "over the stream's";
  EXPECT_EQ(small.keptBytes(), 0u);
  EXPECT_FALSE(small.token(at(0), 1, 1)) << "once lost it stays so";
  EXPECT_EQ(small.lost(at(1), lost(1)).verdict, Verdict::kGiveUp);
}

TEST_F(RecoveryTest, ASilentStreamIsFoundAndAPauseIsNot) {
  run(1, 0, 1);
  run(2, 0, 4);
  EXPECT_TRUE(recovery.silent(at(2.2)).empty()) << "a pause of 1.2 s";
  EXPECT_EQ(recovery.silent(at(4)), std::vector<StreamKey>{1});
}

TEST_F(RecoveryTest, WhereAllWritersStandStillNobodyIsMoved) {
  run(1, 0, 1);
  run(2, 0, 1);
  EXPECT_TRUE(recovery.silent(at(9)).empty());
}

TEST_F(RecoveryTest, AClientThatTakesNothingIsNoSilence) {
  run(1, 0, 1);
  recovery.paused(at(1), 1, true);
  run(2, 0, 5);
  EXPECT_TRUE(recovery.silent(at(5)).empty());
  recovery.paused(at(5), 1, false);
  run(3, 5, 8);
  EXPECT_TRUE(recovery.silent(at(5.5)).empty()) << "what was held back comes first";
  EXPECT_EQ(recovery.silent(at(8)), (std::vector<StreamKey>{1, 2}));
}

TEST_F(RecoveryTest, AThirdOfTheWritersGoneIsNoStorm) {
  for (StreamKey key = 1; key <= 30; ++key) run(key, 0, 1);
  int goOn = 0;
  for (StreamKey key = 1; key <= 30; ++key) goOn += recovery.lost(at(1), lost(key)).verdict == Verdict::kGoOn;
  EXPECT_EQ(goOn, 3) << "the burst";
  EXPECT_TRUE(recovery.turns(at(1.1)).goOn.empty());
  recovery.readTokens(at(1.2), 4000);  // new requests' reads: half as much for continuations
  EXPECT_EQ(recovery.turns(at(1.2)).goOn.size(), 2u);
  const auto late = recovery.turns(at(3));
  EXPECT_EQ(late.giveUp.size(), 25u) << "who waited too long is told so";
  EXPECT_TRUE(recovery.turns(at(3.1)).giveUp.empty());
}

TEST_F(RecoveryTest, WorthGoesFirst) {
  for (StreamKey key = 1; key <= 6; ++key) run(key, 0, 1, key == 6 ? 3 : 0);
  for (StreamKey key = 1; key <= 6; ++key) recovery.lost(at(1), lost(key, key == 6 ? 3 : 0));
  recovery.readTokens(at(1.2), 2000);
  EXPECT_EQ(recovery.turns(at(1.2)).goOn, std::vector<StreamKey>{6});
}

TEST_F(RecoveryTest, OffMeansOff) {
  Limits l = limits();
  l.enabled = false;
  Recovery off(l);
  off.started(at(0), 1, 0);
  off.token(at(0), 1, 5);
  EXPECT_EQ(off.lost(at(1), lost(1)).why, "recovery is off");
  EXPECT_TRUE(off.silent(at(9)).empty());
}

}  // namespace
}  // namespace gannetcourse::recovery
