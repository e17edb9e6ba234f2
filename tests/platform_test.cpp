// A whole node on the platform's protocol, with scripted clients, engines and a discovery on loopback.
#include <random>

#include "platform/load_report.h"
#include "platform_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

TEST_F(PlatformTest, PassesAStreamOnUnchangedAndKeepsItsConnections) {
  startNode();
  const auto peer = client();
  for (const char* const id : {"one", "two"}) {
    peer->received.clear();
    peer->send(chatRequest(id));
    ASSERT_TRUE(runUntil([&] { return peer->hasReceived("0\r\n\r\n"); }));
    std::string body;
    http1::ResponseParser parser(
        http1::Limits{}, {[](const http1::ResponseHead&) {}, [&](std::string_view bytes) { body += bytes; }});
    EXPECT_EQ(parser.consume(peer->received), http1::ParseState::kComplete);
    EXPECT_EQ(body, eventOf("a") + eventOf("b") + kDone);
    ASSERT_TRUE(runUntil([&] { return node->engineClient().idleConnectionCount() == 2; }));
  }
  EXPECT_EQ(prefillEngine.peers.size(), 1U);
  EXPECT_EQ(decodeEngine.peers.size(), 1U);
  ASSERT_EQ(prefillEngine.requests.size(), 2U);
  for (const ScriptedServer* const engine : {&prefillEngine, &decodeEngine}) {
    EXPECT_EQ(engine->requests[0].target, "/v1/chat/completions?x=1");
    EXPECT_EQ(engine->requests[0].body, "{\"messages\":[]}");
    EXPECT_EQ(*engine->requests[0].fields.find("X-Call-Id"), "one");
    EXPECT_GT(std::stoi(*engine->requests[0].fields.find("X-Budget-Ms")), 0);
  }
  EXPECT_EQ(node->core().counters().served, 2U);
}

TEST_F(PlatformTest, EachKindOfBadClientGetsAnErrorAndEnginesHearNothing) {
  startNode();
  const std::string path = "POST /v1/chat/completions HTTP/1.1\r\n";
  const std::vector<std::pair<std::string, int>> kinds = {
      {"\x01\x02nonsense\r\n\r\n", 400},
      {path + "X: " + std::string(20000, 'y') + "\r\n", 431},
      {path + "Content-Length: -3\r\n\r\n", 400},
      {path + "Content-Length: 62914560\r\n\r\nxxxx", 413},
      {path + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {path + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400},
      {chatRequest("a", "", "no-such-class"), 400},
      {chatRequest("a", "", "chat", "soon"), 400},
      {chatRequest("a", "", "chat", "-5"), 400},
      {chatRequest(""), 400},
      {chatRequest("a", "X-Call-Id: b\r\n"), 400},
      {chatRequest("a", "", "chat", "4800", "{\"messages\":"), 400},
      {"GET /v1/chat/completions HTTP/1.1\r\n\r\n", 405},
      {"POST /elsewhere HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404}};
  for (const auto& [bytes, status] : kinds) {
    const auto peer = sendFromNewClient(bytes);
    EXPECT_EQ(statusOf(peer), status) << bytes.substr(0, 120);
    EXPECT_TRUE(runUntil([&] { return peer->closed; }));
  }
  EXPECT_TRUE(prefillEngine.requests.empty());
  EXPECT_EQ(node->core().counters().accepted, 0U);
  const auto good = sendFromNewClient(chatRequest("good"));
  EXPECT_EQ(statusOf(good), 200);
}

TEST_F(PlatformTest, TheClientsOwnFieldsGoOnAndThoseOfItsConnectionDoNot) {
  startNode();
  const auto peer = sendFromNewClient(
      chatRequest("keyed",
                  "Idempotency-Key: k-17\r\ntraceparent: 00-ab\r\nConnection: keep-alive, X-Hop ,\r\n"
                  "X-Hop: 1\r\nTE: trailers\r\n"));
  EXPECT_EQ(statusOf(peer), 200);
  ASSERT_TRUE(runUntil([&] { return peer->hasReceived("0\r\n\r\n"); }));
  for (const ScriptedServer* const engine : {&prefillEngine, &decodeEngine}) {
    const http1::Fields& fields = engine->requests.front().fields;
    ASSERT_NE(fields.find("idempotency-key"), nullptr);
    EXPECT_EQ(*fields.find("Idempotency-Key"), "k-17");
    EXPECT_EQ(*fields.find("traceparent"), "00-ab");
    EXPECT_EQ(*fields.find("X-Route-Hash"), "7f3a9c21e0b4d655");
    for (const char* const name : {"X-Hop", "TE", "Connection"})
      EXPECT_EQ(fields.find(name), nullptr) << name;
    for (const char* const name : {"X-Call-Id", "X-Budget-Ms", "Content-Length", "Content-Type", "Host"})
      EXPECT_EQ(fields.count(name), 1U) << name;
  }
}

TEST_F(PlatformTest, TheIdOfAnOpenRequestIsRefusedAndLeavesThatRequestAlone) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
  };
  startNode();
  const auto first = sendFromNewClient(chatRequest("same"));
  ASSERT_TRUE(runUntil([&] { return first->hasReceived("\"a\""); }));
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("same"))), 409);
  decodeEngine.peers.front()->send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(runUntil([&] { return first->hasReceived("0\r\n\r\n"); }));
  EXPECT_EQ(prefillEngine.requests.size(), 1U);
}

