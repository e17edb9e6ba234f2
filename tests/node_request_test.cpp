// Requests end to end: validation, final responses, drain and health of a whole node.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gannetcourse/v1/health.pb.h"
#include "node_fixture.h"

namespace gannetcourse::node {
namespace {

TEST_F(NodeTest, StreamsAResponseFromEndToEnd) {
  startWithTwoEngines();
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk)) << response->end->status.message;
  EXPECT_EQ(response->finalStatus(), "served");
  EXPECT_EQ(response->tokens, (std::vector<std::string>{"one ", "two"}));
  runFor();
  EXPECT_EQ(prefillEngine.prefills, 1);
  EXPECT_EQ(decodeEngine.decodes, 1);
  EXPECT_EQ(node->core().pendingObligations(), 0u);
}

TEST_F(NodeTest, RejectsAnInvalidRequestNamingTheField) {
  startWithTwoEngines();
  struct Case {
    void (*spoil)(v1::GenerateRequest&);
    const char* names;
  };
  const Case cases[] = {
      {[](v1::GenerateRequest& r) { r.set_request_class("nobody"); }, "request_class"},
      {[](v1::GenerateRequest& r) { r.set_tenant("stranger"); }, "tenant"},
      {[](v1::GenerateRequest& r) { r.set_prompt_tokens(5001); }, "prompt_tokens"},
      {[](v1::GenerateRequest& r) { r.clear_prompt(); }, "prompt"},
      {[](v1::GenerateRequest& r) { r.set_max_output_tokens(100000); }, "max_output_tokens"},
      {[](v1::GenerateRequest& r) { r.set_prefix_tokens(101); }, "prefix_tokens"},
  };
  for (const Case& c : cases) {
    v1::GenerateRequest request = query();
    c.spoil(request);
    const auto response = generate(request);
    ASSERT_TRUE(waitForEnd(response));
    EXPECT_TRUE(response->endedWith(grpc::Code::kInvalidArgument)) << c.names;
    EXPECT_EQ(response->end->status.message.rfind(c.names, 0), 0u) << response->end->status.message;
  }
  const auto unbounded = std::make_shared<Response>();
  unbounded->call = channel->start("/gannetcourse.v1.Chat/Generate", query().SerializeAsString());
  unbounded->call->onEnd = [unbounded](const grpc::CallEnd& end) { unbounded->end = end; };
  ASSERT_TRUE(waitForEnd(unbounded));
  EXPECT_TRUE(unbounded->endedWith(grpc::Code::kInvalidArgument));
  EXPECT_NE(unbounded->end->status.message.find("grpc-timeout"), std::string::npos);
  const auto past = generate(query(), Duration(0.05));
  ASSERT_TRUE(waitForEnd(past));
  EXPECT_TRUE(past->endedWith(grpc::Code::kDeadlineExceeded));
  EXPECT_EQ(prefillEngine.prefills, 0);
  EXPECT_EQ(node->core().counters().accepted, 0u) << "what is wrong is not taken";
}

TEST_F(NodeTest, ARejectionCarriesRetryAfter) {
  start(fileSource({}));
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kUnavailable)) << response->end->status.message;
  EXPECT_EQ(response->finalStatus(), "refused");
  const std::string* advice = http2::find(response->end->trailers, "grpc-retry-pushback-ms");
  ASSERT_NE(advice, nullptr);
  EXPECT_GT(std::stoi(*advice), 0);
}

TEST_F(NodeTest, ADrainFinishesAcceptedRequestsAndRejectsNewOnes) {
  startWithTwoEngines();
  ServerCall openCall;
  decodeEngine.onDecode = [&](const ServerCall& call, const v1::DecodeRequest&) {
    ScriptedEngine::sendToken(call, 0, "one ");
    openCall = call;
  };
  const auto streaming = generate();
  ASSERT_TRUE(waitUntil([&] { return streaming->tokens.size() == 1; }));
  ServerCall reading;
  prefillEngine.onPrefill = [&](const ServerCall& call, const v1::PrefillRequest&) { reading = call; };
  const auto queued = generate();
  ASSERT_TRUE(waitUntil([&] { return reading != nullptr; }));
  bool drained = false;
  node->drain([&] { drained = true; });
  const auto late = generate();
  runFor();
  EXPECT_FALSE(drained) << "two requests are still owed an answer";
  openCall->finish({});
  decodeEngine.onDecode = nullptr;
  ScriptedEngine::replyToPrefill(reading);
  ASSERT_TRUE(waitUntil([&] { return drained; }));
  EXPECT_TRUE(streaming->endedWith(grpc::Code::kOk));
  EXPECT_TRUE(queued->endedWith(grpc::Code::kOk));
  ASSERT_TRUE(waitForEnd(late));
  EXPECT_FALSE(late->endedWith(grpc::Code::kOk));
}

TEST_F(NodeTest, HealthFollowsTheNode) {
  startWithTwoEngines();
  using ::grpc::health::v1::HealthCheckRequest;
  using ::grpc::health::v1::HealthCheckResponse;
  std::vector<int> told;
  bool over = false;
  const auto watch = channel->start("/grpc.health.v1.Health/Watch", HealthCheckRequest().SerializeAsString());
  watch->onMessage = [&](std::string_view bytes) {
    told.push_back(parsed<HealthCheckResponse>(bytes).status());
  };
  watch->onEnd = [&](const grpc::CallEnd&) { over = true; };
  ASSERT_TRUE(waitUntil([&] { return !told.empty(); }));
  bool drained = false;
  node->drain([&] { drained = true; });
  ASSERT_TRUE(waitUntil([&] { return over && drained; }));
  EXPECT_EQ(told, (std::vector<int>{HealthCheckResponse::SERVING, HealthCheckResponse::NOT_SERVING}));
}

TEST_F(NodeTest, TenThousandConnectionsOpenedAndClosed) {
  startWithTwoEngines();
  const sockaddr_in to = [&] {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(node->port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }();
  for (int i = 0; i < 10000; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ASSERT_GE(fd, 0);
    connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    // Half of them leave without a word, half after some bytes that are no HTTP/2.
    if (i % 2 == 0) [[maybe_unused]]
      const auto sent = send(fd, "GET / HTTP/1.1\r\n\r\n", 18, MSG_NOSIGNAL);
    const linger now{1, i % 3 == 0 ? 0 : 1};
    if (i % 3 == 0) setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(fd);
    if (i % 50 == 0) loop.runOnce(Duration(0));
  }
  runFor();
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kOk));
}

}  // namespace
}  // namespace gannetcourse::node
