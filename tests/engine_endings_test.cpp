// Tests of releases, unsent calls and budgets when engines fall silent, drain, are removed or are killed, in
// simulated time.
#include <fcntl.h>

#include "endings_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class EngineEndingsTest : public EndingsTest {};

// When clients disconnect, all connections to engines may be in use. The releases must wait for a connection
// instead of being abandoned.
TEST_F(EngineEndingsTest, SendsReleasesLaterWhenAllEngineConnectionsAreInUse) {
  sockets = 64;  // 18 connections to engines, 17 open requests
  prefillEngine.script = leaveUnanswered;
  startNode();
  std::vector<std::shared_ptr<Peer>> peers;
  peers.reserve(17);
  for (int i = 0; i < 17; ++i) peers.push_back(sendFromNewClient(chatRequest("r" + std::to_string(i))));
  advance(0.2);
  ASSERT_GE(attemptCount(prefillEngine), 8U);
  const std::vector<http1::Request> sent = prefillEngine.requests;
  for (const auto& peer : peers) peer->connection.close();  // more releases at once than free connections
  EXPECT_TRUE(becomesTrueWithin(3, [&] { return node->engineClient().auxiliaryCalls() == 0; }));
  for (const auto& request : sent) {
    const std::string id = *request.fields.find("X-Call-Id");
    EXPECT_GE(releaseCount(id), 1U) << id;
  }
}

// The single connection that is allowed is in use when the release starts, and becomes free only 1 s later.
TEST_F(EngineEndingsTest, SendsPendingReleaseOnceAConnectionIsFree) {
  net::Loop& on = loop;
  http1::ClientOptions options;
  options.maxConnections = 1;
  IgnoringEventHandler handler;
  EngineClient engineClient(on, options, handler);
  const Configuration c = configurationOf(configurationJson());
  engineClient.applyEngineList(*parseEngineListMessage(c.knownEngineList, c.names, net::WallClock(now(), 0)));
  prefillEngine.script = leaveUnanswered;
  auto payload = std::make_shared<router::RequestPayload>();
  payload->target = "/v1/chat/completions?x=1";
  payload->prompt = "{}";
  engineClient.start(
      router::StartPrefill{1, 1, "taken", 0, engineIdOf("r1"), Duration(4), Duration(4), payload});
  runUntilIdle();
  engineClient.releaseState(router::ReleaseState{"later", 0, engineIdOf("r1")});
  advance(1);
  EXPECT_EQ(releaseCount("later"), 0U);
  EXPECT_EQ(engineClient.auxiliaryCalls(), 1U);
  engineClient.cancelCall(1);
  advance(0.2);
  EXPECT_EQ(releaseCount("later"), 1U);
  EXPECT_EQ(engineClient.auxiliaryCalls(), 0U);
}

// Seven of eight engines fall silent together while their connections stay open. Releases must still reach
// the engine that runs, within 0.7 s.
TEST_F(EngineEndingsTest, ReleaseReachesRunningEngineWhenMostEnginesAreSilent) {
  const auto silent = [](Peer&, const http1::Request&) {};
  std::list<ScriptedServer> others;
  std::vector<Json> engines = {engineJson("r1", "prefill", prefillEngine.address()),
                               engineJson("w1", "decode", decodeEngine.address())};
  for (int i = 0; i < 6; ++i) {
    others.emplace_back(loop, [](Peer& p, const http1::Request& r) { answerPrefill(p, r); });
    engines.push_back(engineJson("r" + std::to_string(i + 2), "prefill", others.back().address()));
  }
  startNode([&](Json& json) {
    json["known"] = engineListJson(7, true, engines);
    json["settings"]["familyInfo"]["pinLimitS"] = 0.4;
  });
  // Uses all engines, so that each has an idle connection.
  for (int i = 0; i < 40; ++i) {
    std::string request = chatRequest("warm" + std::to_string(i));
    request.replace(request.find("7f3a9c21"), 8, "7f3a9c" + std::to_string(10 + i));
    const auto peer = sendFromNewClient(request);
    ASSERT_TRUE(becomesTrueWithin(2, [&] { return peer->hasReceived("\r\n0\r\n\r\n"); }));
  }
  advance(0.1);
  prefillEngine.script = silent;
  for (ScriptedServer& other : others) other.script = silent;
  for (int i = 0; i < 4; ++i) {
    const std::string id = "gone" + std::to_string(i);
    const auto peer = sendFromNewClient(chatRequest(id));
    advance(0.1);
    peer->connection.close();
    EXPECT_TRUE(becomesTrueWithin(0.7, [&] { return decodeEngine.count("DELETE", "/kv/leases/" + id) == 1; }))
        << id;
  }
}

