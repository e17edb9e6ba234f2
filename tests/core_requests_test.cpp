// router::Core in virtual time: the life cycle of requests, reconfiguration and draining.
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <string>

#include "core_fixture.h"
#include "gannetcourse/router.h"
#include "harness.h"

namespace gannetcourse::router {
namespace {

class CoreRequestsTest : public CoreFixture {};

// New settings may change classes while requests are open. An open request must keep the class that it was
// accepted with.
TEST_F(CoreRequestsTest, KeepsOpenRequestsAndTheirClassWhenReconfigured) {
  sendRequest(1, 7);
  const auto prefills = commandsOf<StartPrefill>(takeCommands());
  ASSERT_EQ(prefills.size(), 1u);
  Settings changed = test::twoStageSettings();
  changed.classes[0].inService = false;
  changed.classes.push_back({});
  changed.classes[1].idempotency = Idempotency::kAtMostOnce;
  changed.routerCount = 100;
  core.reconfigure(at(1.05), changed);
  EXPECT_TRUE(commandsOf<FinalResponse>(takeCommands()).empty());
  EXPECT_EQ(core.openRequests(), 1u);
  core.onPrefillEnded(at(1.1), prefills[0].call, "state", 0, {});
  const auto decodes = commandsOf<StartDecode>(takeCommands());
  ASSERT_EQ(decodes.size(), 1u);
  core.onToken(at(1.2), decodes[0].call, 0, "a");
  core.onCallEnded(at(1.3), decodes[0].call, Outcome::kReset, 0, {}, "", recovery::AttemptEnd::kConfirmed);
  EXPECT_EQ(commandsOf<StartPrefill>(takeCommands()).size(), 1u)
      << "the request's class is idempotent, so its stream must be continued";
}

// Open requests refer to their class by index, so new settings must not change or drop a class.
TEST_F(CoreRequestsTest, RejectsSettingsThatChangeOrDropAClass) {
  Settings other = test::twoStageSettings();
  other.classes[0].idempotency = Idempotency::kAtMostOnce;
  EXPECT_THROW(core.reconfigure(at(1), other), IncompatibleSettings);
  other.classes.clear();
  EXPECT_THROW(core.reconfigure(at(1), other), IncompatibleSettings);
  const CallKey call = startStream(1, 7);
  core.onCallEnded(at(1.4), call, Outcome::kOk, 0, {}, "");
  EXPECT_EQ(core.counters().served, 1u);
}

TEST_F(CoreRequestsTest, ServesRequestByPrefillAndDecode) {
  const CallKey call = startStream(1, 7);
  core.onToken(at(1.3), call, 1, "b");
  core.onCallEnded(at(1.4), call, Outcome::kOk, 0, {}, "");
  takeCommands();
  const auto tokens = commandsOf<SendToken>(lastCommands);
  ASSERT_EQ(tokens.size(), 2u);
  EXPECT_EQ(tokens[1].text, "b");
  const auto responses = commandsOf<FinalResponse>(lastCommands);
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses.front().status, FinalStatus::kServed);
  EXPECT_EQ(core.pendingObligations(), 0u);
  EXPECT_EQ(core.counters().served, 1u);
}

// Tokens and the end of a call may arrive after the core has closed the call. The core must ignore them.
TEST_F(CoreRequestsTest, IgnoresEventsOfACallThatHasEnded) {
  const CallKey call = startStream(1, 7);
  core.onCallEnded(at(1.4), call, Outcome::kOk, 0, {}, "");
  takeCommands();
  core.onToken(at(1.5), call, 1, "late");
  core.onCallEnded(at(1.6), call, Outcome::kReset, 0, {}, "again");
  EXPECT_TRUE(core.takeCommands().empty());
  EXPECT_EQ(core.counters().failed, 0u);
}

// A stream that does not end by itself must not run past the client's deadline.
TEST_F(CoreRequestsTest, EndsRunningStreamBeforeTheDeadline) {
  startStream(1, 7, 3);
  takeCommands();
  const auto commands = advanceTo(10);
  const auto responses = commandsOf<FinalResponse>(commands);
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses.front().status, FinalStatus::kDeadlineExceeded);
  EXPECT_EQ(commandsOf<CancelCall>(commands).size(), 1u);
  const auto records = commandsOf<Record>(commands);
  const auto deadline = std::find_if(records.begin(), records.end(),
                                     [](const Record& r) { return r.kind == RecordKind::kDeadlineExceeded; });
  ASSERT_NE(deadline, records.end());
  EXPECT_LT(deadline->at, at(4));
}

// An engine that never responds must not delay the final response beyond the deadline.
TEST_F(CoreRequestsTest, AbandonsSilentEngineAndRespondsInTime) {
  sendRequest(1, 7, 10, 4);
  takeCommands();
  const auto commands = advanceTo(12);
  const auto responses = commandsOf<FinalResponse>(commands);
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_NE(responses.front().status, FinalStatus::kServed);
  EXPECT_GE(commandsOf<CancelCall>(commands).size(), 1u);
  EXPECT_EQ(core.pendingObligations(), 0u);
  EXPECT_EQ(core.counters().actionsBlocked, 0u) << "the policy must respond before the core's own time-out";
}

