// Tests of edge cases: disconnects, bytes that arrive during a close, pipelining, descriptor limits, budgets.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "platform_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class EdgesTest : public PlatformTest {
 protected:
  // Sends a list with these states of the two engines and waits until the node has applied it.
  void announceEngineStates(const std::string& prefillStatus, const std::string& decodeStatus) {
    const Json list = engineListJson(++listIndex_, false,
                                     {engineJson("r1", "prefill", prefillEngine.address(), prefillStatus),
                                      engineJson("w1", "decode", decodeEngine.address(), decodeStatus)});
    discovery.peers.front()->send(chunkOf(list.dump() + "\n"));
    ASSERT_TRUE(runUntil([&] { return node->listIndex() == listIndex_; }));
  }
  void startWith(const std::string& prefillStatus, const std::string& decodeStatus) {
    startNode();
    ASSERT_TRUE(runUntil([&] { return !discovery.requests.empty(); }));
    announceEngineStates(prefillStatus, decodeStatus);
  }
  // Answers releases only; every other request stays unanswered.
  static void leaveUnanswered(Peer& peer, const http1::Request& request) { answerRelease(peer, request); }
  std::size_t attemptCount(const ScriptedServer& engine) const {
    return engine.count("POST", "/v1/chat/completions?x=1");
  }
  bool obligationsComplete() {
    return runUntil([&] { return node->core().pendingObligations() == 0; });
  }

 private:
  std::uint64_t listIndex_ = 7;
};

// ---- Clients that disconnect ----
TEST_F(EdgesTest, DropsRequestWhenClientDisconnectsBeforeEngineSelection) {
  startWith("draining", "up");
  const auto peer = sendFromNewClient(chatRequest("waits", "", "pay", "9000"));
  ASSERT_TRUE(runUntil([&] { return node->core().openRequests() == 1; }));
  peer->connection.close();
  EXPECT_TRUE(obligationsComplete());
  announceEngineStates("up", "up");
  runFor(0.3);
  EXPECT_EQ(attemptCount(prefillEngine), 0U);
}

TEST_F(EdgesTest, ReleasesPrefillInFlightWhenClientDisconnects) {
  prefillEngine.script = leaveUnanswered;
  startNode();
  for (const bool reset : {false, true}) {
    const auto peer = sendFromNewClient(chatRequest(reset ? "r" : "c"));
    const std::size_t before = attemptCount(prefillEngine);
    ASSERT_TRUE(runUntil([&] { return attemptCount(prefillEngine) > before; }));
    peer->disconnect(reset);
    EXPECT_TRUE(obligationsComplete());
    EXPECT_TRUE(runUntil([&] { return prefillEngine.peers.back()->closed; }));
    EXPECT_TRUE(runUntil([&] {
      const std::string lease = reset ? "/kv/leases/r" : "/kv/leases/c";
      return prefillEngine.count("DELETE", lease) + decodeEngine.count("DELETE", lease) > 0;
    }));
  }
  EXPECT_EQ(attemptCount(decodeEngine), 0U);
}

TEST_F(EdgesTest, ReleasesStateWhenClientDisconnectsBetweenPrefillAndDecode) {
  Peer* prefillPeer = nullptr;
  prefillEngine.script = [&](Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) prefillPeer = &peer;
  };
  startWith("up", "up");
  const auto peer = sendFromNewClient(chatRequest("between"));
  ASSERT_TRUE(runUntil([&] { return prefillPeer != nullptr; }));
  announceEngineStates("up", "draining");
  prefillPeer->send("HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":40}");
  ASSERT_TRUE(runUntil([&] { return node->engineClient().openCallCount() == 0; }));
  EXPECT_EQ(node->core().openRequests(), 1U);  // prefilled, but no decode engine may be selected
  peer->connection.close();
  EXPECT_TRUE(obligationsComplete());
  EXPECT_TRUE(runUntil([&] {
    return prefillEngine.count("DELETE", "/kv/leases/between") +
               decodeEngine.count("DELETE", "/kv/leases/between") >
           0;
  }));
  announceEngineStates("up", "up");
  runFor(0.2);
  EXPECT_EQ(attemptCount(decodeEngine), 0U);
}

