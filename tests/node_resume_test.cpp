// Tests of resume tokens, with which a client continues its response at another node.
#include <gtest/gtest.h>

#include "node_fixture.h"

namespace gannetcourse::node {
namespace {

// The node is destroyed after two tokens. Another node must continue with the third token, with a higher
// attempt number than the first node used.
TEST_F(NodeTest, ResumesResponseAtAnotherNodeAfterNodeDied) {
  std::ofstream(folder / "keys") << "autumn " << std::string(64, 'a') << "\n";
  const std::string source = fileSource({{&prefillEngine, "prefill"}, {&decodeEngine, "decode"}});
  const std::string keys = "<resume key-file='" + (folder / "keys").string() + "'/>";
  std::string continuedPrompt;
  std::uint32_t firstIndex = 0, attempt = 0;
  prefillEngine.onPrefill = [&](const ServerCall& call, const v1::PrefillRequest& request) {
    continuedPrompt = request.prompt();
    ScriptedEngine::replyToPrefill(call);
  };
  decodeEngine.onDecode = [&](const ServerCall& call, const v1::DecodeRequest& request) {
    firstIndex = request.first_index();
    attempt = request.name().attempt();
    ScriptedEngine::sendToken(call, firstIndex, firstIndex == 0 ? "a " : "c ");
    ScriptedEngine::sendToken(call, firstIndex + 1, firstIndex == 0 ? "b " : "d");
    if (firstIndex > 0) call->finish({});
  };
  start(source, keys);
  const auto first = generate();
  ASSERT_TRUE(waitUntil([&] { return first->tokens.size() == 2; }));
  ASSERT_FALSE(first->resumeToken.empty());
  EXPECT_EQ(first->resumeToken.find("n1-t"), std::string::npos) << "the token must be encrypted";
  node.reset();  // simulates a crash: the node's connections close
  ASSERT_TRUE(waitUntil([&] { return first->end && decodeEngine.cancelled == 1; }));
  start(source, keys, "later");
  v1::GenerateRequest rest = query();
  rest.set_resume(first->resumeToken);
  rest.set_received_tokens(2);
  rest.set_received_text("a b ");
  const auto second = generate(rest);
  ASSERT_TRUE(waitForEnd(second));
  EXPECT_TRUE(second->endedWith(grpc::Code::kOk)) << second->end->status.message;
  EXPECT_EQ(second->tokens, (std::vector<std::string>{"c ", "d"}));
  EXPECT_EQ(continuedPrompt, "why?a b ");
  EXPECT_EQ(firstIndex, 2u);
  EXPECT_EQ(attempt, 3u) << "the attempt number must exceed those of the first node";
  EXPECT_GE(decodeEngine.fences, 1) << "the first node's attempt must be fenced";
}

TEST_F(NodeTest, RejectsInvalidResumeTokenWithReason) {
  std::ofstream(folder / "keys") << "autumn " << std::string(64, 'a') << "\n";
  start(fileSource({{&prefillEngine, "prefill"}, {&decodeEngine, "decode"}}),
        "<resume key-file='" + (folder / "keys").string() + "'/>");
  const auto first = generate();
  ASSERT_TRUE(waitForEnd(first));
  ASSERT_FALSE(first->resumeToken.empty());
  v1::GenerateRequest valid = query();
  valid.set_resume(first->resumeToken);
  valid.set_received_tokens(1);
  v1::GenerateRequest changed = valid, ofAnotherRequest = valid, withoutCount = valid, withTooMany = valid;
  std::string damaged = first->resumeToken;
  damaged.back() = static_cast<char>(damaged.back() ^ 1);
  changed.set_resume(damaged);
  ofAnotherRequest.set_prompt("why not?");
  withoutCount.clear_received_tokens();
  withTooMany.set_received_tokens(4000000000U);
  const std::pair<v1::GenerateRequest, std::string> cases[] = {
      {changed, "resume: is damaged"},
      {ofAnotherRequest, "resume: belongs to another"},
      {withoutCount, "received_tokens: is missing"},
      {withTooMany, "received_tokens: are more"}};
  for (const auto& [request, reason] : cases) {
    const auto response = generate(request);
    ASSERT_TRUE(waitForEnd(response));
    EXPECT_TRUE(response->endedWith(grpc::Code::kInvalidArgument));
    EXPECT_EQ(response->end->status.message.find(reason), 0u) << response->end->status.message;
  }
  // A reload replaces the key, so tokens sealed with the earlier key become invalid.
  std::ofstream(folder / "keys") << "winter " << std::string(64, 'b') << "\n";
  node->reload(node->settings());
  const auto late = generate(valid);
  ASSERT_TRUE(waitForEnd(late));
  EXPECT_TRUE(late->endedWith(grpc::Code::kInvalidArgument));
}

}  // namespace
}  // namespace gannetcourse::node
