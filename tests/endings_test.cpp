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
    return within(1, [&] { return node->core().pendingObligations() == 0; });
  }
  void drain() {
    node->drain([this] { ++drained; });
    settle();
  }
  bool ended() {
    return within(10, [&] { return drained > 0; });
  }
  // A stream whose first event has reached its client.
  std::shared_ptr<Peer> streaming(const std::string& id) {
    writer.script = [](Peer& peer, const http1::Request& request) {
      if (!released(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
    };
    const auto peer = asks(ask(id));
    EXPECT_TRUE(within(1, [&] { return peer->has("\"a\""); }));
    return peer;
  }
  Peer& writing() { return *writer.peers.back(); }
  std::vector<int> budgets(const Scripted& engine) const {
    std::vector<int> told;
    for (const auto& r : engine.seen) {
      if (r.method == "POST") told.push_back(std::stoi(*r.fields.find("X-Budget-Ms")));
    }
    return told;
  }

  int drained = 0;
};

// ---- Shutdown ----
TEST_F(EndingsTest, ARequestInPiecesAcrossTheSignalIsAnsweredAndNotSentOn) {
  start();
  const std::string request = ask("pieces");
  const auto peer = client();
  settle();
  peer->send(request.substr(0, 60));
  settle();
  drain();
  peer->send(request.substr(60));
  pass(0.1);
  EXPECT_EQ(statusOf(peer), 503);
  EXPECT_TRUE(peer->has("Connection: close"));
  EXPECT_TRUE(ended());
  EXPECT_EQ(attempts(reader), 0U);
}

TEST_F(EndingsTest, AStreamWhoseTailIsInTheOutputBufferIsWrittenOutBeforeTheProcessEnds) {
  std::string whole = kStreamHead;
  for (int i = 0; i < 15; ++i) whole += chunkOf(eventOf(std::string(16000, 'y')));
  writer.script = [whole](Peer& peer, const http1::Request& request) {
    if (!released(peer, request)) peer.send(whole + chunkOf(kDone) + "0\r\n\r\n");
  };
  start();
  RawSocket slow;
  slow.receiveLittle();
  ASSERT_TRUE(slow.connect(node->port()));
  settle();
  sendLittleTowards(slow);
  slow.send(ask("tail"));
  pass(0.1);
  ASSERT_GT(node->front().server().unsentBytes(), 0U);
  drain();
  pass(2);
  EXPECT_EQ(drained, 0);
  std::string got;
  for (int i = 0; i < 2000 && drained == 0; ++i) {
    got += slow.receive();
    pass(0.005);
  }
  EXPECT_EQ(drained, 1);
  got += slow.receive();
  EXPECT_EQ(got.substr(got.size() - 5), "0\r\n\r\n");
}

TEST_F(EndingsTest, AReleaseThatWaitsForAnEngineHoldsUpTheEnd) {
  const auto silent = [](Peer&, const http1::Request&) {};
  reader.script = writer.script = silent;
  start();
  const auto peer = asks(ask("held"));
  ASSERT_TRUE(within(1, [&] { return attempts(reader) == 1; }));
  peer->connection.close();
  ASSERT_TRUE(over());
  drain();
  pass(0.5);
  const auto answers = [](Peer& p, const http1::Request& r) { released(p, r); };
  reader.script = writer.script = answers;
  EXPECT_TRUE(ended());
  EXPECT_GE(releases("held"), 1U);
  EXPECT_EQ(node->engines().auxiliaryCalls(), 0U);
}

TEST_F(EndingsTest, ASecondSignalAndAReloadDoNotEndTwiceOrHoldUpTheEnd) {
  start();
  const auto peer = streaming("open");
  drain();
  drain();
  Json fresh = file();
  fresh["settings"]["classes"][0]["aimS"] = 2.5;
  node->reload(configurationOf(fresh));
  pass(1.5);
  EXPECT_EQ(drained, 0);
  writing().send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(ended());
  pass(1);
  EXPECT_EQ(drained, 1);
  EXPECT_TRUE(peer->has("0\r\n\r\n"));
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
  settle();
  ASSERT_EQ(server.connectionCount(), 1U);
  fresh.send("GET / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(late.connect(server.port()));
  late.send("GET / HTTP/1.1\r\n\r\n");
  server.shutdown();
  settle();
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
      pass(0.005);
    }
  }
  ASSERT_EQ(asked.size(), 4U);
  for (const auto& exchange : asked) exchange->respond(200, "", "");
  for (const auto& socket : sockets) socket->reset();
  deliver();
  server.drain();  // in the same turn: no event has told of the resets
  EXPECT_EQ(server.connectionCount(), 0U);
  server.shutdown();
  settle();
}

