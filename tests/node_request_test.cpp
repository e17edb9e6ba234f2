// Tests of a complete node: validation of requests, final responses, drain and health.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gannetcourse/v1/health.pb.h"
#include "node_fixture.h"

namespace gannetcourse::node {
namespace {

TEST_F(NodeTest, StreamsResponseThroughPrefillAndDecode) {
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

// An invalid request must be rejected with the name of its field, without a call to an engine.
TEST_F(NodeTest, RejectsInvalidRequestAndNamesField) {
  startWithTwoEngines();
  struct Case {
    void (*makeInvalid)(v1::GenerateRequest&);
    const char* field;
  };
  const Case cases[] = {
      {[](v1::GenerateRequest& r) { r.set_request_class("nobody"); }, "request_class"},
      {[](v1::GenerateRequest& r) { r.set_tenant("stranger"); }, "tenant"},
      {[](v1::GenerateRequest& r) { r.set_prompt_tokens(5001); }, "prompt_tokens"},
      {[](v1::GenerateRequest& r) { r.clear_prompt(); }, "prompt"},
      {[](v1::GenerateRequest& r) { r.set_max_output_tokens(100000); }, "max_output_tokens"},
      {[](v1::GenerateRequest& r) { r.set_prefix_tokens(101); }, "prefix_tokens"},
  };
  for (const Case& invalid : cases) {
    v1::GenerateRequest request = query();
    invalid.makeInvalid(request);
    const auto response = generate(request);
    ASSERT_TRUE(waitForEnd(response));
    EXPECT_TRUE(response->endedWith(grpc::Code::kInvalidArgument)) << invalid.field;
    EXPECT_EQ(response->end->status.message.rfind(invalid.field, 0), 0u) << response->end->status.message;
  }
  const auto withoutDeadline = std::make_shared<Response>();
  withoutDeadline->call = channel->start("/gannetcourse.v1.Chat/Generate", query().SerializeAsString());
  withoutDeadline->call->onEnd = [withoutDeadline](const grpc::CallEnd& end) { withoutDeadline->end = end; };
  ASSERT_TRUE(waitForEnd(withoutDeadline));
  EXPECT_TRUE(withoutDeadline->endedWith(grpc::Code::kInvalidArgument));
  EXPECT_NE(withoutDeadline->end->status.message.find("grpc-timeout"), std::string::npos);
  const auto late = generate(query(), Duration(0.05));
  ASSERT_TRUE(waitForEnd(late));
  EXPECT_TRUE(late->endedWith(grpc::Code::kDeadlineExceeded));
  EXPECT_EQ(prefillEngine.prefills, 0);
  EXPECT_EQ(node->core().counters().accepted, 0u) << "invalid requests must not be accepted";
}

// A node without engines rejects requests. The rejection must contain a retry delay, because clients would
// otherwise retry at once.
TEST_F(NodeTest, RejectionWithoutEnginesContainsRetryDelay) {
  start(fileSource({}));
  const auto response = generate();
  ASSERT_TRUE(waitForEnd(response));
  EXPECT_TRUE(response->endedWith(grpc::Code::kUnavailable)) << response->end->status.message;
  EXPECT_EQ(response->finalStatus(), "refused");
  const std::string* retryDelay = http2::find(response->end->trailers, "grpc-retry-pushback-ms");
  ASSERT_NE(retryDelay, nullptr);
  EXPECT_GT(std::stoi(*retryDelay), 0);
}

// Guards against a drain that ends while a request is in prefill or decode, or that accepts further requests.
TEST_F(NodeTest, DrainFinishesAcceptedRequestsAndRejectsNewOnes) {
  startWithTwoEngines();
  ServerCall openDecode;
  decodeEngine.onDecode = [&](const ServerCall& call, const v1::DecodeRequest&) {
    ScriptedEngine::sendToken(call, 0, "one ");
    openDecode = call;
  };
  const auto streaming = generate();
  ASSERT_TRUE(waitUntil([&] { return streaming->tokens.size() == 1; }));
  ServerCall openPrefill;
  prefillEngine.onPrefill = [&](const ServerCall& call, const v1::PrefillRequest&) { openPrefill = call; };
  const auto prefilling = generate();
  ASSERT_TRUE(waitUntil([&] { return openPrefill != nullptr; }));
  bool drained = false;
  node->drain([&] { drained = true; });
  const auto late = generate();
  runFor();
  EXPECT_FALSE(drained) << "two accepted requests have no response yet";
  openDecode->finish({});
  decodeEngine.onDecode = nullptr;
  ScriptedEngine::replyToPrefill(openPrefill);
  ASSERT_TRUE(waitUntil([&] { return drained; }));
  EXPECT_TRUE(streaming->endedWith(grpc::Code::kOk));
  EXPECT_TRUE(prefilling->endedWith(grpc::Code::kOk));
  ASSERT_TRUE(waitForEnd(late));
  EXPECT_FALSE(late->endedWith(grpc::Code::kOk));
}

TEST_F(NodeTest, HealthWatchReportsNotServingWhenDrainStarts) {
  startWithTwoEngines();
  using ::grpc::health::v1::HealthCheckRequest;
  using ::grpc::health::v1::HealthCheckResponse;
  std::vector<int> statuses;
  bool ended = false;
  const auto watch = channel->start("/grpc.health.v1.Health/Watch", HealthCheckRequest().SerializeAsString());
  watch->onMessage = [&](std::string_view bytes) {
    statuses.push_back(parsed<HealthCheckResponse>(bytes).status());
  };
  watch->onEnd = [&](const grpc::CallEnd&) { ended = true; };
  ASSERT_TRUE(waitUntil([&] { return !statuses.empty(); }));
  bool drained = false;
  node->drain([&] { drained = true; });
  ASSERT_TRUE(waitUntil([&] { return ended && drained; }));
  EXPECT_EQ(statuses, (std::vector<int>{HealthCheckResponse::SERVING, HealthCheckResponse::NOT_SERVING}));
}

// Guards against connections that are not released when their peer closes at once or sends invalid bytes.
TEST_F(NodeTest, ServesRequestAfterTenThousandBrokenConnections) {
  startWithTwoEngines();
  const sockaddr_in nodeAddress = [&] {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(node->port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }();
  for (int i = 0; i < 10000; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ASSERT_GE(fd, 0);
    static_cast<void>(connect(fd, reinterpret_cast<const sockaddr*>(&nodeAddress), sizeof nodeAddress));
    // Half of the connections send bytes that are not HTTP/2, the others nothing; a third close with a RST.
    if (i % 2 == 0) static_cast<void>(send(fd, "GET / HTTP/1.1\r\n\r\n", 18, MSG_NOSIGNAL));
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