TEST_F(PlatformTest, SilentConnectionsAndHalfRequestsAreClosed) {
  startNode();
  const auto silent = client(), half = sendFromNewClient(chatRequest("half").substr(0, 150));
  EXPECT_TRUE(runUntil([&] { return silent->closed && half->closed; }));
  EXPECT_TRUE(half->hasReceived("HTTP/1.1 408"));
}

TEST_F(PlatformTest, ACrowdOfSilentConnectionsLeavesRoomForOthers) {
  sockets = 64;
  startNode();
  std::vector<std::shared_ptr<Peer>> crowd;
  for (int i = 0; i < 200; ++i) crowd.push_back(client());
  runFor(0.05);
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("good"))), 200);
  EXPECT_LE(node->frontend().server().connectionCount(),
            limitsOf(configurationOf(configurationJson())).maxClientConnections);
}

TEST_F(PlatformTest, PastItsBoundOfOpenRequestsTheNodeRefusesWithAdvice) {
  sockets = 64;
  prefillEngine.script = [](Peer&, const http1::Request&) {};  // answers nothing
  startNode();
  const NodeLimits bounds = limitsOf(configurationOf(configurationJson()));
  std::vector<std::shared_ptr<Peer>> crowd;
  int refused = 0;
  for (std::size_t i = 0; i <= bounds.maxOpenRequests; ++i)
    crowd.push_back(sendFromNewClient(chatRequest("r" + std::to_string(i))));
  ASSERT_TRUE(runUntil([&] {
    refused = 0;
    for (const auto& peer : crowd)
      refused += peer->hasReceived("HTTP/1.1 503") && peer->hasReceived("Retry-After: 1.000");
    return refused > 0;
  }));
  EXPECT_LE(node->engineClient().connectionCount(), bounds.maxEngineConnections);
}

// Every row of the outcome table at a writer, and what the client and the module get of it.
TEST_F(PlatformTest, EachWayAnAttemptEndsIsOneOutcome) {
  EXPECT_EQ(outcomeOf(202, false, AttemptKind::kPrefill), Outcome::kPrefilled);
  EXPECT_EQ(outcomeOf(500, false, AttemptKind::kDecode), Outcome::kError);
  EXPECT_EQ(outcomeOf(503, true, AttemptKind::kDecode), Outcome::kRejected);
  EXPECT_EQ(outcomeOf(504, true, AttemptKind::kPrefill), Outcome::kRejected);
  EXPECT_EQ(outcomeOf(503, false, AttemptKind::kDecode), Outcome::kError);  // it may have run
  EXPECT_EQ(outcomeOf(410, true, AttemptKind::kDecode), Outcome::kStateLost);
  EXPECT_EQ(outcomeOf(http1::CallResult::kNotConnected), Outcome::kConnectFailed);
  EXPECT_EQ(outcomeOf(http1::CallResult::kConnectionLost), Outcome::kReset);
  EXPECT_EQ(outcomeOf(http1::CallResult::kMalformed), Outcome::kError);
  EXPECT_EQ(outcomeOf(http1::CallResult::kNoConnectionAvailable), Outcome::kNotSent);
}

