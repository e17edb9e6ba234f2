// The recovery module: when a stream counts as lost, and whether, when and how many are continued.
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
  l.idempotency = {Idempotency::kIdempotent, Idempotency::kAtMostOnce, Idempotency::kIdempotencyKey,
                   Idempotency::kIdempotent};
  l.priorityWeights = {1, 1, 1, 5};
  return l;
}

LostStream lost(StreamKey key, std::size_t classIndex = 0, double tokens = 1000, double left = 10) {
  return {key, classIndex, tokens, Duration(left), 0, 2, AttemptEnd::kConfirmed};
}

Stream stream(std::size_t classIndex, std::uint32_t engine = 1) {
  return {classIndex, EngineId{engine}, 1000, 1000, at(1000), 0, 2};
}

class RecoveryTest : public ::testing::Test {
 protected:
  // Streams that bring a token every 50 ms until `end`.
  void runStream(StreamKey key, double from, double end, std::size_t classIndex = 0) {
    recovery.onStreamStarted(at(from), key, stream(classIndex));
    for (double t = from; t < end; t += 0.05) recovery.onToken(at(t), key, 6);
  }
  std::vector<StreamKey> migrated(Instant now) {
    std::vector<StreamKey> keys;
    for (const Recovery::Migration& migration : recovery.streamsToMigrate(now))
      keys.push_back(migration.stream);
    return keys;
  }
  Recovery recovery{limits()};
};

TEST_F(RecoveryTest, AnIdempotentStreamIsContinued) {
  runStream(1, 0, 1);
  EXPECT_EQ(recovery.onStreamLost(at(1), lost(1)).disposition, Disposition::kContinue);
}

TEST_F(RecoveryTest, AStreamWithAnEffectIsNeverContinued) {
  runStream(1, 0, 1, 1);
  runStream(2, 0, 1, 2);
  for (const StreamKey key : {1, 2}) {
    const Decision d = recovery.onStreamLost(at(1), lost(key, key));
    EXPECT_EQ(d.disposition, Disposition::kGiveUp);
    EXPECT_EQ(d.reason, "its effect may have happened");
  }
}

TEST_F(RecoveryTest, GivesUpWhereAContinuationCannotSucceed) {
  runStream(1, 0, 1);
  LostStream late = lost(1);
  late.timeUntilDeadline = Duration(0.3);
  EXPECT_EQ(recovery.onStreamLost(at(1), late).reason, "no time left");
  LostStream noAttemptsLeft = lost(1);
  noAttemptsLeft.attempts = 5;
  EXPECT_EQ(recovery.onStreamLost(at(1), noAttemptsLeft).reason, "no attempts left");
  LostStream continuedOften = lost(1);
  continuedOften.continuations = 3;
  EXPECT_EQ(recovery.onStreamLost(at(1), continuedOften).reason, "moved too often");
  EXPECT_EQ(recovery.onStreamLost(at(1), lost(9)).reason, "its text was not kept");
}

TEST_F(RecoveryTest, TextBeyondItsBufferLimitPreventsAContinuation) {
  Limits l = limits();
  l.maxBufferedBytesPerStream = 100;
  l.maxBufferedBytes = 150;
  Recovery small(l);
  small.onStreamStarted(at(0), 1, stream(0));
  small.onStreamStarted(at(0), 2, stream(0));
  EXPECT_TRUE(small.onToken(at(0), 1, 90));
  EXPECT_FALSE(small.onToken(at(0), 2, 70)) << "over the router's";
  EXPECT_EQ(small.bufferedBytes(), 90u);
  EXPECT_FALSE(small.onToken(at(0), 1, 20)) << "over the stream's";
  EXPECT_EQ(small.bufferedBytes(), 0u);
  EXPECT_FALSE(small.onToken(at(0), 1, 1)) << "it stays so";
  EXPECT_EQ(small.onStreamLost(at(1), lost(1)).disposition, Disposition::kGiveUp);
}

TEST_F(RecoveryTest, ASilentStreamIsMigratedAndAPausingOneIsNot) {
  runStream(1, 0, 1);
  runStream(2, 0, 4);
  EXPECT_TRUE(migrated(at(2.2)).empty()) << "a pause of 1.2 s";
  EXPECT_EQ(migrated(at(4)), std::vector<StreamKey>{1});
}

TEST_F(RecoveryTest, NoStreamIsMigratedWhileAllStandStill) {
  runStream(1, 0, 1);
  runStream(2, 0, 1);
  EXPECT_TRUE(migrated(at(9)).empty());
}