TEST_F(EngineEndingsTest, ReroutesUnsentAttemptWhenItsEngineDrains) {
  UnresponsivePort slow;
  startNode([&](Json& json) {
    json["known"]["endpoints"][0]["address"] = slow.address();
    json["settings"]["limits"]["connectTimeoutS"] = 2.0;
  });
  runUntilIdle();
  const auto peer = sendFromNewClient(chatRequest("crosses", "", "pay", "9000"));
  ASSERT_TRUE(becomesTrueWithin(0.1, [&] { return node->engineClient().connectionCount() == 1; }));
  openWatch()->send(chunkOf(engineListJson(8, false,
                                           {engineJson("r1", "prefill", slow.address(), "draining"),
                                            engineJson("r2", "prefill", prefillEngine.address(), "up")})
                                .dump() +
                            "\n"));
  advance(0.1);
  EXPECT_EQ(statusOf(peer),
            200);  // served by the other prefill engine, long before the connect timeout
  EXPECT_EQ(attemptCount(prefillEngine), 1U);
}

TEST_F(EngineEndingsTest, AppliesDrainWithoutAddress) {
  startNode();
  runUntilIdle();
  Json entry = engineJson("r1", "prefill", "", "draining");
  entry.erase("address");
  openWatch()->send(chunkOf(engineListJson(8, false, {entry}).dump() + "\n"));
  runUntilIdle();
  const auto peer = sendFromNewClient(chatRequest("nowhere", "", "chat", "300"));
  advance(0.5);
  EXPECT_EQ(statusOf(peer), 503);
  EXPECT_EQ(attemptCount(prefillEngine), 0U);
}

TEST_F(EngineEndingsTest, RequestsSnapshotAfterMalformedListObject) {
  for (const char* const object : {"{\"index\": 8, ]}", "{\"index\": \"eight\"}"}) {
    discovery.requests.clear();
    startNode();
    runUntilIdle();
    openWatch()->send(chunkOf(std::string(object) + "\n"));
    EXPECT_TRUE(
        becomesTrueWithin(1, [&] { return discovery.count("GET", "/api/targets?watch=1&from=0") == 1; }));
    node.reset();
    runUntilIdle();
  }
}

// The engine's kernel has accepted the connection and all bytes of the request before the process is killed.
// An at-most-once request must not be retried, because the engine may have run it.
TEST_F(EngineEndingsTest, DoesNotRetryAtMostOnceRequestWhenEngineResetsAcceptedConnection) {
  RawSocket listener;
  const std::uint16_t port = listenOnLoopback(listener, 8);
  startNode(
      [&](Json& json) { json["known"]["endpoints"][1]["address"] = "127.0.0.1:" + std::to_string(port); });
  const auto peer = sendFromNewClient(chatRequest("once", "", "pay", "3000"));
  advance(0.1);
  RawSocket accepted(::accept(listener.fd(), nullptr, nullptr));
  EXPECT_NE(accepted.receive().find("X-Call-Id: once"), std::string::npos);
  accepted.reset();
  EXPECT_TRUE(becomesTrueWithin(4, [&] { return peer->hasReceived("HTTP/1.1"); }));
  EXPECT_EQ(statusOf(peer), 502);  // neither retried nor rejected with 503
  advance(1);
  fcntl(listener.fd(), F_SETFL, O_NONBLOCK);
  EXPECT_LT(::accept(listener.fd(), nullptr, nullptr), 0) << "the node opened a second connection";
}

