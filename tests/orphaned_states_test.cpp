// An attempt that was abandoned without its engine's response may still leave a state at the engine. These
// tests check when the release of that state is repeated, deferred and stopped.
#include <gtest/gtest.h>

#include "gannetcourse/router.h"
#include "harness.h"

namespace gannetcourse::router {
namespace {

constexpr double kLeaseLimit = 0.5;
constexpr RequestKey kRequest = 7;

Instant at(double seconds) { return Instant(Duration(seconds)); }

class OrphanedStatesTest : public ::testing::Test {
 protected:
  OrphanedStatesTest() : core(test::twoStageSettings(), Options{"n", Duration(0.05), true, {}}) {
    core.onEngineListUpdate(
        at(0), EngineListUpdate{EngineListUpdate::Scope::kSnapshot,
                                {test::engineEntry(1, Role::kPrefill), test::engineEntry(2, Role::kDecode),
                                 test::engineEntry(3, Role::kDecode)}});
    core.takeCommands();
  }

  CallKey startPrefill(double when, RequestKey key) {
    NewRequest arrival;
    arrival.key = key;
    arrival.id = "request-" + std::to_string(key);
    arrival.timeUntilDeadline = Duration(10);
    auto payload = std::make_shared<RequestPayload>();
    payload->promptTokens = 1000;
    arrival.payload = payload;
    core.onRequest(at(when), std::move(arrival));
    CallKey call = 0;
    for (const Command& command : core.takeCommands()) {
      if (const auto* const prefill = std::get_if<StartPrefill>(&command)) call = prefill->call;
    }
    EXPECT_NE(call, 0U);
    return call;
  }

  void collect(double when) {
    for (const Command& command : core.takeCommands()) {
      const auto* const release = std::get_if<ReleaseState>(&command);
      if (release != nullptr && release->id == "request-7") releases.push_back(when);
    }
  }