TEST_F(EdgesTest, DoesNotRetryWhenClientDisconnectsAsAttemptFails) {
  int attemptsSeen = 0;
  std::shared_ptr<Peer> peer;
  prefillEngine.script = [&](Peer& p, const http1::Request& r) {
    if (answerRelease(p, r)) return;
    if (++attemptsSeen > 1) return;
    peer->connection.close();  // together with the response that causes a retry
    p.send("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
  };
  startNode();
  peer = sendFromNewClient(chatRequest("again"));
  ASSERT_TRUE(runUntil([&] { return attemptsSeen >= 1; }));
  EXPECT_TRUE(obligationsComplete());
  const int attemptsBefore = attemptsSeen;
  runFor(0.3);
  EXPECT_EQ(attemptsSeen, attemptsBefore);  // no further attempt is started
}

TEST_F(EdgesTest, DropsUnreadPipelinedRequestsWhenClientDisconnects) {
  prefillEngine.script = leaveUnanswered;
  startNode();
  const std::string big(200 * 1024, 'x');  // exceeds the limit on pipelined bytes: the node stops reading
  const auto peer = sendFromNewClient(chatRequest("first") +
                                      chatRequest("second", "", "chat", "4800", "{\"a\":\"" + big + "\"}") +
                                      chatRequest("third", "", "chat", "4800", "{\"a\":\"" + big + "\"}"));
  ASSERT_TRUE(runUntil([&] { return attemptCount(prefillEngine) == 1; }));
  runFor(0.2);
  peer->connection.close();
  EXPECT_TRUE(obligationsComplete());
  runFor(0.1);
  EXPECT_EQ(attemptCount(prefillEngine), 1U);
}

TEST_F(EdgesTest, CancelsStreamWhenClientThatDoesNotReadDisconnects) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (answerRelease(peer, request)) return;
    std::string stream = kStreamHead;
    for (int i = 0; i < 400; ++i) stream += chunkOf(eventOf(std::string(16000, 'y')));
    peer.send(stream);
  };
  startNode();
  const auto peer = sendFromNewClient(chatRequest("slow"));
  ASSERT_TRUE(runUntil([&] { return peer->hasReceived("yyy"); }));
  peer->connection.suspend(true);
  runFor(0.2);
  peer->connection.abort();
  EXPECT_TRUE(obligationsComplete());
  EXPECT_TRUE(runUntil([&] { return node->engineClient().openCallCount() == 0; }));
}

TEST_F(EdgesTest, DoesNotForwardRequestOfClientThatDisconnectsAtOnce) {
  startWith("draining", "up");
  const auto peer = client();
  ASSERT_TRUE(runUntil(
      [&] { return peer->connection.isConnected() && node->frontend().server().connectionCount() == 1; }));
  peer->send(chatRequest("and-gone"));
  peer->connection.close();
  EXPECT_TRUE(runUntil([&] { return node->frontend().server().connectionCount() == 0; }));
  EXPECT_EQ(node->core().counters().accepted, 0U);
}

TEST_F(EdgesTest, TreatsHalfCloseByClientAsDisconnect) {
  prefillEngine.script = leaveUnanswered;
  startNode();
  const auto peer = sendFromNewClient(chatRequest("half"));
  ASSERT_TRUE(runUntil([&] { return attemptCount(prefillEngine) == 1; }));
  peer->connection.shutdownWrite();
  EXPECT_TRUE(obligationsComplete());
  EXPECT_TRUE(runUntil([&] { return peer->closed; }));
  EXPECT_EQ(peer->received, "");
}

// ---- Bytes that arrive during a close ----
TEST_F(EdgesTest, DeliversErrorResponseWhileClientStillSends) {
  startNode();
  const auto peer =
      sendFromNewClient("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" +
                        std::string(100 * 1024, 'z'));
  EXPECT_EQ(statusOf(peer), 413);
  EXPECT_TRUE(runUntil([&] { return peer->closed; }));
  EXPECT_TRUE(peer->hasReceived("\r\n\r\nthe request cannot be read"));
}

TEST_F(EdgesTest, DoesNotForwardRequestThatArrivesWhileIdleConnectionCloses) {
  startNode();
  const auto peer = sendFromNewClient(chatRequest("one"));
  ASSERT_TRUE(runUntil([&] { return peer->hasReceived("0\r\n\r\n"); }));
  const std::size_t before = attemptCount(prefillEngine);
  bool done = false;
  node->drain([&] { done = true; });
  peer->send(chatRequest("crosses"));
  EXPECT_TRUE(runUntil([&] { return peer->closed; }));
  EXPECT_FALSE(peer->hasReceived("HTTP/1.1 5"));
  EXPECT_TRUE(runUntil([&] { return done; }));
  EXPECT_EQ(attemptCount(prefillEngine), before);
  EXPECT_EQ(node->core().counters().accepted, 1U);
}

TEST_F(EdgesTest, ClosesEachConnectionAfterItsResponseWhileDraining) {
  startNode();
  const auto fresh = client();
  ASSERT_TRUE(runUntil([&] { return node->frontend().server().connectionCount() == 1; }));
  bool done = false;
  node->drain([&] { done = true; });
  fresh->send(chatRequest("late"));
  EXPECT_EQ(statusOf(fresh), 503);
  const auto another = sendFromNewClient(chatRequest("later"));  // new connections are still accepted
  EXPECT_EQ(statusOf(another), 503);
  EXPECT_TRUE(runUntil([&] { return fresh->closed && another->closed; }));
  EXPECT_TRUE(runUntil([&] { return done; }));
  EXPECT_EQ(attemptCount(prefillEngine), 0U);
}

