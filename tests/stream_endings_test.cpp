// Tests of streams and responses in simulated time: events are forwarded at once, complete ends are
// delivered, and incomplete or endless responses are cut off.
#include "stream_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class StreamEndingsTest : public StreamTest {};

TEST_F(StreamEndingsTest, ForwardsEachEventAtOnceForAnyChunking) {
  const auto peer = startStream(kStreamHead);
  std::string sent;
  for (int i = 0; i < 20; ++i) {
    const std::string event = eventOf("e" + std::to_string(i));
    // In turn: in one chunk, over two chunks, and in one chunk that is sent in two parts.
    const std::string first = event.substr(0, 9), second = event.substr(9);
    if (i % 3 == 0) latestDecodePeer().send(chunkOf(event));
    if (i % 3 == 1) {
      latestDecodePeer().send(chunkOf(first));
      runUntilIdle();
      EXPECT_EQ(bodyOf(peer->received), sent);  // a partial event is not forwarded
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
    EXPECT_EQ(bodyOf(peer->received), sent) << i;  // without advancing the clock
  }
  std::string many;
  for (int i = 0; i < 50; ++i) many += chunkOf(eventOf("m" + std::to_string(i)));
  const std::size_t before = peer->received.size();
  latestDecodePeer().send(many);
  runUntilIdle();
  EXPECT_EQ(peer->received.substr(before), many);  // each event in its own chunk, all sent together
}

TEST_F(StreamEndingsTest, ForwardsEventsWithCarriageReturnLineEndings) {
  const std::string event = "data: {\"content\":\"a\"}\r\n\r\n", last = "data: [DONE]\r\n\r\n";
  const auto peer = startStream(kStreamHead + chunkOf(event));
  EXPECT_EQ(bodyOf(peer->received), event);
  latestDecodePeer().send(chunkOf(last) + "0\r\n\r\n");
  runUntilIdle();
  EXPECT_EQ(bodyOf(peer->received), event + last);
  EXPECT_TRUE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, DeliversWholeStreamWhenEngineIsDrainedRemovedAndReset) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")));
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

TEST_F(StreamEndingsTest, DeliversBufferedStreamToSlowClientAfterEngineCloses) {
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
  std::string received;
  for (int i = 0; i < 2000 && received.find("\r\n0\r\n\r\n") == std::string::npos; ++i) {
    received += slow.receive();
    advance(0.005);
  }
  EXPECT_NE(received.find("\r\n0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(node->core().counters().served, 1U);
}

// ---- Responses that do not end ----
TEST_F(StreamEndingsTest, ClosesStreamWhenAnEventNeverEnds) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")) + chunkOf("data: "));
  EXPECT_LT(secondsUntilClosedWhileSending(peer, chunkOf("x")), 5);
  EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, ClosesStreamWhenACommentNeverEnds) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")) + chunkOf(": "));
  EXPECT_LT(secondsUntilClosedWhileSending(peer, chunkOf("x")), 5);
  EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, ClosesStreamWhenAChunkNeverEnds) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")) + "20000\r\ndata: ");
  EXPECT_LT(secondsUntilClosedWhileSending(peer, "x"), 5);
  EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, ClosesStreamWhenTrailersNeverEnd) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a") + kDone) + "0\r\n");
  EXPECT_LT(secondsUntilClosedWhileSending(peer, "X: y\r\n"), 5);
  EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, ClosesStreamWhenLastChunkIsMissingAfterLastEvent) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")) + chunkOf(kDone));
  EXPECT_TRUE(becomesTrueWithin(5, [&] { return peer->closed; }));
  EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, ContinuesStreamWhoseReadsAlwaysEndInsideAChunk) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")));
  // Each read ends inside a chunk, for 6 s, which is far longer than one chunk may take.
  std::string unsentTail;
  for (int i = 0; i < 60; ++i) {
    const std::string chunk = chunkOf(eventOf("n" + std::to_string(i)));
    latestDecodePeer().send(unsentTail + chunk.substr(0, 8));
    unsentTail = chunk.substr(8);
    advance(0.1);
  }
  latestDecodePeer().send(unsentTail + chunkOf(kDone) + "0\r\n\r\n");
  runUntilIdle();
  EXPECT_TRUE(peer->hasReceived("\r\n0\r\n\r\n"));
  EXPECT_TRUE(peer->hasReceived("n59"));
}