// ---- A client that has gone ----
TEST_F(EndingsTest, GoneWhileItsRequestWaitsForAConnection) {
  PortThatNeverComesUp slow;
  start([&](Json& json) { json["known"]["endpoints"][0]["address"] = slow.address(); });
  const auto peer = asks(ask("dialling"));
  ASSERT_TRUE(within(0.1, [&] { return node->engines().connections() == 1; }));
  peer->connection.close();
  EXPECT_TRUE(over());
  EXPECT_EQ(node->engines().open(), 0U);
  EXPECT_TRUE(within(4, [&] { return node->engines().auxiliaryCalls() == 0; }));
  EXPECT_EQ(attempts(writer), 0U);
}

TEST_F(EndingsTest, GoneInTheTurnInWhichItsAttemptFails) {
  start();
  std::shared_ptr<Peer> peer;
  reader.script = [&](Peer& p, const http1::Request& r) {
    if (released(p, r)) return;
    p.send("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
    peer->connection.close();
  };
  peer = asks(ask("turn"));
  ASSERT_TRUE(within(1, [&] { return attempts(reader) >= 1; }));
  EXPECT_TRUE(over());
  const std::size_t then = attempts(reader);
  pass(2);
  EXPECT_EQ(attempts(reader), then);
}

TEST_F(EndingsTest, GoneWhileItsNextRequestWaitsBehindAnother) {
  start();
  const auto peer = streaming("first");
  peer->send(ask("second"));
  settle();
  const std::size_t before = attempts(reader);
  peer->connection.close();
  EXPECT_TRUE(over());
  pass(1);
  EXPECT_EQ(attempts(reader), before);
}

// ---- Releases ----
// All connections are taken at the moment of the release: it is not given up for that.
TEST_F(EndingsTest, AReleaseWaitsForAConnectionWhereNoneMayBeOpened) {
  sockets = 64;  // 18 connections to engines, 17 open requests
  reader.script = hold;
  start();
  std::vector<std::shared_ptr<Peer>> peers;
  for (int i = 0; i < 17; ++i) peers.push_back(asks(ask("r" + std::to_string(i))));
  pass(0.2);
  ASSERT_GE(attempts(reader), 8U);
  const std::vector<http1::Request> sent = reader.seen;
  for (const auto& peer : peers) peer->connection.close();  // more leave at once than connections are free
  EXPECT_TRUE(within(3, [&] { return node->engines().auxiliaryCalls() == 0; }));
  for (const auto& request : sent) {
    const std::string id = *request.fields.find("X-Call-Id");
    EXPECT_GE(releases(id), 1U) << id;
  }
}

TEST_F(EndingsTest, AReleaseThatNoConnectionCouldBeOpenedForIsSentOnceOneIsFree) {
  net::Loop& on = loop;
  http1::ClientOptions options;
  options.maxConnections = 1;
  IgnoringSink sink;
  Engines engines(on, options, sink);
  const Configuration c = configurationOf(file());
  engines.update(*readTargets(c.known, c.names, net::WallClock(now(), 0)));
  reader.script = hold;
  auto work = std::make_shared<router::RequestPayload>();
  work->target = "/v1/chat/completions?x=1";
  work->prompt = "{}";
  engines.start(router::StartPrefill{1, 1, "taken", 0, numberOf("r1"), Duration(4), Duration(4), work});
  settle();
  engines.releaseState(router::ReleaseState{"later", 0, numberOf("r1")});
  pass(1);
  EXPECT_EQ(releases("later"), 0U);
  EXPECT_EQ(engines.auxiliaryCalls(), 1U);
  engines.cancelCall(1);
  pass(0.2);
  EXPECT_EQ(releases("later"), 1U);
  EXPECT_EQ(engines.auxiliaryCalls(), 0U);
}

// Most engines fall silent together, their connections stay open: a release reaches one that runs in time.
TEST_F(EndingsTest, AReleaseFindsAnEngineThatRunsWhereMostHaveFallenSilent) {
  const auto silent = [](Peer&, const http1::Request&) {};
  std::list<Scripted> others;
  std::vector<Json> engines = {target("r1", "prefill", reader.address()),
                               target("w1", "decode", writer.address())};
  for (int i = 0; i < 6; ++i) {
    others.emplace_back(loop, [](Peer& p, const http1::Request& r) { answerRead(p, r); });
    engines.push_back(target("r" + std::to_string(i + 2), "prefill", others.back().address()));
  }
  start([&](Json& json) {
    json["known"] = listOf(7, true, engines);
    json["settings"]["familyInfo"]["pinLimitS"] = 0.4;
  });
  // All have been used and keep an idle connection.
  for (int i = 0; i < 40; ++i) {
    std::string request = ask("warm" + std::to_string(i));
    request.replace(request.find("7f3a9c21"), 8, "7f3a9c" + std::to_string(10 + i));
    const auto peer = asks(request);
    ASSERT_TRUE(within(2, [&] { return peer->has("\r\n0\r\n\r\n"); }));
  }
  pass(0.1);
  reader.script = silent;
  for (Scripted& other : others) other.script = silent;
  for (int i = 0; i < 4; ++i) {
    const std::string id = "gone" + std::to_string(i);
    const auto peer = asks(ask(id));
    pass(0.1);
    peer->connection.close();
    EXPECT_TRUE(within(0.7, [&] { return writer.count("DELETE", "/kv/leases/" + id) == 1; })) << id;
  }
}

// ---- Drains ----
TEST_F(EndingsTest, WhatWaitsForAConnectionToAnEngineThatDrainsIsNotSentThere) {
  PortThatNeverComesUp slow;
  start([&](Json& json) {
    json["known"]["endpoints"][0]["address"] = slow.address();
    json["settings"]["limits"]["connectTimeoutS"] = 2.0;
  });
  settle();
  const auto peer = asks(ask("crosses", "", "pay", "9000"));
  ASSERT_TRUE(within(0.1, [&] { return node->engines().connections() == 1; }));
  watch()->send(chunkOf(listOf(8, false,
                               {target("r1", "prefill", slow.address(), "draining"),
                                target("r2", "prefill", reader.address(), "up")})
                            .dump() +
                        "\n"));
  pass(0.1);
  EXPECT_EQ(statusOf(peer), 200);  // by the other reader, well before the connection would have been given up
  EXPECT_EQ(attempts(reader), 1U);
}

TEST_F(EndingsTest, ADrainToldWithoutAnAddressIsADrain) {
  start();
  settle();
  Json entry = target("r1", "prefill", "", "draining");
  entry.erase("address");
  watch()->send(chunkOf(listOf(8, false, {entry}).dump() + "\n"));
  settle();
  const auto peer = asks(ask("nowhere", "", "chat", "300"));
  pass(0.5);
  EXPECT_EQ(statusOf(peer), 503);
  EXPECT_EQ(attempts(reader), 0U);
}

TEST_F(EndingsTest, AnObjectThatCannotBeReadMakesTheNodeAskForTheWholeList) {
  for (const char* const object : {"{\"index\": 8, ]}", "{\"index\": \"eight\"}"}) {
    discovery.seen.clear();
    start();
    settle();
    watch()->send(chunkOf(std::string(object) + "\n"));
    EXPECT_TRUE(within(1, [&] { return discovery.count("GET", "/api/targets?watch=1&from=0") == 1; }));
    node.reset();
    settle();
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
  start([&](Json& json) {
    json["known"]["endpoints"][1]["address"] = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  });
  const auto peer = asks(ask("once", "", "pay", "3000"));
  pass(0.1);
  RawSocket taken(::accept(listener.fd(), nullptr, nullptr));
  EXPECT_NE(taken.receive().find("X-Call-Id: once"), std::string::npos);
  taken.reset();
  EXPECT_TRUE(within(4, [&] { return peer->has("HTTP/1.1"); }));
  EXPECT_EQ(statusOf(peer), 502);  // at most once: it may have run, so it is neither sent again nor refused
  pass(1);
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
      {"127.0.0.1", reader.listener.port()},
      [&] {
        told = std::to_string(std::lround((until - loop.now()).count() * 1000));
        return "POST /x HTTP/1.1\r\nX-Budget-Ms: " + told + "\r\nContent-Length: 0\r\n\r\n";
      },
      nullptr, std::make_shared<Sink>());
  EXPECT_EQ(told, "");
  pass(0.005);
  EXPECT_EQ(told, "995");
}

// ---- The first moments ----
TEST_F(EndingsTest, ANodeSaysThatItIsReadyOnceDiscoveryHasSpokenOrHadItsTime) {
  start();
  settle();
  const auto early = asks("GET /-/ready HTTP/1.1\r\n\r\n");
  settle();
  EXPECT_EQ(statusOf(early), 503);
  tell(8, "up", "draining");
  const auto told = asks("GET /-/ready HTTP/1.1\r\n\r\n");
  settle();
  EXPECT_EQ(statusOf(told), 200);
  node.reset();
  start();  // and where it is silent
  pass(0.5);
  const auto later = asks("GET /-/ready HTTP/1.1\r\n\r\n");
  settle();
  EXPECT_EQ(statusOf(later), 200);
}

// What discovery has told counts as told after 6 s, and a node that is not ready after 30 s has failed to
// start.
TEST_F(EndingsTest, ANodeWithoutAnyListIsReadyInTimeAndRefuses) {
  discovery.listener.rejectConnections(true);
  start([](Json& json) { json.erase("known"); });
  pass(3);
  EXPECT_EQ(statusOf(asks("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
  pass(3);
  EXPECT_EQ(statusOf(asks("GET /-/ready HTTP/1.1\r\n\r\n")), 200);
  const auto refused = asks(ask("early"));
  pass(1.5);
  EXPECT_EQ(statusOf(refused), 503);
  EXPECT_TRUE(refused->has("Retry-After"));
}

// Past the bound the client has to wait: its request that is being answered goes on.
TEST_F(EndingsTest, WhatComesPastTheBoundBehindARequestDoesNotEndIt) {
  start();
  const auto stream = streaming("open");
  const std::string piece(1 << 16, 'x');
  for (int i = 0; i < 64; ++i) {  // 4 MiB
    stream->send(piece);
    settle();
  }
  EXPECT_FALSE(stream->closed);
  EXPECT_EQ(node->core().openRequests(), 1U);
  EXPECT_EQ(node->engines().open(), 1U);
  writing().send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(within(1, [&] { return stream->has("0\r\n\r\n"); }));
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
  settle();
  ASSERT_TRUE(another.connect(server.port()));  // the node hears of it first
  pieces.send("\r\n");
  settle();
  EXPECT_EQ(pieces.receive().substr(0, 12), "HTTP/1.1 200");
}

// What an engine is told is true at the write, not at the start of the iteration that came to it.
TEST_F(EndingsTest, ATimeToldCountsWhatTheIterationHasTakenSoFar) {
  IgnoringSink sink;
  Engines engines(loop, {}, sink);
  const Configuration c = configurationOf(file());
  engines.update(*readTargets(c.known, c.names, net::WallClock(now(), 0)));
  auto work = std::make_shared<router::RequestPayload>();
  work->target = "/v1/chat/completions?x=1";
  work->prompt = "{}";
  engines.start(router::StartPrefill{1, 1, "opens", 0, numberOf("r1"), Duration(2), Duration(2), work});
  pass(0.2);  // its connection may be used again
  loop.defer([&] {
    holdUp(0.4);
    engines.start(router::StartPrefill{2, 2, "held-up", 0, numberOf("r1"), Duration(2), Duration(2), work});
  });
  settle();
  EXPECT_EQ(reader.peers.size(), 1U);
  ASSERT_EQ(budgets(reader).size(), 2U);
  EXPECT_LE(budgets(reader)[1], 1600);
}

TEST_F(EndingsTest, AKnownListThatCannotBeReadLeavesRequestsToBeRefusedInTime) {
  discovery.listener.rejectConnections(true);
  start([](Json& json) { json["known"] = {{"index", "x"}, {"endpoints", 5}}; });
  const auto refused = asks(ask("no-list"));
  pass(1.5);
  EXPECT_EQ(statusOf(refused), 503);
}

// A replacement may come up where the engine that it replaces has been.
TEST_F(EndingsTest, ConnectionsToAnAddressThatAnotherEngineTookOverAreKept) {
  start();
  settle();
  watch()->send(chunkOf(listOf(8, false,
                               {target("r2", "prefill", reader.address()),
                                target("r1", "prefill", reader.address(), "removed")})
                            .dump() +
                        "\n"));
  settle();
  for (int i = 0; i < 4; ++i) {
    const auto peer = asks(ask("again-" + std::to_string(i)));
    ASSERT_TRUE(within(1, [&] { return peer->has("0\r\n\r\n"); }));
    pass(0.2);
  }
  EXPECT_EQ(reader.peers.size(), 1U);
}

TEST_F(EndingsTest, ANodeThatGoesWithRequestsOpenLeavesNothingBehind) {
  reader.script = hold;
  start();
  std::vector<std::shared_ptr<Peer>> peers;
  for (int i = 0; i < 40; ++i) peers.push_back(asks(ask("o" + std::to_string(i))));
  settle();
  ASSERT_EQ(node->core().openRequests(), 40U);
  node.reset();  // the sanitizers watch
  settle();
}

}  // namespace
}  // namespace gannetcourse::platform