TEST_F(EdgesTest, ClosesIdleConnectionsWhenDrainCompletes) {
  startNode();
  const auto silent = client();
  ASSERT_TRUE(runUntil([&] { return node->frontend().server().connectionCount() == 1; }));
  bool done = false;
  node->drain([&] { done = true; });
  ASSERT_TRUE(runUntil([&] { return done; }));
  EXPECT_EQ(node->frontend().server().connectionCount(), 0U);
  EXPECT_TRUE(runUntil([&] { return silent->closed; }));
}

TEST_F(EdgesTest, DoesNotForwardStrayResponseToNextRequest) {
  decodeEngine.script = [this](Peer& peer, const http1::Request& request) {
    if (answerRelease(peer, request)) return;
    const bool isFirst = *request.fields.find("X-Call-Id") == "one";
    peer.send(kStreamHead + chunkOf(eventOf(isFirst ? "first" : "second") + kDone) + "0\r\n\r\n");
    if (!isFirst) return;
    const auto engine = decodeEngine.peers.back();
    loop.runAfter(Duration(0.004), [engine] {
      if (!engine->closed) engine->send(kStreamHead + chunkOf(eventOf("stray") + kDone) + "0\r\n\r\n");
    });
  };
  startNode();
  const auto one = sendFromNewClient(chatRequest("one"));
  ASSERT_TRUE(runUntil([&] { return one->hasReceived("0\r\n\r\n"); }));
  const auto two = sendFromNewClient(chatRequest("two"));
  ASSERT_TRUE(runUntil([&] { return two->hasReceived("0\r\n\r\n"); }));
  EXPECT_TRUE(two->hasReceived("second"));
  EXPECT_FALSE(two->hasReceived("stray"));
}

TEST_F(EdgesTest, ClosesClientStreamWhenEngineClosesWithinALine) {
  decodeEngine.script = [](Peer& peer, const http1::Request& request) {
    if (answerRelease(peer, request)) return;
    peer.send(kStreamHead + chunkOf(eventOf("whole")) + chunkOf("data: {\"half"));
    peer.connection.close();
  };
  startNode();
  const auto peer = sendFromNewClient(chatRequest("cut"));
  EXPECT_TRUE(runUntil([&] { return peer->closed; }));
  EXPECT_TRUE(peer->hasReceived("whole"));
  EXPECT_FALSE(peer->hasReceived("half"));
  EXPECT_FALSE(peer->hasReceived("0\r\n\r\n"));
}

// ---- Pipelining and fragmentation ----
TEST_F(EdgesTest, AnswersPipelinedRequestsInOrder) {
  startNode();
  std::string all;
  constexpr int kCommands = 120;
  for (int i = 0; i < kCommands; ++i)
    all += chatRequest("c" + std::to_string(i), "", "chat", "4800",
                       "{\"a\":\"" + std::string(2000, 'x') + "\"}");
  const auto peer = sendFromNewClient(all);  // 240 KB: more than the node buffers
  ASSERT_TRUE(runUntil([&] { return node->core().counters().served == kCommands; }));
  ASSERT_TRUE(runUntil([&] {
    std::size_t ends = 0;
    for (std::size_t at = 0; (at = peer->received.find("\r\n0\r\n\r\n", at)) != std::string::npos; ++at)
      ++ends;
    return ends == kCommands;
  }));
  std::vector<std::string> ids;
  for (const auto& r : prefillEngine.requests) {
    if (r.method == "POST") ids.push_back(*r.fields.find("X-Call-Id"));
  }
  ASSERT_EQ(ids.size(), static_cast<std::size_t>(kCommands));
  for (int i = 0; i < kCommands; ++i) EXPECT_EQ(ids[static_cast<std::size_t>(i)], "c" + std::to_string(i));
}

TEST_F(EdgesTest, ServesRequestSentByteByByte) {
  startNode();
  const auto peer = client();
  std::string request = chatRequest("piece", "X-Again: 1\r\n");
  request.replace(request.find("X-Call-Class:"), 13, "x-CALL-class:");
  for (const char c : request) {
    peer->send(std::string(1, c));
    loop.runOnce(Duration(0));
  }
  EXPECT_EQ(statusOf(peer), 200);
}

