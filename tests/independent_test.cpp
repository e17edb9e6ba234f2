// Tests a node with clients of the gRPC C++ library, an independent implementation of the protocol.
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

#include "fake_engine.h"
#include "fake_registry.h"
#include "gannetcourse/v1/chat.grpc.pb.h"
#include "gannetcourse/v1/health.grpc.pb.h"
#include "node_process.h"
#include "scenario.h"

namespace {

using gannetcourse::Duration;
using gannetcourse::Role;
namespace lab = gannetcourse::lab;
namespace v1 = gannetcourse::v1;

// Owns a prefill engine, a decode engine and a registry that run on one thread, and a node in this process.
class TestService {
 public:
  TestService() {
    std::promise<std::string> registryAddress;
    auto address = registryAddress.get_future();
    thread_ = std::thread([this, &registryAddress] { run(registryAddress); });
    const std::string registry = address.get();
    lab::Scenario scenario;
    scenario.zones = {"north"};
    scenario.classes.push_back({});
    scenario.classes.back().name = "query";
    scenario.responseMargin = 0.2;
    node_ = lab::startInProcess("node-0", scenario.nodeSettings(0, registry), {});
  }
  ~TestService() {
    node_->drain();
    while (!node_->ended()) std::this_thread::yield();
    stop_ = true;
    thread_.join();
  }
  TestService(const TestService&) = delete;
  TestService& operator=(const TestService&) = delete;

  std::string target() const { return "127.0.0.1:" + std::to_string(node_->port()); }
  std::atomic<double> tokenTime{0.002};
  std::atomic<std::size_t> openCalls{0};

 private:
  void run(std::promise<std::string>& registryAddress) {
    gannetcourse::net::Loop loop;
    lab::AuditRules rules;
    rules.classes.resize(1);
    lab::Ledger ledger(rules);
    std::mt19937_64 random(1);
    lab::Testbed testbed{loop, ledger, random,    {"north"}, 250000, 120000, 2,  1,
                         {},   {1000}, {"query"}, 2.5,       2,      {},     600};
    lab::EngineSpec prefillSpec, decodeSpec;
    prefillSpec.id = 1;
    prefillSpec.zone = decodeSpec.zone = "north";
    decodeSpec.id = 2;
    decodeSpec.role = Role::kDecode;
    decodeSpec.tokenTime = 0.002;
    lab::FakeEngine prefillEngine(testbed, prefillSpec), decodeEngine(testbed, decodeSpec);
    lab::FakeRegistry registry(testbed);
    registry.set(prefillEngine, v1::EngineEntry::SERVING);
    registry.set(decodeEngine, v1::EngineEntry::SERVING);
    registryAddress.set_value(registry.address());
    double lastStep = testbed.now();
    while (!stop_) {
      loop.runOnce(Duration(0.005));
      const double now = testbed.now();
      decodeEngine.model().speed = 0.002 / tokenTime;
      prefillEngine.step(now, now - lastStep);
      decodeEngine.step(now, now - lastStep);
      openCalls = prefillEngine.openCalls() + decodeEngine.openCalls();
      lastStep = now;
    }
  }

  std::atomic<bool> stop_{false};
  std::thread thread_;
  std::unique_ptr<lab::NodeProcess> node_;
};

class GrpcInteroperabilityTest : public ::testing::Test {
 protected:
  void SetUp() override { connect({}); }

  void connect(const grpc::ChannelArguments& arguments) {
    channel = grpc::CreateCustomChannel(service.target(), grpc::InsecureChannelCredentials(), arguments);
    chat = v1::Chat::NewStub(channel);
  }

  static v1::GenerateRequest request(std::uint64_t id, std::uint32_t output = 30) {
    v1::GenerateRequest message;
    message.set_request_class("query");
    message.set_prompt("#" + std::to_string(id) + " why?");
    message.set_prompt_tokens(200);
    message.set_max_output_tokens(output);
    message.set_seed(id);
    return message;
  }

  static void setDeadline(grpc::ClientContext& context, double seconds) {
    context.set_deadline(std::chrono::system_clock::now() +
                         std::chrono::milliseconds(static_cast<int>(seconds * 1000)));
  }

  // Sends a request, reads its response to the end and checks the tokens.
  grpc::Status readResponse(std::uint64_t id, grpc::ClientContext& context, std::uint32_t output = 30) {
    auto stream = chat->Generate(&context, request(id, output));
    v1::GenerateToken token;
    std::uint32_t next = 0;
    while (stream->Read(&token)) {
      EXPECT_EQ(token.index(), next);
      EXPECT_EQ(token.text(), lab::answerText(id, next));
      ++next;
    }
    grpc::Status status = stream->Finish();
    if (status.ok()) {
      EXPECT_EQ(next, lab::answerLength(id, output));
    }
    return status;
  }

