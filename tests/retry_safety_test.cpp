// Retry safety: whether and where a request may be retried after an attempt that may have run, so that no
// effect occurs twice.
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

TEST(RetrySafety, FailsAtMostOnceRequestWhenItsDecodeMayHaveRun) {
  PolicyHost host(settingsWith(Idempotency::kAtMostOnce, DedupScope::kAll));
  host.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t decodeEngine = selectedEngine(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
  host.attemptEnded(1.3, "a", decodeEngine, Outcome::kReset);
  EXPECT_TRUE(actionsOf<StartAttempt>(host.lastActions).empty());
  EXPECT_EQ(actionsOf<FailRequest>(host.lastActions).size(), 1U);
  EXPECT_EQ(actionsOf<Release>(host.lastActions).size(), 1U);
}

// A rejection tells the client that nothing ran. An attempt in flight does not prove that, even if it is a
// prefill, which has no effect.
TEST(RetrySafety, FailsAtMostOnceRequestAtItsDeadlineWhenAPrefillIsInFlight) {
  PolicyHost host(settingsWith(Idempotency::kAtMostOnce, DedupScope::kAll));
  host.updateEngineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.1, "a", 1000, 0.5);
  ASSERT_EQ(actionsOf<StartAttempt>(host.allActions).size(), 1U);
  host.runUntil(1.6);
  EXPECT_TRUE(actionsOf<RejectRequest>(host.allActions).empty());
  EXPECT_EQ(actionsOf<FailRequest>(host.allActions).size(), 1U);
}

TEST(RetrySafety, RetriesAtMostOnceRequestWhenTheDecodeIsProvenNotRun) {
  PolicyHost host(settingsWith(Idempotency::kAtMostOnce, DedupScope::kAll));
  host.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t decodeEngine = selectedEngine(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
  EXPECT_EQ(selectedEngine(host.attemptEnded(1.3, "a", decodeEngine, Outcome::kConnectFailed)),
            5U - decodeEngine);
}

TEST(RetrySafety, RetriesRequestWithIdempotencyKeyOnlyInItsDedupCell) {
  PolicyHost host(settingsWith(Idempotency::kIdempotencyKey, DedupScope::kCell));
  host.updateEngineList(1, {engineEntry(1, Role::kPrefill, 0), engineEntry(2, Role::kDecode, 0),
                            engineEntry(3, Role::kDecode, 1)});
  host.request(1.1, "a");
  EXPECT_EQ(selectedEngine(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled)), 2U);
  host.attemptEnded(1.3, "a", 2, Outcome::kError);
  for (const StartAttempt& start : actionsOf<StartAttempt>(host.lastActions))
    EXPECT_EQ(start.engine.value, 2U);
  host.runUntil(5.2);
  for (const StartAttempt& start : actionsOf<StartAttempt>(host.allActions))
    EXPECT_NE(start.engine.value, 3U);
  EXPECT_TRUE(actionsOf<RejectRequest>(host.allActions).empty());
}

