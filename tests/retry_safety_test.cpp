// No effect twice: where requests may go again after an attempt that may have run.
#include "policy/retry_safety.h"

#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

Settings settingsWith(Idempotency idempotency, DedupScope scope) {
  Settings s = twoStageSettings();
  s.classes[0].idempotency = idempotency;
  s.classes[0].dedupScope = scope;
  s.classes[0].dedupWindow = Duration(1);
  return s;
}

TEST(RetrySafety, AnAtMostOnceRequestFailsAfterADecodeMayHaveRun) {
  PolicyHost host(settingsWith(Idempotency::kAtMostOnce, DedupScope::kAll));
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t decodeEngine = sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
  host.attemptEnded(1.3, "a", decodeEngine, Outcome::kReset);
  EXPECT_TRUE(only<StartAttempt>(host.last).empty());
  EXPECT_EQ(only<FailRequest>(host.last).size(), 1U);
  EXPECT_EQ(only<Release>(host.last).size(), 1U);
}

// An attempt in flight proves nothing until it has ended, even a prefill that can have no effect.
TEST(RetrySafety, AnAtMostOnceRequestIsNotRejectedWithAPrefillInFlight) {
  PolicyHost host(settingsWith(Idempotency::kAtMostOnce, DedupScope::kAll));
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.1, "a", 1000, 0.5);
  ASSERT_EQ(only<StartAttempt>(host.all).size(), 1U);
  host.runUntil(1.6);
  EXPECT_TRUE(only<RejectRequest>(host.all).empty());
  EXPECT_EQ(only<FailRequest>(host.all).size(), 1U);
}

TEST(RetrySafety, AnAtMostOnceRequestIsRetriedWhenProvenNotRun) {
  PolicyHost host(settingsWith(Idempotency::kAtMostOnce, DedupScope::kAll));
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t decodeEngine = sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
  EXPECT_EQ(sentTo(host.attemptEnded(1.3, "a", decodeEngine, Outcome::kConnectFailed)), 5U - decodeEngine);
}

TEST(RetrySafety, AKeyedRequestStaysInItsCellAndIsNotRejected) {
  PolicyHost host(settingsWith(Idempotency::kIdempotencyKey, DedupScope::kCell));
  host.engineList(1, {engineEntry(1, Role::kPrefill, 0), engineEntry(2, Role::kDecode, 0),
                      engineEntry(3, Role::kDecode, 1)});
  host.request(1.1, "a");
  EXPECT_EQ(sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled)), 2U);
  host.attemptEnded(1.3, "a", 2, Outcome::kError);
  for (const StartAttempt& send : only<StartAttempt>(host.last)) EXPECT_EQ(send.engine.value, 2U);
  host.runUntil(5.2);
  for (const StartAttempt& send : only<StartAttempt>(host.all)) EXPECT_NE(send.engine.value, 3U);
  EXPECT_TRUE(only<RejectRequest>(host.all).empty());
}

TEST(RetrySafety, AKeyedRequestIsNotRetriedAfterItsWindow) {
  PolicyHost host(settingsWith(Idempotency::kIdempotencyKey, DedupScope::kAll));
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t decodeEngine = sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
  host.attemptEnded(2.3, "a", decodeEngine,
                    Outcome::kError);  // 1.1 s after that start, past the window of 1 s
  EXPECT_TRUE(only<StartAttempt>(host.last).empty()) << "not even to a prefill engine";
  EXPECT_EQ(only<RejectRequest>(host.last).size(), 1U) << "given up, so rejected at once";
  EXPECT_TRUE(only<StartAttempt>(host.runUntil(5.2)).empty());
}

