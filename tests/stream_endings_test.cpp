// Streams and answers that end in every way: each event passed on as it came, tails kept, broken answers
// bounded.
#include "stepped_time.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class StreamEndingsTest : public SteppedTest {
 protected:
  // Starts a node whose decode engine responds with `bytes`, and sends one request.
  std::shared_ptr<Peer> streamBegins(const std::string& bytes) {
    decodeEngine.script = [bytes](Peer& peer, const http1::Request& request) {
      if (!answerRelease(peer, request)) peer.send(bytes);
    };
    startNode();
    auto peer = sendFromNewClient(chatRequest("stream"));
    EXPECT_TRUE(happensWithin(1, [&] { return attemptCount(decodeEngine) == 1; }));
    runUntilIdle();
    return peer;
  }
  Peer& latestDecodePeer() { return *decodeEngine.peers.back(); }
  // Sends one piece every 0.2 s until the client's connection has ended; how long that took.
  double trickledUntilClosed(const std::shared_ptr<Peer>& peer, const std::string& piece) {
    const Instant from = now();
    while (!peer->closed && now() - from < Duration(30)) {
      if (!latestDecodePeer().closed) latestDecodePeer().send(piece);
      advance(0.2);
    }
    return (now() - from).count();
  }
  static std::string bodyOf(const std::string& answer) {
    std::string body;
    http1::ResponseParser parser(
        http1::Limits{}, {[](const http1::ResponseHead&) {}, [&](std::string_view bytes) { body += bytes; }});
    EXPECT_NE(parser.consume(answer), http1::ParseState::kMalformed);
    return body;
  }
};

TEST_F(StreamEndingsTest, EachEventIsForwardedWhenItComesWhateverCutsIt) {
  const auto peer = streamBegins(kStreamHead);
  std::string sent;
  for (int i = 0; i < 20; ++i) {
    const std::string event = eventOf("e" + std::to_string(i));
    // Once in one chunk, once over two chunks, once with the boundary inside a chunk's own bytes.
    const std::string first = event.substr(0, 9), second = event.substr(9);
    if (i % 3 == 0) latestDecodePeer().send(chunkOf(event));
    if (i % 3 == 1) {
      latestDecodePeer().send(chunkOf(first));
      runUntilIdle();
      EXPECT_EQ(bodyOf(peer->received), sent);  // half an event is not passed on
      latestDecodePeer().send(chunkOf(second));
    }
    if (i % 3 == 2) {
      const std::string chunk = chunkOf(event);
      latestDecodePeer().send(chunk.substr(0, 7));
      runUntilIdle();
      latestDecodePeer().send(chunk.substr(7));
    }
    sent += event;
    runUntilIdle();
    EXPECT_EQ(bodyOf(peer->received), sent) << i;  // no time has gone by
  }
  std::string many;
  for (int i = 0; i < 50; ++i) many += chunkOf(eventOf("m" + std::to_string(i)));
  const std::size_t before = peer->received.size();
  latestDecodePeer().send(many);
  runUntilIdle();
  EXPECT_EQ(peer->received.substr(before), many);  // one by one, in one segment
}