TEST_F(PlatformTest, AnAttemptThatFailsBeforeItsFirstEventIsFollowedByAnother) {
  const std::vector<std::string> bad = {"HTTP/1.1 500 Internal\r\nContent-Length: 0\r\n\r\n",
                                        "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
                                        "HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
                                        "noise\r\n\r\n",
                                        kStreamHead + "zz\r\n",
                                        kStreamHead + chunkOf("no event\n\n"),
                                        kStreamHead + "BB8F1C80\r\ndata: x"};
  for (const std::string& answer : bad) {
    bool failed = false;
    decodeEngine.script = [&](Peer& peer, const http1::Request& request) {
      if (answerRelease(peer, request)) return;
      peer.send(std::exchange(failed, true) ? completeStream() : answer);
    };
    startNode();
    const auto peer = sendFromNewClient(chatRequest("again"));
    EXPECT_TRUE(runUntil([&] { return peer->hasReceived("0\r\n\r\n"); })) << answer;
    EXPECT_EQ(statusOf(peer), 200);
    EXPECT_GE(node->core().counters().attempts, 3U);
    node.reset();
  }
}

TEST_F(PlatformTest, AnUnsafeRequestWhoseAnswerIsNoiseIsNotSentAgain) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send("noise\r\n\r\n");
  };
  startNode();
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("once", "", "pay"))), 502);
  EXPECT_EQ(decodeEngine.count("POST", "/v1/chat/completions?x=1"), 1U);
}

TEST_F(PlatformTest, AStreamSpoiltLaterEndsTheClientsConnectionWithoutTheLastChunk) {
  const std::vector<std::string> spoilt = {
      "zz\r\n",    "2\r\ndata: b\n\n\r\n",   "BB8F1C80\r\ndata: x", chunkOf("noise\n\n"),
      "0\r\n\r\n", "ff\r\ndata: never whole"};
  for (const std::string& rest : spoilt) {
    decodeEngine.script = [&](Peer& peer, const http1::Request& request) {
      if (!answerRelease(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")) + rest);
    };
    startNode();
    const auto peer = sendFromNewClient(chatRequest("spoilt"));
    EXPECT_TRUE(runUntil([&] { return peer->closed; })) << rest;
    EXPECT_TRUE(peer->hasReceived("\"a\""));
    EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n")) << rest;
    EXPECT_TRUE(runUntil([&] { return decodeEngine.peers.back()->closed; }));
    node.reset();
  }
}

TEST_F(PlatformTest, WhatComesBesideAGoodStreamDoesNoHarm) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (answerRelease(peer, request)) return;
    peer.send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + kStreamHead + chunkOf(eventOf("a") + kDone) +
              chunkOf(": X-Load-Report: TEXT x0=?, =\n") + "0\r\n\r\n" + "HTTP/1.1 200 OK\r\n\r\n");
  };
  startNode();
  for (const char* const id : {"one", "two"}) {
    const auto peer = sendFromNewClient(chatRequest(id));
    ASSERT_TRUE(runUntil([&] { return peer->hasReceived("0\r\n\r\n"); }));
    EXPECT_FALSE(peer->hasReceived("X-Load-Report"));
  }
  EXPECT_EQ(decodeEngine.peers.size(), 2U);  // the first connection is not used again
}

