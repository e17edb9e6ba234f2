// The end of a node: what is still pending is finished first. In stepped time.
#include "endings_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class ShutdownTest : public EndingsTest {};

TEST_F(ShutdownTest, ARequestInPiecesAcrossTheSignalIsAnsweredAndNotForwarded) {
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
  EXPECT_TRUE(shutdownEnds());
  EXPECT_EQ(attemptCount(prefillEngine), 0U);
}

TEST_F(ShutdownTest, AStreamWhoseTailIsInTheOutputBufferIsWrittenOutBeforeTheProcessEnds) {
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

TEST_F(ShutdownTest, APendingReleaseDelaysTheShutdown) {
  const auto silent = [](Peer&, const http1::Request&) {};
  prefillEngine.script = decodeEngine.script = silent;
  startNode();
  const auto peer = sendFromNewClient(chatRequest("held"));
  ASSERT_TRUE(happensWithin(1, [&] { return attemptCount(prefillEngine) == 1; }));
  peer->connection.close();
  ASSERT_TRUE(obligationsEnd());
  drain();
  advance(0.5);
  const auto answers = [](Peer& p, const http1::Request& r) { answerRelease(p, r); };
  prefillEngine.script = decodeEngine.script = answers;
  EXPECT_TRUE(shutdownEnds());
  EXPECT_GE(releaseCount("held"), 1U);
  EXPECT_EQ(node->engineClient().auxiliaryCalls(), 0U);
}

TEST_F(ShutdownTest, ASecondSignalAndAReloadDoNotEndTwiceOrDelayTheShutdown) {
  startNode();
  const auto peer = startStream("open");
  drain();
  drain();
  Json fresh = configurationJson();
  fresh["settings"]["classes"][0]["aimS"] = 2.5;
  node->reload(configurationOf(fresh));
  advance(1.5);
  EXPECT_EQ(drained, 0);
  latestDecodePeer().send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(shutdownEnds());
  advance(1);
  EXPECT_EQ(drained, 1);
  EXPECT_TRUE(peer->hasReceived("0\r\n\r\n"));
}

// The sockets are used directly: their bytes are with the kernel, and no event has reported them to the node.
TEST_F(ShutdownTest, AConnectionInTheKernelsQueueIsAnsweredWhenTheListenerCloses) {
  std::vector<std::shared_ptr<http1::Exchange>> exchanges;
  http1::Server server(loop, {}, {}, [&](std::shared_ptr<http1::Exchange> exchange) {
    exchange->respond(503, "", "", true);
    exchanges.push_back(std::move(exchange));
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
  EXPECT_EQ(exchanges.size(), 2U);
  for (RawSocket* const socket : {&fresh, &late}) EXPECT_EQ(socket->receive().substr(0, 12), "HTTP/1.1 503");
}

// A connection whose reading was paused, and whose client has disconnected meanwhile, is found closed by the
// drain itself, while it iterates over all connections.
TEST_F(ShutdownTest, ConnectionsThatCloseWhileAllAreDrainedAreDroppedOnce) {
  std::vector<std::shared_ptr<http1::Exchange>> exchanges;
  http1::Server server(loop, {}, {}, [&](std::shared_ptr<http1::Exchange> exchange) {
    exchanges.push_back(std::move(exchange));
  });
  std::vector<std::unique_ptr<RawSocket>> sockets;
  // More than may wait behind a request, so that reading is paused, and less beyond it than is read in one
  // go.
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
  ASSERT_EQ(exchanges.size(), 4U);
  for (const auto& exchange : exchanges) exchange->respond(200, "", "");
  for (const auto& socket : sockets) socket->reset();
  deliverSentBytes();
  server.drain();  // in the same turn: no event has reported the resets
  EXPECT_EQ(server.connectionCount(), 0U);
  server.shutdown();
  runUntilIdle();
}

TEST_F(ShutdownTest, ANodeDestroyedWithOpenRequestsLeaksNothing) {
  prefillEngine.script = leaveUnanswered;
  startNode();
  std::vector<std::shared_ptr<Peer>> peers;
  peers.reserve(40);
  for (int i = 0; i < 40; ++i) peers.push_back(sendFromNewClient(chatRequest("o" + std::to_string(i))));
  runUntilIdle();
  ASSERT_EQ(node->core().openRequests(), 40U);
  node.reset();  // the sanitizers watch
  runUntilIdle();
}

}  // namespace
}  // namespace gannetcourse::platform
