// router::Core in virtual time: the continuation, migration and resumption of streams.
#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <string>

#include "core_fixture.h"
#include "gannetcourse/router.h"
#include "harness.h"

namespace gannetcourse::router {
namespace {

class CoreContinuationTest : public CoreFixture {};

// The continuation must prefill the tokens that were already sent, continue at the next token index and
// ignore tokens of the lost call.
TEST_F(CoreContinuationTest, ContinuesBrokenStreamAtAnotherDecodeEngine) {
  const CallKey call = startStream(1, 7);
  core.onToken(at(1.3), call, 1, "b");
  takeCommands();
  core.onCallEnded(at(1.4), call, Outcome::kReset, 0, {}, "connection lost");
  const auto prefills = commandsOf<StartPrefill>(takeCommands());
  ASSERT_EQ(prefills.size(), 1u);
  EXPECT_TRUE(commandsOf<FinalResponse>(lastCommands).empty());
  EXPECT_EQ(prefills.front().attempt, 2) << "a continuation must not number its attempts from 0 again";
  EXPECT_EQ(prefills.front().payload->promptTokens, 1002u)
      << "the prompt must have 1000 tokens and the 2 tokens already sent";
  EXPECT_EQ(prefills.front().payload->prompt, "ab");
  core.onPrefillEnded(at(1.5), prefills.front().call, "again", 900, {});
  const auto decodes = commandsOf<StartDecode>(takeCommands());
  ASSERT_EQ(decodes.size(), 1u);
  EXPECT_EQ(decodes.front().payload->firstTokenIndex, 2u);
  core.onToken(at(1.55), call, 2, "of the lost call");
  core.onToken(at(1.6), decodes.front().call, 2, "c");
  core.onCallEnded(at(1.7), decodes.front().call, Outcome::kOk, 0, {}, "");
  takeCommands();
  const auto tokens = commandsOf<SendToken>(lastCommands);
  ASSERT_EQ(tokens.size(), 1u);
  EXPECT_EQ(tokens.front().index, 2u);
  EXPECT_EQ(tokens.front().text, "c");
  ASSERT_EQ(commandsOf<FinalResponse>(lastCommands).size(), 1u);
  EXPECT_EQ(commandsOf<FinalResponse>(lastCommands).front().status, FinalStatus::kServed);
  EXPECT_EQ(core.pendingObligations(), 0u);
  EXPECT_EQ(core.counters().continued, 1u);
}

// A request that resumes a stream after the first three tokens, which attempt 1 sent.
NewRequest resumedRequest(RequestKey key, const std::string& id) {
  NewRequest request;
  request.key = key;
  request.timeUntilDeadline = Duration(10);
  auto payload = std::make_shared<RequestPayload>();
  payload->prompt = "p";
  payload->promptTokens = 1000;
  payload->maxOutputTokens = 100;
  request.payload = payload;
  request.resumedStream = ResumedStream{id, 1, EngineId{2}, 3, "abc"};
  return request;
}

// The engine may still run the attempt that another router started. If the resumed stream did not wait until
// that attempt is fenced, two attempts would run at the same time.
TEST_F(CoreContinuationTest, ResumesStreamOfAnotherRouterOnceItsAttemptIsFenced) {
  core.onRequest(at(1), resumedRequest(7, "m-4"));
  const auto fences = commandsOf<FenceAttempt>(takeCommands());
  ASSERT_EQ(fences.size(), 1u);
  EXPECT_EQ(fences.front().id, "m-4");
  EXPECT_EQ(fences.front().attempt, 1);
  EXPECT_TRUE(commandsOf<StartPrefill>(lastCommands).empty());
  core.onAttemptFenced(at(1.1), 7, 1);
  const auto prefills = commandsOf<StartPrefill>(takeCommands());
  ASSERT_EQ(prefills.size(), 1u);
  EXPECT_EQ(prefills.front().id, "m-4");
  EXPECT_EQ(prefills.front().attempt, 2);
  EXPECT_EQ(prefills.front().payload->prompt, "pabc");
  core.onPrefillEnded(at(1.2), prefills.front().call, "state", 0, {});
  const auto decode = commandsOf<StartDecode>(takeCommands()).front();
  EXPECT_EQ(decode.payload->firstTokenIndex, 3u);
  core.onToken(at(1.3), decode.call, 3, "d");
  EXPECT_EQ(commandsOf<SendToken>(takeCommands()).front().index, 3u);
  // The client resumes the stream again: the core must end the client's earlier request before it starts
  // another attempt.
  core.onRequest(at(1), resumedRequest(8, "m-4"));
  takeCommands();
  EXPECT_EQ(commandsOf<CancelCall>(lastCommands).size(), 1u);
  ASSERT_EQ(commandsOf<FinalResponse>(lastCommands).size(), 1u);
  EXPECT_EQ(commandsOf<FinalResponse>(lastCommands).front().request, 7u);
  ASSERT_EQ(commandsOf<FenceAttempt>(lastCommands).size(), 1u);
  EXPECT_EQ(commandsOf<FenceAttempt>(lastCommands).front().attempt, 3)
      << "the newest attempt must be fenced, not the one in the client's resume data";
  EXPECT_EQ(commandsOf<FenceAttempt>(lastCommands).front().engine, decode.engine);
  core.onClientDisconnected(at(1.5), 8);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreContinuationTest, FailsContinuationInTimeWhenNoEngineIsListed) {
  const CallKey call = startStream(1, 7, 6);
  core.onEngineListUpdate(at(1.3), EngineListUpdate{EngineListUpdate::Scope::kSnapshot, {}});
  takeCommands();
  core.onCallEnded(at(1.4), call, Outcome::kReset, 0, {}, "connection lost");
  auto responses = commandsOf<FinalResponse>(takeCommands());
  for (const FinalResponse& later : commandsOf<FinalResponse>(advanceTo(8))) responses.push_back(later);
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses.front().status, FinalStatus::kFailed)
      << "a request whose answer was partly sent must not be rejected";
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreContinuationTest, CancelsContinuationWhenClientDisconnects) {
  const CallKey call = startStream(1, 7);
  core.onCallEnded(at(1.4), call, Outcome::kReset, 0, {}, "connection lost");
  ASSERT_EQ(commandsOf<StartPrefill>(takeCommands()).size(), 1u);
  core.onClientDisconnected(at(1.45), 7);
  EXPECT_EQ(commandsOf<CancelCall>(takeCommands()).size(), 1u);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

// When the client disconnects, a continuation that the policy has queued must be withdrawn. Otherwise the
// policy would start the continuation when a prefill engine is listed again.
TEST_F(CoreContinuationTest, WithdrawsQueuedContinuationWhenClientDisconnects) {
  const CallKey call = startStream(1, 7);
  core.onEngineListUpdate(
      at(1.3), EngineListUpdate{EngineListUpdate::Scope::kSnapshot, {test::engineEntry(2, Role::kDecode)}});
  core.onCallEnded(at(1.4), call, Outcome::kReset, 0, {}, "connection lost");
  EXPECT_TRUE(commandsOf<StartPrefill>(takeCommands()).empty())
      << "no prefill engine is listed, so the policy must queue the continuation";
  core.onClientDisconnected(at(1.45), 7);
  core.onEngineListUpdate(
      at(1.5), EngineListUpdate{EngineListUpdate::Scope::kSnapshot,
                                {test::engineEntry(1, Role::kPrefill), test::engineEntry(2, Role::kDecode)}});
  advanceTo(8);
  EXPECT_EQ(core.counters().actionsBlocked, 0u)
      << "the policy must not start an attempt for a withdrawn request";
}

TEST_F(CoreContinuationTest, SendsOneFailureWhenStreamBreaksAndRecoveryIsDisabled) {
  recovery::Limits disabled;
  disabled.enabled = false;
  core = Core(test::twoStageSettings(), Options{"n", Duration(0.05), true, disabled});
  core.onEngineListUpdate(
      at(0), EngineListUpdate{EngineListUpdate::Scope::kSnapshot,
                              {test::engineEntry(1, Role::kPrefill), test::engineEntry(2, Role::kDecode)}});
  takeCommands();
  const CallKey call = startStream(1, 7);
  core.onCallEnded(at(1.4), call, Outcome::kReset, 0, {}, "connection lost");
  const auto responses = commandsOf<FinalResponse>(takeCommands());
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses.front().status, FinalStatus::kFailed);
  EXPECT_NE(responses.front().reason.find("connection lost"), std::string::npos);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

// The client must receive each token exactly once, even if an engine repeats or skips tokens.
TEST_F(CoreContinuationTest, DropsDuplicateTokenAndCancelsAttemptWhenTokenIsMissing) {
  const CallKey call = startStream(1, 7);
  core.onToken(at(1.3), call, 0, "again");
  EXPECT_TRUE(commandsOf<SendToken>(takeCommands()).size() == 1u) << "token 0 must be sent only once";
  EXPECT_EQ(core.counters().droppedTokens, 1u);
  core.onToken(at(1.3), call, 2, "gap");
  EXPECT_EQ(commandsOf<CancelCall>(takeCommands()).size(), 1u);
  EXPECT_TRUE(commandsOf<FinalResponse>(lastCommands).empty());
  EXPECT_EQ(commandsOf<FenceAttempt>(lastCommands).size(), 1u)
      << "a fence is needed, because the engine may still be sending the stream";
  EXPECT_TRUE(commandsOf<StartPrefill>(lastCommands).empty());
}

// The continuation must start once, and only after the fence of the newest attempt.
TEST_F(CoreContinuationTest, ContinuesCancelledStreamOnceItsAttemptIsFenced) {
  const CallKey call = startStream(1, 7);
  core.onToken(at(1.3), call, 2, "gap");
  const auto fences = commandsOf<FenceAttempt>(takeCommands());
  ASSERT_EQ(fences.size(), 1u);
  EXPECT_EQ(fences.front().attempt, 1);
  core.onAttemptFenced(at(1.35), 7, 0);
  EXPECT_TRUE(commandsOf<StartPrefill>(takeCommands()).empty())
      << "the fence of an older attempt must not start the continuation";
  core.onAttemptFenced(at(1.4), 7, 1);
  EXPECT_EQ(commandsOf<StartPrefill>(takeCommands()).size(), 1u);
  core.onAttemptFenced(at(1.45), 7, 1);
  EXPECT_TRUE(commandsOf<StartPrefill>(takeCommands()).empty())
      << "a repeated confirmation must not start another continuation";
}

// An engine that does not answer the fence may still run the attempt until its lease expires. The
// continuation must not start before.
TEST_F(CoreContinuationTest, WaitsForLeaseExpiryWhenEngineDoesNotAnswerTheFence) {
  const CallKey call = startStream(1, 7);
  core.onToken(at(1.3), call, 2, "gap");
  takeCommands();
  auto commands = advanceTo(3.2);
  EXPECT_GE(commandsOf<FenceAttempt>(commands).size(), 3u) << "the fence must be repeated";
  EXPECT_TRUE(commandsOf<StartPrefill>(commands).empty());
  commands = advanceTo(3.5);
  EXPECT_EQ(commandsOf<StartPrefill>(commands).size(), 1u);
  core.onToken(at(3.6), call, 1, "late");
  EXPECT_TRUE(commandsOf<SendToken>(core.takeCommands()).empty());
  EXPECT_EQ(core.counters().droppedTokens, 1u);
}

TEST_F(CoreContinuationTest, StartsNoContinuationWhenClientDisconnectsWhileFenceIsPending) {
  const CallKey call = startStream(1, 7);
  core.onToken(at(1.3), call, 2, "gap");
  takeCommands();
  core.onClientDisconnected(at(1.35), 7);
  core.onAttemptFenced(at(1.4), 7, 1);
  EXPECT_TRUE(commandsOf<StartPrefill>(takeCommands()).empty());
  EXPECT_EQ(core.pendingObligations(), 0u);
}

TEST_F(CoreContinuationTest, FailsRequestWhenDeadlinePassesWhileFenceIsPending) {
  const CallKey call = startStream(1, 7, 2);
  core.onToken(at(2.2), call, 2, "gap");
  takeCommands();
  const auto responses = commandsOf<FinalResponse>(advanceTo(8));
  ASSERT_EQ(responses.size(), 1u);
  EXPECT_EQ(responses.front().status, FinalStatus::kFailed);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

// If the engine is lost between the last token and the end of the call, no token is left for a continuation.
// The request must still be served.
TEST_F(CoreContinuationTest, ServesRequestWhenEngineIsLostAfterTheLastToken) {
  const CallKey call = startStream(1, 7);
  core.onCallEnded(at(1.4), call, Outcome::kReset, 0, {}, "after the last token");
  const auto prefill = commandsOf<StartPrefill>(takeCommands()).front();
  core.onPrefillEnded(at(1.5), prefill.call, "state", 0, {});
  const auto decode = commandsOf<StartDecode>(takeCommands()).front();
  EXPECT_EQ(decode.payload->firstTokenIndex, 1u);
  core.onCallEnded(at(1.6), decode.call, Outcome::kOk, 0, {}, "");  // no further token
  takeCommands();
  ASSERT_EQ(commandsOf<FinalResponse>(lastCommands).size(), 1u);
  EXPECT_EQ(commandsOf<FinalResponse>(lastCommands).front().status, FinalStatus::kServed);
  EXPECT_TRUE(commandsOf<SendToken>(lastCommands).empty());
  EXPECT_EQ(core.pendingObligations(), 0u);
}

// While a continuation is decoded, its prefill engine is removed and its decode engine reports the state as
// lost. The continuation must be prefilled again at another engine.
TEST_F(CoreContinuationTest, RepeatsPrefillWhenContinuationLosesItsState) {
  EngineListUpdate more{EngineListUpdate::Scope::kSnapshot,
                        {test::engineEntry(1, Role::kPrefill), test::engineEntry(8, Role::kPrefill)}};
  for (std::uint32_t id = 2; id <= 6; ++id) more.entries.push_back(test::engineEntry(id, Role::kDecode));
  core.onEngineListUpdate(at(0.5), more);
  sendRequest(1, 7);
  const auto first = commandsOf<StartPrefill>(takeCommands()).front();
  core.onPrefillEnded(at(1.1), first.call, "state", 0, {});
  const auto decode = commandsOf<StartDecode>(takeCommands()).front();
  core.onToken(at(1.2), decode.call, 0, "a");
  core.onCallEnded(at(1.3), decode.call, Outcome::kReset, 0, {}, "connection lost");
  const auto again = commandsOf<StartPrefill>(takeCommands()).front();
  core.onPrefillEnded(at(1.4), again.call, "state", 0, {});
  const auto next = commandsOf<StartDecode>(takeCommands()).front();
  EngineListUpdate removal{EngineListUpdate::Scope::kDelta,
                           {test::engineEntry(again.engine.value, Role::kPrefill)}};
  removal.entries.front().state = EngineEntry::State::kRemoved;
  core.onEngineListUpdate(at(1.45), removal);
  core.onCallEnded(at(1.5), next.call, Outcome::kStateLost, 0, {}, "state is gone");
  const auto third = commandsOf<StartPrefill>(takeCommands());
  ASSERT_EQ(third.size(), 1u);
  EXPECT_NE(third.front().engine, again.engine);
  EXPECT_EQ(third.front().payload->prompt, "a")
      << "the tokens already sent must be prefilled with the prompt";
  core.onPrefillEnded(at(1.6), third.front().call, "state", 0, {});
  const auto last = commandsOf<StartDecode>(takeCommands()).front();
  core.onToken(at(1.7), last.call, 1, "b");
  core.onCallEnded(at(1.8), last.call, Outcome::kOk, 0, {}, "");
  takeCommands();
  EXPECT_EQ(commandsOf<FinalResponse>(lastCommands).front().status, FinalStatus::kServed);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

// After a fence, the engine may still deliver a token that was in flight. The core must drop the token, and
// retry the failed prefill of the continuation at another engine.
TEST_F(CoreContinuationTest, RetriesContinuationAndDropsTokensOfTheFencedAttempt) {
  EngineListUpdate more{EngineListUpdate::Scope::kSnapshot,
                        {test::engineEntry(1, Role::kPrefill), test::engineEntry(8, Role::kPrefill)}};
  for (std::uint32_t id = 2; id <= 4; ++id) more.entries.push_back(test::engineEntry(id, Role::kDecode));
  core.onEngineListUpdate(at(0.5), more);
  sendRequest(1, 7);
  core.onPrefillEnded(at(1.1), commandsOf<StartPrefill>(takeCommands()).front().call, "state", 0, {});
  const auto old = commandsOf<StartDecode>(takeCommands()).front();
  core.onToken(at(1.2), old.call, 0, "a");
  core.onToken(at(1.25), old.call, 2, "gap");
  core.onAttemptFenced(at(1.3), 7, 1);
  const auto prefill = commandsOf<StartPrefill>(takeCommands()).front();
  core.onToken(at(1.32), old.call, 1, "it had confirmed its end");
  core.onCallEnded(at(1.35), prefill.call, Outcome::kReset, 0, {}, "connection lost");
  std::vector<StartPrefill> again = commandsOf<StartPrefill>(takeCommands());
  for (const StartPrefill& later : commandsOf<StartPrefill>(advanceTo(1.45))) again.push_back(later);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_NE(again.front().engine, prefill.engine);
  EXPECT_TRUE(commandsOf<SendToken>(lastCommands).empty());
  EXPECT_EQ(core.counters().droppedTokens, 1u);
}

TEST_F(CoreContinuationTest, ContinuesInAnotherCellWhenAllDecodeEnginesOfACellAreRemoved) {
  EngineListUpdate fleet{EngineListUpdate::Scope::kSnapshot,
                         {test::engineEntry(1, Role::kPrefill, 1), test::engineEntry(2, Role::kDecode, 1),
                          test::engineEntry(3, Role::kDecode, 1), test::engineEntry(9, Role::kDecode, 2)}};
  core.onEngineListUpdate(at(0.5), fleet);
  sendRequest(1, 7);
  core.onPrefillEnded(at(1.1), commandsOf<StartPrefill>(takeCommands()).front().call, "state", 0, {});
  const auto first = commandsOf<StartDecode>(takeCommands()).front();
  ASSERT_NE(first.engine, EngineId{9}) << "engines of the same cell must be preferred";
  core.onToken(at(1.2), first.call, 0, "a");
  EngineListUpdate removal{EngineListUpdate::Scope::kDelta, {fleet.entries[1], fleet.entries[2]}};
  for (EngineEntry& entry : removal.entries) entry.state = EngineEntry::State::kRemoved;
  core.onEngineListUpdate(at(1.25), removal);
  core.onCallEnded(at(1.3), first.call, Outcome::kReset, 0, {}, "connection lost");
  core.onPrefillEnded(at(1.4), commandsOf<StartPrefill>(takeCommands()).front().call, "state", 0, {});
  const auto decodes = commandsOf<StartDecode>(takeCommands());
  ASSERT_EQ(decodes.size(), 1u);
  EXPECT_EQ(decodes.front().engine, EngineId{9});
}

// When an engine is lost, many streams are continued at once. An engine in slow start must not receive most
// of these streams.
TEST_F(CoreContinuationTest, LimitsContinuationsAtAnEngineInSlowStart) {
  EngineListUpdate fleet{EngineListUpdate::Scope::kSnapshot,
                         {test::engineEntry(1, Role::kPrefill), test::engineEntry(8, Role::kPrefill),
                          test::engineEntry(2, Role::kDecode), test::engineEntry(4, Role::kDecode)}};
  core.onEngineListUpdate(at(0.5), fleet);
  std::map<CallKey, EngineId> streams;
  for (RequestKey key = 1; key <= 40; ++key) {
    sendRequest(1 + 0.1 * static_cast<double>(key), key, 60);
    const double now = 1.02 + 0.1 * static_cast<double>(key);
    for (const StartPrefill& prefill : commandsOf<StartPrefill>(takeCommands()))
      core.onPrefillEnded(at(now), prefill.call, "state", 0, {});
    for (const StartDecode& decode : commandsOf<StartDecode>(takeCommands())) {
      core.onToken(at(now), decode.call, 0, "a");
      streams.emplace(decode.call, decode.engine);
    }
  }
  EngineEntry starting = test::engineEntry(3, Role::kDecode);
  starting.startedAt = at(5.1);
  core.onEngineListUpdate(at(5.1), EngineListUpdate{EngineListUpdate::Scope::kDelta, {starting}});
  takeCommands();
  int lost = 0, toSlowStart = 0, toWarm = 0;
  for (const auto& [call, engine] : streams) {
    if (engine != EngineId{2}) continue;
    ++lost;
    core.onCallEnded(at(5.2), call, Outcome::kReset, 0, {}, "connection lost");
    for (const StartPrefill& prefill : commandsOf<StartPrefill>(takeCommands()))
      core.onPrefillEnded(at(5.2), prefill.call, "state", 0, {});
    for (const StartDecode& decode : commandsOf<StartDecode>(takeCommands())) {
      int& count = decode.engine == EngineId{3} ? toSlowStart : toWarm;
      ++count;
    }
  }
  EXPECT_GT(lost, 10);
  EXPECT_GT(toWarm, 5) << "continuations must proceed at the other engine";
  EXPECT_LE(toSlowStart, toWarm / 4) << "slow start must limit continuations as it limits new requests";
}

TEST_F(CoreContinuationTest, MigratesStreamBeforeItsEngineShutsDown) {
  const CallKey call = startStream(1, 7);
  core.onToken(at(1.25), call, 1, "b");
  takeCommands();
  for (const std::uint32_t engine : {2u, 3u}) core.onEngineShutdownNotice(at(1.3), EngineId{engine}, at(2));
  const auto commands = advanceTo(1.5);
  ASSERT_EQ(commandsOf<FenceAttempt>(commands).size(), 1u);
  EXPECT_EQ(commandsOf<CancelCall>(commands).size(), 1u);
  core.onAttemptFenced(at(1.51), 7, 1);
  EXPECT_EQ(commandsOf<StartPrefill>(takeCommands()).size(), 1u);
}

// The settings allow six attempts. The request and its two continuations take two attempts each, so none is
// left for a third continuation.
TEST_F(CoreContinuationTest, FailsRequestWhenAThirdContinuationWouldExceedMaxAttempts) {
  EngineListUpdate more{EngineListUpdate::Scope::kSnapshot, {test::engineEntry(1, Role::kPrefill)}};
  for (std::uint32_t id = 2; id <= 6; ++id) more.entries.push_back(test::engineEntry(id, Role::kDecode));
  core.onEngineListUpdate(at(0.5), more);
  auto call = startStream(1, 7, 30);
  std::uint32_t next = 1;
  for (int loss = 0; loss < 2; ++loss) {
    const double now = 1.5 + loss;
    core.onCallEnded(at(now), call, Outcome::kReset, 0, {}, "connection lost");
    const auto prefills = commandsOf<StartPrefill>(takeCommands());
    ASSERT_EQ(prefills.size(), 1u);
    EXPECT_EQ(prefills.front().attempt, 2 + 2 * loss);
    core.onPrefillEnded(at(now + 0.1), prefills.front().call, "state", 0, {});
    const auto decodes = commandsOf<StartDecode>(takeCommands());
    ASSERT_EQ(decodes.size(), 1u);
    EXPECT_EQ(decodes.front().payload->firstTokenIndex, next);
    call = decodes.front().call;
    core.onToken(at(now + 0.2), call, next++, "x");
  }
  core.onCallEnded(at(5), call, Outcome::kReset, 0, {}, "connection lost");
  const auto responses = commandsOf<FinalResponse>(takeCommands());
  ASSERT_EQ(responses.size(), 1u) << "a third continuation would exceed the six attempts of the settings";
  EXPECT_NE(responses.front().reason.find("no attempts left"), std::string::npos);
  EXPECT_EQ(core.pendingObligations(), 0u);
}

}  // namespace
}  // namespace gannetcourse::router
