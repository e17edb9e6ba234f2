// Tests of backpressure from clients that do not read, and of its effect on other clients.
#include <gtest/gtest.h>

#include "node_fixture.h"

namespace gannetcourse::node {
namespace {

// Guards against a node that buffers a whole response, or delays other requests, because one client does not
// read.
TEST_F(NodeTest, LimitsBufferingForClientThatDoesNotReadAndServesOthers) {
  startWithTwoEngines();
  const std::string text(1000, 'x');
  std::uint32_t sent = 0;
  ServerCall slowDecode;
  decodeEngine.onDecode = [&](const ServerCall& call, const v1::DecodeRequest& request) {
    if (request.seed() != 99) {
      ScriptedEngine::sendToken(call, 0, "quick");
      return call->finish({});
    }
    slowDecode = call;
    for (; sent < 500; ++sent) ScriptedEngine::sendToken(call, sent, text);
  };
  v1::GenerateRequest request = query();
  request.set_seed(99);
  const auto response = generate(request, Duration(30));
  response->call->pause(true);
  ASSERT_TRUE(waitUntil([&] { return slowDecode != nullptr; }));
  runFor(0.5);
  // Most of the output is still at the engine: the node has read at most its stream buffer and one
  // flow-control window on each side.
  EXPECT_GT(slowDecode->pendingBytes(), 500000u - 8 * 1024 - 8 * 1024 - 4096 - 20000);
  const auto quick = generate();
  ASSERT_TRUE(waitForEnd(quick));
  EXPECT_TRUE(quick->endedWith(grpc::Code::kOk));
  slowDecode->finish({});
  response->call->pause(false);
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << response->end->status.message;
  EXPECT_EQ(response->tokens.size(), 500u);
}

// The connection to the decode engine breaks while the client does not read. The call to the next engine
// starts unpaused, and the node must pause it as well.
TEST_F(NodeTest, PausesNextEngineWhenStreamContinuesForClientThatDoesNotRead) {
  ScriptedEngine other(loop, 3);
  const std::uint32_t tokenCount = 45;
  std::vector<ServerCall> decodes;
  std::vector<std::uint32_t> firstIndexes;
  const auto decode = [&](const ServerCall& call, const v1::DecodeRequest& request) {
    decodes.push_back(call);
    firstIndexes.push_back(request.first_index());
    for (std::uint32_t i = request.first_index(); i < tokenCount; ++i)
      ScriptedEngine::sendToken(call, i, std::string(1000, static_cast<char>('a' + i % 26)));
    if (firstIndexes.size() > 1) call->finish({});
  };
  decodeEngine.onDecode = other.onDecode = decode;
  start(fileSource({{&prefillEngine, "prefill"}, {&decodeEngine, "decode"}, {&other, "decode"}}));
  v1::GenerateRequest request = query();
  request.set_max_output_tokens(tokenCount);
  const auto response = generate(request, Duration(30));
  response->call->pause(true);
  ASSERT_TRUE(waitUntil([&] { return !decodes.empty(); }));
  runFor(0.4);
  EXPECT_GT(decodes.front()->pendingBytes(), 10000u) << "the node must not read more than its stream buffer";
  decodeEngine.server.abortAll();
  other.server.abortAll();
  ASSERT_TRUE(waitUntil([&] { return decodes.size() == 2; }));
  runFor(0.4);
  EXPECT_GT(firstIndexes[1], 0u);
  EXPECT_GT(decodes[1]->pendingBytes(), 1000u)
      << "the node's stream buffer is still full, but the next engine is not paused";
  response->call->pause(false);
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << response->end->status.message;
  ASSERT_EQ(response->tokens.size(), tokenCount);
  for (std::uint32_t i = 0; i < tokenCount; ++i)
    EXPECT_EQ(response->tokens[i].front(), static_cast<char>('a' + i % 26));
}

}  // namespace
}  // namespace gannetcourse::node
