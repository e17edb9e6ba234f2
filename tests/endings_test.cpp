// Each ending keeps what is still owed: shutdown, clients that leave, releases, drains, in stepped time.
// docs/design/endings.md has the table that these tests belong to.
#include <fcntl.h>

#include "stepped_time.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

// Hears what becomes of calls and does nothing.
struct IgnoringSink final : engines::EngineEventHandler {
  void onPrefillEnded(router::CallKey, std::string, double, std::optional<LoadReport>) override {}
  void onToken(router::CallKey, std::uint32_t, std::string) override {}
  void onCallEnded(router::CallKey, Outcome, double, std::optional<LoadReport>, const std::string&,
                   recovery::AttemptEnd) override {}
  void onAttemptFenced(router::RequestKey, int) override {}
  void onGoAway(EngineId) override {}
  void onProbeEnded(EngineId, Outcome, Duration, std::optional<LoadReport>) override {}
  void onReservationResult(router::RequestKey, EngineId, bool) override {}
};

class EndingsTest : public SteppedTest {
 protected:
  bool over() {
    return happensWithin(1, [&] { return node->core().pendingObligations() == 0; });
  }
  void drain() {
    node->drain([this] { ++drained; });
    runUntilIdle();
  }
  bool ended() {
    return happensWithin(10, [&] { return drained > 0; });
  }
  // A stream whose first event has reached its client.
  std::shared_ptr<Peer> streaming(const std::string& id) {
    decodeEngine.script = [](Peer& peer, const http1::Request& request) {
      if (!answerRelease(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
    };
    const auto peer = sendFromNewClient(chatRequest(id));
    EXPECT_TRUE(happensWithin(1, [&] { return peer->hasReceived("\"a\""); }));
    return peer;
  }
  Peer& writing() { return *decodeEngine.peers.back(); }
  std::vector<int> budgets(const ScriptedServer& engine) const {
    std::vector<int> told;
    for (const auto& r : engine.requests) {
      if (r.method == "POST") told.push_back(std::stoi(*r.fields.find("X-Budget-Ms")));
    }
    return told;
  }

  int drained = 0;
};

// ---- Shutdown ----
TEST_F(EndingsTest, ARequestInPiecesAcrossTheSignalIsAnsweredAndNotSentOn) {
  startNode();
  const std::string request = chatRequest("pieces");
  const auto peer = client();
  runUntilIdle();
  peer->send(request.substr(0, 60));
  runUntilIdle();
  drain();
  peer->send(request.substr(60));
  advance(0.1);
  EXPECT_EQ(statusOf(peer), 503);
  EXPECT_TRUE(peer->hasReceived("Connection: close"));
  EXPECT_TRUE(ended());
  EXPECT_EQ(attemptCount(prefillEngine), 0U);
}

TEST_F(EndingsTest, AStreamWhoseTailIsInTheOutputBufferIsWrittenOutBeforeTheProcessEnds) {
  std::string whole = kStreamHead;
  for (int i = 0; i < 15; ++i) whole += chunkOf(eventOf(std::string(16000, 'y')));
  decodeEngine.script = [whole](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send(whole + chunkOf(kDone) + "0\r\n\r\n");
  };
  startNode();
  RawSocket slow;
  slow.shrinkReceiveBuffer();
  ASSERT_TRUE(slow.connect(node->port()));
  runUntilIdle();
  shrinkSendBufferOfPeer(slow);
  slow.send(chatRequest("tail"));
  advance(0.1);
  ASSERT_GT(node->frontend().server().unsentBytes(), 0U);
  drain();
  advance(2);
  EXPECT_EQ(drained, 0);
  std::string got;
  for (int i = 0; i < 2000 && drained == 0; ++i) {
    got += slow.receive();
    advance(0.005);
  }
  EXPECT_EQ(drained, 1);
  got += slow.receive();
  EXPECT_EQ(got.substr(got.size() - 5), "0\r\n\r\n");
}

TEST_F(EndingsTest, AReleaseThatWaitsForAnEngineHoldsUpTheEnd) {
  const auto silent = [](Peer&, const http1::Request&) {};
  prefillEngine.script = decodeEngine.script = silent;
  startNode();
  const auto peer = sendFromNewClient(chatRequest("held"));
  ASSERT_TRUE(happensWithin(1, [&] { return attemptCount(prefillEngine) == 1; }));
  peer->connection.close();
  ASSERT_TRUE(over());
  drain();
  advance(0.5);
  const auto answers = [](Peer& p, const http1::Request& r) { answerRelease(p, r); };
  prefillEngine.script = decodeEngine.script = answers;
  EXPECT_TRUE(ended());
  EXPECT_GE(releaseCount("held"), 1U);
  EXPECT_EQ(node->engineClient().auxiliaryCalls(), 0U);
}

TEST_F(EndingsTest, ASecondSignalAndAReloadDoNotEndTwiceOrHoldUpTheEnd) {
  startNode();
  const auto peer = streaming("open");
  drain();
  drain();
  Json fresh = configurationJson();
  fresh["settings"]["classes"][0]["aimS"] = 2.5;
  node->reload(configurationOf(fresh));
  advance(1.5);
  EXPECT_EQ(drained, 0);
  writing().send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(ended());
  advance(1);
  EXPECT_EQ(drained, 1);
  EXPECT_TRUE(peer->hasReceived("0\r\n\r\n"));
}

// The sockets are used directly: their bytes are with the kernel, and no event has told the node of them.
TEST_F(EndingsTest, AConnectionInTheKernelsQueueIsAnsweredWhenTheListenerCloses) {
  std::vector<std::shared_ptr<http1::Exchange>> asked;
  http1::Server server(loop, {}, {}, [&](std::shared_ptr<http1::Exchange> exchange) {
    exchange->respond(503, "", "", true);
    asked.push_back(std::move(exchange));
  });
  RawSocket late, fresh;
  ASSERT_TRUE(fresh.connect(server.port()));
  runUntilIdle();
  ASSERT_EQ(server.connectionCount(), 1U);
  fresh.send("GET / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(late.connect(server.port()));
  late.send("GET / HTTP/1.1\r\n\r\n");
  server.shutdown();
  runUntilIdle();
  EXPECT_EQ(asked.size(), 2U);
  for (RawSocket* const socket : {&fresh, &late}) EXPECT_EQ(socket->receive().substr(0, 12), "HTTP/1.1 503");
}

// A connection whose reading was held back, and whose client has gone meanwhile, is found closed by the drain
// itself, while it goes through all connections.
TEST_F(EndingsTest, ConnectionsThatCloseWhileAllAreDrainedAreDroppedOnce) {
  std::vector<std::shared_ptr<http1::Exchange>> asked;
  http1::Server server(
      loop, {}, {}, [&](std::shared_ptr<http1::Exchange> exchange) { asked.push_back(std::move(exchange)); });
  std::vector<std::unique_ptr<RawSocket>> sockets;
  // More than may wait behind a request, so that reading is held, and less beyond it than is read in one go.
  const std::size_t most = http1::Limits{}.maxPipelinedBytes + net::Connection::kReadBudget / 4;
  const std::string behind(most / 8, 'b');
  for (int i = 0; i < 4; ++i) {
    sockets.push_back(std::make_unique<RawSocket>());
    ASSERT_TRUE(sockets.back()->connect(server.port()));
    sockets.back()->send("GET / HTTP/1.1\r\n\r\n");
    for (std::size_t sent = 0; sent < most;) {
      sent += sockets.back()->send(std::string_view(behind).substr(0, most - sent));
      advance(0.005);
    }
  }
  ASSERT_EQ(asked.size(), 4U);
  for (const auto& exchange : asked) exchange->respond(200, "", "");
  for (const auto& socket : sockets) socket->reset();
  deliverSentBytes();
  server.drain();  // in the same turn: no event has told of the resets
  EXPECT_EQ(server.connectionCount(), 0U);
  server.shutdown();
  runUntilIdle();
}

// ---- A client that has gone ----
TEST_F(EndingsTest, GoneWhileItsRequestWaitsForAConnection) {
  UnresponsivePort slow;
  startNode([&](Json& json) { json["known"]["endpoints"][0]["address"] = slow.address(); });
  const auto peer = sendFromNewClient(chatRequest("dialling"));
  ASSERT_TRUE(happensWithin(0.1, [&] { return node->engineClient().connectionCount() == 1; }));
  peer->connection.close();
  EXPECT_TRUE(over());
  EXPECT_EQ(node->engineClient().openCallCount(), 0U);
  EXPECT_TRUE(happensWithin(4, [&] { return node->engineClient().auxiliaryCalls() == 0; }));
  EXPECT_EQ(attemptCount(decodeEngine), 0U);
}

TEST_F(EndingsTest, GoneInTheTurnInWhichItsAttemptFails) {
  startNode();
  std::shared_ptr<Peer> peer;
  prefillEngine.script = [&](Peer& p, const http1::Request& r) {
    if (answerRelease(p, r)) return;
    p.send("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
    peer->connection.close();
  };
  peer = sendFromNewClient(chatRequest("turn"));
  ASSERT_TRUE(happensWithin(1, [&] { return attemptCount(prefillEngine) >= 1; }));
  EXPECT_TRUE(over());
  const std::size_t then = attemptCount(prefillEngine);
  advance(2);
  EXPECT_EQ(attemptCount(prefillEngine), then);
}

TEST_F(EndingsTest, GoneWhileItsNextRequestWaitsBehindAnother) {
  startNode();
  const auto peer = streaming("first");
  peer->send(chatRequest("second"));
  runUntilIdle();
  const std::size_t before = attemptCount(prefillEngine);
  peer->connection.close();
  EXPECT_TRUE(over());
  advance(1);
  EXPECT_EQ(attemptCount(prefillEngine), before);
}

// ---- Releases ----
// All connections are taken at the moment of the release: it is not given up for that.
TEST_F(EndingsTest, AReleaseWaitsForAConnectionWhereNoneMayBeOpened) {
  sockets = 64;  // 18 connections to engines, 17 open requests
  prefillEngine.script = leaveUnanswered;
  startNode();
  std::vector<std::shared_ptr<Peer>> peers;
  for (int i = 0; i < 17; ++i) peers.push_back(sendFromNewClient(chatRequest("r" + std::to_string(i))));
  advance(0.2);
  ASSERT_GE(attemptCount(prefillEngine), 8U);
  const std::vector<http1::Request> sent = prefillEngine.requests;
  for (const auto& peer : peers) peer->connection.close();  // more leave at once than connections are free
  EXPECT_TRUE(happensWithin(3, [&] { return node->engineClient().auxiliaryCalls() == 0; }));
  for (const auto& request : sent) {
    const std::string id = *request.fields.find("X-Call-Id");
    EXPECT_GE(releaseCount(id), 1U) << id;
  }
}

TEST_F(EndingsTest, AReleaseThatNoConnectionCouldBeOpenedForIsSentOnceOneIsFree) {
  net::Loop& on = loop;
  http1::ClientOptions options;
  options.maxConnections = 1;
  IgnoringSink sink;
  EngineClient engines(on, options, sink);
  const Configuration c = configurationOf(configurationJson());
  engines.applyEngineList(*parseEngineListMessage(c.knownEngineList, c.names, net::WallClock(now(), 0)));
  prefillEngine.script = leaveUnanswered;
  auto work = std::make_shared<router::RequestPayload>();
  work->target = "/v1/chat/completions?x=1";
  work->prompt = "{}";
  engines.start(router::StartPrefill{1, 1, "taken", 0, engineIdOf("r1"), Duration(4), Duration(4), work});
  runUntilIdle();
  engines.releaseState(router::ReleaseState{"later", 0, engineIdOf("r1")});
  advance(1);
  EXPECT_EQ(releaseCount("later"), 0U);
  EXPECT_EQ(engines.auxiliaryCalls(), 1U);
  engines.cancelCall(1);
  advance(0.2);
  EXPECT_EQ(releaseCount("later"), 1U);
  EXPECT_EQ(engines.auxiliaryCalls(), 0U);
}

// Most engines fall silent together, their connections stay open: a release reaches one that runs in time.
TEST_F(EndingsTest, AReleaseFindsAnEngineThatRunsWhereMostHaveFallenSilent) {
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
  // All have been used and keep an idle connection.
  for (int i = 0; i < 40; ++i) {
    std::string request = chatRequest("warm" + std::to_string(i));
    request.replace(request.find("7f3a9c21"), 8, "7f3a9c" + std::to_string(10 + i));
    const auto peer = sendFromNewClient(request);
    ASSERT_TRUE(happensWithin(2, [&] { return peer->hasReceived("\r\n0\r\n\r\n"); }));
  }
  advance(0.1);
  prefillEngine.script = silent;
  for (ScriptedServer& other : others) other.script = silent;
  for (int i = 0; i < 4; ++i) {
    const std::string id = "gone" + std::to_string(i);
    const auto peer = sendFromNewClient(chatRequest(id));
    advance(0.1);
    peer->connection.close();
    EXPECT_TRUE(happensWithin(0.7, [&] { return decodeEngine.count("DELETE", "/kv/leases/" + id) == 1; }))
        << id;
  }
}

// ---- Drains ----
TEST_F(EndingsTest, WhatWaitsForAConnectionToAnEngineThatDrainsIsNotSentThere) {
  UnresponsivePort slow;
  startNode([&](Json& json) {
    json["known"]["endpoints"][0]["address"] = slow.address();
    json["settings"]["limits"]["connectTimeoutS"] = 2.0;
  });
  runUntilIdle();
  const auto peer = sendFromNewClient(chatRequest("crosses", "", "pay", "9000"));
  ASSERT_TRUE(happensWithin(0.1, [&] { return node->engineClient().connectionCount() == 1; }));
  openWatch()->send(chunkOf(engineListJson(8, false,
                                           {engineJson("r1", "prefill", slow.address(), "draining"),
                                            engineJson("r2", "prefill", prefillEngine.address(), "up")})
                                .dump() +
                            "\n"));
  advance(0.1);
  EXPECT_EQ(statusOf(peer), 200);  // by the other reader, well before the connection would have been given up
  EXPECT_EQ(attemptCount(prefillEngine), 1U);
}

TEST_F(EndingsTest, ADrainToldWithoutAnAddressIsADrain) {
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

TEST_F(EndingsTest, AnObjectThatCannotBeReadMakesTheNodeAskForTheWholeList) {
  for (const char* const object : {"{\"index\": 8, ]}", "{\"index\": \"eight\"}"}) {
    discovery.requests.clear();
    startNode();
    runUntilIdle();
    openWatch()->send(chunkOf(std::string(object) + "\n"));
    EXPECT_TRUE(happensWithin(1, [&] { return discovery.count("GET", "/api/targets?watch=1&from=0") == 1; }));
    node.reset();
    runUntilIdle();
  }
}

// ---- A kill behind an accept ----
// The engine's machine has taken the connection and all bytes of the request; its process is killed then.
TEST_F(EndingsTest, AnAcceptThenAResetMayHaveRun) {
  RawSocket listener;
  sockaddr_in address = RawSocket::loopback(0);
  socklen_t size = sizeof address;
  ::bind(listener.fd(), reinterpret_cast<const sockaddr*>(&address), size);
  ::listen(listener.fd(), 8);
  getsockname(listener.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  startNode([&](Json& json) {
    json["known"]["endpoints"][1]["address"] = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  });
  const auto peer = sendFromNewClient(chatRequest("once", "", "pay", "3000"));
  advance(0.1);
  RawSocket taken(::accept(listener.fd(), nullptr, nullptr));
  EXPECT_NE(taken.receive().find("X-Call-Id: once"), std::string::npos);
  taken.reset();
  EXPECT_TRUE(happensWithin(4, [&] { return peer->hasReceived("HTTP/1.1"); }));
  EXPECT_EQ(statusOf(peer), 502);  // at most once: it may have run, so it is neither sent again nor refused
  advance(1);
  fcntl(listener.fd(), F_SETFL, O_NONBLOCK);
  EXPECT_LT(::accept(listener.fd(), nullptr, nullptr), 0) << "no other connection was made";
}

// ---- Time told ----
TEST_F(EndingsTest, AnAttemptTellsWhatIsLeftWhenItsConnectionStands) {
  RawSocket listener;
  sockaddr_in address = RawSocket::loopback(0);
  socklen_t size = sizeof address;
  ::bind(listener.fd(), reinterpret_cast<const sockaddr*>(&address), size);
  getsockname(listener.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  // The call is begun, and the loop hears that its connection stands only after some time has gone by.
  std::string told;
  struct Sink final : http1::ResponseHandler {
    void onHead(const http1::ResponseHead&) override {}
    void onBody(std::string_view) override {}
    void onEnd(http1::CallResult, const std::string&) override {}
  };
  http1::Client calls(loop, {});
  const Instant until = now() + Duration(1);
  calls.start(
      {"127.0.0.1", prefillEngine.listener.port()},
      [&] {
        told = std::to_string(std::lround((until - loop.now()).count() * 1000));
        return "POST /x HTTP/1.1\r\nX-Budget-Ms: " + told + "\r\nContent-Length: 0\r\n\r\n";
      },
      nullptr, std::make_shared<Sink>());
  EXPECT_EQ(told, "");
  advance(0.005);
  EXPECT_EQ(told, "995");
}

// ---- The first moments ----
TEST_F(EndingsTest, ANodeSaysThatItIsReadyOnceDiscoveryHasSpokenOrHadItsTime) {
  startNode();
  runUntilIdle();
  const auto early = sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n");
  runUntilIdle();
  EXPECT_EQ(statusOf(early), 503);
  announceEngineStates(8, "up", "draining");
  const auto told = sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n");
  runUntilIdle();
  EXPECT_EQ(statusOf(told), 200);
  node.reset();
  startNode();  // and where it is silent
  advance(0.5);
  const auto later = sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n");
  runUntilIdle();
  EXPECT_EQ(statusOf(later), 200);
}

// What discovery has told counts as told after 6 s, and a node that is not ready after 30 s has failed to
// start.
TEST_F(EndingsTest, ANodeWithoutAnyListIsReadyInTimeAndRefuses) {
  discovery.listener.rejectConnections(true);
  startNode([](Json& json) { json.erase("known"); });
  advance(3);
  EXPECT_EQ(statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
  advance(3);
  EXPECT_EQ(statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")), 200);
  const auto refused = sendFromNewClient(chatRequest("early"));
  advance(1.5);
  EXPECT_EQ(statusOf(refused), 503);
  EXPECT_TRUE(refused->hasReceived("Retry-After"));
}

// Past the bound the client has to wait: its request that is being answered goes on.
TEST_F(EndingsTest, WhatComesPastTheBoundBehindARequestDoesNotEndIt) {
  startNode();
  const auto stream = streaming("open");
  const std::string piece(1 << 16, 'x');
  for (int i = 0; i < 64; ++i) {  // 4 MiB
    stream->send(piece);
    runUntilIdle();
  }
  EXPECT_FALSE(stream->closed);
  EXPECT_EQ(node->core().openRequests(), 1U);
  EXPECT_EQ(node->engineClient().openCallCount(), 1U);
  writing().send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(happensWithin(1, [&] { return stream->hasReceived("0\r\n\r\n"); }));
}

// A request whose last bytes are with the kernel has been taken.
TEST_F(EndingsTest, ARequestThatTheKernelHoldsIsReadBeforeItsConnectionIsEvicted) {
  http1::ServerOptions options;
  options.maxConnections = 1;
  http1::Server server(loop, {}, options, [](const std::shared_ptr<http1::Exchange>& exchange) {
    exchange->respond(200, "", "", true);
  });
  RawSocket pieces, another;
  ASSERT_TRUE(pieces.connect(server.port()));
  pieces.send("GET / HTTP/1.1\r\n");
  runUntilIdle();
  ASSERT_TRUE(another.connect(server.port()));  // the node hears of it first
  pieces.send("\r\n");
  runUntilIdle();
  EXPECT_EQ(pieces.receive().substr(0, 12), "HTTP/1.1 200");
}

// What an engine is told is true at the write, not at the start of the iteration that came to it.
TEST_F(EndingsTest, ATimeToldCountsWhatTheIterationHasTakenSoFar) {
  IgnoringSink sink;
  EngineClient engines(loop, {}, sink);
  const Configuration c = configurationOf(configurationJson());
  engines.applyEngineList(*parseEngineListMessage(c.knownEngineList, c.names, net::WallClock(now(), 0)));
  auto work = std::make_shared<router::RequestPayload>();
  work->target = "/v1/chat/completions?x=1";
  work->prompt = "{}";
  engines.start(router::StartPrefill{1, 1, "opens", 0, engineIdOf("r1"), Duration(2), Duration(2), work});
  advance(0.2);  // its connection may be used again
  loop.defer([&] {
    stall(0.4);
    engines.start(router::StartPrefill{2, 2, "held-up", 0, engineIdOf("r1"), Duration(2), Duration(2), work});
  });
  runUntilIdle();
  EXPECT_EQ(prefillEngine.peers.size(), 1U);
  ASSERT_EQ(budgets(prefillEngine).size(), 2U);
  EXPECT_LE(budgets(prefillEngine)[1], 1600);
}

TEST_F(EndingsTest, AKnownListThatCannotBeReadLeavesRequestsToBeRefusedInTime) {
  discovery.listener.rejectConnections(true);
  startNode([](Json& json) { json["known"] = {{"index", "x"}, {"endpoints", 5}}; });
  const auto refused = sendFromNewClient(chatRequest("no-list"));
  advance(1.5);
  EXPECT_EQ(statusOf(refused), 503);
}

// A replacement may come up where the engine that it replaces has been.
TEST_F(EndingsTest, ConnectionsToAnAddressThatAnotherEngineTookOverAreKept) {
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
    ASSERT_TRUE(happensWithin(1, [&] { return peer->hasReceived("0\r\n\r\n"); }));
    advance(0.2);
  }
  EXPECT_EQ(prefillEngine.peers.size(), 1U);
}

TEST_F(EndingsTest, ANodeThatGoesWithRequestsOpenLeavesNothingBehind) {
  prefillEngine.script = leaveUnanswered;
  startNode();
  std::vector<std::shared_ptr<Peer>> peers;
  for (int i = 0; i < 40; ++i) peers.push_back(sendFromNewClient(chatRequest("o" + std::to_string(i))));
  runUntilIdle();
  ASSERT_EQ(node->core().openRequests(), 40U);
  node.reset();  // the sanitizers watch
  runUntilIdle();
}

}  // namespace
}  // namespace gannetcourse::platform
