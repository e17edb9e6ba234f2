// Tests of a node whose engines or clients fail: retries, releases, recovery of streams.
#include <gtest/gtest.h>

#include "node_fixture.h"

namespace gannetcourse::node {
namespace {

// The decode engine sends one token and then nothing. The client must get DEADLINE_EXCEEDED, and the engine's
// call must be cancelled.
TEST_F(NodeTest, EndsRequestAtDeadlineWhenDecodeEngineStopsSending) {
  startWithTwoEngines();
  decodeEngine.onDecode = [](const ServerCall& call, const v1::DecodeRequest&) {
    ScriptedEngine::sendToken(call, 0, "one ");
  };
  const auto response = generate(query(), Duration(2));
  const Instant startedAt = net::monotonicNow();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kDeadlineExceeded));
  EXPECT_GE((net::monotonicNow() - startedAt).count(), 1.0) << "the request ended long before its deadline";
  EXPECT_EQ(response->tokens.size(), 1u);
  EXPECT_TRUE(waitUntil([&] { return decodeEngine.cancelled == 1; }))
      << "the call to the decode engine was not cancelled";
  EXPECT_EQ(node->core().pendingObligations(), 0u);
}

// The engine sends all tokens but never the status that ends the call. Each token is sent again and again.
TEST_F(NodeTest, EndsRequestAtDeadlineWhenTheStatusOfACompleteStreamIsMissing) {
  startWithTwoEngines();
  decodeEngine.onDecode = [](const ServerCall& call, const v1::DecodeRequest& request) {
    for (std::uint32_t i = 0; i < request.max_output_tokens(); ++i) ScriptedEngine::sendToken(call, i, "x ");
  };
  const auto response = generate(query(), Duration(2));
  const Instant startedAt = net::monotonicNow();
  while (!response->end && net::monotonicNow() - startedAt < Duration(10)) {
    for (const ServerCall& call : decodeEngine.calls) ScriptedEngine::sendToken(call, 0, "x ");
    runFor(0.05);
  }
  EXPECT_TRUE(response->endedWith(grpc::Code::kDeadlineExceeded));
  EXPECT_LT((net::monotonicNow() - startedAt).count(), 3);
  EXPECT_EQ(response->tokens.size(), 10u);
  EXPECT_TRUE(waitUntil([&] { return decodeEngine.cancelled == 1; }));
}

// Guards against attempts and states that are left behind when the client cancels while a retry is in flight.
TEST_F(NodeTest, StartsNoAttemptAfterClientCancelsDuringRetry) {
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
  EXPECT_EQ(prefillEngine.prefills, 2) << "no attempt may start after the cancellation";
  EXPECT_EQ(response->ends, 1);
  EXPECT_EQ(node->core().pendingObligations(), 0u);
}

// All decodes are rejected, so the prefilled state must be released; the engine rejects the first releases.
// Without a retry the state would occupy the engine's memory.
TEST_F(NodeTest, RetriesReleaseThatEngineRejects) {
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

// The prefill engine replies after the client has cancelled. The reply must not start a decode.
TEST_F(NodeTest, IgnoresPrefillReplyAfterCancellation) {
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

TEST_F(NodeTest, RetriesPrefillWhenConnectionBreaks) {
  startWithTwoEngines();
  prefillEngine.onPrefill = [&](const ServerCall& call, const v1::PrefillRequest&) {
    if (prefillEngine.prefills == 1) return loop.defer([this] { prefillEngine.server.abortAll(); });
    ScriptedEngine::replyToPrefill(call);
  };
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << "a prefill has no side effect and must be retried";
  EXPECT_EQ(prefillEngine.prefills, 2);
  EXPECT_EQ(response->tokens.size(), 2u);
}

// The connection breaks during the decode of an at-most-once request. A retry could repeat the effects of the
// request.
TEST_F(NodeTest, DoesNotRetryAtMostOnceRequestThatMayHaveRun) {
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

TEST_F(NodeTest, UsesOtherPrefillEngineWhenOneIsUnreachable) {
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

// After GOAWAY an engine accepts no new calls, but streams in flight must continue to their end.
TEST_F(NodeTest, CompletesStreamInFlightAfterGoAway) {
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

// Guards against a node that uses the channel of a removed engine for a new engine at the same address.
TEST_F(NodeTest, UsesEngineThatReplacesAnotherOnSamePort) {
  auto first = std::make_unique<ScriptedEngine>(loop, 7);
  const std::uint16_t port = first->server.port();
  start(fileSource({{&prefillEngine, "prefill"}, {first.get(), "decode"}}));
  auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_EQ(first->decodes, 1);
  first->server.abortAll();
  runFor(0.05);
  first.reset();
  ScriptedEngine replacement(loop, 8, port);
  writeEngineList({{&prefillEngine, "prefill"}, {&replacement, "decode"}});
  node->reload(node->settings());
  response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << response->end->status.message;
  EXPECT_EQ(replacement.decodes, 1);
}

// A stream that would outlast the engine's shutdown continues at another engine, without a lost or repeated
// token.
TEST_F(NodeTest, MovesLongStreamToOtherEngineAfterGoAway) {
  ScriptedEngine other(loop, 3);
  ScriptedEngine* firstEngine = nullptr;
  const auto decodeAt = [&](ScriptedEngine& engine) {
    return [&](const ServerCall& call, const v1::DecodeRequest& request) {
      ScriptedEngine::sendToken(call, request.first_index(), request.first_index() == 0 ? "one " : "two");
      if (firstEngine != nullptr) return call->finish({});
      firstEngine = &engine;  // this engine keeps its stream open
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
  EXPECT_EQ(firstEngine->cancelled, 1) << "the stream of the first engine must be cancelled";
  EXPECT_EQ(firstEngine->decodes, 1);
}

}  // namespace
}  // namespace gannetcourse::node
