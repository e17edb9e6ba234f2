// Tests of the time limits of streams and responses, in simulated time. A limit runs until what is awaited
// has arrived, whatever other bytes arrive; and a stream that stays within the protocol's limit is not cut
// off.
#include "stream_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

// Pieces of a stream that are complete and contain no event.
const std::vector<std::string> kFillers = {": X-Load-Report: TEXT inflight=?, queue=2\n\n",
                                           ": X-Load-Report: TEXT mean_ms=1, x0=0.5, x1=0\n\n", ": comment\n",
                                           "\n"};
// The protocol's limit: a client must not wait longer after the last event, in seconds.
constexpr double kMaxWait = 5;
// A pause of an engine that is within the protocol's limit, in seconds.
constexpr double kAllowedPause = 4.8;

class StreamLimitsTest : public StreamTest {};

// ---- Streams that go on sending, but no events ----
// An engine that goes on sending, but no events, must not keep its client waiting for more than 5 s after the
// last event: comments, valid or not, and empty lines do not restart the time limit.
TEST_F(StreamLimitsTest, ClosesStreamWhenOnlyCommentsFollowAnEvent) {
  for (const std::string& filler : kFillers) {
    const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")));
    EXPECT_LT(secondsUntilClosedWhileSending(peer, chunkOf(filler)), kMaxWait) << filler;
    EXPECT_TRUE(peer->hasReceived("\"a\""));
    EXPECT_FALSE(isComplete(*peer));
    node.reset();
    runUntilIdle();
  }
}

// As above, after the stream's last event, where an engine's load report is due.
TEST_F(StreamLimitsTest, ClosesStreamWhenOnlyCommentsFollowTheLastEvent) {
  for (const std::string& filler : kFillers) {
    const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")) + chunkOf(kDone));
    EXPECT_LT(secondsUntilClosedWhileSending(peer, chunkOf(filler)), kMaxWait) << filler;
    EXPECT_TRUE(peer->hasReceived(kDone));
    EXPECT_FALSE(isComplete(*peer));
    node.reset();
    runUntilIdle();
  }
}

// Events behind the last one do not restart the time limit either.
TEST_F(StreamLimitsTest, ClosesStreamWhenEventsFollowTheLastEvent) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")) + chunkOf(kDone));
  EXPECT_LT(secondsUntilClosedWhileSending(peer, chunkOf(kDone)), kMaxWait);
  EXPECT_FALSE(isComplete(*peer));
}

// Pauses of reading must not let a stream without events last longer than without them.
TEST_F(StreamLimitsTest, ClosesStreamWithoutEventsAfterReadingWasPaused) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    std::string bytes = kStreamHead;
    for (int i = 0; i < 24; ++i) bytes += chunkOf(eventOf(std::string(8000, 'z')));
    if (!answerRelease(peer, request)) peer.send(bytes);
  };
  startNode();
  RawSocket slow;
  slow.shrinkReceiveBuffer();
  ASSERT_TRUE(slow.connect(node->port()));
  runUntilIdle();
  shrinkSendBufferOfPeer(slow);
  slow.send(chatRequest("slow"));
  advance(8);  // reading is paused, because the client does not read
  ASSERT_EQ(node->engineClient().openCallCount(), 1U);
  std::string received;
  for (int i = 0; i < 400; ++i) {
    received += slow.receive();
    advance(0.005);
  }
  const Instant readAll = now();
  while (!slow.ended() && now() - readAll < Duration(30)) {
    if (!latestDecodePeer().closed) latestDecodePeer().send(chunkOf(kFillers[0]));
    advance(0.2);
    slow.receive();
  }
  EXPECT_LT((now() - readAll).count(), kMaxWait);
  EXPECT_EQ(node->engineClient().openCallCount(), 0U);
}

// An operator must be able to tell a stream without events from one that is in order.
TEST_F(StreamLimitsTest, StatisticsTellTheLongestTimeWithoutAnEvent) {
  const auto peer = startStream(kStreamHead);
  advance(1);
  EXPECT_EQ(node->statistics().longestEventGap, Duration(0));  // no event yet
  latestDecodePeer().send(chunkOf(eventOf("a")));
  for (int i = 0; i < 15; ++i) {
    latestDecodePeer().send(chunkOf(kFillers[0]));
    advance(0.2);
  }
  EXPECT_NEAR(node->statistics().longestEventGap.count(), 3, 0.02);
  EXPECT_NE(node->statisticsLine().find("longest_event_gap_ms="), std::string::npos);
}

// ---- Streams that go on within the protocol's limit ----
// An engine under memory pressure may pause a stream for almost 5 s and then go on with it.
TEST_F(StreamLimitsTest, ContinuesStreamWhosePausesAreWithinTheLimit) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")));
  for (int i = 0; i < 3; ++i) {
    advance(kAllowedPause);
    ASSERT_FALSE(peer->closed) << i;
    latestDecodePeer().send(chunkOf(eventOf("b")));
  }
  latestDecodePeer().send(chunkOf(kDone) + kLastChunk);
  runUntilIdle();
  EXPECT_TRUE(isComplete(*peer));
}