// A retry must not start before the failed attempt has ended. The test ends calls with each outcome in turn,
// some immediately and some later.
TEST_F(CoreRequestsTest, KeepsAtMostOneCallInFlightForEachRequestWhenAttemptsFail) {
  std::map<CallKey, std::string> callsInFlight;
  const Outcome outcomes[] = {Outcome::kError, Outcome::kReset, Outcome::kConnectFailed, Outcome::kRejected,
                              Outcome::kStateLost};
  std::size_t next = 0;
  for (RequestKey key = 1; key <= 40; ++key) sendRequest(1 + 0.01 * static_cast<double>(key), key);
  double now = 1.5;
  for (int step = 0; step < 2000 && core.pendingObligations() > 0; ++step, now += 0.01) {
    core.advance(at(now));
    for (const Command& c : core.takeCommands()) {
      if (const auto* prefill = std::get_if<StartPrefill>(&c)) callsInFlight[prefill->call] = prefill->id;
      if (const auto* decode = std::get_if<StartDecode>(&c)) callsInFlight[decode->call] = decode->id;
      if (const auto* cancelled = std::get_if<CancelCall>(&c)) callsInFlight.erase(cancelled->call);
      std::map<std::string, int> callsOf;
      for (const auto& [call, id] : callsInFlight) ASSERT_EQ(++callsOf[id], 1) << id;
    }
    if (callsInFlight.empty() || step % 3 != 0) continue;
    const CallKey call = callsInFlight.begin()->first;
    callsInFlight.erase(callsInFlight.begin());
    core.onCallEnded(at(now), call, outcomes[next++ % std::size(outcomes)], 0, {}, "failed");
  }
  EXPECT_EQ(core.pendingObligations(), 0u);
  const Counters& counts = core.counters();
  EXPECT_EQ(counts.served + counts.rejected + counts.failed + counts.deadlineExceeded, 40u);
}

TEST_F(CoreRequestsTest, RejectsNewRequestsAndFinishesOpenOnesWhenDraining) {
  const CallKey call = startStream(1, 7);
  core.drain(at(1.3));
  takeCommands();
  sendRequest(1.4, 8);
  const auto responses = commandsOf<FinalResponse>(takeCommands());
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses.front().request, 8u);
  EXPECT_EQ(responses.front().status, FinalStatus::kRejected);
  core.onCallEnded(at(1.5), call, Outcome::kOk, 0, {}, "");
  EXPECT_EQ(commandsOf<FinalResponse>(takeCommands()).front().status, FinalStatus::kServed);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

// A host may run several cores in one process. Events of one core must not affect another.
TEST_F(CoreRequestsTest, DoesNotLetEventsOfOneCoreAffectAnother) {
  Core other(test::twoStageSettings(), Options{"m", Duration(0.05), true, {}});
  other.onEngineListUpdate(at(0), EngineListUpdate{EngineListUpdate::Scope::kSnapshot, {}});
  other.takeCommands();
  sendRequest(1, 7);
  EXPECT_EQ(commandsOf<StartPrefill>(takeCommands()).size(), 1u);
  EXPECT_EQ(other.pendingObligations(), 0u);
  EXPECT_TRUE(other.takeCommands().empty());
  EXPECT_EQ(other.counters().accepted, 0u);
}

// The core must be deterministic, because tests compare its commands with recorded ones.
TEST_F(CoreRequestsTest, IssuesSameCommandsForSameEvents) {
  const auto runEvents = [] {
    Core core(test::twoStageSettings(), Options{"n", Duration(0.05), true, {}});
    std::string commands;
    core.onEngineListUpdate(
        at(0), EngineListUpdate{EngineListUpdate::Scope::kSnapshot,
                                {test::engineEntry(1, Role::kPrefill), test::engineEntry(2, Role::kDecode)}});
    for (RequestKey key = 1; key <= 30; ++key) {
      NewRequest arrival;
      arrival.key = key;
      arrival.timeUntilDeadline = Duration(5);
      auto payload = std::make_shared<RequestPayload>();
      payload->promptTokens = 100 * static_cast<std::uint32_t>(key);
      arrival.payload = payload;
      core.onRequest(at(0.05 * static_cast<double>(key)), std::move(arrival));
      for (const Command& c : core.takeCommands()) {
        commands += std::to_string(c.index());
        if (const auto* prefill = std::get_if<StartPrefill>(&c))
          commands += prefill->id + std::to_string(prefill->engine.value);
      }
    }
    return commands;
  };
  EXPECT_EQ(runEvents(), runEvents());
}

// ---- Streams that receive tokens, but none that is new ----
// A repeated token must not count as progress: the stream is moved like one whose engine is silent.
TEST_F(CoreRequestsTest, MigratesStreamThatReceivesOnlyRepeatedTokens) {
  const CallKey stalled = startStream(1, 1), running = startStream(1.5, 2);
  bool cancelled = false;
  double time = 1.7;
  for (std::uint32_t index = 1; !cancelled && time < 9; ++index, time += 0.1) {
    for (const Command& command : advanceTo(time)) {
      const auto* const cancel = std::get_if<CancelCall>(&command);
      cancelled = cancelled || (cancel != nullptr && cancel->call == stalled);
    }
    core.onToken(at(time), stalled, 0, "a");
    core.onToken(at(time), running, index, "b");
  }
  EXPECT_TRUE(cancelled);
  EXPECT_LT(time, 1.2 + 1.5 + 1) << "1.5 s is the default limit for silence";
}

TEST_F(CoreRequestsTest, EndsRequestAtDeadlineWhenOnlyRepeatedTokensArrive) {
  const CallKey call = startStream(1, 1, 5);
  std::vector<FinalResponse> responses;
  double time = 1.3;
  for (; responses.empty() && time < 20; time += 0.1) {
    responses = commandsOf<FinalResponse>(advanceTo(time));
    core.onToken(at(time), call, 0, "a");
  }
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses.front().status, FinalStatus::kDeadlineExceeded);
  EXPECT_LE(time, 1 + 5 + 0.2);
}

}  // namespace
}  // namespace gannetcourse::router
