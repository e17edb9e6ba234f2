// Ejection of engines that fail, do not answer or cannot be reached.
#include "policy/engine_health.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "harness.h"

namespace gannetcourse::test {
namespace {

// A single connection may be reset while its engine is fine. Only a second reset without a response in
// between counts as lost contact.
TEST(EngineHealth, KeepsEngineInSelectionAfterASingleReset) {
  for (const int resets : {1, 2}) {
    PolicyHost host(twoStageSettings());
    host.updateEngineList(
        0, {engineEntry(1, Role::kPrefill), engineEntry(3, Role::kPrefill), engineEntry(2, Role::kDecode)});
    const std::uint32_t preferred = selectedEngine(host.feed(0, makeSessionRequest("a", 5)));
    ASSERT_EQ(selectedEngine(host.feed(0.01, makeSessionRequest("b", 5))), preferred);
    host.attemptEnded(0.02, "a", preferred, Outcome::kReset);
    if (resets > 1) host.attemptEnded(0.03, "b", preferred, Outcome::kReset);
    host.runUntil(0.1);
    if (resets == 1)
      host.attemptEnded(0.11, "b", preferred,
                        Outcome::kPrefilled);  // a response: the engine can be reached
    EXPECT_EQ(selectedEngine(host.feed(0.15, makeSessionRequest("c", 5))) == preferred, resets == 1);
  }
}

// Failure scores have to decay with time even if no success reduces them.
TEST(EngineHealth, KeepsEngineInSelectionWhenTheSecondResetIsMuchLater) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(
      0, {engineEntry(1, Role::kPrefill), engineEntry(3, Role::kPrefill), engineEntry(2, Role::kDecode)});
  const std::uint32_t preferred = selectedEngine(host.feed(0, makeSessionRequest("a", 5)));
  host.attemptEnded(0.02, "a", preferred, Outcome::kReset);
  host.runUntil(20);
  ASSERT_EQ(selectedEngine(host.feed(20.05, makeSessionRequest("b", 5))), preferred);
  host.attemptEnded(20.1, "b", preferred, Outcome::kReset);
  EXPECT_EQ(selectedEngine(host.feed(20.2, makeSessionRequest("c", 5))), preferred);
}

// Without traffic no success reduces the scores: an ejected engine must come back by the passing of time
// alone.
TEST(EngineHealth, ReturnsEjectedEngineToSelectionAfterAnIdleTime) {
  for (const Outcome outcome : {Outcome::kConnectFailed, Outcome::kError, Outcome::kReset}) {
    PolicyHost host(twoStageSettings());
    host.updateEngineList(
        0, {engineEntry(1, Role::kPrefill), engineEntry(3, Role::kPrefill), engineEntry(2, Role::kDecode)});
    const std::uint32_t preferred = selectedEngine(host.feed(0, makeSessionRequest("a0", 5)));
    for (int i = 0; i < 6; ++i) {
      const std::string id = "a" + std::to_string(i);
      if (i > 0) host.feed(0.1 * i, makeSessionRequest(id, 5));
      host.attemptEnded(0.1 * i + 0.05, id, preferred, outcome);
    }
    ASSERT_NE(selectedEngine(host.feed(0.7, makeSessionRequest("while ejected", 5))), preferred);
    host.runUntil(90);  // no requests in this time
    EXPECT_EQ(selectedEngine(host.feed(90.1, makeSessionRequest("after idle time", 5))), preferred);
  }
}

// Guards against requests that are lost to an engine which fails all of them: it may only get an occasional
// one to find out whether it has recovered.
TEST(EngineHealth, EjectsFailingEngineAndThenTriesItWithSingleRequests) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  double at = 1.1;
  int starts = 0;
  std::uint32_t failing = 0;  // the prefill engine that is selected first; it fails all attempts
  for (int i = 0; i < 30; ++i, at += 0.05) {
    const std::string id = "r" + std::to_string(i);
    std::uint32_t selected = selectedEngine(host.request(at, id, 200));
    if (failing == 0) failing = selected;
    if (selected == failing) {
      ++starts;
      selected = selectedEngine(host.attemptEnded(at + 0.01, id, failing, Outcome::kError));
    }
    ASSERT_EQ(selected, 3U - failing);
    host.attemptEnded(at + 0.02, id, selected, Outcome::kPrefilled);
    host.streamStarted(at + 0.03, id, 3);
    host.attemptEnded(at + 0.04, id, 3, Outcome::kOk, true);
  }
  EXPECT_GT(starts, 0);
  EXPECT_LE(starts, 4) << "two failures eject it; after that it gets about one attempt per second";
}