// The close must be in time although the limit is close to the protocol's, with an allowance of 0.15 s for a
// stall of the machine and of 0.05 s for each limit of the protocol.
TEST_F(StreamLimitsTest, ClosesSilentStreamInTimeDespiteAStallOfTheMachine) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")));
  const Instant lastEventAt = now();
  advance(kAllowedPause);
  ASSERT_FALSE(peer->closed);
  EXPECT_TRUE(becomesTrueWithin(kMaxWait + 0.05 - 0.15 - kAllowedPause, [&] { return peer->closed; }));
  EXPECT_GT((now() - lastEventAt).count(), kAllowedPause);
}

// The load report and the last chunk may follow the last event late.
TEST_F(StreamLimitsTest, CompletesStreamWhoseEndFollowsItsLastEventLate) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a") + kDone));
  advance(kAllowedPause);
  ASSERT_FALSE(peer->closed);
  latestDecodePeer().send(chunkOf(kFillers[1]) + kLastChunk);
  runUntilIdle();
  EXPECT_TRUE(isComplete(*peer));
}

// An engine may pause within an event, for example after half a line.
TEST_F(StreamLimitsTest, ContinuesStreamThatPausesWithinAnEvent) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")) + chunkOf("data: {\"content\":"));
  advance(kAllowedPause);
  ASSERT_FALSE(peer->closed);
  latestDecodePeer().send(chunkOf("\"b\"}\n\n") + chunkOf(kDone) + kLastChunk);
  runUntilIdle();
  EXPECT_TRUE(peer->hasReceived("\"b\""));
  EXPECT_TRUE(isComplete(*peer));
}

// An engine may pause within a chunk.
TEST_F(StreamLimitsTest, ContinuesStreamThatPausesWithinAChunk) {
  const std::string chunk = chunkOf(eventOf("b") + kDone);
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")) + chunk.substr(0, 12));
  advance(kAllowedPause);
  ASSERT_FALSE(peer->closed);
  latestDecodePeer().send(chunk.substr(12) + kLastChunk);
  runUntilIdle();
  EXPECT_TRUE(isComplete(*peer));
}

// The chunks of a stream need not be its events: one chunk may last for many events.
TEST_F(StreamLimitsTest, ContinuesStreamWhoseEventsAreInOneLongChunk) {
  constexpr int kEvents = 40;
  const std::string event = eventOf("b");
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", kEvents * event.size());
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")) + size);
  for (int i = 0; i < kEvents; ++i) {
    latestDecodePeer().send(event);
    advance(0.2);
    ASSERT_FALSE(peer->closed) << i;
  }
  latestDecodePeer().send("\r\n" + chunkOf(kDone) + kLastChunk);
  runUntilIdle();
  EXPECT_TRUE(isComplete(*peer));
}

// ---- Clients that do not read ----
class SlowClientTest : public StreamTest {
 protected:
  static constexpr double kWriteStallLimit = 20;  // seconds without progress after which a client is given up
  static constexpr std::size_t kEventBytes = 1000;