TEST_F(PlatformTest, AClientThatLeavesEndsItsAttemptAndWhatIsHeldIsLetGo) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    answerRelease(peer, request);
  };  // never answers
  startNode();
  const auto peer = sendFromNewClient(chatRequest("left"));
  ASSERT_TRUE(runUntil([&] { return decodeEngine.requests.size() == 1; }));
  peer->connection.close();
  EXPECT_TRUE(runUntil([&] {
    return prefillEngine.count("DELETE", "/kv/leases/left") +
               decodeEngine.count("DELETE", "/kv/leases/left") ==
           1;
  }));
  EXPECT_TRUE(runUntil(
      [&] { return decodeEngine.peers.front()->closed && node->engineClient().openCallCount() == 0; }));
  EXPECT_TRUE(runUntil(
      [&] { return node->core().pendingObligations() == 0 && node->engineClient().auxiliaryCalls() == 0; }));
}

TEST_F(PlatformTest, AReadWhoseConnectionBreaksIsLetGo) {
  int reads = 0;
  prefillEngine.script = [&](Peer& peer, const http1::Request& request) {
    if (answerRelease(peer, request)) return;
    if (++reads > 1) return answerPrefill(peer, request);
    peer.connection.close();
  };
  startNode();
  const auto peer = sendFromNewClient(chatRequest("broken"));
  EXPECT_TRUE(runUntil([&] { return peer->hasReceived("0\r\n\r\n"); }));
  EXPECT_TRUE(runUntil([&] {
    return prefillEngine.count("DELETE", "/kv/leases/broken") +
               decodeEngine.count("DELETE", "/kv/leases/broken") ==
           1;
  }));
}

// A success that is not the read's own has still run: what it has left is let go of.
TEST_F(PlatformTest, AReadThatEndsWithAnotherSuccessIsLetGo) {
  int reads = 0;
  prefillEngine.script = [&](Peer& peer, const http1::Request& request) {
    if (answerRelease(peer, request)) return;
    if (++reads > 1) return answerPrefill(peer, request);
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  };
  startNode();
  const auto peer = sendFromNewClient(chatRequest("other"));
  EXPECT_TRUE(runUntil([&] { return peer->hasReceived("0\r\n\r\n"); }));
  const auto releases = [&] {
    return prefillEngine.count("DELETE", "/kv/leases/other") +
           decodeEngine.count("DELETE", "/kv/leases/other");
  };
  runFor(0.2);
  EXPECT_GE(releases(), 1U);
}

TEST_F(PlatformTest, TheDeadlineStopsWithTheFirstEvent) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
  };
  startNode();
  const auto peer = sendFromNewClient(chatRequest("long", "", "chat", "300"));
  ASSERT_TRUE(runUntil([&] { return peer->hasReceived("\"a\""); }));
  runFor(0.6);
  EXPECT_FALSE(peer->closed);
  decodeEngine.peers.front()->send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(runUntil([&] { return peer->hasReceived("0\r\n\r\n"); }));
}

TEST_F(PlatformTest, NothingInTimeIsOneFinalAnswerBeforeItsDeadline) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) { answerRelease(peer, request); };
  startNode();
  const Instant from = net::monotonicNow();
  const auto peer = sendFromNewClient(chatRequest("late", "", "chat", "900"));
  const int status = statusOf(peer);
  EXPECT_TRUE(status == 502 || status == 503 || status == 504) << status;
  EXPECT_LT(net::monotonicNow() - from, Duration(kTimeoutSeconds));
  EXPECT_TRUE(runUntil([&] { return node->engineClient().openCallCount() == 0; }));
}