TEST(Sockets, DisableNagleOnAcceptedConnections) {
  net::Loop loop;
  int accepted = -1;
  net::Listener listener(loop, {}, [&](int fd) { accepted = fd; });
  Peer out(loop), in(loop);
  out.connection.connect({"127.0.0.1", listener.port()}, Duration(kTimeoutSeconds));
  const Instant end = net::monotonicNow() + Duration(kTimeoutSeconds);
  while (accepted < 0 && net::monotonicNow() < end) loop.runOnce(Duration(0.01));
  ASSERT_GE(accepted, 0);
  in.connection.adopt(accepted);
  int on = 0;
  socklen_t size = sizeof on;
  ASSERT_EQ(getsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, &size), 0);
  EXPECT_NE(on, 0);
}

// ---- Descriptors ----
// Lowers this process's limit on open descriptors during its lifetime.
class ScopedDescriptorLimit {
 public:
  explicit ScopedDescriptorLimit(rlim_t limit) {
    getrlimit(RLIMIT_NOFILE, &before_);
    rlimit lowered = before_;
    lowered.rlim_cur = limit;
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~ScopedDescriptorLimit() { setrlimit(RLIMIT_NOFILE, &before_); }

 private:
  rlimit before_{};
};

TEST(Descriptors, ListenerRetriesWithoutBusyLoopWhenDescriptorsRunOut) {
  net::Loop loop;
  std::vector<int> accepted;
  net::Listener listener(loop, {}, [&](int fd) { accepted.push_back(fd); });
  std::vector<std::unique_ptr<Peer>> peers;
  const Instant end = net::monotonicNow() + Duration(kTimeoutSeconds);
  for (int i = 0; i < 12; ++i) {
    peers.push_back(std::make_unique<Peer>(loop));
    peers.back()->connection.connect({"127.0.0.1", listener.port()}, Duration(kTimeoutSeconds));
    // Accepts the first connection before the limit is set: the sanitizer's checks need descriptors.
    while (i == 0 && accepted.empty() && net::monotonicNow() < end) loop.runOnce(Duration(0.01));
  }
  const int spare = dup(accepted.front());
  ASSERT_GE(spare, 0);
  close(spare);
  {
    const ScopedDescriptorLimit limit(static_cast<rlim_t>(spare) + 2);
    while (accepted.size() < 3 && net::monotonicNow() < end) loop.runOnce(Duration(0.01));
    ASSERT_EQ(accepted.size(), 3U);
    int iterations = 0;
    const Instant stop = net::monotonicNow() + Duration(0.5);
    while (net::monotonicNow() < stop) {
      loop.runOnce(Duration(1));
      ++iterations;
    }
    EXPECT_LT(iterations, 40);  // its own retries, ten per second, and incoming connections wake the loop
  }
  while (accepted.size() < 12 && net::monotonicNow() < end) loop.runOnce(Duration(0.01));
  EXPECT_EQ(accepted.size(), 12U);
  for (const int fd : accepted) close(fd);
}

TEST_F(EdgesTest, ServesRequestDespiteManyConnectionsAndUnreachableDiscovery) {
  sockets = 96;
  discovery.script = [](Peer& peer, const http1::Request&) { peer.connection.abort(); };
  startNode();
  std::vector<std::shared_ptr<Peer>> clients;
  clients.reserve(150);
  for (int i = 0; i < 150; ++i) clients.push_back(client());
  runFor(0.3);
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("served"))), 200);
  EXPECT_LE(node->frontend().server().connectionCount(), 40U);
  const std::size_t before = discovery.requests.size();
  EXPECT_TRUE(runUntil([&] { return discovery.requests.size() > before; }));  // the watch is still retried
}

// ---- Attempts ----
TEST_F(EdgesTest, SendsRemainingBudgetWithEachAttempt) {
  int prefillCount = 0;
  prefillEngine.script = [&](Peer& peer, const http1::Request& request) {
    if (answerRelease(peer, request)) return;
    if (++prefillCount > 1) return answerPrefill(peer, request);
    loop.runAfter(Duration(0.3),
                  [&peer] { peer.send("HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"); });
  };
  startNode();
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("told"))), 200);
  std::vector<int> budgets;
  for (const auto& r : prefillEngine.requests) {
    if (r.method == "POST") budgets.push_back(std::stoi(*r.fields.find("X-Budget-Ms")));
  }
  ASSERT_GE(budgets.size(), 2U);
  EXPECT_LE(budgets[0], 4800);
  EXPECT_LE(budgets[1], 4500);  // 0.3 s have elapsed
  EXPECT_LT(budgets[1], budgets[0]);
  EXPECT_LE(std::stoi(*decodeEngine.requests.front().fields.find("X-Budget-Ms")), budgets[1]);
}

TEST_F(EdgesTest, AnswersWith503WhenRequestWasNeverForwarded) {
  startWith("draining", "draining");
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("a", "", "chat", "200"))), 503);
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("b", "", "pay", "200"))), 503);
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("c", "", "chat", "1"))), 503);
  EXPECT_EQ(node->core().counters().attempts, 0U);
}

}  // namespace
}  // namespace gannetcourse::platform
