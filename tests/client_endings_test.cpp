// Clients that leave or are evicted while something is pending for them. In stepped time.
#include "endings_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class ClientEndingsTest : public EndingsTest {};

TEST_F(ClientEndingsTest, DisconnectsWhileItsRequestWaitsForAConnection) {
  UnresponsivePort slow;
  startNode([&](Json& json) { json["known"]["endpoints"][0]["address"] = slow.address(); });
  const auto peer = sendFromNewClient(chatRequest("dialling"));
  ASSERT_TRUE(happensWithin(0.1, [&] { return node->engineClient().connectionCount() == 1; }));
  peer->connection.close();
  EXPECT_TRUE(obligationsEnd());
  EXPECT_EQ(node->engineClient().openCallCount(), 0U);
  EXPECT_TRUE(happensWithin(4, [&] { return node->engineClient().auxiliaryCalls() == 0; }));
  EXPECT_EQ(attemptCount(decodeEngine), 0U);
}

TEST_F(ClientEndingsTest, DisconnectsInTheTurnInWhichItsAttemptFails) {
  startNode();
  std::shared_ptr<Peer> peer;
  prefillEngine.script = [&](Peer& p, const http1::Request& r) {
    if (answerRelease(p, r)) return;
    p.send("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
    peer->connection.close();
  };
  peer = sendFromNewClient(chatRequest("turn"));
  ASSERT_TRUE(happensWithin(1, [&] { return attemptCount(prefillEngine) >= 1; }));
  EXPECT_TRUE(obligationsEnd());
  const std::size_t then = attemptCount(prefillEngine);
  advance(2);
  EXPECT_EQ(attemptCount(prefillEngine), then);
}

TEST_F(ClientEndingsTest, DisconnectsWhileItsNextRequestWaitsBehindAnother) {
  startNode();
  const auto peer = startStream("first");
  peer->send(chatRequest("second"));
  runUntilIdle();
  const std::size_t before = attemptCount(prefillEngine);
  peer->connection.close();
  EXPECT_TRUE(obligationsEnd());
  advance(1);
  EXPECT_EQ(attemptCount(prefillEngine), before);
}

// Past the limit the client has to wait: its request that is being answered continues.
TEST_F(ClientEndingsTest, WhatComesPastTheLimitBehindARequestDoesNotEndIt) {
  startNode();
  const auto stream = startStream("open");
  const std::string piece(1 << 16, 'x');
  for (int i = 0; i < 64; ++i) {  // 4 MiB
    stream->send(piece);
    runUntilIdle();
  }
  EXPECT_FALSE(stream->closed);
  EXPECT_EQ(node->core().openRequests(), 1U);
  EXPECT_EQ(node->engineClient().openCallCount(), 1U);
  latestDecodePeer().send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(happensWithin(1, [&] { return stream->hasReceived("0\r\n\r\n"); }));
}

// A request whose last bytes are with the kernel has been taken.
TEST_F(ClientEndingsTest, ARequestThatTheKernelHoldsIsReadBeforeItsConnectionIsEvicted) {
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

}  // namespace
}  // namespace gannetcourse::platform
