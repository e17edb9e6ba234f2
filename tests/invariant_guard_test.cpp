// InvariantGuard: each violation of an invariant is detected and counted.
#include "router/invariant_guard.h"

#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::router {
namespace {

using test::engineEntry;

constexpr RequestKey kRequest = 1;
constexpr std::size_t kIdempotentClass = 0, kKeyClass = 1, kAtMostOnceClass = 2, kZoneKeyClass = 3;
constexpr EngineId kPrefillEngine{1}, kDecodeEngine{2}, kOtherZoneEngine{3};

Instant at(double seconds) { return Instant(Duration(seconds)); }

class InvariantGuardTest : public ::testing::Test {
 protected:
  InvariantGuardTest() : guard(settings()) {
    guard.onEngineListUpdate({EngineListUpdate::Scope::kSnapshot,
                              {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode),
                               engineEntry(3, Role::kDecode, 0, 1)}});
  }

  static Settings settings() {
    Settings s;
    s.stateLeaseLimit = Duration(1);
    s.classes.resize(4);
    s.classes[kKeyClass].idempotency = s.classes[kZoneKeyClass].idempotency = Idempotency::kIdempotencyKey;
    s.classes[kKeyClass].dedupWindow = s.classes[kZoneKeyClass].dedupWindow = Duration(2);
    s.classes[kZoneKeyClass].dedupScope = DedupScope::kZone;
    s.classes[kAtMostOnceClass].idempotency = Idempotency::kAtMostOnce;
    return s;
  }
  // Accepts a request and runs one decode attempt from 1 s to 1.5 s that ends with `outcome`.
  void runDecodeAttempt(std::size_t classIndex, Outcome outcome) {
    guard.onRequestAccepted(kRequest, classIndex);
    guard.onAttemptStarted(at(1), kRequest, kDecodeEngine, CallKind::kDecode);
    guard.onAttemptEnded(at(1.5), kRequest, outcome);
  }
  std::uint64_t countOf(Violation violation) const {
    return guard.violations()[static_cast<std::size_t>(violation)];
  }
  // Expects that an attempt at `engine` would be the first violation of the test.
  void expectBlocked(Violation violation, EngineId engine, double when) {
    EXPECT_EQ(guard.checkAttempt(at(when), kRequest, engine), violation);
    EXPECT_EQ(countOf(violation), 1U);
    EXPECT_EQ(total(guard.violations()), 1U);
  }

  InvariantGuard guard;
};

TEST_F(InvariantGuardTest, BlocksAttemptWhileAnotherIsInFlight) {
  guard.onRequestAccepted(kRequest, kIdempotentClass);
  guard.onAttemptStarted(at(1), kRequest, kPrefillEngine, CallKind::kPrefill);
  expectBlocked(Violation::kConcurrentAttempts, kDecodeEngine, 1.1);
}

TEST_F(InvariantGuardTest, BlocksAttemptAfterTheFinalResponse) {
  guard.onRequestAccepted(kRequest, kIdempotentClass);
  guard.onFinalResponse(at(1), kRequest, at(2));
  expectBlocked(Violation::kAttemptAfterResponse, kPrefillEngine, 1.1);
}

TEST_F(InvariantGuardTest, CountsSecondAndLateResponses) {
  guard.onRequestAccepted(kRequest, kIdempotentClass);
  guard.onFinalResponse(at(2.4), kRequest, at(2));
  EXPECT_EQ(total(guard.violations()), 0U);
  guard.onFinalResponse(at(2.6), kRequest, at(2));
  EXPECT_EQ(countOf(Violation::kSecondResponse), 1U);
  EXPECT_EQ(countOf(Violation::kLateResponse), 1U);
}

// A second attempt could repeat the request's effect, and a rejection would let the client retry the request.
TEST_F(InvariantGuardTest, BlocksRepeatAndRejectionWhenAtMostOnceAttemptMayHaveExecuted) {
  runDecodeAttempt(kAtMostOnceClass, Outcome::kTimeout);
  expectBlocked(Violation::kDuplicateEffect, kDecodeEngine, 1.6);
  EXPECT_EQ(guard.checkRejection(kRequest), Violation::kRejectedAfterStart);
}

TEST_F(InvariantGuardTest, AllowsRepeatAndRejectionWhenAtMostOnceAttemptNeverExecuted) {
  for (const Outcome outcome :
       {Outcome::kRejected, Outcome::kStateLost, Outcome::kConnectFailed, Outcome::kNotSent}) {
    guard.forget(kRequest);
    runDecodeAttempt(kAtMostOnceClass, outcome);
    EXPECT_EQ(guard.checkAttempt(at(1.6), kRequest, kDecodeEngine), std::nullopt);
    EXPECT_EQ(guard.checkRejection(kRequest), std::nullopt);
  }
  EXPECT_EQ(total(guard.violations()), 0U);
}

TEST_F(InvariantGuardTest, BlocksRejectionOfAtMostOnceRequestDuringItsDecode) {
  guard.onRequestAccepted(kRequest, kAtMostOnceClass);
  guard.onAttemptStarted(at(1), kRequest, kPrefillEngine, CallKind::kPrefill);
  EXPECT_EQ(guard.checkRejection(kRequest), std::nullopt)
      << "a request must be rejectable during its prefill";
  guard.onAttemptEnded(at(1.1), kRequest, Outcome::kPrefilled);
  guard.onAttemptStarted(at(1.2), kRequest, kDecodeEngine, CallKind::kDecode);
  EXPECT_EQ(guard.checkRejection(kRequest), Violation::kRejectedAfterStart);
}

