// Ejection of engines that fail or cannot be reached.
#include "policy/engine_health.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "harness.h"

namespace gannetcourse::test {
namespace {

// One connection may be reset by itself: only a second sign without a response between counts as lost
// contact.
TEST(EngineHealth, ASingleResetIsNoLostContact) {
  for (const int resets : {1, 2}) {
    PolicyHost host(twoStageSettings());
    host.engineList(
        0, {engineEntry(1, Role::kPrefill), engineEntry(3, Role::kPrefill), engineEntry(2, Role::kDecode)});
    const std::uint32_t preferred = sentTo(host.feed(0, requestOfSession("a", 5)));
    ASSERT_EQ(sentTo(host.feed(0.01, requestOfSession("b", 5))), preferred);
    host.attemptEnded(0.02, "a", preferred, Outcome::kReset);
    if (resets > 1) host.attemptEnded(0.03, "b", preferred, Outcome::kReset);
    host.runUntil(0.1);
    if (resets == 1)
      host.attemptEnded(0.11, "b", preferred,
                        Outcome::kPrefilled);  // it answers: the connection is good again
    EXPECT_EQ(sentTo(host.feed(0.15, requestOfSession("c", 5))) == preferred, resets == 1);
  }
}

// Failure scores decay, also where nothing came that could have reduced them.
TEST(EngineHealth, ASecondResetLongAfterIsNoLostContact) {
  PolicyHost host(twoStageSettings());
  host.engineList(
      0, {engineEntry(1, Role::kPrefill), engineEntry(3, Role::kPrefill), engineEntry(2, Role::kDecode)});
  const std::uint32_t preferred = sentTo(host.feed(0, requestOfSession("a", 5)));
  host.attemptEnded(0.02, "a", preferred, Outcome::kReset);
  host.runUntil(20);
  ASSERT_EQ(sentTo(host.feed(20.05, requestOfSession("b", 5))), preferred);
  host.attemptEnded(20.1, "b", preferred, Outcome::kReset);
  EXPECT_EQ(sentTo(host.feed(20.2, requestOfSession("c", 5))), preferred);
}

TEST(EngineHealth, ScoresDecayInAnIdleRouter) {
  for (const Outcome outcome : {Outcome::kConnectFailed, Outcome::kError, Outcome::kReset}) {
    PolicyHost host(twoStageSettings());
    host.engineList(
        0, {engineEntry(1, Role::kPrefill), engineEntry(3, Role::kPrefill), engineEntry(2, Role::kDecode)});
    const std::uint32_t preferred = sentTo(host.feed(0, requestOfSession("a0", 5)));
    for (int i = 0; i < 6; ++i) {
      const std::string id = "a" + std::to_string(i);
      if (i > 0) host.feed(0.1 * i, requestOfSession(id, 5));
      host.attemptEnded(0.1 * i + 0.05, id, preferred, outcome);
    }
    ASSERT_NE(sentTo(host.feed(0.7, requestOfSession("away", 5))), preferred);
    host.runUntil(90);  // no request in between
    EXPECT_EQ(sentTo(host.feed(90.1, requestOfSession("back", 5))), preferred);
  }
}

TEST(EngineHealth, AFailingEngineIsEjectedAndComesBackOneRequestAtATime) {
  PolicyHost host(twoStageSettings());
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  double at = 1.1;
  int sends = 0;
  std::uint32_t bad = 0;  // fails everything: the prefill engine that is selected first
  for (int i = 0; i < 30; ++i, at += 0.05) {
    const std::string id = "r" + std::to_string(i);
    std::uint32_t to = sentTo(host.request(at, id, 200));
    if (bad == 0) bad = to;
    if (to == bad) {
      ++sends;
      to = sentTo(host.attemptEnded(at + 0.01, id, bad, Outcome::kError));
    }
    ASSERT_EQ(to, 3U - bad);
    host.attemptEnded(at + 0.02, id, to, Outcome::kPrefilled);
    host.streamStarted(at + 0.03, id, 3);
    host.attemptEnded(at + 0.04, id, 3, Outcome::kOk, true);
  }
  EXPECT_GT(sends, 0);
  EXPECT_LE(sends, 4) << "two failures eject, one attempt a second follows";
}

// A rack that loses power is not found out one engine at a time.
TEST(EngineHealth, TheSecondEngineLostMakesItsCellSuspect) {
  PolicyHost host(twoStageSettings());
  std::vector<EngineEntry> entries = {engineEntry(1, Role::kPrefill, 1)};
  for (std::uint32_t id = 2; id <= 6; ++id) entries.push_back(engineEntry(id, Role::kDecode, 1));
  entries.push_back(engineEntry(9, Role::kDecode, 2));
  host.engineList(1, entries);
  std::vector<std::uint32_t> tried;
  for (int i = 0; i < 4; ++i) {
    const std::string id = "r" + std::to_string(i);
    const double at = 1.1 + 0.2 * i;
    host.request(at, id);
    std::uint32_t decodeEngine = sentTo(host.attemptEnded(at + 0.02, id, 1, Outcome::kPrefilled));
    for (int more = 0; more < 5 && decodeEngine >= 2 && decodeEngine <= 6; ++more) {
      tried.push_back(decodeEngine);
      decodeEngine =
          sentTo(host.attemptEnded(at + 0.03 + 0.001 * more, id, decodeEngine, Outcome::kConnectFailed));
    }
  }
  std::sort(tried.begin(), tried.end());
  tried.erase(std::unique(tried.begin(), tried.end()), tried.end());
  EXPECT_LE(tried.size(), 4U) << "the last of the cell are avoided untried";
}

// An engine that leaves one class unanswered and serves the other: the other's successes must not hide it,
// nor must it cost the other the engine. The same for one that rejects one tenant as full.
TEST(EngineHealth, AnEngineMayFailForOneClassOrTenantOnly) {
  for (const bool byTenant : {false, true}) {
    Settings settings = twoStageSettings();
    settings.classes.push_back(settings.classes[0]);
    if (byTenant) settings.tenants = {{0.5, 0}, {0.5, 0}};
    PolicyHost host(settings);
    host.engineList(
        1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
    double at = 1.1;
    int failing = 0, healthy = 0, sends = 0;
    for (int i = 0; i < 40; ++i, at += 0.06) {
      RequestArrived r = requestOf("r" + std::to_string(i), 200, 1 + static_cast<std::uint64_t>(i));
      const std::size_t part = static_cast<std::size_t>(i % 2);
      if (byTenant)
        r.tenant = part;
      else
        r.classIndex = part;
      std::uint32_t to = sentTo(host.feed(at, r));
      if (to == 1 && part == 0) {
        ++failing;
        to = sentTo(
            host.attemptEnded(at + 0.01, r.id.value, 1, byTenant ? Outcome::kRejected : Outcome::kTimeout));
      }
      healthy += to == 1 && part == 1;
      ++sends;
      host.attemptEnded(at + 0.02, r.id.value, to, Outcome::kPrefilled);
      host.streamStarted(at + 0.03, r.id.value, 3);
      host.attemptEnded(at + 0.04, r.id.value, 3, Outcome::kOk, true);
      host.doHousekeeping(at + 0.05);
    }
    EXPECT_LE(failing, 5) << "avoided after a failure or two";
    EXPECT_GE(healthy, 4) << "still serves the other";
  }
}

// The failure scores by themselves, for one engine of three.
class FailureScores : public ::testing::Test {
 protected:
  FailureScores() {
    setTime(0);
    registry_.apply(
        {EngineListUpdate::Scope::kSnapshot,
         {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kPrefill)}});
    request_.healthKeys = {policy::HealthKey::ofClass(0), policy::HealthKey::ofTenant(0)};
    ofOtherTenant_.healthKeys = {policy::HealthKey::ofClass(0), policy::HealthKey::ofTenant(1)};
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
  policy::Request request_, ofOtherTenant_;
};

TEST_F(FailureScores, TwoFailuresEjectAndTimeReducesTheScore) {
  EXPECT_DOUBLE_EQ(score(request_), 0);
  health_.recordFailure(engine(1), request_, Outcome::kError);
  EXPECT_TRUE(health_.isHealthyFor(engine(1), request_));
  engine(1).attempts.prefilling = 1;
  EXPECT_FALSE(health_.isHealthyFor(engine(1), request_)) << "one request at a time";
  engine(1).attempts.prefilling = 0;
  health_.recordFailure(engine(1), request_, Outcome::kError);
  EXPECT_FALSE(health_.isHealthyFor(engine(1), request_));
  setTime(8);
  EXPECT_TRUE(health_.isHealthyFor(engine(1), request_));
}

TEST_F(FailureScores, ASuccessReducesTheScoreAndEndsLostContact) {
  health_.recordFailure(engine(1), request_, Outcome::kError);
  health_.recordFailure(engine(1), request_, Outcome::kConnectFailed);
  EXPECT_DOUBLE_EQ(score(request_), 0.68) << "lost contact counts for more than one failure";
  health_.recordSuccess(engine(1), request_);
  EXPECT_DOUBLE_EQ(score(request_), 0.6 * 0.34);
  EXPECT_EQ(engine(1).slowStart.since, context_.now()) << "slow start after lost contact";
}

TEST_F(FailureScores, TheLowerOfClassAndTenantCountsButLostContactCountsForAll) {
  health_.recordFailure(engine(1), request_, Outcome::kRejected);
  health_.recordSuccess(engine(1), ofOtherTenant_);
  EXPECT_DOUBLE_EQ(score(ofOtherTenant_), 0);
  EXPECT_DOUBLE_EQ(score(request_), 0.6 * 0.34) << "its class has the lower score";
  health_.recordFailure(engine(1), request_, Outcome::kReset);
  EXPECT_DOUBLE_EQ(score(ofOtherTenant_), 0.34);
}

TEST_F(FailureScores, SilenceEjectsNobodyOnceHalfOfTheRoleIsEjected) {
  health_.recordFailure(engine(2), request_, Outcome::kTimeout);
  EXPECT_FALSE(health_.isHealthyFor(engine(2), request_));
  health_.recordFailure(engine(1), request_, Outcome::kTimeout);
  EXPECT_DOUBLE_EQ(score(request_), 0);
  health_.recordFailure(engine(1), request_, Outcome::kError);
  EXPECT_DOUBLE_EQ(score(request_), 0.34) << "errors count all the same";
}

TEST_F(FailureScores, LatenessCountsUntilItIsCleared) {
  health_.recordOverdue(engine(1), Duration(0.2));
  health_.recordOverdue(engine(1), Duration(0.1));
  EXPECT_DOUBLE_EQ(health_.penalty(engine(1), request_).count(), 0.2);
  health_.clearOverdue();
  EXPECT_DOUBLE_EQ(health_.penalty(engine(1), request_).count(), 0);
}

TEST_F(FailureScores, ARestartClearsThem) {
  health_.recordFailure(engine(1), request_, Outcome::kTimeout);
  EngineEntry restarted = engineEntry(1, Role::kPrefill);
  restarted.startedAt = context_.now();
  registry_.apply({EngineListUpdate::Scope::kDelta, {restarted}});
  EXPECT_DOUBLE_EQ(score(request_), 0);
}

}  // namespace
}  // namespace gannetcourse::test