TEST(RetrySafety, DoesNotRetryRequestWithIdempotencyKeyAfterTheDedupWindow) {
  PolicyHost host(settingsWith(Idempotency::kIdempotencyKey, DedupScope::kAll));
  host.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t decodeEngine = selectedEngine(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
  host.attemptEnded(2.3, "a", decodeEngine,
                    Outcome::kError);  // 1.1 s after the decode started; the window is 1 s
  EXPECT_TRUE(actionsOf<StartAttempt>(host.lastActions).empty()) << "no new prefill either";
  EXPECT_EQ(actionsOf<RejectRequest>(host.lastActions).size(), 1U)
      << "no retry can follow, so it is rejected immediately";
  EXPECT_TRUE(actionsOf<StartAttempt>(host.runUntil(5.2)).empty());
}

// A retry is only sent once its connection is established, which may take the connect timeout. It has to be
// sent within the deduplication window even then.
TEST(RetrySafety, DoesNotRetryWhenConnectingMayExceedTheDedupWindow) {
  for (const double connectTimeout : {0.0, 0.25}) {
    Settings settings = settingsWith(Idempotency::kIdempotencyKey, DedupScope::kAll);
    settings.connectTimeout = Duration(connectTimeout);
    settings.stateLeaseLimit = Duration(0);  // no limit, so that the state is still available
    PolicyHost host(settings);
    host.updateEngineList(
        1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
    host.request(1.1, "a");
    const std::uint32_t decodeEngine = selectedEngine(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
    host.attemptEnded(2.0, "a", decodeEngine,
                      Outcome::kError);  // 0.8 s after the decode started; the window is 1 s
    EXPECT_EQ(actionsOf<StartAttempt>(host.lastActions).size(), connectTimeout > 0 ? 0U : 1U);
  }
}

// The machine may stall between the decision to retry and the sending. The retry has to be sent within the
// deduplication window even then.
TEST(RetrySafety, DoesNotRetryWhenAStallMayExceedTheDedupWindow) {
  for (const double secondsToFailure : {0.8, 0.9}) {
    Settings settings = settingsWith(Idempotency::kIdempotencyKey, DedupScope::kAll);
    settings.stateLeaseLimit = Duration(0);  // no limit, so that the state is still available
    PolicyHost host(settings);
    host.updateEngineList(
        1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
    host.request(1.1, "a");
    const std::uint32_t decodeEngine = selectedEngine(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
    host.attemptEnded(1.2 + secondsToFailure, "a", decodeEngine, Outcome::kError);
    EXPECT_EQ(actionsOf<StartAttempt>(host.lastActions).size(), secondsToFailure > 0.85 ? 0U : 1U);
  }
}

// A request keeps the class with which it was accepted. New settings with other classes must not allow a
// retry that the old class forbids.
TEST(RetrySafety, OpenRequestKeepsItsClassWhenSettingsChange) {
  PolicyHost host(settingsWith(Idempotency::kAtMostOnce, DedupScope::kAll));
  host.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t decodeEngine = selectedEngine(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
  Settings changed = settingsWith(Idempotency::kAtMostOnce, DedupScope::kAll);
  changed.classes[0].inService = false;
  changed.classes.push_back(twoStageSettings().classes[0]);
  changed.routerCount = 150;
  changed.tenants = {{1, 10}};
  host.feed(1.25, SettingsChanged{changed});
  EXPECT_TRUE(actionsOf<StartAttempt>(host.lastActions).empty());
  host.attemptEnded(1.3, "a", decodeEngine, Outcome::kReset);
  EXPECT_TRUE(actionsOf<StartAttempt>(host.lastActions).empty());
  EXPECT_EQ(actionsOf<FailRequest>(host.lastActions).size(), 1U);
  RequestArrived newRequest;
  newRequest.id = {"b"};
  newRequest.classIndex = 1;
  newRequest.tenant = 0;
  newRequest.timeUntilDeadline = Duration(4);
  newRequest.promptTokens = 500;
  EXPECT_NE(selectedEngine(host.feed(1.4, newRequest)), 0U);
}

// Tests RetrySafety directly: by class and by what has happened, which responses and retries are allowed.
TEST(RetrySafetyRules, AllowsRejectionWhenNothingRanOrARepeatIsHarmless) {
  struct Case {
    Idempotency idempotency;
    DedupScope scope;
    bool canRejectInFlight;
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
    EXPECT_TRUE(safety.canReject(request)) << "no attempt was started";
    request.attemptInFlight = true;
    EXPECT_EQ(safety.canReject(request), c.canRejectInFlight);
    request.attemptInFlight = false;
    policy::RetrySafety::recordPossibleRun(request, engineEntry(1, Role::kDecode));
    EXPECT_EQ(safety.canReject(request), c.canRejectInFlight);
  }
}

TEST(RetrySafetyRules, AllowsRetryOnlyWhereTheFirstAttemptIsDeduplicated) {
  const DedupScope scopes[] = {DedupScope::kAll, DedupScope::kZone, DedupScope::kCell};
  for (const DedupScope scope : scopes) {
    const policy::DecisionContext context(settingsWith(Idempotency::kIdempotencyKey, scope));
    const policy::RetrySafety safety(context);
    policy::Request request;
    policy::RetrySafety::recordPossibleRun(request, engineEntry(1, Role::kDecode, 1, 1));
    policy::RetrySafety::recordPossibleRun(request,
                                           engineEntry(9, Role::kDecode, 2, 2));  // not the first run
    policy::Engine sameCell, sameZone, elsewhere;
    sameCell.entry = engineEntry(2, Role::kDecode, 1, 1);
    sameZone.entry = engineEntry(3, Role::kDecode, 3, 1);
    elsewhere.entry = engineEntry(4, Role::kDecode, 2, 2);
    EXPECT_TRUE(safety.isAllowedOn(sameCell, request));
    EXPECT_EQ(safety.isAllowedOn(sameZone, request), scope != DedupScope::kCell);
    EXPECT_EQ(safety.isAllowedOn(elsewhere, request), scope == DedupScope::kAll);
  }
}

TEST(RetrySafetyRules, OnlySomeOutcomesProveThatNothingRan) {
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
