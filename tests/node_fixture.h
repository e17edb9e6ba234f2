// Fixture with a complete node on loopback, scripted engines and a client. Waits end as soon as their
// condition holds; their time limit is reached only when a test fails.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "gannetcourse/v1/chat.pb.h"
#include "gannetcourse/v1/engine.pb.h"
#include "grpc/channel.h"
#include "grpc/server.h"
#include "node/node.h"

namespace gannetcourse::node {

constexpr double kWaitLimit = 20;  // seconds

template <class Message>
Message parsed(std::string_view bytes) {
  Message message;
  EXPECT_TRUE(message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
  return message;
}

using ServerCall = std::shared_ptr<grpc::ServerCall>;

/// A fake engine whose responses a test can replace. By default it completes prefills and decodes at once.
struct ScriptedEngine {
  explicit ScriptedEngine(net::Loop& loop, std::uint32_t number, std::uint16_t port = 0)
      : id(number), server(loop, {"127.0.0.1", port}) {
    server.handle("/gannetcourse.v1.Engine/Prefill", [this](const ServerCall& call, std::string_view bytes) {
      ++prefills;
      calls.push_back(call);
      call->onClientDisconnected = [this] { ++cancelled; };
      const auto request = parsed<v1::PrefillRequest>(bytes);
      if (onPrefill) return onPrefill(call, request);
      replyToPrefill(call);
    });
    server.handle("/gannetcourse.v1.Engine/Decode", [this](const ServerCall& call, std::string_view bytes) {
      ++decodes;
      calls.push_back(call);
      call->onClientDisconnected = [this] { ++cancelled; };
      const auto request = parsed<v1::DecodeRequest>(bytes);
      if (onDecode) return onDecode(call, request);
      sendToken(call, 0, "one ");
      sendToken(call, 1, "two");
      call->finish({});
    });
    server.handle("/gannetcourse.v1.Engine/Fence", [this](const ServerCall& call, std::string_view) {
      ++fences;
      call->send(v1::FenceReply().SerializeAsString());
      call->finish({});
    });
    server.handle("/gannetcourse.v1.Engine/Release", [this](const ServerCall& call, std::string_view) {
      ++releases;
      if (releasesToFail-- > 0) return call->finish({grpc::Code::kUnavailable, "not now"});
      call->send("");
      call->finish({});
    });
  }

  static void replyToPrefill(const ServerCall& call) {
    v1::PrefillReply reply;
    reply.set_state("state");
    call->send(reply.SerializeAsString());
    call->finish({});
  }
  static void sendToken(const ServerCall& call, std::uint32_t index, const std::string& text) {
    v1::DecodeToken message;
    message.set_index(index);
    message.set_text(text);
    call->send(message.SerializeAsString());
  }

  std::uint32_t id;
  grpc::Server server;
  int prefills = 0, decodes = 0, releases = 0, fences = 0;  // calls received
  int cancelled = 0;       // prefills and decodes that the node has cancelled
  int releasesToFail = 0;  // number of further releases to reject
  std::vector<ServerCall> calls;
  /// Replace the default responses if set.
  std::function<void(const ServerCall&, const v1::PrefillRequest&)> onPrefill;
  std::function<void(const ServerCall&, const v1::DecodeRequest&)> onDecode;
};

/// What the client has received in one Generate call.
struct Response {
  std::shared_ptr<grpc::ClientCall> call;
  std::vector<std::string> tokens;
  std::string resumeToken;  // the latest
  std::optional<grpc::CallEnd> end;
  int ends = 0;  // calls of onEnd; must not exceed 1
  bool endedWith(grpc::Code code) const {
    return end && end->kind == grpc::CallEnd::Kind::kStatus && end->status.code == code;
  }
  /// Value of the gannetcourse-verdict trailer: "served", "refused", "failed", "deadline".
  std::string finalStatus() const {
    const std::string* status = end ? http2::find(end->trailers, "gannetcourse-verdict") : nullptr;
    return status == nullptr ? "" : *status;
  }
};

/// Owns a prefill engine, a decode engine, and a node and a client channel that start() creates.
class NodeTest : public ::testing::Test {
 protected:
  NodeTest()
      : folder(std::filesystem::temp_directory_path() / ("gannetcourse-test-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder);
  }
  ~NodeTest() override { std::filesystem::remove_all(folder); }

  std::string writeEngineList(const std::vector<std::pair<ScriptedEngine*, const char*>>& engines) {
    std::string text = "<fleet xmlns='urn:gannetcourse:fleet:1'>";
    for (const auto& [engine, role] : engines) {
      text += "<engine id='" + std::to_string(engine->id) +
              "' address='127.0.0.1:" + std::to_string(engine->server.port()) + "' role='" + role +
              "' zone='north' memory-tokens='100000'/>";
    }
    std::string path = (folder / "fleet.xml").string();
    std::ofstream(path) << text << "</fleet>";
    return path;
  }

  /// Writes a list of these engines and returns the settings' <fleet> element that refers to it.
  std::string fileSource(const std::vector<std::pair<ScriptedEngine*, const char*>>& engines) {
    return "<fleet file='" + writeEngineList(engines) + "'/>";
  }

  static std::string settingsText(const std::string& source, const std::string& extra = "") {
    return "<gannetcourse xmlns='urn:gannetcourse:settings:1'><node name='n1' zone='north'/>"
           "<listen grpc='127.0.0.1:0' stream-buffer='8KiB' max-metadata='2KiB' max-message='64KiB'/>"
           "<zones><zone name='north'/></zones><classes>"
           "<class name='query' aim='1s' token-aim='60ms' first-token-within='6s' max-prompt-tokens='5000'/>"
           "<class name='order' aim='1s' first-token-within='6s' effect='unsafe'/></classes>"
           "<limits max-attempts='6' answer-margin='200ms'/>" +
           source + extra + "</gannetcourse>";
  }

  /// Starts the node. `source` is the settings' <fleet> element, `extra` any further elements.
  void start(const std::string& source, const std::string& extra = "", const std::string& incarnation = "t") {
    Node::Hooks hooks;
    hooks.onRecord = [this](const router::Record& record) { records.push_back(record); };
    hooks.log = [this](const std::string&, const std::string&, const std::string& text) {
      logLines.push_back(text);
    };
    node = std::make_unique<Node>(loop, config::parseSettings(settingsText(source, extra), "node.xml"),
                                  incarnation, hooks);
    grpc::ChannelOptions options;
    options.http2.streamWindow = 4096;
    channel = std::make_unique<grpc::Channel>(loop, net::Endpoint{"127.0.0.1", node->port()}, options);
  }

  void startWithTwoEngines() { start(fileSource({{&prefillEngine, "prefill"}, {&decodeEngine, "decode"}})); }

  static v1::GenerateRequest query() {
    v1::GenerateRequest request;
    request.set_request_class("query");
    request.set_prompt("why?");
    request.set_prompt_tokens(100);
    request.set_max_output_tokens(10);
    return request;
  }

  std::shared_ptr<Response> generate(const v1::GenerateRequest& request = query(),
                                     Duration timeout = Duration(10)) {
    auto response = std::make_shared<Response>();
    response->call = channel->start("/gannetcourse.v1.Chat/Generate", request.SerializeAsString(), timeout);
    response->call->onMessage = [response](std::string_view bytes) {
      const auto token = parsed<v1::GenerateToken>(bytes);
      response->tokens.push_back(token.text());
      if (!token.resume().empty()) response->resumeToken = token.resume();
    };
    response->call->onEnd = [response](const grpc::CallEnd& end) {
      response->end = end;
      ++response->ends;
    };
    return response;
  }

  /// Runs the loop until `done` returns true. Returns false if `limit` seconds pass first.
  template <class Done>
  bool waitUntil(const Done& done, double limit = kWaitLimit) {
    const Instant end = net::monotonicNow() + Duration(limit);
    while (!done() && net::monotonicNow() < end) loop.runOnce(Duration(0.05));
    return done();
  }
  bool waitForEnd(const std::shared_ptr<Response>& response) {
    return waitUntil([&] { return response->end.has_value(); });
  }
  /// Runs the loop for a fixed time, in which an unexpected event would occur.
  void runFor(double seconds = 0.3) {
    waitUntil([] { return false; }, seconds);
  }

  std::filesystem::path folder;
  net::Loop loop;
  ScriptedEngine prefillEngine{loop, 1}, decodeEngine{loop, 2};
  std::vector<router::Record> records;
  std::vector<std::string> logLines;
  std::unique_ptr<Node> node;
  std::unique_ptr<grpc::Channel> channel;
};

}  // namespace gannetcourse::node
