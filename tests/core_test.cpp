// router::Core in virtual time: the life of requests and the rules that need no decision.
#include <gtest/gtest.h>

#include <algorithm>

#include "gannetcourse/router.h"
#include "harness.h"

namespace gannetcourse::router {
namespace {

template <class T>
std::vector<T> of(const std::vector<Command>& commands) {
  std::vector<T> found;
  for (const Command& c : commands) {
    if (const T* one = std::get_if<T>(&c)) found.push_back(*one);
  }
  return found;
}

class CoreTest : public ::testing::Test {
 protected:
  CoreTest() : core(test::twoStageSettings(), Options{"n", Duration(0.05), true, {}}) {
    core.onEngineListUpdate(at(0),
                            EngineListUpdate{EngineListUpdate::Scope::kSnapshot,
                                             {test::server(1, Role::kPrefill), test::server(2, Role::kDecode),
                                              test::server(3, Role::kDecode)}});
    take();
  }

  static Instant at(double seconds) { return Instant(Duration(seconds)); }

  const std::vector<Command>& take() { return all = core.takeCommands(); }

  // Lets time pass in small steps, collecting what the core says.
  std::vector<Command> runTo(double end) {
    std::vector<Command> said;
    while (core.nextWakeup() && *core.nextWakeup() <= at(end)) {
      core.advance(*core.nextWakeup());
      for (Command& c : core.takeCommands()) said.push_back(std::move(c));
    }
    core.advance(at(end));
    for (Command& c : core.takeCommands()) said.push_back(std::move(c));
    return said;
  }

  void arrive(double when, RequestKey key, double timeLeft = 10, double firstTokenWithin = 4) {
    NewRequest a;
    a.key = key;
    a.timeUntilDeadline = Duration(timeLeft);
    a.firstTokenTimeout = Duration(firstTokenWithin);
    auto work = std::make_shared<RequestPayload>();
    work->promptTokens = 1000;
    work->maxOutputTokens = 100;
    a.payload = work;
    core.onRequest(at(when), std::move(a));
  }

  // Brings a request to a stream whose first token has come; the call that carries it.
  CallKey stream(double when, RequestKey key, double timeLeft = 10) {
    arrive(when, key, timeLeft);
    const auto reads = of<StartPrefill>(take());
    EXPECT_EQ(reads.size(), 1u);
    core.onPrefillEnded(at(when + 0.1), reads.front().call, "state", 0, {});
    const auto writes = of<StartDecode>(take());
    EXPECT_EQ(writes.size(), 1u);
    EXPECT_EQ(writes.front().stateHandle, "state");
    EXPECT_EQ(writes.front().prefillEngine, EngineId{1});
    core.onToken(at(when + 0.2), writes.front().call, 0, "a");
    return writes.front().call;
  }