TEST_F(PlatformTest, TheWatchChangesTheListAndIsOpenedAgainWhereItEnded) {
  discovery.script = [&](Peer& peer, const http1::Request& request) {
    peer.send(kStreamHead);
    if (request.target == "/api/targets?watch=1&from=7")
      peer.send(chunkOf(engineListJson(
                            9, false,
                            {engineJson("w1", "decode", decodeEngine.address(), "removed"),
                             engineJson("w2", "decode", prefillEngine.address(), "up"), Json{{"odd", 1}}})
                            .dump() +
                        "\n\n") +
                "0\r\n\r\n");
  };
  startNode();
  EXPECT_TRUE(runUntil([&] { return discovery.count("GET", "/api/targets?watch=1&from=9") > 0; }));
  prefillEngine.script = [](Peer& peer, const http1::Request& request) {  // plays both roles now
    if (request.fields.find("X-Call-Id") != nullptr && *request.fields.find("X-Call-Id") == "seen")
      return answerPrefill(peer, request);
    answerDecode(peer, request);
  };
  const auto peer = sendFromNewClient(chatRequest("seen"));
  ASSERT_TRUE(runUntil(
      [&] { return prefillEngine.requests.size() >= 2; }));  // the read, then the write at its new place
  EXPECT_TRUE(decodeEngine.requests.empty());
}

TEST_F(PlatformTest, ANewConfigurationMovesTheWatchAndLosesNothing) {
  ScriptedServer other(loop, [](Peer& peer, const http1::Request&) { peer.send(kStreamHead); });
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
  };
  startNode();
  const auto peer = sendFromNewClient(chatRequest("open"));
  ASSERT_TRUE(runUntil([&] { return peer->hasReceived("\"a\""); }));
  Json fresh = configurationJson();
  fresh["discovery"] = other.address();
  fresh["settings"]["classes"].push_back({{"aimS", 2.0}, {"idempotency", "idempotent"}, {"name", "new"}});
  node->reload(configurationOf(fresh));
  EXPECT_TRUE(runUntil([&] { return other.count("GET", "/api/targets?watch=1&from=7") == 1; }));
  EXPECT_FALSE(discovery.peers.front()->closed);  // until the new address has spoken
  other.peers.front()->send(chunkOf("\n"));
  EXPECT_TRUE(runUntil([&] { return discovery.peers.front()->closed; }));
  decodeEngine.peers.front()->send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(runUntil([&] { return peer->hasReceived("0\r\n\r\n"); }));
  decodeEngine.script = [](Peer& p, const http1::Request& r) { answerDecode(p, r); };
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("later", "", "new"))), 200);
  Json swapped = fresh;  // alike but for the names: requests that are open would change their class
  std::swap(swapped["settings"]["classes"][0], swapped["settings"]["classes"][2]);
  EXPECT_THROW(node->reload(configurationOf(swapped)), std::invalid_argument);
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("after", "", "new"))), 200);
  fresh["settings"]["classes"][1]["idempotency"] = "idempotent";
  EXPECT_THROW(node->reload(configurationOf(fresh)), std::invalid_argument);
}

TEST_F(PlatformTest, ADrainFinishesStreamsAnswersTheRestAndEnds) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
  };
  startNode();
  EXPECT_TRUE(becomesReady());
  const auto peer = sendFromNewClient(chatRequest("open"));
  ASSERT_TRUE(runUntil([&] { return peer->hasReceived("\"a\""); }));
  bool done = false;
  node->drain([&] { done = true; });
  EXPECT_EQ(statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
  const auto refused = sendFromNewClient(chatRequest("new"));
  EXPECT_EQ(statusOf(refused), 503);
  EXPECT_TRUE(refused->hasReceived("Connection: close"));
  runFor(1.5);
  EXPECT_FALSE(done);  // the stream is still open
  decodeEngine.peers.front()->send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(runUntil([&] { return peer->hasReceived("0\r\n\r\n") && peer->closed; }));
  EXPECT_TRUE(runUntil([&] { return done; }));
}