// The remaining budget must be computed when the connection opens, not when the call starts.
TEST_F(EngineEndingsTest, ComputesBudgetWhenConnectionOpens) {
  RawSocket listener;
  sockaddr_in address = RawSocket::loopback(0);
  socklen_t size = sizeof address;
  ASSERT_EQ(::bind(listener.fd(), reinterpret_cast<const sockaddr*>(&address), size), 0);
  getsockname(listener.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  // The loop is notified that the connection is open only after the call was started.
  std::string statedBudget;
  struct IgnoringResponse final : http1::ResponseHandler {
    void onHead(const http1::ResponseHead&) override {}
    void onBody(std::string_view) override {}
    void onEnd(http1::CallResult, const std::string&) override {}
  };
  http1::Client calls(loop, {});
  const Instant until = now() + Duration(1);
  calls.start(
      {"127.0.0.1", prefillEngine.listener.port()},
      [&] {
        statedBudget = std::to_string(std::lround((until - loop.now()).count() * 1000));
        return "POST /x HTTP/1.1\r\nX-Budget-Ms: " + statedBudget + "\r\nContent-Length: 0\r\n\r\n";
      },
      nullptr, std::make_shared<IgnoringResponse>());
  EXPECT_EQ(statedBudget, "");
  advance(0.005);
  EXPECT_EQ(statedBudget, "995");
}

// The budget must be computed when the request is sent. At the start of the loop's iteration, 0.4 s earlier,
// it would be too large.
TEST_F(EngineEndingsTest, SubtractsTimeWithinLoopIterationFromBudget) {
  IgnoringEventHandler handler;
  EngineClient engineClient(loop, {}, handler);
  const Configuration c = configurationOf(configurationJson());
  engineClient.applyEngineList(*parseEngineListMessage(c.knownEngineList, c.names, net::WallClock(now(), 0)));
  auto payload = std::make_shared<router::RequestPayload>();
  payload->target = "/v1/chat/completions?x=1";
  payload->prompt = "{}";
  engineClient.start(
      router::StartPrefill{1, 1, "opens", 0, engineIdOf("r1"), Duration(2), Duration(2), payload});
  advance(0.2);  // its connection becomes reusable
  loop.defer([&] {
    stall(0.4);
    engineClient.start(
        router::StartPrefill{2, 2, "held-up", 0, engineIdOf("r1"), Duration(2), Duration(2), payload});
  });
  runUntilIdle();
  EXPECT_EQ(prefillEngine.peers.size(), 1U);
  ASSERT_EQ(budgets(prefillEngine).size(), 2U);
  EXPECT_LE(budgets(prefillEngine)[1], 1600);
}

// A replacement engine may start at the address of the engine that it replaces. Removing the old engine must
// not close the connections to that address.
TEST_F(EngineEndingsTest, KeepsConnectionsToAddressThatAnotherEngineTookOver) {
  startNode();
  runUntilIdle();
  openWatch()->send(chunkOf(engineListJson(8, false,
                                           {engineJson("r2", "prefill", prefillEngine.address()),
                                            engineJson("r1", "prefill", prefillEngine.address(), "removed")})
                                .dump() +
                            "\n"));
  runUntilIdle();
  for (int i = 0; i < 4; ++i) {
    const auto peer = sendFromNewClient(chatRequest("again-" + std::to_string(i)));
    ASSERT_TRUE(becomesTrueWithin(1, [&] { return peer->hasReceived("0\r\n\r\n"); }));
    advance(0.2);
  }
  EXPECT_EQ(prefillEngine.peers.size(), 1U);
}

}  // namespace
}  // namespace gannetcourse::platform