  Core core;
  std::vector<Command> all;
};

TEST_F(CoreTest, ReconfigureKeepsOpenRequestsAndTheirClass) {
  arrive(1, 7);
  const auto reads = of<StartPrefill>(take());
  ASSERT_EQ(reads.size(), 1u);
  Settings moved = test::twoStageSettings();
  moved.classes[0].inService = false;
  moved.classes.push_back({});
  moved.classes[1].idempotency = Idempotency::kAtMostOnce;
  moved.routerCount = 100;
  core.reconfigure(at(1.05), moved);
  EXPECT_TRUE(of<FinalResponse>(take()).empty());
  EXPECT_EQ(core.openRequests(), 1u);
  core.onPrefillEnded(at(1.1), reads[0].call, "state", 0, {});
  const auto writes = of<StartDecode>(take());
  ASSERT_EQ(writes.size(), 1u);
  core.onToken(at(1.2), writes[0].call, 0, "a");
  core.onCallEnded(at(1.3), writes[0].call, Outcome::kReset, 0, {}, "", recovery::AttemptEnd::kConfirmed);
  EXPECT_EQ(of<StartPrefill>(take()).size(), 1u) << "its class was safe, so it goes on";
}

TEST_F(CoreTest, ReconfigureRefusesAPlaceThatMeansSomethingElse) {
  Settings other = test::twoStageSettings();
  other.classes[0].idempotency = Idempotency::kAtMostOnce;
  EXPECT_THROW(core.reconfigure(at(1), other), std::invalid_argument);
  other.classes.clear();
  EXPECT_THROW(core.reconfigure(at(1), other), std::invalid_argument);
  const CallKey call = stream(1, 7);
  core.onCallEnded(at(1.4), call, Outcome::kOk, 0, {}, "");
  EXPECT_EQ(core.counters().served, 1u);
}

TEST_F(CoreTest, ServesARequestOverReadAndWrite) {
  const CallKey call = stream(1, 7);
  core.onToken(at(1.3), call, 1, "b");
  core.onCallEnded(at(1.4), call, Outcome::kOk, 0, {}, "");
  take();
  const auto tokens = of<SendToken>(all);
  ASSERT_EQ(tokens.size(), 2u);
  EXPECT_EQ(tokens[1].text, "b");
  const auto answers = of<FinalResponse>(all);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers.front().status, FinalStatus::kServed);
  EXPECT_EQ(core.pendingObligations(), 0u);
  EXPECT_EQ(core.counters().served, 1u);
}

TEST_F(CoreTest, NothingOfAnEndedCallReachesTheClient) {
  const CallKey call = stream(1, 7);
  core.onCallEnded(at(1.4), call, Outcome::kOk, 0, {}, "");
  take();
  core.onToken(at(1.5), call, 1, "late");
  core.onCallEnded(at(1.6), call, Outcome::kReset, 0, {}, "again");
  EXPECT_TRUE(core.takeCommands().empty());
  EXPECT_EQ(core.counters().failed, 0u);
}

TEST_F(CoreTest, ABrokenStreamGoesOnFromAnotherWriter) {
  const CallKey call = stream(1, 7);
  core.onToken(at(1.3), call, 1, "b");
  take();
  core.onCallEnded(at(1.4), call, Outcome::kReset, 0, {}, "connection lost");
  const auto reads = of<StartPrefill>(take());
  ASSERT_EQ(reads.size(), 1u);
  EXPECT_TRUE(of<FinalResponse>(all).empty());
  EXPECT_EQ(reads.front().attempt, 2) << "engines know the newest by its number";
  EXPECT_EQ(reads.front().payload->promptTokens, 1002u) << "the prompt and what was sent";
  EXPECT_EQ(reads.front().payload->prompt, "ab");
  core.onPrefillEnded(at(1.5), reads.front().call, "again", 900, {});
  const auto writes = of<StartDecode>(take());
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_EQ(writes.front().payload->firstTokenIndex, 2u);
  core.onToken(at(1.55), call, 2, "of the lost call");
  core.onToken(at(1.6), writes.front().call, 2, "c");
  core.onCallEnded(at(1.7), writes.front().call, Outcome::kOk, 0, {}, "");
  take();
  const auto tokens = of<SendToken>(all);
  ASSERT_EQ(tokens.size(), 1u);
  EXPECT_EQ(tokens.front().index, 2u);
  EXPECT_EQ(tokens.front().text, "c");
  ASSERT_EQ(of<FinalResponse>(all).size(), 1u);
  EXPECT_EQ(of<FinalResponse>(all).front().status, FinalStatus::kServed);
  EXPECT_EQ(core.pendingObligations(), 0u);
  EXPECT_EQ(core.counters().continued, 1u);
}

TEST_F(CoreTest, AnAnswerOfAnotherNodeGoesOnOnceItsEngineHasEndedIt) {
  const auto resumed = [&](RequestKey key, const std::string& id) {
    NewRequest a;
    a.key = key;
    a.timeUntilDeadline = Duration(10);
    auto work = std::make_shared<RequestPayload>();
    work->prompt = "p";
    work->promptTokens = 1000;
    work->maxOutputTokens = 100;
    a.payload = work;
    a.resumedStream = ResumedStream{id, 1, EngineId{2}, 3, "abc"};
    core.onRequest(at(1), std::move(a));
  };
  resumed(7, "m-4");
  const auto fences = of<FenceAttempt>(take());
  ASSERT_EQ(fences.size(), 1u);
  EXPECT_EQ(fences.front().id, "m-4");
  EXPECT_EQ(fences.front().attempt, 1);
  EXPECT_TRUE(of<StartPrefill>(all).empty());
  core.onAttemptFenced(at(1.1), 7, 1);
  const auto reads = of<StartPrefill>(take());
  ASSERT_EQ(reads.size(), 1u);
  EXPECT_EQ(reads.front().id, "m-4");
  EXPECT_EQ(reads.front().attempt, 2);
  EXPECT_EQ(reads.front().payload->prompt, "pabc");
  core.onPrefillEnded(at(1.2), reads.front().call, "state", 0, {});
  const auto write = of<StartDecode>(take()).front();
  EXPECT_EQ(write.payload->firstTokenIndex, 3u);
  core.onToken(at(1.3), write.call, 3, "d");
  EXPECT_EQ(of<SendToken>(take()).front().index, 3u);
  // Its client comes back once more: the call that it left is answered, and nothing runs twice.
  resumed(8, "m-4");
  take();
  EXPECT_EQ(of<CancelCall>(all).size(), 1u);
  ASSERT_EQ(of<FinalResponse>(all).size(), 1u);
  EXPECT_EQ(of<FinalResponse>(all).front().request, 7u);
  ASSERT_EQ(of<FenceAttempt>(all).size(), 1u);
  EXPECT_EQ(of<FenceAttempt>(all).front().attempt, 3) << "the newest, not the one that it knew";
  EXPECT_EQ(of<FenceAttempt>(all).front().engine, write.engine);
  core.onClientDisconnected(at(1.5), 8);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreTest, AContinuationThatFindsNoEngineFailsInTime) {
  const CallKey call = stream(1, 7, 6);
  core.onEngineListUpdate(at(1.3), EngineListUpdate{EngineListUpdate::Scope::kSnapshot, {}});
  take();
  core.onCallEnded(at(1.4), call, Outcome::kReset, 0, {}, "connection lost");
  auto said = of<FinalResponse>(take());
  for (const FinalResponse& a : of<FinalResponse>(runTo(8))) said.push_back(a);
  ASSERT_EQ(said.size(), 1u);
  EXPECT_EQ(said.front().status, FinalStatus::kFailed) << "part of it was sent: no refusal";
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreTest, AClientThatLeavesDuringAMove) {
  const CallKey call = stream(1, 7);
  core.onCallEnded(at(1.4), call, Outcome::kReset, 0, {}, "connection lost");
  ASSERT_EQ(of<StartPrefill>(take()).size(), 1u);
  core.onClientDisconnected(at(1.45), 7);
  EXPECT_EQ(of<CancelCall>(take()).size(), 1u);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreTest, ThePolicyHearsOfAClientThatLeavesWhileAContinuationWaits) {
  const CallKey call = stream(1, 7);
  core.onEngineListUpdate(
      at(1.3), EngineListUpdate{EngineListUpdate::Scope::kSnapshot, {test::server(2, Role::kDecode)}});
  core.onCallEnded(at(1.4), call, Outcome::kReset, 0, {}, "connection lost");
  EXPECT_TRUE(of<StartPrefill>(take()).empty()) << "no reader is there: it waits with the policy";
  core.onClientDisconnected(at(1.45), 7);
  core.onEngineListUpdate(
      at(1.5), EngineListUpdate{EngineListUpdate::Scope::kSnapshot,
                                {test::server(1, Role::kPrefill), test::server(2, Role::kDecode)}});
  runTo(8);
  EXPECT_EQ(core.counters().actionsBlocked, 0u) << "the policy sends nothing for a request that is over";
}

TEST_F(CoreTest, ABrokenStreamFailsItsRequestOnce) {
  recovery::Limits off;
  off.enabled = false;
  core = Core(test::twoStageSettings(), Options{"n", Duration(0.05), true, off});
  core.onEngineListUpdate(
      at(0), EngineListUpdate{EngineListUpdate::Scope::kSnapshot,
                              {test::server(1, Role::kPrefill), test::server(2, Role::kDecode)}});
  take();
  const CallKey call = stream(1, 7);
  core.onCallEnded(at(1.4), call, Outcome::kReset, 0, {}, "connection lost");
  const auto answers = of<FinalResponse>(take());
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers.front().status, FinalStatus::kFailed);
  EXPECT_NE(answers.front().reason.find("connection lost"), std::string::npos);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreTest, ATokenTooMuchIsDroppedAndAGapEndsTheAttempt) {
  const CallKey call = stream(1, 7);
  core.onToken(at(1.3), call, 0, "again");
  EXPECT_TRUE(of<SendToken>(take()).size() == 1u) << "the first only";
  EXPECT_EQ(core.counters().droppedTokens, 1u);
  core.onToken(at(1.3), call, 2, "gap");
  EXPECT_EQ(of<CancelCall>(take()).size(), 1u);
  EXPECT_TRUE(of<FinalResponse>(all).empty());
  EXPECT_EQ(of<FenceAttempt>(all).size(), 1u) << "it may still be written there";
  EXPECT_TRUE(of<StartPrefill>(all).empty());
}