// An attempt may leave as late as its connection takes to come up: that, too, has to be within the window.
TEST(RetrySafety, AKeyedRequestLeavesWithinItsWindowThoughConnectingTakesTime) {
  for (const double dial : {0.0, 0.25}) {
    Settings settings = settingsWith(Idempotency::kIdempotencyKey, DedupScope::kAll);
    settings.connectTimeout = Duration(dial);
    settings.stateLeaseLimit = Duration(0);  // its state still waits at that time
    PolicyHost host(settings);
    host.engineList(
        1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
    host.request(1.1, "a");
    const std::uint32_t decodeEngine = sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
    host.attemptEnded(2.0, "a", decodeEngine, Outcome::kError);  // 0.8 s after that start, of a window of 1 s
    EXPECT_EQ(only<StartAttempt>(host.last).size(), dial > 0 ? 0U : 1U);
  }
}

// A machine may stall between the decision and the write.
TEST(RetrySafety, AKeyedRequestLeavesWithinItsWindowThoughTheMachineStalls) {
  for (const double failsAfter : {0.8, 0.9}) {
    Settings settings = settingsWith(Idempotency::kIdempotencyKey, DedupScope::kAll);
    settings.stateLeaseLimit = Duration(0);  // its state still waits at that time
    PolicyHost host(settings);
    host.engineList(
        1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
    host.request(1.1, "a");
    const std::uint32_t decodeEngine = sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
    host.attemptEnded(1.2 + failsAfter, "a", decodeEngine, Outcome::kError);
    EXPECT_EQ(only<StartAttempt>(host.last).size(), failsAfter > 0.85 ? 0U : 1U);
  }
}

// A request is finished under the class that it was accepted with, whatever comes into service meanwhile.
TEST(RetrySafety, NewSettingsDoNotLoosenTheClassOfAnOpenRequest) {
  PolicyHost host(settingsWith(Idempotency::kAtMostOnce, DedupScope::kAll));
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t decodeEngine = sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
  Settings moved = settingsWith(Idempotency::kAtMostOnce, DedupScope::kAll);
  moved.classes[0].inService = false;
  moved.classes.push_back(twoStageSettings().classes[0]);
  moved.routerCount = 150;
  moved.tenants = {{1, 10}};
  host.feed(1.25, SettingsChanged{moved});
  EXPECT_TRUE(only<StartAttempt>(host.last).empty());
  host.attemptEnded(1.3, "a", decodeEngine, Outcome::kReset);
  EXPECT_TRUE(only<StartAttempt>(host.last).empty());
  EXPECT_EQ(only<FailRequest>(host.last).size(), 1U);
  RequestArrived fresh;
  fresh.id = {"b"};
  fresh.classIndex = 1;
  fresh.tenant = 0;
  fresh.timeUntilDeadline = Duration(4);
  fresh.promptTokens = 500;
  EXPECT_NE(sentTo(host.feed(1.4, fresh)), 0U);
}

// The rules of the module by itself: class, what has happened, what is allowed.
TEST(RetrySafetyRules, RejectionNeedsProofThatNothingRanOrRequestsThatMayRepeat) {
  struct Case {
    Idempotency idempotency;
    DedupScope scope;
    bool rejectedWhenInFlight;
  };
  const Case cases[] = {{Idempotency::kIdempotent, DedupScope::kCell, true},
                        {Idempotency::kIdempotencyKey, DedupScope::kAll, true},
                        {Idempotency::kIdempotencyKey, DedupScope::kZone, false},
                        {Idempotency::kIdempotencyKey, DedupScope::kCell, false},
                        {Idempotency::kAtMostOnce, DedupScope::kAll, false}};
  for (const Case& c : cases) {
    const policy::DecisionContext context(settingsWith(c.idempotency, c.scope));
    const policy::RetrySafety safety(context);
    policy::Request request;
    EXPECT_TRUE(safety.canReject(request)) << "nothing was started";
    request.attemptInFlight = true;
    EXPECT_EQ(safety.canReject(request), c.rejectedWhenInFlight);
    request.attemptInFlight = false;
    policy::RetrySafety::recordPossibleRun(request, engineEntry(1, Role::kDecode));
    EXPECT_EQ(safety.canReject(request), c.rejectedWhenInFlight);
  }
}

TEST(RetrySafetyRules, ARetryStaysInTheScopeOfTheFirstRun) {
  const DedupScope scopes[] = {DedupScope::kAll, DedupScope::kZone, DedupScope::kCell};
  for (const DedupScope scope : scopes) {
    const policy::DecisionContext context(settingsWith(Idempotency::kIdempotencyKey, scope));
    const policy::RetrySafety safety(context);
    policy::Request request;
    policy::RetrySafety::recordPossibleRun(request, engineEntry(1, Role::kDecode, 1, 1));
    policy::RetrySafety::recordPossibleRun(request, engineEntry(9, Role::kDecode, 2, 2));  // not the first
    policy::Engine sameCell, sameZone, elsewhere;
    sameCell.entry = engineEntry(2, Role::kDecode, 1, 1);
    sameZone.entry = engineEntry(3, Role::kDecode, 3, 1);
    elsewhere.entry = engineEntry(4, Role::kDecode, 2, 2);
    EXPECT_TRUE(safety.isAllowedOn(sameCell, request));
    EXPECT_EQ(safety.isAllowedOn(sameZone, request), scope != DedupScope::kCell);
    EXPECT_EQ(safety.isAllowedOn(elsewhere, request), scope == DedupScope::kAll);
  }
}

TEST(RetrySafetyRules, OutcomesThatProveThatNothingRan) {
  for (const Outcome outcome :
       {Outcome::kRejected, Outcome::kStateLost, Outcome::kConnectFailed, Outcome::kNotSent}) {
    EXPECT_TRUE(policy::RetrySafety::isProvenNotRun(outcome));
  }
  for (const Outcome outcome : {Outcome::kOk, Outcome::kError, Outcome::kTimeout, Outcome::kReset,
                                Outcome::kCancelled, Outcome::kPrefilled}) {
    EXPECT_FALSE(policy::RetrySafety::isProvenNotRun(outcome));
  }
}

}  // namespace
}  // namespace gannetcourse::test