// Engines drop a repeated idempotency key only within the deduplication window and scope of the first
// attempt.
TEST_F(InvariantGuardTest, BlocksRepeatOutsideDedupWindowOrScope) {
  runDecodeAttempt(kKeyClass, Outcome::kReset);
  EXPECT_EQ(guard.checkAttempt(at(2.9), kRequest, kOtherZoneEngine), std::nullopt);
  expectBlocked(Violation::kDuplicateEffect, kDecodeEngine, 3.1);
  guard.forget(kRequest);
  runDecodeAttempt(kZoneKeyClass, Outcome::kReset);
  EXPECT_EQ(guard.checkAttempt(at(1.6), kRequest, kDecodeEngine), std::nullopt);
  EXPECT_EQ(guard.checkAttempt(at(1.6), kRequest, kOtherZoneEngine), Violation::kDuplicateEffect);
  EXPECT_EQ(guard.checkRejection(kRequest), Violation::kRejectedAfterStart)
      << "a rejection must be blocked, because the client's retry may be routed to another zone";
}

TEST_F(InvariantGuardTest, BlocksAttemptAtDrainingOrUnlistedEngine) {
  guard.onRequestAccepted(kRequest, kIdempotentClass);
  EngineEntry draining = engineEntry(1, Role::kPrefill), removed = engineEntry(2, Role::kDecode);
  draining.state = EngineEntry::State::kDraining;
  removed.state = EngineEntry::State::kRemoved;
  guard.onEngineListUpdate({EngineListUpdate::Scope::kDelta, {draining, removed}});
  for (const EngineId engine : {kPrefillEngine, kDecodeEngine, EngineId{9}})
    EXPECT_EQ(guard.checkAttempt(at(1), kRequest, engine), Violation::kAttemptToDrainingEngine);
  EXPECT_EQ(guard.checkAttempt(at(1), kRequest, kOtherZoneEngine), std::nullopt);
  guard.onEngineListUpdate({EngineListUpdate::Scope::kFetchFailed, {}});
  EXPECT_EQ(guard.checkAttempt(at(1), kRequest, kOtherZoneEngine), std::nullopt)
      << "a failed fetch must not change the engine list";
}

TEST_F(InvariantGuardTest, CountsStateLeasedForLongerThanTheLimit) {
  guard.onRequestAccepted(kRequest, kIdempotentClass);
  guard.onStateLeased(at(1), kRequest);
  guard.onStateReleased(at(1.9), kRequest);
  EXPECT_EQ(total(guard.violations()), 0U);
  guard.onStateLeased(at(2), kRequest);
  guard.onStateReleased(at(3.1), kRequest);
  EXPECT_EQ(countOf(Violation::kStateLeaseExpired), 1U);
  guard.onStateLeased(at(4), kRequest);
  guard.onStateTransferred(kRequest);
  guard.onStateReleased(at(6), kRequest);
  EXPECT_EQ(countOf(Violation::kStateLeaseExpired), 1U)
      << "a state that a decode engine has taken is not leased any more";
}

// An attempt renews the state lease when it reaches the engine. Only a response proves that it has reached
// it.
TEST_F(InvariantGuardTest, RenewsLeaseOnlyForAttemptsWithAResponse) {
  double now = 0;
  const auto expiredAfterAttempt = [&](Outcome outcome) {
    now += 10;
    guard.forget(kRequest);
    guard.onRequestAccepted(kRequest, kIdempotentClass);
    guard.onStateLeased(at(now), kRequest);
    guard.onAttemptStarted(at(now + 0.1), kRequest, kDecodeEngine, CallKind::kDecode);
    guard.onAttemptEnded(at(now + 0.9), kRequest, outcome);
    guard.onStateReleased(at(now + 1.8), kRequest);
    return countOf(Violation::kStateLeaseExpired);
  };
  std::uint64_t expected = 0;
  for (const Outcome outcome : {Outcome::kRejected, Outcome::kError})
    EXPECT_EQ(expiredAfterAttempt(outcome), expected);
  for (const Outcome outcome :
       {Outcome::kReset, Outcome::kTimeout, Outcome::kCancelled, Outcome::kConnectFailed, Outcome::kNotSent})
    EXPECT_EQ(expiredAfterAttempt(outcome), ++expected);
}

TEST_F(InvariantGuardTest, KeepsStateLeasedWhileItsDecodeHasNoResponse) {
  guard.onRequestAccepted(kRequest, kIdempotentClass);
  guard.onStateLeased(at(1), kRequest);
  guard.onAttemptStarted(at(1.1), kRequest, kDecodeEngine, CallKind::kDecode);
  guard.onStateReleased(at(2.2), kRequest);
  EXPECT_EQ(countOf(Violation::kStateLeaseExpired), 1U);
}

TEST_F(InvariantGuardTest, ListsTotalThenCountOfEachViolationByName) {
  runDecodeAttempt(kAtMostOnceClass, Outcome::kReset);
  guard.checkAttempt(at(2), kRequest, kDecodeEngine);
  guard.checkAttempt(at(2), kRequest, kDecodeEngine);
  guard.checkRejection(kRequest);
  EXPECT_EQ(textOf(guard.violations()), "3,repeat:2,refused_after_run:1");
  EXPECT_EQ(textOf(ViolationCounts{}), "0");
}

}  // namespace
}  // namespace gannetcourse::router