TEST_F(CoreTest, AStreamTakenAwayGoesOnOnceItsEngineSaysThatItEnded) {
  const CallKey call = stream(1, 7);
  core.onToken(at(1.3), call, 2, "gap");
  const auto fences = of<FenceAttempt>(take());
  ASSERT_EQ(fences.size(), 1u);
  EXPECT_EQ(fences.front().attempt, 1);
  core.onAttemptFenced(at(1.35), 7, 0);
  EXPECT_TRUE(of<StartPrefill>(take()).empty()) << "an older attempt's word counts for nothing";
  core.onAttemptFenced(at(1.4), 7, 1);
  EXPECT_EQ(of<StartPrefill>(take()).size(), 1u);
  core.onAttemptFenced(at(1.45), 7, 1);
  EXPECT_TRUE(of<StartPrefill>(take()).empty()) << "said twice, done once";
}

TEST_F(CoreTest, AnEngineThatSaysNothingIsWaitedForUntilItsLeaseRunsOut) {
  const CallKey call = stream(1, 7);
  core.onToken(at(1.3), call, 2, "gap");
  take();
  auto said = runTo(3.2);
  EXPECT_GE(of<FenceAttempt>(said).size(), 3u) << "asked again and again";
  EXPECT_TRUE(of<StartPrefill>(said).empty());
  said = runTo(3.5);
  EXPECT_EQ(of<StartPrefill>(said).size(), 1u);
  core.onToken(at(3.6), call, 1, "late");
  EXPECT_TRUE(of<SendToken>(core.takeCommands()).empty());
  EXPECT_EQ(core.counters().droppedTokens, 1u);
}