  void advanceTo(double end) {
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

// An engine that stalls may complete an abandoned prefill only after the first release of the prefill's
// state.
TEST_F(OrphanedStatesTest, RepeatsReleaseOfAbandonedPrefillForALimitedTime) {
  startPrefill(1, kRequest);
  core.onClientDisconnected(at(1.1), kRequest);
  collect(1.1);
  ASSERT_EQ(releases.size(), 1U) << "the first release must be sent immediately";
  advanceTo(1.1 + 4);
  EXPECT_GE(releases.size(), 8U);
  EXPECT_LE(longestGap(), kLeaseLimit);
  advanceTo(60);
  const std::size_t releaseCount = releases.size();
  advanceTo(120);
  EXPECT_EQ(releases.size(), releaseCount) << "the releases must end after a limited time";
}

// An engine that responds to a later attempt has noticed the end of the abandoned attempt. One more release
// is then enough.
TEST_F(OrphanedStatesTest, StopsReleasesAfterEngineRespondsToALaterAttempt) {
  startPrefill(1, kRequest);
  core.onClientDisconnected(at(1.1), kRequest);
  collect(1.1);
  const CallKey later = startPrefill(1.2, kRequest + 1);
  core.onPrefillEnded(at(1.3), later, "state", 0, {});
  collect(1.3);
  advanceTo(1.3 + 8);
  EXPECT_EQ(releases.size(), 2U);
}

// Releases may be repeated for several seconds; a draining router must not wait for them.
TEST_F(OrphanedStatesTest, DoesNotDelayDrainForRepeatedReleases) {
  startPrefill(1, kRequest);
  core.drain(at(1.05));
  core.onClientDisconnected(at(1.1), kRequest);
  collect(1.1);
  EXPECT_EQ(releases.size(), 1U);
  EXPECT_EQ(core.pendingObligations(), 0U);
}

// A release by request id would also release the state of a later attempt that is in flight or that has left
// a state for its decode call.
TEST_F(OrphanedStatesTest, DefersReleasesWhileALaterAttemptIsInFlight) {
  const CallKey first = startPrefill(1, kRequest);
  core.onCallEnded(at(1.1), first, Outcome::kReset, 0, {}, "broke");
  CallKey second = 0;
  const auto collectAll = [&](double when) {
    for (const Command& command : core.takeCommands()) {
      if (std::holds_alternative<ReleaseState>(command)) releases.push_back(when);
      if (const auto* const prefill = std::get_if<StartPrefill>(&command)) second = prefill->call;
    }
  };
  collectAll(1.1);
  ASSERT_NE(second, 0U) << "the prefill must be retried immediately";
  while (core.nextWakeup() && *core.nextWakeup() < at(1.4)) {
    const Instant when = *core.nextWakeup();
    core.advance(when);
    collectAll(when.time_since_epoch().count());
  }
  core.onPrefillEnded(at(1.4), second, "state", 0, {});
  collectAll(1.4);
  EXPECT_EQ(releases, std::vector<double>{});
  core.onClientDisconnected(at(1.5), kRequest);
  collectAll(1.5);
  EXPECT_GE(releases.size(), 1U);
}

// A later attempt renews the lease of the state that the first attempt left only if it reaches the engine.
// The router does not know whether it has, so the release must be sent before the lease limit.
TEST_F(OrphanedStatesTest, DoesNotDeferReleasesBeyondTheLeaseLimit) {
  const CallKey first = startPrefill(1, kRequest);
  core.onCallEnded(at(1.1), first, Outcome::kReset, 0, {}, "broke");
  collect(1.1);
  ASSERT_EQ(releases.size(), 0U);
  advanceTo(1.1 + kLeaseLimit);
  EXPECT_EQ(releases.size(), 1U);
}

// A prefill that was reported as failed may still run, because the error may be a late second response to an
// earlier call on the same connection. Its state must be released repeatedly once the request has ended.
TEST_F(OrphanedStatesTest, ReleasesFailedPrefillAtTheEndOfItsRequest) {
  EngineListUpdate drain{EngineListUpdate::Scope::kDelta, {test::engineEntry(1, Role::kPrefill)}};
  drain.entries.front().state = EngineEntry::State::kDraining;
  const CallKey first = startPrefill(1, kRequest);
  core.onEngineListUpdate(at(1.05), drain);
  core.onCallEnded(at(1.1), first, Outcome::kError, 0, {}, "status 500");
  collect(1.1);
  core.onClientDisconnected(at(1.2), kRequest);
  collect(1.2);
  advanceTo(4);
  EXPECT_GE(releases.size(), 4U);
  EXPECT_LE(longestGap(), kLeaseLimit);
}

// After the first token no state of the request is leased any more, so a failed prefill needs no release.
TEST_F(OrphanedStatesTest, DropsFailedPrefillAfterTheFirstToken) {
  const CallKey first = startPrefill(1, kRequest);
  core.onCallEnded(at(1.1), first, Outcome::kError, 0, {}, "status 500");
  CallKey prefill = 0, decode = 0;
  const auto collectAll = [&](double when) {
    for (const Command& command : core.takeCommands()) {
      if (std::holds_alternative<ReleaseState>(command)) releases.push_back(when);
      if (const auto* const started = std::get_if<StartPrefill>(&command)) prefill = started->call;
      if (const auto* const started = std::get_if<StartDecode>(&command)) decode = started->call;
    }
  };
  collectAll(1.1);
  core.onPrefillEnded(at(1.2), prefill, "state", 0, {});
  collectAll(1.2);
  core.onToken(at(1.3), decode, 0, "a");
  collectAll(1.3);
  core.onCallEnded(at(1.4), decode, Outcome::kOk, 0, {}, "");
  collectAll(1.4);
  advanceTo(4);
  EXPECT_EQ(core.pendingObligations(), 0U);
  EXPECT_EQ(releases, std::vector<double>{});
}

// A release by request id would release the state that the later attempt needs. The release for a failed
// prefill must therefore be deferred until the later attempt has ended, without a time limit.
TEST_F(OrphanedStatesTest, DoesNotReleaseFailedPrefillDuringALaterAttempt) {
  const CallKey first = startPrefill(1, kRequest);
  core.onCallEnded(at(1.1), first, Outcome::kError, 0, {}, "status 500");
  CallKey second = 0;
  for (const Command& command : core.takeCommands()) {
    if (const auto* const prefill = std::get_if<StartPrefill>(&command)) second = prefill->call;
  }
  ASSERT_NE(second, 0U) << "the prefill must be retried immediately";
  // Later than the limit of other deferrals, but before the second attempt is cancelled.
  advanceTo(1.1 + 0.95 * kLeaseLimit);
  EXPECT_EQ(releases, std::vector<double>{});
}

}  // namespace
}  // namespace gannetcourse::router