TEST_F(RecoveryTest, APausedClientIsNoSilence) {
  runStream(1, 0, 1);
  recovery.onClientPaused(at(1), 1, true);
  runStream(2, 0, 5);
  EXPECT_TRUE(migrated(at(5)).empty());
  recovery.onClientPaused(at(5), 1, false);
  runStream(3, 5, 8);
  EXPECT_TRUE(migrated(at(5.5)).empty()) << "the tokens that were kept back come first";
  EXPECT_EQ(migrated(at(8)), (std::vector<StreamKey>{1, 2}));
}

TEST_F(RecoveryTest, TheLossOfAThirdOfTheEnginesCausesNoStorm) {
  for (StreamKey key = 1; key <= 30; ++key) runStream(key, 0, 1);
  int continued = 0;
  for (StreamKey key = 1; key <= 30; ++key)
    continued += recovery.onStreamLost(at(1), lost(key)).disposition == Disposition::kContinue;
  EXPECT_EQ(continued, 3) << "the burst";
  EXPECT_TRUE(recovery.takeDueStreams(at(1.1)).toContinue.empty());
  recovery.onPrefillStarted(4000);  // of new requests: half as much for continuations
  EXPECT_EQ(recovery.takeDueStreams(at(1.2)).toContinue.size(), 2u);
  const auto late = recovery.takeDueStreams(at(3));
  EXPECT_EQ(late.toGiveUp.size(), 25u) << "streams that waited too long are given up";
  EXPECT_TRUE(recovery.takeDueStreams(at(3.1)).toGiveUp.empty());
}

TEST_F(RecoveryTest, TheGreaterPriorityWeightComesFirst) {
  for (StreamKey key = 1; key <= 6; ++key) runStream(key, 0, 1, key == 6 ? 3 : 0);
  for (StreamKey key = 1; key <= 6; ++key) recovery.onStreamLost(at(1), lost(key, key == 6 ? 3 : 0));
  recovery.onPrefillStarted(2000);
  EXPECT_EQ(recovery.takeDueStreams(at(1.2)).toContinue, std::vector<StreamKey>{6});
}

TEST_F(RecoveryTest, DisabledRecoveryContinuesNothing) {
  Limits l = limits();
  l.enabled = false;
  Recovery disabled(l);
  disabled.onStreamStarted(at(0), 1, stream(0));
  disabled.onToken(at(0), 1, 5);
  EXPECT_EQ(disabled.onStreamLost(at(1), lost(1)).reason, "recovery is off");
  EXPECT_TRUE(disabled.streamsToMigrate(at(9)).empty());
}

TEST_F(RecoveryTest, AStreamThatMayStillRunWaitsForItsFenceOrItsLease) {
  runStream(1, 0, 1);
  runStream(2, 0, 1);
  LostStream abandoned = lost(1);
  abandoned.attemptEnd = AttemptEnd::kAbandoned;
  EXPECT_EQ(recovery.onStreamLost(at(1), abandoned).disposition, Disposition::kFenceFirst)
      << "its engine is asked immediately";
  abandoned.stream = 2;
  EXPECT_EQ(recovery.onStreamLost(at(1), abandoned).disposition, Disposition::kFenceFirst);
  EXPECT_TRUE(recovery.takeDueStreams(at(1.1)).toFence.empty()) << "and not at every check";
  EXPECT_EQ(recovery.onAttemptFenced(at(1.2), 1), Disposition::kContinue);
  const auto due = recovery.takeDueStreams(at(1.3));
  EXPECT_TRUE(due.toContinue.empty()) << "once";
  EXPECT_EQ(due.toFence, std::vector<StreamKey>{2}) << "the silent one is asked again";
  EXPECT_TRUE(recovery.takeDueStreams(at(2.9)).toContinue.empty());
  EXPECT_EQ(recovery.takeDueStreams(at(3.05)).toContinue, std::vector<StreamKey>{2})
      << "its lease has expired";
}

TEST_F(RecoveryTest, AStreamThatCannotBeContinuedIsNotMigrated) {
  runStream(1, 0, 1, 1);
  runStream(2, 0, 4);
  EXPECT_TRUE(migrated(at(4)).empty()) << "it may still complete where it is";
}

