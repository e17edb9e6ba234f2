// A whole node on the platform's protocol, with scripted clients, engines and a discovery on loopback.
#include <random>

#include "platform_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

TEST_F(PlatformTest, PassesAStreamOnUnchangedAndKeepsItsConnections) {
  start();
  const auto peer = client();
  for (const char* const id : {"one", "two"}) {
    peer->got.clear();
    peer->send(ask(id));
    ASSERT_TRUE(until([&] { return peer->has("0\r\n\r\n"); }));
    std::string body;
    http1::ResponseParser parser(
        http1::Limits{}, {[](const http1::ResponseHead&) {}, [&](std::string_view bytes) { body += bytes; }});
    EXPECT_EQ(parser.consume(peer->got), http1::ParseState::kComplete);
    EXPECT_EQ(body, eventOf("a") + eventOf("b") + kDone);
    ASSERT_TRUE(until([&] { return node->engines().idleConnections() == 2; }));
  }
  EXPECT_EQ(reader.peers.size(), 1U);
  EXPECT_EQ(writer.peers.size(), 1U);
  ASSERT_EQ(reader.seen.size(), 2U);
  for (const Scripted* const engine : {&reader, &writer}) {
    EXPECT_EQ(engine->seen[0].target, "/v1/chat/completions?x=1");
    EXPECT_EQ(engine->seen[0].body, "{\"messages\":[]}");
    EXPECT_EQ(*engine->seen[0].fields.find("X-Call-Id"), "one");
    EXPECT_GT(std::stoi(*engine->seen[0].fields.find("X-Budget-Ms")), 0);
  }
  EXPECT_EQ(node->core().counters().served, 2U);
}