// A rack that loses power takes down its whole cell. After two engines of a cell could not be reached, the
// others have to be avoided without a failed attempt at each.
TEST(EngineHealth, AvoidsCellAfterTwoOfItsEnginesAreUnreachable) {
  PolicyHost host(twoStageSettings());
  std::vector<EngineEntry> entries = {engineEntry(1, Role::kPrefill, 1)};
  for (std::uint32_t id = 2; id <= 6; ++id) entries.push_back(engineEntry(id, Role::kDecode, 1));
  entries.push_back(engineEntry(9, Role::kDecode, 2));
  host.updateEngineList(1, entries);
  std::vector<std::uint32_t> tried;
  for (int i = 0; i < 4; ++i) {
    const std::string id = "r" + std::to_string(i);
    const double at = 1.1 + 0.2 * i;
    host.request(at, id);
    std::uint32_t decodeEngine = selectedEngine(host.attemptEnded(at + 0.02, id, 1, Outcome::kPrefilled));
    for (int retry = 0; retry < 5 && decodeEngine >= 2 && decodeEngine <= 6; ++retry) {
      tried.push_back(decodeEngine);
      decodeEngine = selectedEngine(
          host.attemptEnded(at + 0.03 + 0.001 * retry, id, decodeEngine, Outcome::kConnectFailed));
    }
  }
  std::sort(tried.begin(), tried.end());
  tried.erase(std::unique(tried.begin(), tried.end()), tried.end());
  EXPECT_LE(tried.size(), 4U) << "at least one engine of the cell is avoided without an attempt";
}

// An engine may leave one class unanswered, or reject one tenant, while it serves all others. The successes
// of the others must not hide that, and the failures must not eject the engine for the others.
TEST(EngineHealth, EjectsEngineOnlyForTheClassOrTenantThatItFails) {
  for (const bool byTenant : {false, true}) {
    Settings settings = twoStageSettings();
    settings.classes.push_back(settings.classes[0]);
    if (byTenant) settings.tenants = {{0.5, 0}, {0.5, 0}};
    PolicyHost host(settings);
    host.updateEngineList(
        1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
    double at = 1.1;
    int failing = 0, healthy = 0, starts = 0;
    for (int i = 0; i < 40; ++i, at += 0.06) {
      RequestArrived r = makeRequest("r" + std::to_string(i), 200, 1 + static_cast<std::uint64_t>(i));
      const std::size_t index =
          static_cast<std::size_t>(i % 2);  // of the class or tenant; 0 fails at engine 1
      if (byTenant)
        r.tenant = index;
      else
        r.classIndex = index;
      std::uint32_t selected = selectedEngine(host.feed(at, r));
      if (selected == 1 && index == 0) {
        ++failing;
        selected = selectedEngine(
            host.attemptEnded(at + 0.01, r.id.value, 1, byTenant ? Outcome::kRejected : Outcome::kTimeout));
      }
      healthy += selected == 1 && index == 1;
      ++starts;
      host.attemptEnded(at + 0.02, r.id.value, selected, Outcome::kPrefilled);
      host.streamStarted(at + 0.03, r.id.value, 3);
      host.attemptEnded(at + 0.04, r.id.value, 3, Outcome::kOk, true);
      host.doHousekeeping(at + 0.05);
    }
    EXPECT_LE(failing, 5) << "the engine is avoided for the failing class or tenant after a few failures";
    EXPECT_GE(healthy, 4) << "the engine still serves the other class or tenant";
  }
}

// Tests EngineHealth directly, with the failure scores of engine 1 of three prefill engines.
class FailureScores : public ::testing::Test {
 protected:
  FailureScores() {
    setTime(0);
    registry_.apply(
        {EngineListUpdate::Scope::kSnapshot,
         {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kPrefill)}});
    request_.healthKeys = {policy::HealthKey::ofClass(0), policy::HealthKey::ofTenant(0)};
    otherTenantRequest_.healthKeys = {policy::HealthKey::ofClass(0), policy::HealthKey::ofTenant(1)};
  }

  void setTime(double seconds) { context_.beginEvent(Instant(Duration(seconds)), actions_); }
  policy::Engine& engine(std::uint32_t id) { return *registry_.find({id}); }
  double score(const policy::Request& request) { return health_.failureScore(engine(1), request); }

  std::vector<Action> actions_;
  policy::DecisionContext context_{twoStageSettings()};
  policy::PromptStatistics prompts_{context_};
  policy::RoleAggregates aggregates_;
  policy::SlowStart slowStart_{context_, aggregates_, prompts_};
  policy::EngineRegistry registry_{slowStart_};
  policy::EngineHealth health_{context_, registry_, slowStart_};
  policy::Request request_, otherTenantRequest_;  // of one class and two tenants
};

