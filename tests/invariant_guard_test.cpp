// The guard of the core: each rule is found broken, and counted, whatever asked for the send or the refusal.
#include "router/invariant_guard.h"

#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::router {
namespace {

using test::server;

constexpr RequestKey kRequest = 1;
constexpr std::size_t kSafe = 0, kKeyed = 1, kUnsafe = 2, kKeyedInZone = 3;
constexpr EngineId kReader{1}, kWriter{2}, kFarWriter{3};

Instant at(double seconds) { return Instant(Duration(seconds)); }

class InvariantGuardTest : public ::testing::Test {
 protected:
  InvariantGuardTest() : guard(settings()) {
    guard.onEngineListUpdate(
        {EngineListUpdate::Scope::kSnapshot,
         {server(1, Role::kPrefill), server(2, Role::kDecode), server(3, Role::kDecode, 0, 1)}});
  }

  static Settings settings() {
    Settings s;
    s.stateLeaseLimit = Duration(1);
    s.classes.resize(4);
    s.classes[kKeyed].idempotency = s.classes[kKeyedInZone].idempotency = Idempotency::kIdempotencyKey;
    s.classes[kKeyed].dedupWindow = s.classes[kKeyedInZone].dedupWindow = Duration(2);
    s.classes[kKeyedInZone].dedupScope = DedupScope::kZone;
    s.classes[kUnsafe].idempotency = Idempotency::kAtMostOnce;
    return s;
  }
  // A request with one attempt at a writer, sent at 1 s, that ended so.
  void tried(std::size_t classIndex, Outcome outcome) {
    guard.onRequestAccepted(kRequest, classIndex);
    guard.onAttemptStarted(at(1), kRequest, kWriter, CallKind::kDecode);
    guard.onAttemptEnded(at(1.5), kRequest, outcome);
  }
  std::uint64_t counted(Violation violation) const {
    return guard.violations()[static_cast<std::size_t>(violation)];
  }
  void expectRefusedBy(Violation violation, EngineId engine, double when) {
    EXPECT_EQ(guard.checkAttempt(at(when), kRequest, engine), violation);
    EXPECT_EQ(counted(violation), 1U);
    EXPECT_EQ(total(guard.violations()), 1U);
  }

