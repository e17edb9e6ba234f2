// Tests of clients that disconnect or are evicted while requests of theirs are pending, in simulated time.
#include "endings_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class ClientEndingsTest : public EndingsTest {};

TEST_F(ClientEndingsTest, DropsRequestWhenClientDisconnectsBeforeEngineConnectionOpens) {
  UnresponsivePort slow;
  startNode([&](Json& json) { json["known"]["endpoints"][0]["address"] = slow.address(); });
  const auto peer = sendFromNewClient(chatRequest("dialling"));
  ASSERT_TRUE(becomesTrueWithin(0.1, [&] { return node->engineClient().connectionCount() == 1; }));
  peer->connection.close();
  EXPECT_TRUE(obligationsComplete());
  EXPECT_EQ(node->engineClient().openCallCount(), 0U);
  EXPECT_TRUE(becomesTrueWithin(4, [&] { return node->engineClient().auxiliaryCalls() == 0; }));
  EXPECT_EQ(attemptCount(decodeEngine), 0U);
}

TEST_F(ClientEndingsTest, DoesNotRetryWhenClientDisconnectsAsAttemptFails) {
  startNode();
  std::shared_ptr<Peer> peer;
  prefillEngine.script = [&](Peer& p, const http1::Request& r) {
    if (answerRelease(p, r)) return;
    p.send("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
    peer->connection.close();
  };
  peer = sendFromNewClient(chatRequest("turn"));
  ASSERT_TRUE(becomesTrueWithin(1, [&] { return attemptCount(prefillEngine) >= 1; }));
  EXPECT_TRUE(obligationsComplete());
  const std::size_t attemptsBefore = attemptCount(prefillEngine);
  advance(2);
  EXPECT_EQ(attemptCount(prefillEngine), attemptsBefore);
}

TEST_F(ClientEndingsTest, DropsPipelinedRequestWhenClientDisconnects) {
  startNode();
  const auto peer = startStream("first");
  peer->send(chatRequest("second"));
  runUntilIdle();
  const std::size_t before = attemptCount(prefillEngine);
  peer->connection.close();
  EXPECT_TRUE(obligationsComplete());
  advance(1);
  EXPECT_EQ(attemptCount(prefillEngine), before);
}

// A client that closes with many unread requests behind the open one has left, although its end stands behind
// bytes that the node does not read yet: no further attempt may begin.
TEST_F(ClientEndingsTest, StartsNoAttemptWhenClientClosesBehindManyUnreadRequests) {
  constexpr int kRequests = 600;
  const std::string body = "{\"messages\":[\"" + std::string(8000, 'p') + "\"]}";
  Peer* prefill = nullptr;
  prefillEngine.script = [&](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) prefill = &peer;
  };
  startNode();
  RawSocket leaving;
  ASSERT_TRUE(leaving.connect(node->port()));
  std::string requests;
  for (int i = 0; i < kRequests; ++i)
    requests += chatRequest("many" + std::to_string(i), "", "chat", "4800", body);
  for (std::size_t sent = 0, round = 0; sent < requests.size() && round < 40; ++round) {
    sent += leaving.send(std::string_view(requests).substr(sent));
    advance(0.01);
  }
  ASSERT_NE(prefill, nullptr);
  leaving.close();
  advance(0.1);
  answerPrefill(*prefill, prefillEngine.requests.front());
  advance(1);
  EXPECT_EQ(attemptCount(decodeEngine), 0U);
  EXPECT_EQ(attemptCount(prefillEngine), 1U);
}

// A request's time is counted from its last byte, also while it waits behind another one on its connection.
TEST_F(ClientEndingsTest, SubtractsTheTimeBehindAnotherRequestFromTheBudget) {
  startNode();
  const auto peer = startStream("first");
  peer->send(chatRequest("second", "", "chat", "3000") + chatRequest("over", "", "chat", "900"));
  advance(1);
  latestDecodePeer().send(chunkOf(kDone) + "0\r\n\r\n");
  ASSERT_TRUE(becomesTrueWithin(1, [&] { return attemptCount(decodeEngine) == 2; }));
  EXPECT_LE(budgets(prefillEngine).back(), 2000);
  EXPECT_LE(budgets(decodeEngine).back(), 2000);
  runUntilIdle();
  latestDecodePeer().send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(becomesTrueWithin(1, [&] { return peer->hasReceived("HTTP/1.1 503"); }));
  EXPECT_EQ(attemptCount(prefillEngine), 2U) << "a request whose time is over must not be sent";
}

// An unsafe request whose write has begun may have run, though its client has left: if it comes again with
// the same id, it must not be written a second time.
TEST_F(ClientEndingsTest, WritesUnsafeRequestOnceWhenItComesAgainAfterItsClientLeft) {
  decodeEngine.script = leaveUnanswered;
  startNode();
  const auto leaving = sendFromNewClient(chatRequest("once", "", "pay"));
  ASSERT_TRUE(becomesTrueWithin(1, [&] { return attemptCount(decodeEngine) == 1; }));
  leaving->connection.close();
  advance(0.1);
  const auto again = sendFromNewClient(chatRequest("once", "", "pay"));
  advance(1);
  EXPECT_EQ(attemptCount(decodeEngine), 1U);
  EXPECT_TRUE(again->hasReceived("HTTP/1.1 502"));  // 503 would say that it has not run
}

// A client may pipeline only a limited number of bytes behind an open request. Bytes beyond the limit must
// stay unread instead of ending the open request.
TEST_F(ClientEndingsTest, ContinuesOpenRequestWhenPipelinedBytesExceedLimit) {
  startNode();
  const auto stream = startStream("open");
  const std::string block(1 << 16, 'x');
  for (int i = 0; i < 64; ++i) {  // 4 MiB
    stream->send(block);
    runUntilIdle();
  }
  EXPECT_FALSE(stream->closed);
  EXPECT_EQ(node->core().openRequests(), 1U);
  EXPECT_EQ(node->engineClient().openCallCount(), 1U);
  latestDecodePeer().send(chunkOf(kDone) + "0\r\n\r\n");
  EXPECT_TRUE(becomesTrueWithin(1, [&] { return stream->hasReceived("0\r\n\r\n"); }));
}

// At its connection limit the server evicts an idle connection. It must first read what the kernel has
// received, or it would drop a complete request.
TEST_F(ClientEndingsTest, ReadsRequestFromKernelBeforeEvictingItsConnection) {
  http1::ServerOptions options;
  options.maxConnections = 1;
  http1::Server server(loop, {}, options, [](const std::shared_ptr<http1::Exchange>& exchange) {
    exchange->respond(200, "", "", true);
  });
  RawSocket partial, another;
  ASSERT_TRUE(partial.connect(server.port()));
  partial.send("GET / HTTP/1.1\r\n");
  runUntilIdle();
  ASSERT_TRUE(another.connect(server.port()));  // the server is notified of this one first
  partial.send("\r\n");
  runUntilIdle();
  EXPECT_EQ(partial.receive().substr(0, 12), "HTTP/1.1 200");
}

}  // namespace
}  // namespace gannetcourse::platform