TEST_F(CoreTest, AClientThatLeavesWhileTheFenceIsOut) {
  const CallKey call = stream(1, 7);
  core.onToken(at(1.3), call, 2, "gap");
  take();
  core.onClientDisconnected(at(1.35), 7);
  core.onAttemptFenced(at(1.4), 7, 1);
  EXPECT_TRUE(of<StartPrefill>(take()).empty());
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreTest, AClientsTimeEndsWhileTheFenceIsOut) {
  const CallKey call = stream(1, 7, 2);
  core.onToken(at(2.2), call, 2, "gap");
  take();
  const auto answers = of<FinalResponse>(runTo(8));
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers.front().status, FinalStatus::kFailed);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreTest, ADeathAfterTheLastTokenStillEndsWell) {
  const CallKey call = stream(1, 7);
  core.onCallEnded(at(1.4), call, Outcome::kReset, 0, {}, "after the last token");
  const auto read = of<StartPrefill>(take()).front();
  core.onPrefillEnded(at(1.5), read.call, "state", 0, {});
  const auto write = of<StartDecode>(take()).front();
  EXPECT_EQ(write.payload->firstTokenIndex, 1u);
  core.onCallEnded(at(1.6), write.call, Outcome::kOk, 0, {}, "");  // there was nothing more to say
  take();
  ASSERT_EQ(of<FinalResponse>(all).size(), 1u);
  EXPECT_EQ(of<FinalResponse>(all).front().status, FinalStatus::kServed);
  EXPECT_TRUE(of<SendToken>(all).empty());
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreTest, StateHolderAndWriterDieDuringAMove) {
  EngineListUpdate more{EngineListUpdate::Scope::kSnapshot,
                        {test::server(1, Role::kPrefill), test::server(8, Role::kPrefill)}};
  for (std::uint32_t id = 2; id <= 6; ++id) more.entries.push_back(test::server(id, Role::kDecode));
  core.onEngineListUpdate(at(0.5), more);
  arrive(1, 7);
  const auto first = of<StartPrefill>(take()).front();
  core.onPrefillEnded(at(1.1), first.call, "state", 0, {});
  const auto write = of<StartDecode>(take()).front();
  core.onToken(at(1.2), write.call, 0, "a");
  core.onCallEnded(at(1.3), write.call, Outcome::kReset, 0, {}, "connection lost");
  const auto again = of<StartPrefill>(take()).front();
  core.onPrefillEnded(at(1.4), again.call, "state", 0, {});
  const auto next = of<StartDecode>(take()).front();
  EngineListUpdate gone{EngineListUpdate::Scope::kDelta, {test::server(again.engine.value, Role::kPrefill)}};
  gone.entries.front().state = EngineEntry::State::kRemoved;
  core.onEngineListUpdate(at(1.45), gone);
  core.onCallEnded(at(1.5), next.call, Outcome::kStateLost, 0, {}, "state is gone");
  const auto third = of<StartPrefill>(take());
  ASSERT_EQ(third.size(), 1u);
  EXPECT_NE(third.front().engine, again.engine);
  EXPECT_EQ(third.front().payload->prompt, "a") << "what was sent is read anew with it";
  core.onPrefillEnded(at(1.6), third.front().call, "state", 0, {});
  const auto last = of<StartDecode>(take()).front();
  core.onToken(at(1.7), last.call, 1, "b");
  core.onCallEnded(at(1.8), last.call, Outcome::kOk, 0, {}, "");
  take();
  EXPECT_EQ(of<FinalResponse>(all).front().status, FinalStatus::kServed);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreTest, AContinuationsReadBreaksAndTheOldWriterSpeaksOn) {
  EngineListUpdate more{EngineListUpdate::Scope::kSnapshot,
                        {test::server(1, Role::kPrefill), test::server(8, Role::kPrefill)}};
  for (std::uint32_t id = 2; id <= 4; ++id) more.entries.push_back(test::server(id, Role::kDecode));
  core.onEngineListUpdate(at(0.5), more);
  arrive(1, 7);
  core.onPrefillEnded(at(1.1), of<StartPrefill>(take()).front().call, "state", 0, {});
  const auto old = of<StartDecode>(take()).front();
  core.onToken(at(1.2), old.call, 0, "a");
  core.onToken(at(1.25), old.call, 2, "gap");
  core.onAttemptFenced(at(1.3), 7, 1);
  const auto read = of<StartPrefill>(take()).front();
  core.onToken(at(1.32), old.call, 1, "it said that it had ended");
  core.onCallEnded(at(1.35), read.call, Outcome::kReset, 0, {}, "connection lost");
  std::vector<StartPrefill> again = of<StartPrefill>(take());
  for (const StartPrefill& r : of<StartPrefill>(runTo(1.45))) again.push_back(r);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_NE(again.front().engine, read.engine);
  EXPECT_TRUE(of<SendToken>(all).empty());
  EXPECT_EQ(core.counters().droppedTokens, 1u);
}