  InvariantGuard guard;
};

TEST_F(InvariantGuardTest, ASecondAttemptWhileOneIsOut) {
  guard.onRequestAccepted(kRequest, kSafe);
  guard.onAttemptStarted(at(1), kRequest, kReader, CallKind::kPrefill);
  expectRefusedBy(Violation::kConcurrentAttempts, kWriter, 1.1);
}

TEST_F(InvariantGuardTest, AnAttemptAfterTheAnswer) {
  guard.onRequestAccepted(kRequest, kSafe);
  guard.onFinalResponse(at(1), kRequest, at(2));
  expectRefusedBy(Violation::kAttemptAfterResponse, kReader, 1.1);
}

TEST_F(InvariantGuardTest, ASecondAnswerAndALateOne) {
  guard.onRequestAccepted(kRequest, kSafe);
  guard.onFinalResponse(at(2.4), kRequest, at(2));
  EXPECT_EQ(total(guard.violations()), 0U);
  guard.onFinalResponse(at(2.6), kRequest, at(2));
  EXPECT_EQ(counted(Violation::kSecondResponse), 1U);
  EXPECT_EQ(counted(Violation::kLateResponse), 1U);
}

TEST_F(InvariantGuardTest, AnUnsafeAttemptThatMayHaveRunIsNeitherRepeatedNorRefused) {
  tried(kUnsafe, Outcome::kTimeout);
  expectRefusedBy(Violation::kDuplicateEffect, kWriter, 1.6);
  EXPECT_EQ(guard.checkRejection(kRequest), Violation::kRejectedAfterStart);
}

TEST_F(InvariantGuardTest, AnUnsafeAttemptThatNeverRanMayBeRepeatedAndRefused) {
  for (const Outcome outcome :
       {Outcome::kRejected, Outcome::kStateLost, Outcome::kConnectFailed, Outcome::kNotSent}) {
    guard.forget(kRequest);
    tried(kUnsafe, outcome);
    EXPECT_EQ(guard.checkAttempt(at(1.6), kRequest, kWriter), std::nullopt);
    EXPECT_EQ(guard.checkRejection(kRequest), std::nullopt);
  }
  EXPECT_EQ(total(guard.violations()), 0U);
}

TEST_F(InvariantGuardTest, AnUnsafeRequestIsNotRefusedWhileAWriterHasIt) {
  guard.onRequestAccepted(kRequest, kUnsafe);
  guard.onAttemptStarted(at(1), kRequest, kReader, CallKind::kPrefill);
  EXPECT_EQ(guard.checkRejection(kRequest), std::nullopt) << "a read has no effect";
  guard.onAttemptEnded(at(1.1), kRequest, Outcome::kPrefilled);
  guard.onAttemptStarted(at(1.2), kRequest, kWriter, CallKind::kDecode);
  EXPECT_EQ(guard.checkRejection(kRequest), Violation::kRejectedAfterStart);
}

TEST_F(InvariantGuardTest, AKeyedRepeatOutsideItsWindowOrGroup) {
  tried(kKeyed, Outcome::kReset);
  EXPECT_EQ(guard.checkAttempt(at(2.9), kRequest, kFarWriter), std::nullopt);
  expectRefusedBy(Violation::kDuplicateEffect, kWriter, 3.1);
  guard.forget(kRequest);
  tried(kKeyedInZone, Outcome::kReset);
  EXPECT_EQ(guard.checkAttempt(at(1.6), kRequest, kWriter), std::nullopt);
  EXPECT_EQ(guard.checkAttempt(at(1.6), kRequest, kFarWriter), Violation::kDuplicateEffect);
  EXPECT_EQ(guard.checkRejection(kRequest), Violation::kRejectedAfterStart)
      << "its retry may come to another zone";
}

TEST_F(InvariantGuardTest, AnAttemptToAnEngineThatDrainsOrIsOffTheList) {
  guard.onRequestAccepted(kRequest, kSafe);
  EngineEntry draining = server(1, Role::kPrefill), gone = server(2, Role::kDecode);
  draining.state = EngineEntry::State::kDraining;
  gone.state = EngineEntry::State::kRemoved;
  guard.onEngineListUpdate({EngineListUpdate::Scope::kDelta, {draining, gone}});
  for (const EngineId engine : {kReader, kWriter, EngineId{9}})
    EXPECT_EQ(guard.checkAttempt(at(1), kRequest, engine), Violation::kAttemptToDrainingEngine);
  EXPECT_EQ(guard.checkAttempt(at(1), kRequest, kFarWriter), std::nullopt);
  guard.onEngineListUpdate({EngineListUpdate::Scope::kFetchFailed, {}});
  EXPECT_EQ(guard.checkAttempt(at(1), kRequest, kFarWriter), std::nullopt) << "a failed call tells nothing";
}

TEST_F(InvariantGuardTest, AStateThatIsHeldForLongerThanTheLimit) {
  guard.onRequestAccepted(kRequest, kSafe);
  guard.onStateLeased(at(1), kRequest);
  guard.onStateReleased(at(1.9), kRequest);
  EXPECT_EQ(total(guard.violations()), 0U);
  guard.onStateLeased(at(2), kRequest);
  guard.onStateReleased(at(3.1), kRequest);
  EXPECT_EQ(counted(Violation::kStateLeaseExpired), 1U);
  guard.onStateLeased(at(4), kRequest);
  guard.onStateTransferred(kRequest);
  guard.onStateReleased(at(6), kRequest);
  EXPECT_EQ(counted(Violation::kStateLeaseExpired), 1U) << "a writer has it";
}

// A send counts once it has arrived, and only an answer shows that it has.
TEST_F(InvariantGuardTest, OnlyAnAttemptThatWasAnsweredStopsTheTimeOfAState) {
  double now = 0;
  const auto heldOverAnAttempt = [&](Outcome outcome) {
    now += 10;
    guard.forget(kRequest);
    guard.onRequestAccepted(kRequest, kSafe);
    guard.onStateLeased(at(now), kRequest);
    guard.onAttemptStarted(at(now + 0.1), kRequest, kWriter, CallKind::kDecode);
    guard.onAttemptEnded(at(now + 0.9), kRequest, outcome);
    guard.onStateReleased(at(now + 1.8), kRequest);
    return counted(Violation::kStateLeaseExpired);
  };
  std::uint64_t expected = 0;
  for (const Outcome outcome : {Outcome::kRejected, Outcome::kError})
    EXPECT_EQ(heldOverAnAttempt(outcome), expected);
  for (const Outcome outcome :
       {Outcome::kReset, Outcome::kTimeout, Outcome::kCancelled, Outcome::kConnectFailed, Outcome::kNotSent})
    EXPECT_EQ(heldOverAnAttempt(outcome), ++expected);
}

TEST_F(InvariantGuardTest, AStateIsHeldWhileTheWriteForItSaysNothing) {
  guard.onRequestAccepted(kRequest, kSafe);
  guard.onStateLeased(at(1), kRequest);
  guard.onAttemptStarted(at(1.1), kRequest, kWriter, CallKind::kDecode);
  guard.onStateReleased(at(2.2), kRequest);
  EXPECT_EQ(counted(Violation::kStateLeaseExpired), 1U);
}

TEST_F(InvariantGuardTest, TellsItsCountsByName) {
  tried(kUnsafe, Outcome::kReset);
  guard.checkAttempt(at(2), kRequest, kWriter);
  guard.checkAttempt(at(2), kRequest, kWriter);
  guard.checkRejection(kRequest);
  EXPECT_EQ(textOf(guard.violations()), "3,repeat:2,refused_after_run:1");
  EXPECT_EQ(textOf(ViolationCounts{}), "0");
}

}  // namespace
}  // namespace gannetcourse::router