TEST_F(StreamEndingsTest, ContinuesStreamWhenEnginePausesBetweenEvents) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")));
  for (int i = 0; i < 5; ++i) {
    advance(3.5);
    EXPECT_FALSE(peer->closed);
    latestDecodePeer().send(chunkOf(eventOf("b")));
  }
  latestDecodePeer().send(chunkOf(kDone) + "0\r\n\r\n");
  runUntilIdle();
  EXPECT_TRUE(peer->hasReceived("\r\n0\r\n\r\n"));
}

// Guards against long answers that are cut off because of the bytes that they have in all.
TEST_F(StreamEndingsTest, DeliversStreamOfManyEventsWhole) {
  constexpr int kEvents = 20000;
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("first")));
  for (int i = 0; i < kEvents; ++i) {
    latestDecodePeer().send(chunkOf(eventOf("n" + std::to_string(i))));
    if (i % 50 == 0) advance(0.02);
  }
  latestDecodePeer().send(chunkOf(kDone) + kLastChunk);
  runUntilIdle();
  EXPECT_TRUE(isComplete(*peer));
  EXPECT_TRUE(peer->hasReceived("n" + std::to_string(kEvents - 1)));
}

// An engine that hangs after an event must not keep its client waiting for more than 5 s.
TEST_F(StreamEndingsTest, ClosesStreamWhenEngineHangsAfterAnEvent) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")));
  EXPECT_TRUE(becomesTrueWithin(5, [&] { return peer->closed; }));
  EXPECT_FALSE(peer->hasReceived("\r\n0\r\n\r\n"));
}

TEST_F(StreamEndingsTest, RetriesOnErrorStatusWithoutWaitingForItsBody) {
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
    EXPECT_TRUE(becomesTrueWithin(0.5, [&] { return peer->hasReceived("\r\n0\r\n\r\n"); })) << answer;
    EXPECT_GE(attemptCount(decodeEngine), before + 2) << answer;
    node.reset();
    runUntilIdle();
  }
}

TEST_F(StreamEndingsTest, DoesNotRetryAtMostOnceRequestWhenResponseHeadNeverEnds) {
  const auto peer = [&] {
    decodeEngine.script = [](Peer& p, const http1::Request& request) {
      if (!answerRelease(p, request)) p.send("HTTP/1.1 200 OK\r\n");
    };
    startNode();
    auto client = sendFromNewClient(chatRequest("once", "", "pay", "9000"));
    EXPECT_TRUE(becomesTrueWithin(1, [&] { return attemptCount(decodeEngine) == 1; }));
    return client;
  }();
  const Instant start = now();
  while (!peer->hasReceived("HTTP/1.1") && now() - start < Duration(20)) {
    if (!latestDecodePeer().closed) latestDecodePeer().send("X: y\r\n");
    advance(0.2);
  }
  EXPECT_EQ(statusOf(peer), 502);  // at most once: neither retried nor rejected with 503
  EXPECT_EQ(attemptCount(decodeEngine), 1U);
}

