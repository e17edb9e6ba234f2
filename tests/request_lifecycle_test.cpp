// Every request gets one final response in time; what follows a failed attempt.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

TEST(RequestLifecycle, ALostStateIsPrefilledAnew) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.1, "a");
  EXPECT_EQ(sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled)), 2U);
  EXPECT_EQ(sentTo(host.attemptEnded(1.3, "a", 2, Outcome::kStateLost)), 1U);
}

TEST(RequestLifecycle, AnotherDecodeEngineTakesTheWaitingStateAfterAFailure) {
  PolicyHost host(twoStageSettings());
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t decodeEngine = sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
  const std::uint32_t next = sentTo(host.attemptEnded(1.3, "a", decodeEngine, Outcome::kError));
  EXPECT_EQ(decodeEngine + next, 5U);
}

TEST(RequestLifecycle, ABrokenStreamIsNotRetried) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.1, "a");
  host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled);
  host.streamStarted(1.3, "a", 2);
  EXPECT_TRUE(only<StartAttempt>(host.attemptEnded(1.5, "a", 2, Outcome::kReset, true)).empty());
}

TEST(RequestLifecycle, AnEmptyEngineListRejectsInTime) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {}, EngineListUpdate::Scope::kCached);
  host.request(1.1, "a");
  const auto rejected = only<RejectRequest>(host.runUntil(2));
  ASSERT_EQ(rejected.size(), 1U);
  EXPECT_DOUBLE_EQ(rejected[0].retryAfter.count(), 1.0);
  EXPECT_LT(host.now, 1.1 + 4);
}

TEST(RequestLifecycle, RespondsBeforeTheDeadlineWithAnAttemptInFlight) {
  Settings settings = twoStageSettings();
  settings.cancelAllowed = false;
  PolicyHost host(settings);
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.1, "a", 1000, 0.8);
  host.runUntil(1.1 + 0.8);
  EXPECT_EQ(finalResponses(host.all), 1U);
  EXPECT_FALSE(only<Release>(host.all).empty());
  EXPECT_TRUE(only<StartAttempt>(host.attemptEnded(1.95, "a", 1, Outcome::kTimeout)).empty());
}

// A client that has all but given up: there is no time for another step, so the response comes in this one.
TEST(RequestLifecycle, RespondsAtOnceToARequestWithoutTimeLeft) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  EXPECT_EQ(only<RejectRequest>(host.request(1.1, "late", 100, 0)).size(), 1U);
  EXPECT_TRUE(only<StartAttempt>(host.runUntil(2)).empty());
}

TEST(RequestLifecycle, HousekeepingGoesOnWhenTheHostRoundsItsTimers) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {});
  EXPECT_EQ(only<SetTimer>(host.doHousekeeping(1.0199999)).size(),
            1U);  // fired a little early: must be set again
}

TEST(RequestLifecycle, AStateThatArrivesAfterTheEndIsReleased) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.1, "a");
  host.feed(1.15, ClientDisconnected{{"a"}});
  EXPECT_EQ(only<CancelAttempt>(host.last).size(), 1U);
  host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled);
  EXPECT_EQ(only<Release>(host.last).size(), 1U);
  EXPECT_TRUE(only<StartAttempt>(host.last).empty());
}

TEST(RequestLifecycle, UnknownIdsAreIgnored) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {engineEntry(1, Role::kPrefill)});
  EXPECT_TRUE(host.attemptEnded(1.1, "never", 1, Outcome::kPrefilled).empty());
  EXPECT_TRUE(host.streamStarted(1.1, "never", 1).empty());
  EXPECT_TRUE(host.feed(1.1, ClientDisconnected{{"never"}}).empty());
}

}  // namespace
}  // namespace gannetcourse::test