TEST_F(CoreTest, AllWritersOfACellAreGone) {
  EngineListUpdate fleet{EngineListUpdate::Scope::kSnapshot,
                         {test::server(1, Role::kPrefill, 1), test::server(2, Role::kDecode, 1),
                          test::server(3, Role::kDecode, 1), test::server(9, Role::kDecode, 2)}};
  core.onEngineListUpdate(at(0.5), fleet);
  arrive(1, 7);
  core.onPrefillEnded(at(1.1), of<StartPrefill>(take()).front().call, "state", 0, {});
  const auto first = of<StartDecode>(take()).front();
  ASSERT_NE(first.engine, EngineId{9}) << "the cell's own come first";
  core.onToken(at(1.2), first.call, 0, "a");
  EngineListUpdate gone{EngineListUpdate::Scope::kDelta, {fleet.entries[1], fleet.entries[2]}};
  for (EngineEntry& entry : gone.entries) entry.state = EngineEntry::State::kRemoved;
  core.onEngineListUpdate(at(1.25), gone);
  core.onCallEnded(at(1.3), first.call, Outcome::kReset, 0, {}, "connection lost");
  core.onPrefillEnded(at(1.4), of<StartPrefill>(take()).front().call, "state", 0, {});
  const auto writes = of<StartDecode>(take());
  ASSERT_EQ(writes.size(), 1u);
  EXPECT_EQ(writes.front().engine, EngineId{9});
}

