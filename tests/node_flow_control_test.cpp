// Backpressure of slow clients, and what it costs others.
#include <gtest/gtest.h>

#include "node_fixture.h"

namespace gannetcourse::node {
namespace {

TEST_F(NodeTest, AClientThatNeverReadsBuffersLittleAndDelaysNobody) {
  startWithTwoEngines();
  const std::string text(1000, 'x');
  std::uint32_t sent = 0;
  ServerCall slow;
  decodeEngine.onDecode = [&](const ServerCall& call, const v1::DecodeRequest& request) {
    if (request.seed() != 99) {
      ScriptedEngine::sendToken(call, 0, "quick");
      return call->finish({});
    }
    slow = call;
    for (; sent < 500; ++sent) ScriptedEngine::sendToken(call, sent, text);
  };
  v1::GenerateRequest request = query();
  request.set_seed(99);
  const auto response = generate(request, Duration(30));
  response->call->pause(true);
  ASSERT_TRUE(waitUntil([&] { return slow != nullptr; }));
  runFor(0.5);
  // The engine still holds most of it: the node took its buffer, a window of each side, and no more.
  EXPECT_GT(slow->pendingBytes(), 500000u - 8 * 1024 - 8 * 1024 - 4096 - 20000);
  const auto quick = generate();
  ASSERT_TRUE(waitForEnd(quick));
  EXPECT_TRUE(quick->endedWith(grpc::Code::kOk));
  slow->finish({});
  response->call->pause(false);
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << response->end->status.message;
  EXPECT_EQ(response->tokens.size(), 500u);
}

TEST_F(NodeTest, BackpressureAppliesToTheNextDecodeEngineToo) {
  ScriptedEngine other(loop, 3);
  const std::uint32_t all = 45;
  std::vector<ServerCall> writes;
  std::vector<std::uint32_t> from;
  const auto write = [&](const ServerCall& call, const v1::DecodeRequest& request) {
    writes.push_back(call);
    from.push_back(request.first_index());
    for (std::uint32_t i = request.first_index(); i < all; ++i)
      ScriptedEngine::sendToken(call, i, std::string(1000, static_cast<char>('a' + i % 26)));
    if (from.size() > 1) call->finish({});
  };
  decodeEngine.onDecode = other.onDecode = write;
  start(fileSource({{&prefillEngine, "prefill"}, {&decodeEngine, "decode"}, {&other, "decode"}}));
  v1::GenerateRequest request = query();
  request.set_max_output_tokens(all);
  const auto response = generate(request, Duration(30));
  response->call->pause(true);
  ASSERT_TRUE(waitUntil([&] { return !writes.empty(); }));
  runFor(0.4);
  const std::size_t openCall = writes.front()->pendingBytes();
  EXPECT_GT(openCall, 10000u) << "its node has taken a buffer's worth and no more";
  decodeEngine.server.abortAll();
  other.server.abortAll();
  ASSERT_TRUE(waitUntil([&] { return writes.size() == 2; }));
  runFor(0.4);
  EXPECT_GT(from[1], 0u);
  EXPECT_GT(writes[1]->pendingBytes(), 1000u) << "the buffer is full still: the next writer waits as well";
  response->call->pause(false);
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << response->end->status.message;
  ASSERT_EQ(response->tokens.size(), all);
  for (std::uint32_t i = 0; i < all; ++i)
    EXPECT_EQ(response->tokens[i].front(), static_cast<char>('a' + i % 26));
}

}  // namespace
}  // namespace gannetcourse::node
