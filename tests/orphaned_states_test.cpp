// Attempts that were given up without a word of their engine may still leave a state behind: releases go on.
#include <gtest/gtest.h>

#include "gannetcourse/router.h"
#include "harness.h"

namespace gannetcourse::router {
namespace {

constexpr double kPinLimit = 0.5;
constexpr RequestKey kRequest = 7;
constexpr EngineId kReader{1};

Instant at(double seconds) { return Instant(Duration(seconds)); }

class OrphanedStatesTest : public ::testing::Test {
 protected:
  OrphanedStatesTest() : core(test::twoStageSettings(), Options{"n", Duration(0.05), true, {}}) {
    core.onEngineListUpdate(at(0),
                            EngineListUpdate{EngineListUpdate::Scope::kSnapshot,
                                             {test::server(1, Role::kPrefill), test::server(2, Role::kDecode),
                                              test::server(3, Role::kDecode)}});
    core.takeCommands();
  }

  CallKey reads(double when, RequestKey key) {
    NewRequest arrival;
    arrival.key = key;
    arrival.id = "request-" + std::to_string(key);
    arrival.timeUntilDeadline = Duration(10);
    auto work = std::make_shared<RequestPayload>();
    work->promptTokens = 1000;
    arrival.payload = work;
    core.onRequest(at(when), std::move(arrival));
    CallKey call = 0;
    for (const Command& command : core.takeCommands()) {
      if (const auto* const read = std::get_if<StartPrefill>(&command)) call = read->call;
    }
    EXPECT_NE(call, 0U);
    return call;
  }

  void collect(double when) {
    for (const Command& command : core.takeCommands()) {
      const auto* const letGo = std::get_if<ReleaseState>(&command);
      if (letGo != nullptr && letGo->id == "request-7") releases.push_back(when);
    }
  }

  void runTo(double end) {
    while (core.nextWakeup() && *core.nextWakeup() <= at(end)) {
      const Instant when = *core.nextWakeup();
      core.advance(when);
      collect(when.time_since_epoch().count());
    }
  }

  double longestGap() const {
    double longest = 0;
    for (std::size_t i = 1; i < releases.size(); ++i)
      longest = std::max(longest, releases[i] - releases[i - 1]);
    return longest;
  }