TEST_F(FailureScores, EjectsAfterTwoFailuresUntilTheScoreHasDecayed) {
  EXPECT_DOUBLE_EQ(score(request_), 0);
  health_.recordFailure(engine(1), request_, Outcome::kError);
  EXPECT_TRUE(health_.isHealthyFor(engine(1), request_));
  engine(1).attempts.prefilling = 1;
  EXPECT_FALSE(health_.isHealthyFor(engine(1), request_)) << "after a failure it gets one request at a time";
  engine(1).attempts.prefilling = 0;
  health_.recordFailure(engine(1), request_, Outcome::kError);
  EXPECT_FALSE(health_.isHealthyFor(engine(1), request_));
  setTime(8);
  EXPECT_TRUE(health_.isHealthyFor(engine(1), request_));
}

TEST_F(FailureScores, SuccessReducesTheScoreAndEndsLostContact) {
  health_.recordFailure(engine(1), request_, Outcome::kError);
  health_.recordFailure(engine(1), request_, Outcome::kConnectFailed);
  EXPECT_DOUBLE_EQ(score(request_), 0.68) << "lost contact counts more than one failure";
  health_.recordSuccess(engine(1), request_);
  EXPECT_DOUBLE_EQ(score(request_), 0.6 * 0.34);
  EXPECT_EQ(engine(1).slowStart.since, context_.now()) << "lost contact is followed by slow start";
}

TEST_F(FailureScores, UsesTheLowerScoreOfClassAndTenantButCountsLostContactForAll) {
  health_.recordFailure(engine(1), request_, Outcome::kRejected);
  health_.recordSuccess(engine(1), otherTenantRequest_);
  EXPECT_DOUBLE_EQ(score(otherTenantRequest_), 0);
  EXPECT_DOUBLE_EQ(score(request_), 0.6 * 0.34) << "the score of its class is lower than that of its tenant";
  health_.recordFailure(engine(1), request_, Outcome::kReset);
  EXPECT_DOUBLE_EQ(score(otherTenantRequest_), 0.34);
}

TEST_F(FailureScores, IgnoresTimeoutsThatWouldEjectMoreThanHalfOfTheRole) {
  health_.recordFailure(engine(2), request_, Outcome::kTimeout);
  EXPECT_FALSE(health_.isHealthyFor(engine(2), request_));
  health_.recordFailure(engine(1), request_, Outcome::kTimeout);
  EXPECT_DOUBLE_EQ(score(request_), 0);
  health_.recordFailure(engine(1), request_, Outcome::kError);
  EXPECT_DOUBLE_EQ(score(request_), 0.34) << "errors still count";
}

TEST_F(FailureScores, CountsTheLongestLatenessUntilItIsCleared) {
  health_.recordOverdue(engine(1), Duration(0.2));
  health_.recordOverdue(engine(1), Duration(0.1));
  EXPECT_DOUBLE_EQ(health_.penalty(engine(1), request_).count(), 0.2);
  health_.clearOverdue();
  EXPECT_DOUBLE_EQ(health_.penalty(engine(1), request_).count(), 0);
}

TEST_F(FailureScores, RestartOfTheEngineClearsTheScores) {
  health_.recordFailure(engine(1), request_, Outcome::kTimeout);
  EngineEntry restarted = engineEntry(1, Role::kPrefill);
  restarted.startedAt = context_.now();
  registry_.apply({EngineListUpdate::Scope::kDelta, {restarted}});
  EXPECT_DOUBLE_EQ(score(request_), 0);
}

}  // namespace
}  // namespace gannetcourse::test