TEST_F(CoreTest, MovesDoNotPushAColdWriterOver) {
  EngineListUpdate fleet{EngineListUpdate::Scope::kSnapshot,
                         {test::server(1, Role::kPrefill), test::server(8, Role::kPrefill),
                          test::server(2, Role::kDecode), test::server(4, Role::kDecode)}};
  core.onEngineListUpdate(at(0.5), fleet);
  std::map<CallKey, EngineId> streams;
  for (RequestKey key = 1; key <= 40; ++key) {
    arrive(1 + 0.1 * static_cast<double>(key), key, 60);
    const double now = 1.02 + 0.1 * static_cast<double>(key);
    for (const StartPrefill& read : of<StartPrefill>(take()))
      core.onPrefillEnded(at(now), read.call, "state", 0, {});
    for (const StartDecode& write : of<StartDecode>(take())) {
      core.onToken(at(now), write.call, 0, "a");
      streams.emplace(write.call, write.engine);
    }
  }
  EngineEntry cold = test::server(3, Role::kDecode);
  cold.startedAt = at(5.1);
  core.onEngineListUpdate(at(5.1), EngineListUpdate{EngineListUpdate::Scope::kDelta, {cold}});
  take();
  int lost = 0, toCold = 0, toWarm = 0;
  for (const auto& [call, engine] : streams) {
    if (engine != EngineId{2}) continue;
    ++lost;
    core.onCallEnded(at(5.2), call, Outcome::kReset, 0, {}, "connection lost");
    for (const StartPrefill& read : of<StartPrefill>(take()))
      core.onPrefillEnded(at(5.2), read.call, "state", 0, {});
    for (const StartDecode& write : of<StartDecode>(take()))
      ++(write.engine == EngineId{3} ? toCold : toWarm);
  }
  EXPECT_GT(lost, 10);
  EXPECT_GT(toWarm, 5) << "moves go on all the same";
  EXPECT_LE(toCold, toWarm / 4) << "a cold writer gets its budget's share, as of new requests";
}

TEST_F(CoreTest, ALeavingWritersStreamIsHandedOver) {
  const CallKey call = stream(1, 7);
  core.onToken(at(1.25), call, 1, "b");
  take();
  for (const std::uint32_t engine : {2u, 3u}) core.onEngineShutdownNotice(at(1.3), EngineId{engine}, at(2));
  const auto said = runTo(1.5);
  ASSERT_EQ(of<FenceAttempt>(said).size(), 1u);
  EXPECT_EQ(of<CancelCall>(said).size(), 1u);
  core.onAttemptFenced(at(1.51), 7, 1);
  EXPECT_EQ(of<StartPrefill>(take()).size(), 1u);
}

TEST_F(CoreTest, TheThirdWriterDiesToo) {
  EngineListUpdate more{EngineListUpdate::Scope::kSnapshot, {test::server(1, Role::kPrefill)}};
  for (std::uint32_t id = 2; id <= 6; ++id) more.entries.push_back(test::server(id, Role::kDecode));
  core.onEngineListUpdate(at(0.5), more);
  auto call = stream(1, 7, 30);
  std::uint32_t next = 1;
  for (int death = 0; death < 2; ++death) {
    const double now = 1.5 + death;
    core.onCallEnded(at(now), call, Outcome::kReset, 0, {}, "connection lost");
    const auto reads = of<StartPrefill>(take());
    ASSERT_EQ(reads.size(), 1u);
    EXPECT_EQ(reads.front().attempt, 2 + 2 * death);
    core.onPrefillEnded(at(now + 0.1), reads.front().call, "state", 0, {});
    const auto writes = of<StartDecode>(take());
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_EQ(writes.front().payload->firstTokenIndex, next);
    call = writes.front().call;
    core.onToken(at(now + 0.2), call, next++, "x");
  }
  core.onCallEnded(at(5), call, Outcome::kReset, 0, {}, "connection lost");
  const auto answers = of<FinalResponse>(take());
  ASSERT_EQ(answers.size(), 1u) << "six attempts are all that the settings grant";
  EXPECT_NE(answers.front().reason.find("no attempts left"), std::string::npos);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreTest, ARunningStreamEndsBeforeTheClientsTime) {
  stream(1, 7, 3);
  take();
  const auto said = runTo(10);
  const auto answers = of<FinalResponse>(said);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers.front().status, FinalStatus::kDeadlineExceeded);
  EXPECT_EQ(of<CancelCall>(said).size(), 1u);
  const auto records = of<Record>(said);
  const auto deadline = std::find_if(records.begin(), records.end(),
                                     [](const Record& r) { return r.kind == RecordKind::kDeadlineExceeded; });
  ASSERT_NE(deadline, records.end());
  EXPECT_LT(deadline->at, at(4));
}