  TestService service;
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<v1::Chat::Stub> chat;
};

TEST_F(GrpcInteroperabilityTest, NodeStreamsCompleteResponse) {
  grpc::ClientContext context;
  setDeadline(context, 20);
  context.AddMetadata("x-customer", "kelaniya");
  context.AddMetadata("x-blob-bin", std::string("\0\1\2", 3));
  const grpc::Status status = readResponse(16, context);
  EXPECT_TRUE(status.ok()) << status.error_message();
  const auto& trailers = context.GetServerTrailingMetadata();
  const auto verdict = trailers.find("gannetcourse-verdict");
  ASSERT_NE(verdict, trailers.end());
  EXPECT_EQ(std::string(verdict->second.data(), verdict->second.size()), "served");
}

TEST_F(GrpcInteroperabilityTest, NodeRespondsToUnaryHealthChecks) {
  const auto health = grpc::health::v1::Health::NewStub(channel);
  grpc::health::v1::HealthCheckResponse response;
  for (int i = 0; i < 200 && response.status() != grpc::health::v1::HealthCheckResponse::SERVING; ++i) {
    grpc::ClientContext context;
    ASSERT_TRUE(health->Check(&context, {}, &response).ok());
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  EXPECT_EQ(response.status(), grpc::health::v1::HealthCheckResponse::SERVING);
  grpc::ClientContext context;
  grpc::health::v1::HealthCheckRequest unknown;
  unknown.set_service("nobody");
  EXPECT_EQ(health->Check(&context, unknown, &response).error_code(), grpc::StatusCode::NOT_FOUND);
}

TEST_F(GrpcInteroperabilityTest, NodeServesManyStreamsOnOneConnection) {
  std::vector<std::thread> clients;
  std::atomic<int> served{0};
  for (std::uint64_t c = 0; c < 8; ++c) {
    clients.emplace_back([&, c] {
      for (std::uint64_t i = 0; i < 10; ++i) {
        grpc::ClientContext context;
        setDeadline(context, 30);
        served += readResponse(16 * (1 + c * 100 + i), context).ok();
      }
    });
  }
  for (auto& client : clients) client.join();
  EXPECT_EQ(served, 80);
}

TEST_F(GrpcInteroperabilityTest, ClientCancellationEndsCallAtEngine) {
  service.tokenTime = 0.2;
  grpc::ClientContext context;
  setDeadline(context, 60);
  auto stream = chat->Generate(&context, request(16));
  v1::GenerateToken token;
  ASSERT_TRUE(stream->Read(&token));
  EXPECT_EQ(service.openCalls, 1u);
  context.TryCancel();
  while (stream->Read(&token)) {
  }
  EXPECT_EQ(stream->Finish().error_code(), grpc::StatusCode::CANCELLED);
  for (int i = 0; i < 500 && service.openCalls > 0; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  EXPECT_EQ(service.openCalls, 0u);
}

TEST_F(GrpcInteroperabilityTest, CallPastDeadlineEndsWithDeadlineExceeded) {
  service.tokenTime = 1;
  grpc::ClientContext context;
  setDeadline(context, 3);
  auto stream = chat->Generate(&context, request(16));
  v1::GenerateToken token;
  while (stream->Read(&token)) {
  }
  EXPECT_EQ(stream->Finish().error_code(), grpc::StatusCode::DEADLINE_EXCEEDED);
}

TEST_F(GrpcInteroperabilityTest, NodeRejectsInvalidCallWithMatchingStatus) {
  const auto statusOf = [&](const v1::GenerateRequest& message, bool deadline = true) {
    grpc::ClientContext context;
    if (deadline) setDeadline(context, 10);
    auto stream = chat->Generate(&context, message);
    v1::GenerateToken token;
    while (stream->Read(&token)) {
    }
    return stream->Finish();
  };
  v1::GenerateRequest message = request(16);
  message.set_request_class("caf\xc3\xa9");
  const grpc::Status unknown = statusOf(message);
  EXPECT_EQ(unknown.error_code(), grpc::StatusCode::INVALID_ARGUMENT);
  EXPECT_EQ(unknown.error_message(), "request_class: 'caf\xc3\xa9' is not a class of this node")
      << "the message must be percent-encoded on the wire";
  EXPECT_EQ(statusOf(request(16), false).error_code(), grpc::StatusCode::INVALID_ARGUMENT);
  message = request(16);
  message.set_prompt(std::string(5 << 20, 'x'));
  EXPECT_EQ(statusOf(message).error_code(), grpc::StatusCode::RESOURCE_EXHAUSTED);
}

TEST_F(GrpcInteroperabilityTest, NodeAcceptsLargeMessage) {
  grpc::ClientContext context;
  setDeadline(context, 30);
  v1::GenerateRequest message = request(16);
  message.set_prompt("#16 " + std::string(3 << 20, 'x'));
  auto stream = chat->Generate(&context, message);
  v1::GenerateToken token;
  std::uint32_t tokens = 0;
  while (stream->Read(&token)) ++tokens;
  const grpc::Status status = stream->Finish();
  EXPECT_TRUE(status.ok()) << status.error_message();
  EXPECT_EQ(tokens, lab::answerLength(16, 30));
}

TEST_F(GrpcInteroperabilityTest, NodeRejectsCompressedRequestAsUnimplemented) {
  const auto stub = v1::Chat::NewStub(channel);
  grpc::ClientContext context;
  setDeadline(context, 10);
  context.set_compression_algorithm(GRPC_COMPRESS_GZIP);
  v1::GenerateRequest message = request(16);
  message.set_prompt("#16 " + std::string(100000, 'x'));
  auto stream = stub->Generate(&context, message);
  v1::GenerateToken token;
  while (stream->Read(&token)) {
  }
  EXPECT_EQ(stream->Finish().error_code(), grpc::StatusCode::UNIMPLEMENTED);
}

// Guards against missing PING acknowledgements, for which the client library would close the connection.
TEST_F(GrpcInteroperabilityTest, ConnectionStaysOpenWhileClientSendsKeepalivePings) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 1000);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 10000);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  connect(arguments);
  service.tokenTime = 0.15;
  grpc::ClientContext context;
  setDeadline(context, 60);
  const grpc::Status status = readResponse(16, context, 20);
  EXPECT_TRUE(status.ok()) << status.error_message();
}

}  // namespace