TEST_F(PlatformTest, WhatTheModuleBelievesIsWhatIsOpenOnTheSockets) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
  };
  startNode();
  std::vector<std::shared_ptr<Peer>> peers;
  for (int i = 0; i < 12; ++i) peers.push_back(sendFromNewClient(chatRequest("b" + std::to_string(i))));
  ASSERT_TRUE(runUntil([&] { return decodeEngine.requests.size() == 12; }));
  ASSERT_TRUE(runUntil([&] {
    return std::all_of(peers.begin(), peers.end(), [](const auto& p) { return p->hasReceived("\"a\""); });
  }));
  EXPECT_EQ(node->core().openRequests(), 12U);
  EXPECT_EQ(node->engineClient().openCallsByEngine().at(engineIdOf("w1")), 12U);
  for (std::size_t i = 0; i < 6; ++i) peers[i]->connection.close();
  EXPECT_TRUE(runUntil(
      [&] { return node->core().pendingObligations() == 6 && node->engineClient().openCallCount() == 6; }));
  EXPECT_EQ(node->core().counters().actionsBlocked, 0U);
}

TEST_F(PlatformTest, AConfigurationIsReadOrRefusedInOneLine) {
  const Configuration c = configurationOf(configurationJson());
  EXPECT_EQ(c.policySettings.seed, 0x92094eb940cf389aU);
  ASSERT_EQ(c.policySettings.classes.size(), 2U);
  EXPECT_EQ(c.policySettings.classes[1].idempotency, Idempotency::kAtMostOnce);
  EXPECT_DOUBLE_EQ(c.policySettings.classes[0].ttftObjectivePerToken.count(), 40e-6);
  EXPECT_EQ(c.policySettings.maxAttempts, 6);
  EXPECT_DOUBLE_EQ(c.policySettings.stateLeaseLimit.count(), 1);
  EXPECT_TRUE(c.policySettings.clientsHonorRetryAfter);
  EXPECT_EQ(c.names.zoneIndex("south"), 1U);
  Json bad = configurationJson();
  bad["listen"] = "nowhere";
  EXPECT_THROW(configurationOf(bad), std::runtime_error);
  bad = configurationJson();
  bad["settings"]["limits"]["maxAttempts"] = "six";
  try {
    configurationOf(bad);
    ADD_FAILURE();
  } catch (const std::runtime_error& fault) {
    EXPECT_NE(std::string(fault.what()).find("maxAttempts"), std::string::npos);
  }
}

TEST(LoadReports, AreReadOrIgnored) {
  const auto load = parseLoadReport(" TEXT mean_ms=12.5, x0=0.5, x1=3, queue=2");
  ASSERT_TRUE(load);
  EXPECT_DOUBLE_EQ(*load->memoryUtilization, 0.5);
  EXPECT_DOUBLE_EQ(*load->queuedPrefillTokens, 3000);
  EXPECT_DOUBLE_EQ(*load->requestsQueued, 2);
  EXPECT_FALSE(load->requestsInFlight);
  for (const char* const bad : {"", "JSON {}", "TEXT x0", "TEXT x0=", "TEXT x0=a",
                                "TEXT x0=1, =", "TEXT x0=-1", "TEXT x0=nan", "TEXT x0=1e999"})
    EXPECT_FALSE(parseLoadReport(bad)) << bad;
}

TEST(EventStreams, TellWholeEventsHoweverTheyAreCut) {
  const std::string bytes =
      eventOf("a") + eventOf("b") + ": X-Load-Report: TEXT x0=0.5\n\n" +
      "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n" + kDone;
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
    EventStreamDecoder stream;
    std::string told;
    for (std::size_t i = 0; i < bytes.size(); i += step)
      ASSERT_TRUE(
          stream.feed(std::string_view(bytes).substr(i, step), [&](const std::string& e) { told += e; }));
    EXPECT_TRUE(stream.finish([](const std::string&) {}));
    EXPECT_EQ(told.find(": X-Load"), std::string::npos);
    EXPECT_EQ(told.substr(0, 10), eventOf("a").substr(0, 10));
    EXPECT_DOUBLE_EQ(stream.cachedTokens(), 4096);
    EXPECT_DOUBLE_EQ(*stream.loadReport()->memoryUtilization, 0.5);
  }
  EventStreamDecoder unfinished;
  EXPECT_TRUE(unfinished.feed(eventOf("a"), [](const std::string&) {}));
  EXPECT_FALSE(unfinished.finish([](const std::string&) {}));
}

}  // namespace
}  // namespace gannetcourse::platform