TEST_F(StreamEndingsTest, LinesMayEndAsTheyDoInTheField) {
  const std::string event = "data: {\"content\":\"a\"}\r\n\r\n", last = "data: [DONE]\r\n\r\n";
  const auto peer = streamBegins(kStreamHead + chunkOf(event));
  EXPECT_EQ(bodyOf(peer->received), event);
  latestDecodePeer().send(chunkOf(last) + "0\r\n\r\n");
  runUntilIdle();
  EXPECT_EQ(bodyOf(peer->received), event + last);
  EXPECT_TRUE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, TheTailOfAFinishedStreamSurvivesADrainARemovalAndAReset) {
  const auto peer = streamBegins(kStreamHead + chunkOf(eventOf("a")));
  announceEngineStates(8, "up", "draining");
  announceEngineStates(9, "up", "removed");
  advance(3);
  latestDecodePeer().send(chunkOf(eventOf("b")));
  advance(3);
  latestDecodePeer().send(chunkOf(kDone) + "0\r\n\r\n");
  latestDecodePeer().connection.abort();
  runUntilIdle();
  EXPECT_EQ(bodyOf(peer->received), eventOf("a") + eventOf("b") + kDone);
  EXPECT_TRUE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, WhatASlowClientHasNotReadIsWrittenOutAfterTheEngineHasGone) {
  std::string whole = kStreamHead;
  for (int i = 0; i < 20; ++i) whole += chunkOf(eventOf(std::string(8000, 'z')));
  decodeEngine.script = [&](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send(whole + chunkOf(kDone) + "0\r\n\r\n");
  };
  startNode();
  RawSocket slow;
  slow.shrinkReceiveBuffer();
  ASSERT_TRUE(slow.connect(node->port()));
  runUntilIdle();
  shrinkSendBufferOfPeer(slow);
  slow.send(chatRequest("slow"));
  advance(0.1);
  ASSERT_EQ(latestDecodePeer().connection.pendingBytes(), 0U);
  latestDecodePeer().connection.close();
  advance(1);
  std::string got;
  for (int i = 0; i < 2000 && got.find("\r\n0\r\n\r\n") == std::string::npos; ++i) {
    got += slow.receive();
    advance(0.005);
  }
  EXPECT_NE(got.find("\r\n0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(node->core().counters().served, 1U);
}

// ---- Answers that do not end ----
TEST_F(StreamEndingsTest, AnEventThatNeverEndsEndsTheStreamThoughItKeepsComing) {
  const auto peer = streamBegins(kStreamHead + chunkOf(eventOf("a")) + chunkOf("data: "));
  EXPECT_LT(trickledUntilClosed(peer, chunkOf("x")), 5);
  EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, ACommentThatNeverEndsEndsTheStreamThoughItKeepsComing) {
  const auto peer = streamBegins(kStreamHead + chunkOf(eventOf("a")) + chunkOf(": "));
  EXPECT_LT(trickledUntilClosed(peer, chunkOf("x")), 5);
  EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, AChunkThatNeverEndsEndsTheStreamThoughItKeepsComing) {
  const auto peer = streamBegins(kStreamHead + chunkOf(eventOf("a")) + "20000\r\ndata: ");
  EXPECT_LT(trickledUntilClosed(peer, "x"), 5);
  EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, TrailersThatNeverEndEndTheStreamThoughTheyKeepComing) {
  const auto peer = streamBegins(kStreamHead + chunkOf(eventOf("a") + kDone) + "0\r\n");
  EXPECT_LT(trickledUntilClosed(peer, "X: y\r\n"), 5);
  EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, ALastEventWithoutTheLastChunkIsNotWaitedForLong) {
  const auto peer = streamBegins(kStreamHead + chunkOf(eventOf("a")) + chunkOf(kDone));
  EXPECT_TRUE(happensWithin(5, [&] { return peer->closed; }));
  EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, AStreamWhosePiecesNeverAlignWithItsReadsGoesOn) {
  const auto peer = streamBegins(kStreamHead + chunkOf(eventOf("a")));
  // Every read ends inside a chunk, for far longer than one chunk may take.
  std::string ahead;
  for (int i = 0; i < 60; ++i) {
    const std::string chunk = chunkOf(eventOf("n" + std::to_string(i)));
    latestDecodePeer().send(ahead + chunk.substr(0, 8));
    ahead = chunk.substr(8);
    advance(0.1);
  }
  latestDecodePeer().send(ahead + chunkOf(kDone) + "0\r\n\r\n");
  runUntilIdle();
  EXPECT_TRUE(peer->hasReceived("\r\n0\r\n\r\n"));
  EXPECT_TRUE(peer->hasReceived("n59"));
}

TEST_F(StreamEndingsTest, AnEngineThatPausesBetweenEventsKeepsItsStreamForAWhile) {
  const auto peer = streamBegins(kStreamHead + chunkOf(eventOf("a")));
  for (int i = 0; i < 5; ++i) {
    advance(3.5);
    EXPECT_FALSE(peer->closed);
    latestDecodePeer().send(chunkOf(eventOf("b")));
  }
  latestDecodePeer().send(chunkOf(kDone) + "0\r\n\r\n");
  runUntilIdle();
  EXPECT_TRUE(peer->hasReceived("\r\n0\r\n\r\n"));
}

// A hung engine, listed or not: its client is not left waiting for 5 s after the last event.
TEST_F(StreamEndingsTest, AStreamThatHasStoppedIsEndedInTime) {
  const auto peer = streamBegins(kStreamHead + chunkOf(eventOf("a")));
  EXPECT_TRUE(happensWithin(5, [&] { return peer->closed; }));
  EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, AStatusThatEndsItsAttemptIsNotWaitedForInFull) {
  const std::vector<std::string> answers = {
      "HTTP/1.1 500 Internal\r\n\r\n", "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 9\r\n\r\nhalf",
      "HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\nTransfer-Encoding: chunked\r\n\r\n"};
  for (const std::string& answer : answers) {
    std::size_t before = attemptCount(decodeEngine);
    bool failed = false;
    decodeEngine.script = [&](Peer& peer, const http1::Request& request) {
      if (answerRelease(peer, request)) return;
      peer.send(std::exchange(failed, true) ? completeStream() : answer);
    };
    startNode();
    const auto peer = sendFromNewClient(chatRequest("again"));
    EXPECT_TRUE(happensWithin(0.5, [&] { return peer->hasReceived("\r\n0\r\n\r\n"); })) << answer;
    EXPECT_GE(attemptCount(decodeEngine), before + 2) << answer;
    node.reset();
    runUntilIdle();
  }
}

TEST_F(StreamEndingsTest, AHeadThatNeverEndsIsAnAttemptThatMayHaveRun) {
  const auto peer = [&] {
    decodeEngine.script = [](Peer& p, const http1::Request& request) {
      if (!answerRelease(p, request)) p.send("HTTP/1.1 200 OK\r\n");
    };
    startNode();
    auto client = sendFromNewClient(chatRequest("once", "", "pay", "9000"));
    EXPECT_TRUE(happensWithin(1, [&] { return attemptCount(decodeEngine) == 1; }));
    return client;
  }();
  const Instant from = now();
  while (!peer->hasReceived("HTTP/1.1") && now() - from < Duration(20)) {
    if (!latestDecodePeer().closed) latestDecodePeer().send("X: y\r\n");
    advance(0.2);
  }
  EXPECT_EQ(statusOf(peer), 502);  // at most once: not retried, and not rejected
  EXPECT_EQ(attemptCount(decodeEngine), 1U);
}

// ---- Floods ----
TEST_F(StreamEndingsTest, AnswersThatAreNotReadDoNotPileUp) {
  std::size_t served = 0;
  http1::Server server(loop, {}, {}, [&](const std::shared_ptr<http1::Exchange>& exchange) {
    ++served;
    exchange->respond(200, "", std::string(400, 'x'));
  });
  RawSocket flood;
  flood.shrinkReceiveBuffer();
  ASSERT_TRUE(flood.connect(server.port()));
  runUntilIdle();
  shrinkSendBufferOfPeer(flood);
  const std::string command = "GET / HTTP/1.1\r\n\r\n";
  constexpr std::size_t kCommands = 4000;
  std::string commands;
  for (std::size_t i = 0; i < kCommands; ++i) commands += command;
  std::size_t sent = 0;
  while (sent < commands.size()) {
    const std::size_t more = flood.send(std::string_view(commands).substr(sent));
    if (more == 0) break;
    sent += more;
    advance(0.005);
    EXPECT_LE(server.unsentBytes(), 2 * net::Connection::kOutputWatermark);
  }
  ASSERT_LT(served, kCommands / 4);  // the others wait until it reads
  std::string got;
  for (int i = 0; i < 20000 && served < kCommands; ++i) {
    got = flood.receive();
    if (sent < commands.size()) sent += flood.send(std::string_view(commands).substr(sent));
    advance(0.005);
  }
  EXPECT_EQ(served, kCommands);
}

TEST_F(StreamEndingsTest, ManyPipelinedRequestsThatAreAnsweredAtOnceAreNotRejected) {
  std::size_t served = 0;
  http1::Server server(loop, {}, {}, [&](const std::shared_ptr<http1::Exchange>& exchange) {
    ++served;
    exchange->respond(200, "", "");
  });
  RawSocket flood;
  ASSERT_TRUE(flood.connect(server.port()));
  const std::string command = "GET / HTTP/1.1\r\nX: " + std::string(1000, 'y') + "\r\n\r\n";
  constexpr std::size_t kCommands = 2500;  // far more than may wait behind a request
  std::string commands, got;
  for (std::size_t i = 0; i < kCommands; ++i) commands += command;
  std::size_t sent = 0;
  for (int i = 0; i < 20000 && served < kCommands && !flood.ended(); ++i) {
    if (sent < commands.size()) sent += flood.send(std::string_view(commands).substr(sent));
    advance(0.005);
    got += flood.receive();
  }
  EXPECT_EQ(served, kCommands);
  EXPECT_EQ(got.find("HTTP/1.1 4"), std::string::npos);
}

TEST_F(StreamEndingsTest, OneThatSendsWithoutEndDoesNotKeepTheLoop) {
  struct Counter final : net::ConnectionOwner {
    void onBytes(std::span<const std::uint8_t> bytes) override { got += bytes.size(); }
    void onWritable() override {}
    void onClosed(const std::string&) override { closed = true; }
    std::size_t got = 0;
    bool closed = false;
  } owner;
  RawSocket flood;
  std::unique_ptr<net::Connection> connection;
  net::Listener listener(loop, {}, [&](int fd) {
    connection = std::make_unique<net::Connection>(loop, owner);
    connection->adopt(fd);
  });
  ASSERT_TRUE(flood.connect(listener.port()));
  runUntilIdle();
  const std::string bytes(1 << 20, 'f');
  std::size_t sent = 0;
  for (int i = 0; i < 100; ++i) sent += flood.send(bytes);
  ASSERT_GT(sent, 2 * net::Connection::kReadBudget);
  loop.runOnce(Duration(0));
  EXPECT_LE(owner.got, net::Connection::kReadBudget);
  EXPECT_GT(owner.got, 0U);
  flood.close();
  advance(1);
  EXPECT_EQ(owner.got, sent);  // and nothing of it is lost
  EXPECT_TRUE(owner.closed);
}

// All events of a stream go on, also a last one that its end has cut short of its empty line.
TEST_F(StreamEndingsTest, ALastEventWithoutItsEmptyLineIsForwarded) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request))
      peer.send(kStreamHead + chunkOf(eventOf("a")) + chunkOf("data: [DONE]\n") + "0\r\n\r\n");
  };
  startNode();
  const auto peer = sendFromNewClient(chatRequest("cut-short"));
  ASSERT_TRUE(happensWithin(1, [&] { return peer->hasReceived("0\r\n\r\n"); }));
  EXPECT_TRUE(peer->hasReceived("data: [DONE]\n"));
}

}  // namespace
}  // namespace gannetcourse::platform