TEST_F(CoreTest, ASilentEngineIsLeftAndTheAnswerComesInTime) {
  arrive(1, 7, 10, 4);
  take();
  const auto said = runTo(12);
  const auto answers = of<FinalResponse>(said);
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_NE(answers.front().status, FinalStatus::kServed);
  EXPECT_GE(of<CancelCall>(said).size(), 1u);
  EXPECT_EQ(core.pendingObligations(), 0u);
  EXPECT_EQ(core.counters().actionsBlocked, 0u) << "the module answers before the core has to";
}

TEST_F(CoreTest, ReadsThatAreCalledOffAreAlsoLetGo) {
  arrive(1, 7, 10, 4);
  const auto read = of<StartPrefill>(take()).front();
  core.onClientDisconnected(at(1.1), 7);
  take();
  EXPECT_EQ(of<CancelCall>(all).size(), 1u);
  const auto gone = of<ReleaseState>(all);
  ASSERT_EQ(gone.size(), 1u);
  EXPECT_EQ(gone.front().id, read.id);
  EXPECT_EQ(gone.front().engine, read.engine);
  EXPECT_TRUE(of<FinalResponse>(all).empty()) << "nobody is there to be answered";
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreTest, AStateThatComesAfterTheClientWentIsLetGo) {
  arrive(1, 7);
  const auto read = of<StartPrefill>(take()).front();
  core.onPrefillEnded(at(1.1), read.call, "state", 0, {});
  const auto write = of<StartDecode>(take()).front();
  core.onClientDisconnected(at(1.2), 7);
  take();
  ASSERT_EQ(of<CancelCall>(all).size(), 1u);
  EXPECT_EQ(of<CancelCall>(all).front().call, write.call);
  const auto gone = of<ReleaseState>(all);
  ASSERT_EQ(gone.size(), 1u);
  EXPECT_EQ(gone.front().engine, EngineId{1});
}

// A writer that says so may only not have reached the reader: the state is let go of at the request's end.
TEST_F(CoreTest, AStateThatAWriterDidNotFindIsLetGoAtTheEnd) {
  arrive(1, 7);
  core.onPrefillEnded(at(1.1), of<StartPrefill>(take()).front().call, "state", 0, {});
  const auto write = of<StartDecode>(take()).front();
  EngineListUpdate drains{EngineListUpdate::Scope::kDelta, {test::server(1, Role::kPrefill)}};
  drains.entries.front().state = EngineEntry::State::kDraining;
  core.onEngineListUpdate(at(1.15), drains);
  core.onCallEnded(at(1.2), write.call, Outcome::kStateLost, 0, {}, "state is gone");
  EXPECT_TRUE(of<StartPrefill>(take()).empty()) << "no reader is left";
  all.clear();
  core.onClientDisconnected(at(1.3), 7);
  take();
  ASSERT_EQ(of<ReleaseState>(all).size(), 1u);
  EXPECT_EQ(of<ReleaseState>(all).front().engine, EngineId{1});
  EXPECT_EQ(core.pendingObligations(), 0u);
}

// A rule that was broken is told of with its request, also by a core that records nothing else.
TEST_F(CoreTest, AHoldPastItsLimitIsRecordedWithItsRequest) {
  Options quiet;
  quiet.recordsEnabled = false;
  core = Core(test::twoStageSettings(), quiet);
  core.onEngineListUpdate(at(0), {EngineListUpdate::Scope::kSnapshot,
                                  {test::server(1, Role::kPrefill), test::server(2, Role::kDecode)}});
  NewRequest asked;
  asked.key = 9;
  asked.id = "held-too-long";
  asked.timeUntilDeadline = Duration(4);
  asked.payload = std::make_shared<RequestPayload>();
  core.onRequest(at(1), std::move(asked));
  core.onPrefillEnded(at(1.1), of<StartPrefill>(take()).front().call, "state", 0, {});
  take();
  core.onClientDisconnected(at(1.1 + 2 * test::twoStageSettings().stateLeaseLimit.count()), 9);
  const auto records = of<Record>(take());
  ASSERT_EQ(records.size(), 1u);
  EXPECT_EQ(records.front().kind, RecordKind::kInvariantViolation);
  EXPECT_EQ(records.front().request, "held-too-long");
  EXPECT_EQ(records.front().reason, "pinned");
}