  // Starts a stream to a client with small buffers in the kernel.
  void startStreamToSlowClient() {
    decodeEngine.script = [](Peer& peer, const http1::Request& request) {
      if (!answerRelease(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
    };
    startNode();
    slow_.shrinkReceiveBuffer();
    ASSERT_TRUE(slow_.connect(node->port()));
    runUntilIdle();
    shrinkSendBufferOfPeer(slow_);
    slow_.send(chatRequest("slow"));
    ASSERT_TRUE(becomesTrueWithin(1, [&] { return attemptCount(decodeEngine) == 1; }));
  }
  // Sends an event every 0.5 s until the attempt has ended; returns the elapsed time, at most `limit`
  // seconds.
  double secondsUntilGivenUp(double limit, const std::function<void()>& afterEachEvent) {
    const Instant start = now();
    while (node->engineClient().openCallCount() > 0 && now() - start < Duration(limit)) {
      latestDecodePeer().send(chunkOf(eventOf(std::string(kEventBytes, 'z'))));
      advance(0.5);
      afterEachEvent();
    }
    return (now() - start).count();
  }

  RawSocket slow_;
};

// The limit for a client that takes no output must not restart because the engine sends more.
TEST_F(SlowClientTest, ClosesConnectionOfClientThatReadsNothingWhileEventsArrive) {
  startStreamToSlowClient();
  // The kernel takes output until its buffers are full, and a little more at times that the test cannot tell.
  Instant lastTaken = now();
  std::size_t unsent = 0;
  secondsUntilGivenUp(200, [&] {
    const std::size_t before = std::exchange(unsent, node->frontend().server().unsentBytes());
    const std::size_t added = before < net::Connection::kOutputWatermark ? kEventBytes : 0;
    if (unsent < before + added && node->engineClient().openCallCount() > 0) lastTaken = now();
  });
  EXPECT_EQ(node->engineClient().openCallCount(), 0U);
  EXPECT_LT((now() - lastTaken).count(), kWriteStallLimit + 1);
}

TEST_F(SlowClientTest, ServesClientThatReadsLittleAtATime) {
  startStreamToSlowClient();
  int events = 0;
  const double elapsed = secondsUntilGivenUp(60, [&] {
    if (++events % 20 == 0) slow_.receive();  // every 10 s
  });
  EXPECT_GE(elapsed, 60);
  EXPECT_FALSE(slow_.ended());
}

// ---- Responses before the first event: the request's deadline holds, whatever bytes arrive ----
// Sends one piece every 0.2 s on the newest connection of `engine` until the client has its answer; returns
// the elapsed time.
class ResponseLimitsTest : public StreamTest {
 protected:
  static constexpr double kBudget = 4.8;  // seconds; X-Budget-Ms of the request

  double secondsUntilAnswered(ScriptedServer& engine, const std::string& begin, const std::string& piece,
                              const std::string& className = "pay") {
    engine.script = [begin](Peer& peer, const http1::Request& request) {
      if (!answerRelease(peer, request)) peer.send(begin);
    };
    startNode();
    client_ = sendFromNewClient(chatRequest("limits", "", className));
    const Instant start = now();
    while (!client_->hasReceived("HTTP/1.1") && now() - start < Duration(30)) {
      for (const auto& peer : engine.peers) {
        if (!peer->closed) peer->send(piece);
      }
      advance(0.2);
    }
    return (now() - start).count();
  }
  void stopNode() {
    node.reset();
    runUntilIdle();
  }

  std::shared_ptr<Peer> client_;
};

TEST_F(ResponseLimitsTest, AnswersByDeadlineWhenOnlyCommentsPrecedeTheFirstEvent) {
  for (const std::string& filler : kFillers) {
    EXPECT_LE(secondsUntilAnswered(decodeEngine, kStreamHead, chunkOf(filler)), kBudget + 0.2) << filler;
    EXPECT_EQ(statusOf(client_) / 100, 5);
    stopNode();
  }
}

TEST_F(ResponseLimitsTest, AnswersByDeadlineWhenTheFirstEventNeverEnds) {
  EXPECT_LE(secondsUntilAnswered(decodeEngine, kStreamHead + chunkOf("data: "), chunkOf("x")), kBudget + 0.2);
  EXPECT_EQ(statusOf(client_) / 100, 5);
  stopNode();
  EXPECT_LE(secondsUntilAnswered(decodeEngine, kStreamHead + "20000\r\ndata: ", "x"), kBudget + 0.2);
  EXPECT_EQ(statusOf(client_) / 100, 5);
}

TEST_F(ResponseLimitsTest, AnswersByDeadlineWhenOnlyInformationalResponsesArrive) {
  EXPECT_LE(secondsUntilAnswered(decodeEngine, "", "HTTP/1.1 102 Processing\r\n\r\n"), kBudget + 0.2);
  EXPECT_EQ(statusOf(client_) / 100, 5);
}

TEST_F(ResponseLimitsTest, AnswersByDeadlineWhenThePrefillAnswerNeverEnds) {
  const std::string accepted = "HTTP/1.1 202 Accepted\r\n";
  const std::vector<std::pair<std::string, std::string>> answers = {
      {accepted + "Transfer-Encoding: chunked\r\n\r\n", chunkOf(" ")},
      {accepted + "Content-Length: 4000\r\n\r\n", " "},
      {accepted + "Transfer-Encoding: chunked\r\n\r\n" + chunkOf("{}") + "0\r\n", "X: y\r\n"}};
  for (const auto& [begin, piece] : answers) {
    for (const std::string className : {"chat", "pay"}) {
      EXPECT_LE(secondsUntilAnswered(prefillEngine, begin, piece, className), kBudget + 0.2) << begin;
      EXPECT_EQ(statusOf(client_) / 100, 5);
      EXPECT_EQ(attemptCount(decodeEngine), 0U);
      stopNode();
    }
  }
}

// A status that ends the attempt ends it 0.1 s after its head, whatever part of its body arrives.
TEST_F(ResponseLimitsTest, RetriesInTimeWhenTheBodyOfAnErrorNeverEnds) {
  bool failed = false;
  std::shared_ptr<Peer> client;
  decodeEngine.script = [&](Peer& peer, const http1::Request& request) {
    if (answerRelease(peer, request)) return;
    const bool first = !std::exchange(failed, true);
    peer.send(first ? "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    : completeStream());
  };
  startNode();
  client = sendFromNewClient(chatRequest("again"));
  const Instant start = now();
  while (!isComplete(*client) && now() - start < Duration(5)) {
    if (!decodeEngine.peers.empty() && !decodeEngine.peers.front()->closed)
      decodeEngine.peers.front()->send(chunkOf("x"));
    advance(0.02);
  }
  EXPECT_LT((now() - start).count(), 0.5);
}

}  // namespace
}  // namespace gannetcourse::platform
