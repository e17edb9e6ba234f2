// Tests of a node's engine client: failed attempts, malformed responses and releases of state.
#include "platform_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class EngineClientTest : public PlatformTest {};

TEST_F(EngineClientTest, RetriesAttemptThatFailsBeforeItsFirstEvent) {
  const std::vector<std::string> failures = {
      "HTTP/1.1 500 Internal\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 410 Gone\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
      "noise\r\n\r\n",
      kStreamHead + "zz\r\n",
      kStreamHead + chunkOf("no event\n\n"),
      kStreamHead + "BB8F1C80\r\ndata: x"};
  for (const std::string& answer : failures) {
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

TEST_F(EngineClientTest, DoesNotRetryAtMostOnceRequestAfterMalformedResponse) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send("noise\r\n\r\n");
  };
  startNode();
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("once", "", "pay"))), 502);
  EXPECT_EQ(decodeEngine.count("POST", "/v1/chat/completions?x=1"), 1U);
}

TEST_F(EngineClientTest, ClosesClientConnectionWithoutLastChunkWhenStreamBecomesMalformed) {
  const std::vector<std::string> malformedTails = {
      "zz\r\n",    "2\r\ndata: b\n\n\r\n",   "BB8F1C80\r\ndata: x", chunkOf("noise\n\n"),
      "0\r\n\r\n", "ff\r\ndata: never whole"};
  for (const std::string& rest : malformedTails) {
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

TEST_F(EngineClientTest, IgnoresEarlyHintsBadLoadReportAndBytesAfterStream) {
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
  EXPECT_EQ(decodeEngine.peers.size(), 2U);  // not reused, because bytes followed the response
}

TEST_F(EngineClientTest, CancelsAttemptAndReleasesStateWhenClientDisconnects) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    answerRelease(peer, request);
  };  // leaves the attempt unanswered
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

TEST_F(EngineClientTest, ReleasesPrefillWhenItsConnectionBreaks) {
  int prefillCount = 0;
  prefillEngine.script = [&](Peer& peer, const http1::Request& request) {
    if (answerRelease(peer, request)) return;
    if (++prefillCount > 1) return answerPrefill(peer, request);
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

// A prefill that ends with another success status than 202 may have run and left state at the engine. The
// state must be released, or it stays there until its lease expires.
TEST_F(EngineClientTest, ReleasesPrefillThatEndsWithUnexpectedSuccessStatus) {
  int prefillCount = 0;
  prefillEngine.script = [&](Peer& peer, const http1::Request& request) {
    if (answerRelease(peer, request)) return;
    if (++prefillCount > 1) return answerPrefill(peer, request);
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

TEST_F(EngineClientTest, DoesNotApplyDeadlineAfterFirstEvent) {
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

TEST_F(EngineClientTest, AnswersWithErrorWhenNoEngineRespondsBeforeDeadline) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) { answerRelease(peer, request); };
  startNode();
  const Instant start = net::monotonicNow();
  const auto peer = sendFromNewClient(chatRequest("late", "", "chat", "900"));
  const int status = statusOf(peer);
  EXPECT_TRUE(status == 502 || status == 503 || status == 504) << status;
  EXPECT_LT(net::monotonicNow() - start, Duration(kTimeoutSeconds));
  EXPECT_TRUE(runUntil([&] { return node->engineClient().openCallCount() == 0; }));
}

TEST_F(EngineClientTest, CountsOpenCallsPerEngineAndForgetsThoseOfDisconnectedClients) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
  };
  startNode();
  std::vector<std::shared_ptr<Peer>> peers;
  peers.reserve(12);
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

}  // namespace
}  // namespace gannetcourse::platform