TEST_F(CoreTest, NeverTwoCallsOfARequestAreOut) {
  // An unkind fleet: each call fails in another way, at once or late.
  std::map<CallKey, std::string> out;
  const Outcome kinds[] = {Outcome::kError, Outcome::kReset, Outcome::kConnectFailed, Outcome::kRejected,
                           Outcome::kStateLost};
  std::size_t next = 0;
  for (RequestKey key = 1; key <= 40; ++key) arrive(1 + 0.01 * static_cast<double>(key), key);
  double now = 1.5;
  for (int step = 0; step < 2000 && core.pendingObligations() > 0; ++step, now += 0.01) {
    core.advance(at(now));
    for (const Command& c : core.takeCommands()) {
      if (const auto* read = std::get_if<StartPrefill>(&c)) out[read->call] = read->id;
      if (const auto* write = std::get_if<StartDecode>(&c)) out[write->call] = write->id;
      if (const auto* off = std::get_if<CancelCall>(&c)) out.erase(off->call);
      std::map<std::string, int> open;
      for (const auto& [call, id] : out) ASSERT_EQ(++open[id], 1) << id;
    }
    if (out.empty() || step % 3 != 0) continue;
    const CallKey call = out.begin()->first;
    out.erase(out.begin());
    core.onCallEnded(at(now), call, kinds[next++ % std::size(kinds)], 0, {}, "unkind");
  }
  EXPECT_EQ(core.pendingObligations(), 0u);
  const Counters& counts = core.counters();
  EXPECT_EQ(counts.served + counts.rejected + counts.failed + counts.deadlineExceeded, 40u);
}

TEST_F(CoreTest, ADrainingNodeRefusesWhatIsNewAndFinishesTheRest) {
  const CallKey call = stream(1, 7);
  core.drain(at(1.3));
  take();
  arrive(1.4, 8);
  const auto answers = of<FinalResponse>(take());
  ASSERT_EQ(answers.size(), 1u);
  EXPECT_EQ(answers.front().request, 8u);
  EXPECT_EQ(answers.front().status, FinalStatus::kRejected);
  core.onCallEnded(at(1.5), call, Outcome::kOk, 0, {}, "");
  EXPECT_EQ(of<FinalResponse>(take()).front().status, FinalStatus::kServed);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreTest, TwoCoresShareNothing) {
  Core other(test::twoStageSettings(), Options{"m", Duration(0.05), true, {}});
  other.onEngineListUpdate(at(0), EngineListUpdate{EngineListUpdate::Scope::kSnapshot, {}});
  other.takeCommands();
  arrive(1, 7);
  EXPECT_EQ(of<StartPrefill>(take()).size(), 1u);
  EXPECT_EQ(other.pendingObligations(), 0u);
  EXPECT_TRUE(other.takeCommands().empty());
  EXPECT_EQ(other.counters().accepted, 0u);
}

TEST_F(CoreTest, SameEventsGiveTheSameCommands) {
  const auto play = [] {
    Core core(test::twoStageSettings(), Options{"n", Duration(0.05), true, {}});
    std::string said;
    core.onEngineListUpdate(
        at(0), EngineListUpdate{EngineListUpdate::Scope::kSnapshot,
                                {test::server(1, Role::kPrefill), test::server(2, Role::kDecode)}});
    for (RequestKey key = 1; key <= 30; ++key) {
      NewRequest a;
      a.key = key;
      a.timeUntilDeadline = Duration(5);
      auto work = std::make_shared<RequestPayload>();
      work->promptTokens = 100 * static_cast<std::uint32_t>(key);
      a.payload = work;
      core.onRequest(at(0.05 * static_cast<double>(key)), std::move(a));
      for (const Command& c : core.takeCommands()) {
        said += std::to_string(c.index());
        if (const auto* read = std::get_if<StartPrefill>(&c))
          said += read->id + std::to_string(read->engine.value);
      }
    }
    return said;
  };
  EXPECT_EQ(play(), play());
}

}  // namespace
}  // namespace gannetcourse::router