TEST_F(RecoveryTest, LongStreamsOfAnEngineThatShutsDownMigrateInWaves) {
  for (StreamKey key = 1; key <= 6; ++key)
    recovery.onStreamStarted(at(0), key, {0, EngineId{7}, 400, 100, at(60), 0, 2});
  recovery.onStreamStarted(at(0), 7,
                           {0, EngineId{7}, 400, 22, at(60), 0, 2});  // short: it ends before its engine does
  recovery.onStreamStarted(at(0), 8, {0, EngineId{8}, 400, 100, at(60), 0, 2});
  for (double t = 0; t < 1; t += 0.05) {
    for (StreamKey key = 1; key <= 8; ++key) recovery.onToken(at(t), key, 6);
  }
  EXPECT_TRUE(migrated(at(1)).empty());
  recovery.onEngineShutdownNotice(EngineId{7}, at(2));
  std::vector<StreamKey> all;
  for (int check = 0; check < 7; ++check) {
    const auto wave = migrated(at(1 + 0.1 * check));
    EXPECT_LE(wave.size(), 1u) << "spread over the time that is left";
    for (const StreamKey key : wave) {
      LostStream abandoned = lost(key, 0, 420);
      abandoned.attemptEnd = AttemptEnd::kAbandoned;
      recovery.onStreamLost(at(1 + 0.1 * check), abandoned);
      all.push_back(key);
    }
  }
  EXPECT_EQ(all, (std::vector<StreamKey>{1, 2, 3, 4, 5, 6}));
  EXPECT_LE(1 + 0.1 * 7, 2 - limits().migrationLeadTime.count() + 1e-9) << "before its end";
}

TEST_F(RecoveryTest, AFencedStreamWaitsBehindThoseThatWaitForTheBudget) {
  for (StreamKey key = 1; key <= 4; ++key) runStream(key, 0, 1);
  recovery.onStreamLost(at(1), lost(1, 0, 3000));
  EXPECT_EQ(recovery.onStreamLost(at(1), lost(2)).disposition, Disposition::kWait);
  LostStream abandoned = lost(3);
  abandoned.attemptEnd = AttemptEnd::kAbandoned;
  recovery.onStreamLost(at(1), abandoned);
  recovery.onPrefillStarted(2000);
  EXPECT_EQ(recovery.onAttemptFenced(at(1.1), 3), Disposition::kWait);
  EXPECT_EQ(recovery.takeDueStreams(at(1.2)).toContinue, std::vector<StreamKey>{2});
}

TEST_F(RecoveryTest, AnEngineThatIsThereAfterItsShutdownTimeHasStayed) {
  recovery.onGoAway(at(0), EngineId{1});
  runStream(1, 4, 5);
  EXPECT_TRUE(migrated(at(5)).empty()) << "a process that restarted under the same number";
  recovery.onGoAway(at(5), EngineId{1});
  EXPECT_EQ(migrated(at(5)).size(), 1u) << "and shuts down again";
}

TEST_F(RecoveryTest, AWithdrawnShutdownNoticeMigratesNothing) {
  runStream(1, 0, 1);
  recovery.onEngineShutdownNotice(EngineId{1}, at(3));
  recovery.onEngineShutdownNotice(EngineId{1}, {});
  EXPECT_TRUE(migrated(at(1)).empty());
}

TEST_F(RecoveryTest, ASlowStreamIsMigratedOnlyToMeetItsDeadline) {
  recovery.onStreamStarted(at(0), 1, {0, EngineId{2}, 500, 100, at(20), 0, 2});
  recovery.onStreamStarted(at(0), 2, {0, EngineId{2}, 500, 14, at(20), 0, 2});  // ends in time where it is
  for (StreamKey key = 3; key <= 8; ++key) recovery.onStreamStarted(at(0), key, stream(0));
  for (int step = 0; step < 100; ++step) {
    const Instant now = at(0.05 * step);
    for (StreamKey key = 3; key <= 8; ++key) recovery.onToken(now, key, 6);
    if (step % 10 != 0) continue;
    recovery.onToken(now, 1, 6);
    recovery.onToken(now, 2, 6);
    EXPECT_TRUE(step > 60 || migrated(now).empty()) << "not before it lasts";
  }
  EXPECT_EQ(migrated(at(5)), std::vector<StreamKey>{1});
}

TEST_F(RecoveryTest, AMigrationBeyondTheBudgetIsNotBegun) {
  for (StreamKey key = 1; key <= 5; ++key) runStream(key, 0, 1);
  runStream(9, 0, 4);
  EXPECT_EQ(migrated(at(4)).size(), 2u)
      << "3000 tokens of burst, 1020 a stream; the rest stay where they are";
}

}  // namespace
}  // namespace gannetcourse::recovery
