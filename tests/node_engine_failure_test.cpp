// What a node does when engines and clients fail: retries, releases, recovery of streams.
#include <gtest/gtest.h>

#include "node_fixture.h"

namespace gannetcourse::node {
namespace {

TEST_F(NodeTest, ASilentDecodeEngineIsEndedBeforeTheDeadline) {
  startWithTwoEngines();
  decodeEngine.onDecode = [](const ServerCall& call, const v1::DecodeRequest&) {
    ScriptedEngine::sendToken(call, 0, "one ");
  };
  const auto response = generate(query(), Duration(2));
  const Instant from = net::monotonicNow();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kDeadlineExceeded));
  EXPECT_GE((net::monotonicNow() - from).count(), 1.0) << "not before its time";
  EXPECT_EQ(response->tokens.size(), 1u);
  EXPECT_TRUE(waitUntil([&] { return decodeEngine.cancelled == 1; })) << "the engine's call is cancelled";
  EXPECT_EQ(node->core().pendingObligations(), 0u);
}

TEST_F(NodeTest, AClientThatCancelsDuringARetryGetsNoFurtherAttempt) {
  startWithTwoEngines();
  int errors = 0;
  prefillEngine.onPrefill = [&](const ServerCall& call, const v1::PrefillRequest&) {
    if (errors++ == 0) return call->finish({grpc::Code::kInternal, "first"});
    // The second prefill stays open.
  };
  const auto response = generate();
  ASSERT_TRUE(waitUntil([&] { return prefillEngine.prefills == 2; }));
  response->call->cancel();
  EXPECT_TRUE(waitUntil([&] { return prefillEngine.cancelled == 1 && prefillEngine.releases == 1; }));
  runFor();
  EXPECT_EQ(prefillEngine.prefills, 2) << "no attempt after the cancellation";
  EXPECT_EQ(response->ends, 1);
  EXPECT_EQ(node->core().pendingObligations(), 0u);
}

// No decode engine takes the state, and its prefill engine does not take the release at once.
TEST_F(NodeTest, AReleaseThatItsEngineDoesNotTakeIsRetried) {
  startWithTwoEngines();
  decodeEngine.onDecode = [](const ServerCall& call, const v1::DecodeRequest&) {
    call->finish({grpc::Code::kResourceExhausted, "full"});
  };
  constexpr int kFailures = 2;
  prefillEngine.releasesToFail = kFailures;
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(waitUntil([&] { return prefillEngine.releases == prefillEngine.prefills + kFailures; }));
  runFor();
  EXPECT_EQ(prefillEngine.releases, prefillEngine.prefills + kFailures);
}

TEST_F(NodeTest, AReplyAfterItsCallWasCancelledIsIgnored) {
  startWithTwoEngines();
  ServerCall openCall;
  prefillEngine.onPrefill = [&](const ServerCall& call, const v1::PrefillRequest&) { openCall = call; };
  const auto response = generate();
  ASSERT_TRUE(waitUntil([&] { return openCall != nullptr; }));
  response->call->cancel();
  ASSERT_TRUE(waitUntil([&] { return prefillEngine.cancelled == 1; }));
  ScriptedEngine::replyToPrefill(openCall);
  runFor();
  EXPECT_EQ(decodeEngine.decodes, 0);
  EXPECT_EQ(node->core().pendingObligations(), 0u);
}

TEST_F(NodeTest, APrefillWhoseConnectionBreaksIsRetried) {
  startWithTwoEngines();
  prefillEngine.onPrefill = [&](const ServerCall& call, const v1::PrefillRequest&) {
    if (prefillEngine.prefills == 1) return loop.defer([this] { prefillEngine.server.abortAll(); });
    ScriptedEngine::replyToPrefill(call);
  };
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << "a prefill has no effect: it is retried";
  EXPECT_EQ(prefillEngine.prefills, 2);
  EXPECT_EQ(response->tokens.size(), 2u);
}

