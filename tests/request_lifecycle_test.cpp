// The life of a request: one final response before the deadline, and the next step after a failed attempt.
#include <gtest/gtest.h>

#include <vector>

#include "harness.h"

namespace gannetcourse::test {
namespace {

TEST(RequestLifecycle, PrefillsAgainWhenTheStateIsLost) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.1, "a");
  EXPECT_EQ(selectedEngine(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled)), 2U);
  EXPECT_EQ(selectedEngine(host.attemptEnded(1.3, "a", 2, Outcome::kStateLost)), 1U);
}

TEST(RequestLifecycle, RetriesDecodeAtAnotherEngineWhenOneFails) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t decodeEngine = selectedEngine(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
  const std::uint32_t next = selectedEngine(host.attemptEnded(1.3, "a", decodeEngine, Outcome::kError));
  EXPECT_EQ(decodeEngine + next, 5U);
}

TEST(RequestLifecycle, DoesNotRetryWhenAStreamBreaks) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.1, "a");
  host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled);
  host.streamStarted(1.3, "a", 2);
  EXPECT_TRUE(actionsOf<StartAttempt>(host.attemptEnded(1.5, "a", 2, Outcome::kReset, true)).empty());
}

// Without any engine in the list there is nothing to wait for; one that drains may come back into service
// while the client has time for it.
TEST(RequestLifecycle, RejectsRequestBeforeItsDeadlineWhenThereAreNoEngines) {
  for (const bool isListed : {false, true}) {
    EngineEntry draining = engineEntry(1, Role::kPrefill);
    draining.state = EngineEntry::State::kDraining;
    PolicyHost host(twoStageSettings());
    host.updateEngineList(1, isListed ? std::vector<EngineEntry>{draining} : std::vector<EngineEntry>{},
                          EngineListUpdate::Scope::kCached);
    host.request(1.1, "a");
    EXPECT_EQ(actionsOf<RejectRequest>(host.lastActions).size(), isListed ? 0U : 1U);
    host.runUntil(4);
    EXPECT_EQ(actionsOf<RejectRequest>(host.allActions).size(), isListed ? 0U : 1U);
    host.runUntil(1.1 + 4 - 0.1);
    const auto rejected = actionsOf<RejectRequest>(host.allActions);
    ASSERT_EQ(rejected.size(), 1U);
    EXPECT_DOUBLE_EQ(rejected[0].retryAfter.count(), 1.0);
  }
}

// Guards against urgent requests that are given up behind many that wait for discovery, as if the engines
// were taking none.
TEST(RequestLifecycle, StartsUrgentRequestBehindManyThatAwaitTheEngineList) {
  constexpr int kPatientRequests = 20;
  Settings settings = twoStageSettings();
  settings.tenants = {{0.5, 0.01}, {0.5, 100.0}};  // the first one is over its quota with its second request
  PolicyHost host(settings);
  host.updateEngineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.feed(1, EngineListAwaited{true});
  const auto sendRequest = [&](const std::string& id, std::size_t tenant, double secondsLeft) {
    RequestArrived arrival = makeRequest(id, 100, 0);
    arrival.tenant = tenant;
    arrival.timeUntilDeadline = Duration(secondsLeft);
    host.feed(1.1, arrival);
  };
  for (int i = 0; i < kPatientRequests; ++i) sendRequest("patient" + std::to_string(i), 1, 20);
  sendRequest("patient over quota", 0, 20);
  sendRequest("urgent over quota", 0, 1);
  host.runUntil(1.1 + 0.9);
  const auto starts = actionsOf<StartAttempt>(host.allActions);
  EXPECT_FALSE(starts.empty());
  for (const StartAttempt& start : starts) EXPECT_EQ(start.id.value, "urgent over quota");
  EXPECT_TRUE(actionsOf<RejectRequest>(host.allActions).empty());
}

TEST(RequestLifecycle, RespondsBeforeTheDeadlineWhenAnAttemptIsStillInFlight) {
  Settings settings = twoStageSettings();
  settings.cancelAllowed = false;
  PolicyHost host(settings);
  host.updateEngineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.1, "a", 1000, 0.8);
  host.runUntil(1.1 + 0.8);
  EXPECT_EQ(countFinalResponses(host.allActions), 1U);
  EXPECT_FALSE(actionsOf<Release>(host.allActions).empty());
  EXPECT_TRUE(actionsOf<StartAttempt>(host.attemptEnded(1.95, "a", 1, Outcome::kTimeout)).empty());
}

// A request that arrives at its deadline leaves no time for a later event, so it has to be rejected in the
// same one.
TEST(RequestLifecycle, RejectsRequestAtOnceWhenItHasNoTimeLeft) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  EXPECT_EQ(actionsOf<RejectRequest>(host.request(1.1, "late", 100, 0)).size(), 1U);
  EXPECT_TRUE(actionsOf<StartAttempt>(host.runUntil(2)).empty());
}

// A host may round the times of its timers, so that one fires slightly early. Housekeeping must not stop
// then.
TEST(RequestLifecycle, SetsTheHousekeepingTimerAgainWhenItFiresEarly) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(1, {});
  EXPECT_EQ(actionsOf<SetTimer>(host.doHousekeeping(1.0199999)).size(),
            1U);  // due at 1.02 s
}

TEST(RequestLifecycle, ReleasesStateWhenPrefillEndsAfterTheClientDisconnected) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.1, "a");
  host.feed(1.15, ClientDisconnected{{"a"}});
  EXPECT_EQ(actionsOf<CancelAttempt>(host.lastActions).size(), 1U);
  host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled);
  EXPECT_EQ(actionsOf<Release>(host.lastActions).size(), 1U);
  EXPECT_TRUE(actionsOf<StartAttempt>(host.lastActions).empty());
}

TEST(RequestLifecycle, IgnoresEventsWithUnknownRequestIds) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(1, {engineEntry(1, Role::kPrefill)});
  EXPECT_TRUE(host.attemptEnded(1.1, "unknown", 1, Outcome::kPrefilled).empty());
  EXPECT_TRUE(host.streamStarted(1.1, "unknown", 1).empty());
  EXPECT_TRUE(host.feed(1.1, ClientDisconnected{{"unknown"}}).empty());
}

}  // namespace
}  // namespace gannetcourse::test