TEST_F(PlatformTest, EachKindOfBadClientGetsAnErrorAndEnginesHearNothing) {
  start();
  const std::string path = "POST /v1/chat/completions HTTP/1.1\r\n";
  const std::vector<std::pair<std::string, int>> kinds = {
      {"\x01\x02nonsense\r\n\r\n", 400},
      {path + "X: " + std::string(20000, 'y') + "\r\n", 431},
      {path + "Content-Length: -3\r\n\r\n", 400},
      {path + "Content-Length: 62914560\r\n\r\nxxxx", 413},
      {path + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {path + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400},
      {ask("a", "", "no-such-class"), 400},
      {ask("a", "", "chat", "soon"), 400},
      {ask("a", "", "chat", "-5"), 400},
      {ask(""), 400},
      {ask("a", "X-Call-Id: b\r\n"), 400},
      {ask("a", "", "chat", "4800", "{\"messages\":"), 400},
      {"GET /v1/chat/completions HTTP/1.1\r\n\r\n", 405},
      {"POST /elsewhere HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404}};
  for (const auto& [bytes, status] : kinds) {
    const auto peer = asks(bytes);
    EXPECT_EQ(statusOf(peer), status) << bytes.substr(0, 120);
    EXPECT_TRUE(until([&] { return peer->closed; }));
  }
  EXPECT_TRUE(reader.seen.empty());
  EXPECT_EQ(node->core().counters().accepted, 0U);
  const auto good = asks(ask("good"));
  EXPECT_EQ(statusOf(good), 200);
}

TEST_F(PlatformTest, TheClientsOwnFieldsGoOnAndThoseOfItsConnectionDoNot) {
  start();
  const auto peer =
      asks(ask("keyed",
               "Idempotency-Key: k-17\r\ntraceparent: 00-ab\r\nConnection: keep-alive, X-Hop ,\r\n"
               "X-Hop: 1\r\nTE: trailers\r\n"));
  EXPECT_EQ(statusOf(peer), 200);
  ASSERT_TRUE(until([&] { return peer->has("0\r\n\r\n"); }));
  for (const Scripted* const engine : {&reader, &writer}) {
    const http1::Fields& fields = engine->seen.front().fields;
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
  writer.script = [](Peer& peer, const http1::Request& request) {
    if (!released(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
  };
  start();
  const auto first = asks(ask("same"));
  ASSERT_TRUE(until([&] { return first->has("\"a\""); }));
  EXPECT_EQ(statusOf(asks(ask("same"))), 409);
  writer.peers.front()->send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(until([&] { return first->has("0\r\n\r\n"); }));
  EXPECT_EQ(reader.seen.size(), 1U);
}

TEST_F(PlatformTest, SilentConnectionsAndHalfRequestsAreClosed) {
  start();
  const auto silent = client(), half = asks(ask("half").substr(0, 150));
  EXPECT_TRUE(until([&] { return silent->closed && half->closed; }));
  EXPECT_TRUE(half->has("HTTP/1.1 408"));
}

TEST_F(PlatformTest, ACrowdOfSilentConnectionsLeavesRoomForOthers) {
  sockets = 64;
  start();
  std::vector<std::shared_ptr<Peer>> crowd;
  for (int i = 0; i < 200; ++i) crowd.push_back(client());
  settle(0.05);
  EXPECT_EQ(statusOf(asks(ask("good"))), 200);
  EXPECT_LE(node->front().server().connectionCount(), boundsOf(configurationOf(file())).clientConnections);
}

TEST_F(PlatformTest, PastItsBoundOfOpenRequestsTheNodeRefusesWithAdvice) {
  sockets = 64;
  reader.script = [](Peer&, const http1::Request&) {};  // answers nothing
  start();
  const Bounds bounds = boundsOf(configurationOf(file()));
  std::vector<std::shared_ptr<Peer>> crowd;
  int refused = 0;
  for (std::size_t i = 0; i <= bounds.openRequests; ++i) crowd.push_back(asks(ask("r" + std::to_string(i))));
  ASSERT_TRUE(until([&] {
    refused = 0;
    for (const auto& peer : crowd) refused += peer->has("HTTP/1.1 503") && peer->has("Retry-After: 1.000");
    return refused > 0;
  }));
  EXPECT_LE(node->engines().connections(), bounds.engineConnections);
}

// Every row of the outcome table at a writer, and what the client and the module get of it.
TEST_F(PlatformTest, EachWayAnAttemptEndsIsOneOutcome) {
  EXPECT_EQ(outcomeOf(202, false, true), Outcome::kPrefilled);
  EXPECT_EQ(outcomeOf(500, false, false), Outcome::kError);
  EXPECT_EQ(outcomeOf(503, true, false), Outcome::kRejected);
  EXPECT_EQ(outcomeOf(504, true, true), Outcome::kRejected);
  EXPECT_EQ(outcomeOf(503, false, false), Outcome::kError);  // it may have run
  EXPECT_EQ(outcomeOf(410, true, false), Outcome::kStateLost);
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
    writer.script = [&](Peer& peer, const http1::Request& request) {
      if (released(peer, request)) return;
      peer.send(std::exchange(failed, true) ? wholeStream() : answer);
    };
    start();
    const auto peer = asks(ask("again"));
    EXPECT_TRUE(until([&] { return peer->has("0\r\n\r\n"); })) << answer;
    EXPECT_EQ(statusOf(peer), 200);
    EXPECT_GE(node->core().counters().attempts, 3U);
    node.reset();
  }
}

TEST_F(PlatformTest, AnUnsafeRequestWhoseAnswerIsNoiseIsNotSentAgain) {
  writer.script = [](Peer& peer, const http1::Request& request) {
    if (!released(peer, request)) peer.send("noise\r\n\r\n");
  };
  start();
  EXPECT_EQ(statusOf(asks(ask("once", "", "pay"))), 502);
  EXPECT_EQ(writer.count("POST", "/v1/chat/completions?x=1"), 1U);
}

TEST_F(PlatformTest, AStreamSpoiltLaterEndsTheClientsConnectionWithoutTheLastChunk) {
  const std::vector<std::string> spoilt = {
      "zz\r\n",    "2\r\ndata: b\n\n\r\n",   "BB8F1C80\r\ndata: x", chunkOf("noise\n\n"),
      "0\r\n\r\n", "ff\r\ndata: never whole"};
  for (const std::string& rest : spoilt) {
    writer.script = [&](Peer& peer, const http1::Request& request) {
      if (!released(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")) + rest);
    };
    start();
    const auto peer = asks(ask("spoilt"));
    EXPECT_TRUE(until([&] { return peer->closed; })) << rest;
    EXPECT_TRUE(peer->has("\"a\""));
    EXPECT_FALSE(peer->has("\r\n0\r\n\r\n")) << rest;
    EXPECT_TRUE(until([&] { return writer.peers.back()->closed; }));
    node.reset();
  }
}

TEST_F(PlatformTest, WhatComesBesideAGoodStreamDoesNoHarm) {
  writer.script = [](Peer& peer, const http1::Request& request) {
    if (released(peer, request)) return;
    peer.send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + kStreamHead + chunkOf(eventOf("a") + kDone) +
              chunkOf(": X-Load-Report: TEXT x0=?, =\n") + "0\r\n\r\n" + "HTTP/1.1 200 OK\r\n\r\n");
  };
  start();
  for (const char* const id : {"one", "two"}) {
    const auto peer = asks(ask(id));
    ASSERT_TRUE(until([&] { return peer->has("0\r\n\r\n"); }));
    EXPECT_FALSE(peer->has("X-Load-Report"));
  }
  EXPECT_EQ(writer.peers.size(), 2U);  // the first connection is not used again
}

TEST_F(PlatformTest, AClientThatLeavesEndsItsAttemptAndWhatIsHeldIsLetGo) {
  writer.script = [](Peer& peer, const http1::Request& request) {
    released(peer, request);
  };  // never answers
  start();
  const auto peer = asks(ask("left"));
  ASSERT_TRUE(until([&] { return writer.seen.size() == 1; }));
  peer->connection.close();
  EXPECT_TRUE(until([&] {
    return reader.count("DELETE", "/kv/leases/left") + writer.count("DELETE", "/kv/leases/left") == 1;
  }));
  EXPECT_TRUE(until([&] { return writer.peers.front()->closed && node->engines().open() == 0; }));
  EXPECT_TRUE(
      until([&] { return node->core().pendingObligations() == 0 && node->engines().auxiliaryCalls() == 0; }));
}

TEST_F(PlatformTest, AReadWhoseConnectionBreaksIsLetGo) {
  int reads = 0;
  reader.script = [&](Peer& peer, const http1::Request& request) {
    if (released(peer, request)) return;
    if (++reads > 1) return answerRead(peer, request);
    peer.connection.close();
  };
  start();
  const auto peer = asks(ask("broken"));
  EXPECT_TRUE(until([&] { return peer->has("0\r\n\r\n"); }));
  EXPECT_TRUE(until([&] {
    return reader.count("DELETE", "/kv/leases/broken") + writer.count("DELETE", "/kv/leases/broken") == 1;
  }));
}

// A success that is not the read's own has still run: what it has left is let go of.
TEST_F(PlatformTest, AReadThatEndsWithAnotherSuccessIsLetGo) {
  int reads = 0;
  reader.script = [&](Peer& peer, const http1::Request& request) {
    if (released(peer, request)) return;
    if (++reads > 1) return answerRead(peer, request);
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  };
  start();
  const auto peer = asks(ask("other"));
  EXPECT_TRUE(until([&] { return peer->has("0\r\n\r\n"); }));
  const auto releases = [&] {
    return reader.count("DELETE", "/kv/leases/other") + writer.count("DELETE", "/kv/leases/other");
  };
  settle(0.2);
  EXPECT_GE(releases(), 1U);
}

TEST_F(PlatformTest, TheDeadlineStopsWithTheFirstEvent) {
  writer.script = [](Peer& peer, const http1::Request& request) {
    if (!released(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
  };
  start();
  const auto peer = asks(ask("long", "", "chat", "300"));
  ASSERT_TRUE(until([&] { return peer->has("\"a\""); }));
  settle(0.6);
  EXPECT_FALSE(peer->closed);
  writer.peers.front()->send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(until([&] { return peer->has("0\r\n\r\n"); }));
}

TEST_F(PlatformTest, NothingInTimeIsOneFinalAnswerBeforeItsDeadline) {
  writer.script = [](Peer& peer, const http1::Request& request) { released(peer, request); };
  start();
  const Instant from = net::monotonicNow();
  const auto peer = asks(ask("late", "", "chat", "900"));
  const int status = statusOf(peer);
  EXPECT_TRUE(status == 502 || status == 503 || status == 504) << status;
  EXPECT_LT(net::monotonicNow() - from, Duration(kBound));
  EXPECT_TRUE(until([&] { return node->engines().open() == 0; }));
}

TEST_F(PlatformTest, TheWatchChangesTheListAndIsOpenedAgainWhereItEnded) {
  discovery.script = [&](Peer& peer, const http1::Request& request) {
    peer.send(kStreamHead);
    if (request.target == "/api/targets?watch=1&from=7")
      peer.send(chunkOf(listOf(9, false,
                               {target("w1", "decode", writer.address(), "removed"),
                                target("w2", "decode", reader.address(), "up"), Json{{"odd", 1}}})
                            .dump() +
                        "\n\n") +
                "0\r\n\r\n");
  };
  start();
  EXPECT_TRUE(until([&] { return discovery.count("GET", "/api/targets?watch=1&from=9") > 0; }));
  reader.script = [](Peer& peer, const http1::Request& request) {  // plays both roles now
    if (request.fields.find("X-Call-Id") != nullptr && *request.fields.find("X-Call-Id") == "seen")
      return answerRead(peer, request);
    answerWrite(peer, request);
  };
  const auto peer = asks(ask("seen"));
  ASSERT_TRUE(until([&] { return reader.seen.size() >= 2; }));  // the read, then the write at its new place
  EXPECT_TRUE(writer.seen.empty());
}

TEST_F(PlatformTest, ANewConfigurationMovesTheWatchAndLosesNothing) {
  Scripted other(loop, [](Peer& peer, const http1::Request&) { peer.send(kStreamHead); });
  writer.script = [](Peer& peer, const http1::Request& request) {
    if (!released(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
  };
  start();
  const auto peer = asks(ask("open"));
  ASSERT_TRUE(until([&] { return peer->has("\"a\""); }));
  Json fresh = file();
  fresh["discovery"] = other.address();
  fresh["settings"]["classes"].push_back({{"aimS", 2.0}, {"idempotency", "idempotent"}, {"name", "new"}});
  node->reload(configurationOf(fresh));
  EXPECT_TRUE(until([&] { return other.count("GET", "/api/targets?watch=1&from=7") == 1; }));
  EXPECT_FALSE(discovery.peers.front()->closed);  // until the new address has spoken
  other.peers.front()->send(chunkOf("\n"));
  EXPECT_TRUE(until([&] { return discovery.peers.front()->closed; }));
  writer.peers.front()->send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(until([&] { return peer->has("0\r\n\r\n"); }));
  writer.script = [](Peer& p, const http1::Request& r) { answerWrite(p, r); };
  EXPECT_EQ(statusOf(asks(ask("later", "", "new"))), 200);
  Json swapped = fresh;  // alike but for the names: requests that are open would change their class
  std::swap(swapped["settings"]["classes"][0], swapped["settings"]["classes"][2]);
  EXPECT_THROW(node->reload(configurationOf(swapped)), std::invalid_argument);
  EXPECT_EQ(statusOf(asks(ask("after", "", "new"))), 200);
  fresh["settings"]["classes"][1]["idempotency"] = "idempotent";
  EXPECT_THROW(node->reload(configurationOf(fresh)), std::invalid_argument);
}

TEST_F(PlatformTest, ADrainFinishesStreamsAnswersTheRestAndEnds) {
  writer.script = [](Peer& peer, const http1::Request& request) {
    if (!released(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
  };
  start();
  EXPECT_TRUE(becomesReady());
  const auto peer = asks(ask("open"));
  ASSERT_TRUE(until([&] { return peer->has("\"a\""); }));
  bool done = false;
  node->drain([&] { done = true; });
  EXPECT_EQ(statusOf(asks("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
  const auto refused = asks(ask("new"));
  EXPECT_EQ(statusOf(refused), 503);
  EXPECT_TRUE(refused->has("Connection: close"));
  settle(1.5);
  EXPECT_FALSE(done);  // the stream is still open
  writer.peers.front()->send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(until([&] { return peer->has("0\r\n\r\n") && peer->closed; }));
  EXPECT_TRUE(until([&] { return done; }));
}

TEST_F(PlatformTest, WhatTheModuleBelievesIsWhatIsOpenOnTheSockets) {
  writer.script = [](Peer& peer, const http1::Request& request) {
    if (!released(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
  };
  start();
  std::vector<std::shared_ptr<Peer>> peers;
  for (int i = 0; i < 12; ++i) peers.push_back(asks(ask("b" + std::to_string(i))));
  ASSERT_TRUE(until([&] { return writer.seen.size() == 12; }));
  ASSERT_TRUE(until([&] {
    return std::all_of(peers.begin(), peers.end(), [](const auto& p) { return p->has("\"a\""); });
  }));
  EXPECT_EQ(node->core().openRequests(), 12U);
  EXPECT_EQ(node->engines().openByEngine().at(numberOf("w1")), 12U);
  for (std::size_t i = 0; i < 6; ++i) peers[i]->connection.close();
  EXPECT_TRUE(until([&] { return node->core().pendingObligations() == 6 && node->engines().open() == 6; }));
  EXPECT_EQ(node->core().counters().actionsBlocked, 0U);
}

TEST_F(PlatformTest, AConfigurationIsReadOrRefusedInOneLine) {
  const Configuration c = configurationOf(file());
  EXPECT_EQ(c.policy.seed, 0x92094eb940cf389aU);
  ASSERT_EQ(c.policy.classes.size(), 2U);
  EXPECT_EQ(c.policy.classes[1].idempotency, Idempotency::kAtMostOnce);
  EXPECT_DOUBLE_EQ(c.policy.classes[0].ttftObjectivePerToken.count(), 40e-6);
  EXPECT_EQ(c.policy.maxAttempts, 6);
  EXPECT_DOUBLE_EQ(c.policy.stateLeaseLimit.count(), 1);
  EXPECT_TRUE(c.policy.clientsHonorRetryAfter);
  EXPECT_EQ(c.names.zone("south"), 1U);
  Json bad = file();
  bad["listen"] = "nowhere";
  EXPECT_THROW(configurationOf(bad), std::runtime_error);
  bad = file();
  bad["settings"]["limits"]["maxAttempts"] = "six";
  try {
    configurationOf(bad);
    ADD_FAILURE();
  } catch (const std::runtime_error& fault) {
    EXPECT_NE(std::string(fault.what()).find("maxAttempts"), std::string::npos);
  }
}

TEST(LoadReports, AreReadOrIgnored) {
  const auto load = readLoadReport(" TEXT mean_ms=12.5, x0=0.5, x1=3, queue=2");
  ASSERT_TRUE(load);
  EXPECT_DOUBLE_EQ(*load->memoryUtilization, 0.5);
  EXPECT_DOUBLE_EQ(*load->queuedPrefillTokens, 3000);
  EXPECT_DOUBLE_EQ(*load->requestsQueued, 2);
  EXPECT_FALSE(load->requestsInFlight);
  for (const char* const bad : {"", "JSON {}", "TEXT x0", "TEXT x0=", "TEXT x0=a",
                                "TEXT x0=1, =", "TEXT x0=-1", "TEXT x0=nan", "TEXT x0=1e999"})
    EXPECT_FALSE(readLoadReport(bad)) << bad;
}

TEST(EventStreams, TellWholeEventsHoweverTheyAreCut) {
  const std::string bytes =
      eventOf("a") + eventOf("b") + ": X-Load-Report: TEXT x0=0.5\n\n" +
      "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n" + kDone;
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
    EventStream stream;
    std::string told;
    for (std::size_t i = 0; i < bytes.size(); i += step)
      ASSERT_TRUE(
          stream.take(std::string_view(bytes).substr(i, step), [&](const std::string& e) { told += e; }));
    EXPECT_TRUE(stream.finish([](const std::string&) {}));
    EXPECT_EQ(told.find(": X-Load"), std::string::npos);
    EXPECT_EQ(told.substr(0, 10), eventOf("a").substr(0, 10));
    EXPECT_DOUBLE_EQ(stream.keptTokens(), 4096);
    EXPECT_DOUBLE_EQ(*stream.load()->memoryUtilization, 0.5);
  }
  EventStream unfinished;
  EXPECT_TRUE(unfinished.take(eventOf("a"), [](const std::string&) {}));
  EXPECT_FALSE(unfinished.finish([](const std::string&) {}));
}

}  // namespace
}  // namespace gannetcourse::platform