TEST_F(NodeTest, AnAtMostOnceRequestThatMayHaveRunIsNotRetried) {
  startWithTwoEngines();
  decodeEngine.onDecode = [&](const ServerCall&, const v1::DecodeRequest&) {
    loop.defer([this] { decodeEngine.server.abortAll(); });
  };
  v1::GenerateRequest order = query();
  order.set_request_class("order");
  const auto response = generate(order);
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kAborted));
  EXPECT_EQ(response->finalStatus(), "failed");
  runFor();
  EXPECT_EQ(decodeEngine.decodes, 1);
}

TEST_F(NodeTest, AnUnreachablePrefillEngineIsPassedOver) {
  ScriptedEngine other(loop, 3);
  start(fileSource({{&prefillEngine, "prefill"}, {&other, "prefill"}, {&decodeEngine, "decode"}}));
  prefillEngine.server.rejectConnections(true);
  for (int i = 0; i < 4; ++i) {
    const auto response = generate();
    ASSERT_TRUE(waitForEnd(response));
    EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << response->end->status.message;
  }
  EXPECT_EQ(other.prefills, 4);
}

TEST_F(NodeTest, GoAwayWithCallsInFlightLosesNothing) {
  startWithTwoEngines();
  ServerCall openCall;
  decodeEngine.onDecode = [&](const ServerCall& call, const v1::DecodeRequest&) {
    ScriptedEngine::sendToken(call, 0, "one ");
    openCall = call;
  };
  const auto response = generate();
  ASSERT_TRUE(waitUntil([&] { return openCall != nullptr && response->tokens.size() == 1; }));
  decodeEngine.server.drain();
  runFor();
  ScriptedEngine::sendToken(openCall, 1, "two");
  openCall->finish({});
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << response->end->status.message;
  EXPECT_EQ(response->tokens.size(), 2u);
}

TEST_F(NodeTest, AnEngineReplacedOnTheSamePortIsUsed) {
  auto old = std::make_unique<ScriptedEngine>(loop, 7);
  const std::uint16_t port = old->server.port();
  start(fileSource({{&prefillEngine, "prefill"}, {old.get(), "decode"}}));
  auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_EQ(old->decodes, 1);
  old->server.abortAll();
  runFor(0.05);
  old.reset();
  ScriptedEngine fresh(loop, 8, port);
  writeEngineList({{&prefillEngine, "prefill"}, {&fresh, "decode"}});
  node->reload(node->settings());
  response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << response->end->status.message;
  EXPECT_EQ(fresh.decodes, 1);
}

TEST_F(NodeTest, LongStreamsMigrateFromAnEngineThatSendsGoAway) {
  ScriptedEngine other(loop, 3);
  ScriptedEngine* firstEngine = nullptr;
  const auto decodeAt = [&](ScriptedEngine& engine) {
    return [&](const ServerCall& call, const v1::DecodeRequest& request) {
      ScriptedEngine::sendToken(call, request.first_index(), request.first_index() == 0 ? "one " : "two");
      if (firstEngine != nullptr) return call->finish({});
      firstEngine = &engine;  // its stream stays open
    };
  };
  decodeEngine.onDecode = decodeAt(decodeEngine);
  other.onDecode = decodeAt(other);
  start(fileSource({{&prefillEngine, "prefill"}, {&decodeEngine, "decode"}, {&other, "decode"}}));
  v1::GenerateRequest request = query();
  request.set_max_output_tokens(400);
  const auto response = generate(request, Duration(60));
  ASSERT_TRUE(waitUntil([&] { return response->tokens.size() == 1; }));
  firstEngine->server.drain();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << response->end->status.message;
  EXPECT_EQ(response->tokens, (std::vector<std::string>{"one ", "two"}));
  EXPECT_EQ(firstEngine->cancelled, 1) << "cancelled, not broken";
  EXPECT_EQ(firstEngine->decodes, 1);
}

}  // namespace
}  // namespace gannetcourse::node
