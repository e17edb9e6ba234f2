// Tests of a node's shutdown, in simulated time: pending requests, streams and releases are completed first.
#include "endings_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class ShutdownTest : public EndingsTest {};

TEST_F(ShutdownTest, RejectsRequestThatIsCompletedAfterDrainBegins) {
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
  EXPECT_TRUE(shutdownCompletes());
  EXPECT_EQ(attemptCount(prefillEngine), 0U);
}

TEST_F(ShutdownTest, WritesBufferedStreamToSlowClientBeforeShutdownCompletes) {
  std::string stream = kStreamHead;
  for (int i = 0; i < 15; ++i) stream += chunkOf(eventOf(std::string(16000, 'y')));
  decodeEngine.script = [stream](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send(stream + chunkOf(kDone) + "0\r\n\r\n");
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
  std::string received;
  for (int i = 0; i < 2000 && drained == 0; ++i) {
    received += slow.receive();
    advance(0.005);
  }
  EXPECT_EQ(drained, 1);
  received += slow.receive();
  EXPECT_EQ(received.substr(received.size() - 5), "0\r\n\r\n");
}

TEST_F(ShutdownTest, DelaysShutdownUntilPendingReleaseIsAnswered) {
  const auto silent = [](Peer&, const http1::Request&) {};
  prefillEngine.script = decodeEngine.script = silent;
  startNode();
  const auto peer = sendFromNewClient(chatRequest("held"));
  ASSERT_TRUE(becomesTrueWithin(1, [&] { return attemptCount(prefillEngine) == 1; }));
  peer->connection.close();
  ASSERT_TRUE(obligationsComplete());
  drain();
  advance(0.5);
  const auto answers = [](Peer& p, const http1::Request& r) { answerRelease(p, r); };
  prefillEngine.script = decodeEngine.script = answers;
  EXPECT_TRUE(shutdownCompletes());
  EXPECT_GE(releaseCount("held"), 1U);
  EXPECT_EQ(node->engineClient().auxiliaryCalls(), 0U);
}

TEST_F(ShutdownTest, CompletesShutdownOnceDespiteSecondDrainAndReload) {
  startNode();
  const auto peer = startStream("open");
  drain();
  drain();
  Json newConfiguration = configurationJson();
  newConfiguration["settings"]["classes"][0]["aimS"] = 2.5;
  node->reload(configurationOf(newConfiguration));
  advance(1.5);
  EXPECT_EQ(drained, 0);
  latestDecodePeer().send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(shutdownCompletes());
  advance(1);
  EXPECT_EQ(drained, 1);
  EXPECT_TRUE(peer->hasReceived("0\r\n\r\n"));
}

// Requests that have been read behind another one on their connection are owed a response when the node
// drains: they were discarded, and the connection was closed after the first response.
TEST_F(ShutdownTest, AnswersRequestsThatWaitBehindAnotherWhenDrainBegins) {
  for (const int waiting : {1, 2, 20}) {
    drained = 0;
    startNode();
    const auto peer = startStream("first" + std::to_string(waiting));
    for (int i = 0; i < waiting; ++i) peer->send(chatRequest("w" + std::to_string(waiting * 100 + i)));
    runUntilIdle();
    drain();
    latestDecodePeer().send(chunkOf(kDone) + "0\r\n\r\n");
    EXPECT_TRUE(shutdownCompletes());
    runUntilIdle();
    int responses = 0;
    for (std::size_t at = 0; (at = peer->received.find("HTTP/1.1 503", at)) != std::string::npos; ++at)
      ++responses;
    EXPECT_EQ(responses, waiting);
    std::size_t closes = 0;
    for (std::size_t at = 0; (at = peer->received.find("Connection: close", at)) != std::string::npos; ++at)
      ++closes;
    EXPECT_EQ(closes, 1U);  // on the last response only
    EXPECT_TRUE(peer->closed);
    node.reset();
    runUntilIdle();
  }
}

// As above, for a client that is slow to take the response in front.
TEST_F(ShutdownTest, AnswersWaitingRequestsOfSlowClientWhenDrainBegins) {
  std::string stream = kStreamHead;
  for (int i = 0; i < 15; ++i) stream += chunkOf(eventOf(std::string(16000, 'y')));
  decodeEngine.script = [stream](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) peer.send(stream + chunkOf(kDone) + "0\r\n\r\n");
  };
  startNode();
  RawSocket slow;
  slow.shrinkReceiveBuffer();
  ASSERT_TRUE(slow.connect(node->port()));
  runUntilIdle();
  shrinkSendBufferOfPeer(slow);
  slow.send(chatRequest("long") + chatRequest("waiting"));
  advance(0.1);
  drain();
  std::string received;
  for (int i = 0; i < 2000 && drained == 0; ++i) {
    received += slow.receive();
    advance(0.005);
  }
  received += slow.receive();
  EXPECT_EQ(drained, 1);
  EXPECT_NE(received.find("HTTP/1.1 503"), std::string::npos);
}

// When the listener closes, one request is in the kernel's receive buffer and one connection is in its accept
// queue. Neither was reported to the event loop; both must be answered.
TEST_F(ShutdownTest, AnswersRequestsInKernelQueuesWhenListenerCloses) {
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

// If reading from a connection is paused and its client disconnects, the drain itself discovers this while it
// iterates over all connections. Removing the connection must not disturb that iteration.
TEST_F(ShutdownTest, RemovesConnectionsThatAreFoundClosedDuringDrain) {
  std::vector<std::shared_ptr<http1::Exchange>> exchanges;
  http1::Server server(loop, {}, {}, [&](std::shared_ptr<http1::Exchange> exchange) {
    exchanges.push_back(std::move(exchange));
  });
  std::vector<std::unique_ptr<RawSocket>> sockets;
  // Above the limit on pipelined bytes, so that reading is paused, but by less than the bytes read in one
  // iteration.
  const std::size_t pipelinedBytes = http1::Limits{}.maxPipelinedBytes + net::Connection::kReadBudget / 4;
  const std::string block(pipelinedBytes / 8, 'b');
  for (int i = 0; i < 4; ++i) {
    sockets.push_back(std::make_unique<RawSocket>());
    ASSERT_TRUE(sockets.back()->connect(server.port()));
    sockets.back()->send("GET / HTTP/1.1\r\n\r\n");
    for (std::size_t sent = 0; sent < pipelinedBytes;) {
      sent += sockets.back()->send(std::string_view(block).substr(0, pipelinedBytes - sent));
      advance(0.005);
    }
  }
  ASSERT_EQ(exchanges.size(), 4U);
  for (const auto& exchange : exchanges) exchange->respond(200, "", "");
  for (const auto& socket : sockets) socket->reset();
  deliverSentBytes();
  server.drain();  // in the same loop iteration: no event has reported the resets
  EXPECT_EQ(server.connectionCount(), 0U);
  server.shutdown();
  runUntilIdle();
}

TEST_F(ShutdownTest, LeaksNothingWhenNodeIsDestroyedWithOpenRequests) {
  prefillEngine.script = leaveUnanswered;
  startNode();
  std::vector<std::shared_ptr<Peer>> peers;
  peers.reserve(40);
  for (int i = 0; i < 40; ++i) peers.push_back(sendFromNewClient(chatRequest("o" + std::to_string(i))));
  runUntilIdle();
  ASSERT_EQ(node->core().openRequests(), 40U);
  node.reset();  // the sanitizers report leaks and uses after free
  runUntilIdle();
}

}  // namespace
}  // namespace gannetcourse::platform
