// Test fixture for a platform node with scripted clients, engines and discovery on loopback. It owns the
// event loop, the scripted servers and the node, and collects the node's log lines above the level "info".
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/node.h"
#include "platform_peers.h"

namespace gannetcourse::test {

using instance::Json;
using platform::Configuration;

constexpr double kTimeoutSeconds = 20;  // seconds; reached only when a test fails

inline const char* const kSettings = R"({"balancers":1,
  "classes":[{"aimS":1.5,"deadlineS":6.0,"idempotency":"idempotent","name":"chat","worth":3.0,
              "lateWorth":0.1},
             {"aimS":3.0,"deadlineS":12.0,"idempotency":"at_most_once","name":"pay","worth":1.0}],
  "familyInfo":{"aimUsPer1000PromptTokens":[40000.0,50000.0],"kindMemoryTokens":[165671,190862],
                "kindRole":["read","write"],"mayReserve":true,"pinLimitS":1.0,"selfPrefill":false,
                "tokenAimS":[0.06,0.08]},
  "kinds":["prefill","decode"],
  "limits":{"connIdleS":15.0,"connectTimeoutS":0.25,"maxAttempts":6,"maxRetryAfterS":1.0,"mayCancel":true,
            "probes":false,"retryAfter":true},
  "reporting":{"fields":["mean_ms","x0","x1"],"via":"piggyback"},
  "rules":{"answerSlackS":0.016,"fallS":3.0,"overloadFactor":2.5,"startCapacity":0.29,"warmAfterS":13.0},
  "tenants":[],"tickS":0.004,"worthBy":"work","zone":"north","zones":["north","south"]})";

inline Json engineJson(const std::string& name, const std::string& type, const std::string& address,
                       const std::string& status = "up") {
  return {{"name", name},     {"address", address}, {"zone", "north"}, {"type", type}, {"group", 0},
          {"status", status}, {"weight", 1.0},      {"since_ms", 0},   {"unknown", 1}};
}

inline Json engineListJson(std::uint64_t index, bool full, std::vector<Json> entries) {
  return {{"index", index}, {"snapshot", full}, {"endpoints", std::move(entries)}};
}

class PlatformTest : public ::testing::Test {
 protected:
  explicit PlatformTest(net::Loop::Clock clock = net::monotonicNow)
      : loop(std::move(clock)),
        prefillEngine(loop, [](Peer& p, const http1::Request& r) { answerPrefill(p, r); }),
        decodeEngine(loop, [](Peer& p, const http1::Request& r) { answerDecode(p, r); }),
        discovery(loop, [](Peer& p, const http1::Request&) { p.send(kStreamHead + chunkOf("\n")); }) {}
  ~PlatformTest() override {
    node.reset();
    loop.runOnce(Duration(0));
  }

  // Answers a release with status 204; returns false for any other request.
  static bool answerRelease(Peer& peer, const http1::Request& request) {
    if (request.method != "DELETE") return false;
    peer.send("HTTP/1.1 204 No Content\r\n\r\n");
    return true;
  }
  static void answerPrefill(Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request))
      peer.send(
          "HTTP/1.1 202 Accepted\r\nX-Load-Report: TEXT mean_ms=3, x0=0.25, x1=2\r\nContent-Length: "
          "20\r\n\r\n"
          "{\"cached_tokens\":40}");
  }
  static std::string completeStream() {
    return kStreamHead + chunkOf(eventOf("a")) + chunkOf(eventOf("b") + kDone) +
           chunkOf(": X-Load-Report: TEXT mean_ms=1, x0=0.5, x1=0\n") + "0\r\n\r\n";
  }
  static void answerDecode(Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send(completeStream());
  }

  Json configurationJson() const {
    return {{"name", "n0"},
            {"listen", "127.0.0.1:0"},
            {"discovery", discovery.address()},
            {"seed", "92094eb940cf389a"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", sockets}}},
            {"known", engineListJson(7, true,
                                     {engineJson("r1", "prefill", prefillEngine.address()),
                                      engineJson("w1", "decode", decodeEngine.address())})},
            {"settings", Json::parse(kSettings)}};
  }
  static Configuration configurationOf(const Json& json) {
    const auto path = std::filesystem::temp_directory_path() /
                      ("gannetcourse-platform-" + std::to_string(getpid()) + ".json");
    std::ofstream(path) << json.dump();
    Configuration c;
    try {
      c = platform::loadConfiguration(path);
    } catch (...) {
      std::filesystem::remove(path);
      throw;
    }
    std::filesystem::remove(path);
    return c;
  }
  void startNode(const std::function<void(Json&)>& editConfiguration = nullptr) {
    Json json = configurationJson();
    if (editConfiguration) editConfiguration(json);
    node = std::make_unique<platform::Node>(
        loop, configurationOf(json),
        [this](const std::string&, const std::string& level, const std::string& text) {
          if (level != "info") log.push_back(text);
        });
  }
  bool runUntil(const std::function<bool()>& done) {
    const Instant end = net::monotonicNow() + Duration(kTimeoutSeconds);
    while (!done()) {
      if (net::monotonicNow() > end) return false;
      loop.runOnce(Duration(0.01));
    }
    return true;
  }
  void runFor(double seconds) {
    const Instant end = net::monotonicNow() + Duration(seconds);
    while (net::monotonicNow() < end) loop.runOnce(Duration(0.01));
  }
  std::shared_ptr<Peer> client() {
    auto peer = std::make_shared<Peer>(loop);
    peer->connection.connect({"127.0.0.1", node->port()}, Duration(kTimeoutSeconds));
    return peer;
  }
  static std::string chatRequest(const std::string& id, const std::string& extraFields = "",
                                 const std::string& className = "chat", const std::string& budget = "4800",
                                 const std::string& body = "{\"messages\":[]}") {
    return "POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: " + id +
           "\r\nX-Call-Class: " + className + "\r\nX-Route-Hash: 7f3a9c21e0b4d655\r\nX-Budget-Ms: " + budget +
           "\r\nX-Call-Info: prefix=5c0f6e1a2b3d4c59,prompt_len=512,prefix_len=48,max_out=80\r\n" +
           extraFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::shared_ptr<Peer> sendFromNewClient(const std::string& request) {
    auto peer = client();
    peer->send(request);
    return peer;
  }
  // Waits for the response head; returns its status, or 0 if none was received.
  int statusOf(const std::shared_ptr<Peer>& peer) {
    if (!runUntil([&] { return peer->hasReceived("\r\n\r\n") || peer->closed; }) ||
        !peer->hasReceived("HTTP/1.1 "))
      return 0;
    return std::stoi(peer->received.substr(9, 3));
  }

  // Polls the readiness endpoint until it answers 200; false on timeout.
  bool becomesReady() {
    return runUntil([&] { return statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")) == 200; });
  }

  std::size_t sockets = 256;  // the node's limit on open sockets
  net::Loop loop;
  ScriptedServer prefillEngine, decodeEngine, discovery;
  std::unique_ptr<platform::Node> node;
  std::vector<std::string> log;
};

}  // namespace gannetcourse::test