// ---- Clients that send more than they read ----
TEST_F(StreamEndingsTest, LimitsUnsentBytesWhenClientDoesNotRead) {
  std::size_t served = 0;
  http1::Server server(loop, {}, {}, [&](const std::shared_ptr<http1::Exchange>& exchange) {
    ++served;
    exchange->respond(200, "", std::string(400, 'x'));
  });
  RawSocket client;
  client.shrinkReceiveBuffer();
  ASSERT_TRUE(client.connect(server.port()));
  runUntilIdle();
  shrinkSendBufferOfPeer(client);
  const std::string request = "GET / HTTP/1.1\r\n\r\n";
  constexpr std::size_t kRequests = 4000;
  std::string requests;
  for (std::size_t i = 0; i < kRequests; ++i) requests += request;
  std::size_t sent = 0;
  while (sent < requests.size()) {
    const std::size_t more = client.send(std::string_view(requests).substr(sent));
    if (more == 0) break;
    sent += more;
    advance(0.005);
    EXPECT_LE(server.unsentBytes(), 2 * net::Connection::kOutputWatermark);
  }
  ASSERT_LT(served, kRequests / 4);  // the remaining requests wait until the client reads
  std::string received;
  for (int i = 0; i < 20000 && served < kRequests; ++i) {
    received = client.receive();
    if (sent < requests.size()) sent += client.send(std::string_view(requests).substr(sent));
    advance(0.005);
  }
  EXPECT_EQ(served, kRequests);
}

TEST_F(StreamEndingsTest, ServesManyPipelinedRequestsThatAreAnsweredAtOnce) {
  std::size_t served = 0;
  http1::Server server(loop, {}, {}, [&](const std::shared_ptr<http1::Exchange>& exchange) {
    ++served;
    exchange->respond(200, "", "");
  });
  RawSocket client;
  ASSERT_TRUE(client.connect(server.port()));
  const std::string request = "GET / HTTP/1.1\r\nX: " + std::string(1000, 'y') + "\r\n\r\n";
  constexpr std::size_t kRequests = 2500;  // far beyond the limit on pipelined bytes
  std::string requests, received;
  for (std::size_t i = 0; i < kRequests; ++i) requests += request;
  std::size_t sent = 0;
  for (int i = 0; i < 20000 && served < kRequests && !client.ended(); ++i) {
    if (sent < requests.size()) sent += client.send(std::string_view(requests).substr(sent));
    advance(0.005);
    received += client.receive();
  }
  EXPECT_EQ(served, kRequests);
  EXPECT_EQ(received.find("HTTP/1.1 4"), std::string::npos);
}

TEST_F(StreamEndingsTest, LimitsBytesReadFromOneConnectionPerIteration) {
  struct Counter final : net::ConnectionOwner {
    void onBytes(std::span<const std::uint8_t> bytes) override { received += bytes.size(); }
    void onWritable() override {}
    void onClosed(const std::string&) override { closed = true; }
    std::size_t received = 0;
    bool closed = false;
  } owner;
  RawSocket client;
  std::unique_ptr<net::Connection> connection;
  net::Listener listener(loop, {}, [&](int fd) {
    connection = std::make_unique<net::Connection>(loop, owner);
    connection->adopt(fd);
  });
  ASSERT_TRUE(client.connect(listener.port()));
  runUntilIdle();
  const std::string bytes(1 << 20, 'f');
  std::size_t sent = 0;
  for (int i = 0; i < 100; ++i) sent += client.send(bytes);
  ASSERT_GT(sent, 2 * net::Connection::kReadBudget);
  loop.runOnce(Duration(0));
  EXPECT_LE(owner.received, net::Connection::kReadBudget);
  EXPECT_GT(owner.received, 0U);
  client.close();
  advance(1);
  EXPECT_EQ(owner.received, sent);  // no byte is lost
  EXPECT_TRUE(owner.closed);
}

// The end of a response may cut off the empty line after the last event. The event must still be forwarded.
TEST_F(StreamEndingsTest, ForwardsLastEventWithoutItsEmptyLine) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request))
      peer.send(kStreamHead + chunkOf(eventOf("a")) + chunkOf("data: [DONE]\n") + "0\r\n\r\n");
  };
  startNode();
  const auto peer = sendFromNewClient(chatRequest("cut-short"));
  ASSERT_TRUE(becomesTrueWithin(1, [&] { return peer->hasReceived("0\r\n\r\n"); }));
  EXPECT_TRUE(peer->hasReceived("data: [DONE]\n"));
}

}  // namespace
}  // namespace gannetcourse::platform