  Core core;
  std::vector<double> releases;
};

TEST_F(OrphanedStatesTest, AReadThatWasGivenUpIsReleasedAgainAndAgainForAWhile) {
  reads(1, kRequest);
  core.onClientDisconnected(at(1.1), kRequest);
  collect(1.1);
  ASSERT_EQ(releases.size(), 1U) << "at once";
  runTo(1.1 + 4);
  EXPECT_GE(releases.size(), 8U);
  EXPECT_LE(longestGap(), kPinLimit);
  runTo(60);
  const std::size_t all = releases.size();
  runTo(120);
  EXPECT_EQ(releases.size(), all) << "not for ever";
}

// Who answers what was sent later has seen the end of the connection before: one more release is enough.
TEST_F(OrphanedStatesTest, AnEngineThatAnswersWhatWasSentLaterHasEndedItsReads) {
  reads(1, kRequest);
  core.onClientDisconnected(at(1.1), kRequest);
  collect(1.1);
  const CallKey later = reads(1.2, kRequest + 1);
  core.onPrefillEnded(at(1.3), later, "state", 0, {});
  collect(1.3);
  runTo(1.3 + 8);
  EXPECT_EQ(releases.size(), 2U);
}

TEST_F(OrphanedStatesTest, ADrainDoesNotWaitForThem) {
  reads(1, kRequest);
  core.drain(at(1.05));
  core.onClientDisconnected(at(1.1), kRequest);
  collect(1.1);
  EXPECT_EQ(releases.size(), 1U);
  EXPECT_EQ(core.pendingObligations(), 0U);
}

// While a later attempt of the request is out, or its state waits, a release by its name would take that
// state.
TEST_F(OrphanedStatesTest, AreLeftToALaterAttemptOfTheRequest) {
  const CallKey first = reads(1, kRequest);
  core.onCallEnded(at(1.1), first, Outcome::kReset, 0, {}, "broke");
  CallKey second = 0;
  const auto look = [&](double when) {
    for (const Command& command : core.takeCommands()) {
      if (std::holds_alternative<ReleaseState>(command)) releases.push_back(when);
      if (const auto* const read = std::get_if<StartPrefill>(&command)) second = read->call;
    }
  };
  look(1.1);
  ASSERT_NE(second, 0U) << "it is sent again at once";
  while (core.nextWakeup() && *core.nextWakeup() < at(1.4)) {
    const Instant when = *core.nextWakeup();
    core.advance(when);
    look(when.time_since_epoch().count());
  }
  core.onPrefillEnded(at(1.4), second, "state", 0, {});
  look(1.4);
  EXPECT_EQ(releases, std::vector<double>{});
  core.onClientDisconnected(at(1.5), kRequest);
  look(1.5);
  EXPECT_GE(releases.size(), 1U);
}

// ... but the later attempt may not have arrived: then nothing stops the time of what the first one has left.
TEST_F(OrphanedStatesTest, AreNotPutOffForLongerThanTheLimitAllows) {
  const CallKey first = reads(1, kRequest);
  core.onCallEnded(at(1.1), first, Outcome::kReset, 0, {}, "broke");
  collect(1.1);
  ASSERT_EQ(releases.size(), 0U);
  runTo(1.1 + kPinLimit);
  EXPECT_EQ(releases.size(), 1U);
}

// An error may have been a late second answer to an earlier call on that connection, and the read may go on:
// its state is let go of once the request is over, again and again, and not under a later attempt.
TEST_F(OrphanedStatesTest, AReadThatWasAnsweredWithAnErrorIsLetGoOfAtTheEnd) {
  EngineListUpdate drains{EngineListUpdate::Scope::kDelta, {test::server(1, Role::kPrefill)}};
  drains.entries.front().state = EngineEntry::State::kDraining;
  const CallKey first = reads(1, kRequest);
  core.onEngineListUpdate(at(1.05), drains);
  core.onCallEnded(at(1.1), first, Outcome::kError, 0, {}, "status 500");
  collect(1.1);
  core.onClientDisconnected(at(1.2), kRequest);
  collect(1.2);
  runTo(4);
  EXPECT_GE(releases.size(), 4U);
  EXPECT_LE(longestGap(), kPinLimit);
}

TEST_F(OrphanedStatesTest, AReadThatWasAnsweredWithAnErrorIsForgottenWithTheFirstToken) {
  const CallKey first = reads(1, kRequest);
  core.onCallEnded(at(1.1), first, Outcome::kError, 0, {}, "status 500");
  CallKey read = 0, write = 0;
  const auto look = [&](double when) {
    for (const Command& command : core.takeCommands()) {
      if (std::holds_alternative<ReleaseState>(command)) releases.push_back(when);
      if (const auto* const sent = std::get_if<StartPrefill>(&command)) read = sent->call;
      if (const auto* const sent = std::get_if<StartDecode>(&command)) write = sent->call;
    }
  };
  look(1.1);
  core.onPrefillEnded(at(1.2), read, "state", 0, {});
  look(1.2);
  core.onToken(at(1.3), write, 0, "a");
  look(1.3);
  core.onCallEnded(at(1.4), write, Outcome::kOk, 0, {}, "");
  look(1.4);
  runTo(4);
  EXPECT_EQ(core.pendingObligations(), 0U);
  EXPECT_EQ(releases, std::vector<double>{});
}

TEST_F(OrphanedStatesTest, AReadThatWasAnsweredWithAnErrorIsNotLetGoOfUnderALaterAttempt) {
  const CallKey first = reads(1, kRequest);
  core.onCallEnded(at(1.1), first, Outcome::kError, 0, {}, "status 500");
  CallKey second = 0;
  for (const Command& command : core.takeCommands()) {
    if (const auto* const read = std::get_if<StartPrefill>(&command)) second = read->call;
  }
  ASSERT_NE(second, 0U) << "it is sent again at once";
  runTo(1.1 + 0.95 * kPinLimit);  // past where others are put off to, before the second is called off
  EXPECT_EQ(releases, std::vector<double>{});
}

}  // namespace
}  // namespace gannetcourse::router
