// Tests that a node becomes ready in time, with or without an engine list, in simulated time.
#include "endings_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

constexpr double kReadyLimit = 6;               // seconds: the shortest time in which a node must be ready
constexpr double kUnreachableReadyLimit = 0.5;  // seconds, where discovery cannot be reached

class StartupTest : public EndingsTest {
 protected:
  StartupTest()
      : otherDecodeEngine(loop,
                          [](Peer& peer, const http1::Request& request) { answerDecode(peer, request); }) {}
  ~StartupTest() override { node.reset(); }

  // Starts a node whose list, saved by an earlier process, has two decode engines. w1 drains by now.
  void startNodeWithOutdatedList() {
    startNode([this](Json& json) {
      json["known"] = engineListJson(7, true,
                                     {engineJson("r1", "prefill", prefillEngine.address()),
                                      engineJson("w1", "decode", decodeEngine.address()),
                                      engineJson("w2", "decode", otherDecodeEngine.address())});
    });
  }
  std::string drainMessage() const {
    return engineListJson(8, false, {engineJson("w1", "decode", decodeEngine.address(), "draining")}).dump() +
           "\n";
  }
  // Makes discovery send `head` to each watch at once and the drain after this many seconds.
  void tellDrainAfter(double seconds, const std::string& head = "") {
    discovery.script = [this, seconds, head](Peer& peer, const http1::Request&) {
      peer.send(head);
      const std::string rest = (head.empty() ? kStreamHead : "") + chunkOf(drainMessage());
      for (const auto& accepted : discovery.peers) {
        if (accepted.get() != &peer) continue;
        loop.runAfter(Duration(seconds), [accepted, rest] {
          if (!accepted->closed) accepted->send(rest);
        });
      }
    };
  }
  bool isReady() {
    const auto peer = sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n");
    runUntilIdle();
    return peer->hasReceived("HTTP/1.1 200");
  }
  // Sends a request every 0.1 s for `seconds` and expects that each is served, and none at the draining
  // engine.
  void expectServedWithoutDrainingEngine(double seconds) {
    std::vector<std::shared_ptr<Peer>> clients;
    for (int i = 0; i < seconds * 10; ++i) {
      clients.push_back(sendFromNewClient(chatRequest("q" + std::to_string(++requests_))));
      advance(0.1);
    }
    advance(1);
    for (const auto& peer : clients) EXPECT_TRUE(peer->hasReceived("HTTP/1.1 200"));
    EXPECT_EQ(attemptCount(decodeEngine), 0U);
    EXPECT_GT(attemptCount(otherDecodeEngine), 0U);
  }
  void stopNode() {
    node.reset();
    runUntilIdle();
  }

  ScriptedServer otherDecodeEngine;

 private:
  int requests_ = 0;
};

TEST_F(StartupTest, BecomesReadyWhenDiscoveryAnswers) {
  discovery.script = [](Peer&, const http1::Request&) {};
  startNode();
  runUntilIdle();
  EXPECT_FALSE(isReady());
  openWatch()->send(kStreamHead);
  runUntilIdle();
  EXPECT_FALSE(isReady());  // a head tells nothing of the list
  announceEngineStates(8, "up", "draining");
  EXPECT_TRUE(isReady());
}

TEST_F(StartupTest, BecomesReadyWhenDiscoveryTellsNothingNew) {
  startNode();
  runUntilIdle();
  EXPECT_TRUE(isReady());
}

// Guards against a node that sends by an outdated list while discovery, which has taken its watch, is slow.
TEST_F(StartupTest, SendsNothingToDrainingEngineWhileDiscoveryIsSlow) {
  for (const double seconds : {0.1, 0.5, 1.0, 2.0, 3.0, 3.5}) {
    for (const std::string& head : {std::string(), kStreamHead}) {
      tellDrainAfter(seconds, head);
      startNodeWithOutdatedList();
      expectServedWithoutDrainingEngine(seconds + 0.5);
      EXPECT_EQ(node->core().counters().rejected, 0U) << seconds;
      stopNode();
    }
  }
}

// As above, where discovery needs longer than most requests can wait: those that have the time are held.
TEST_F(StartupTest, HoldsLongRequestsWhileDiscoveryNeedsFiveSeconds) {
  tellDrainAfter(5);
  startNodeWithOutdatedList();
  const auto held = sendFromNewClient(chatRequest("long", "", "chat", "6000"));
  advance(4.9);
  EXPECT_EQ(attemptCount(prefillEngine), 0U);
  advance(0.5);
  EXPECT_TRUE(held->hasReceived("HTTP/1.1 200"));
  EXPECT_EQ(attemptCount(decodeEngine), 0U);
}

// As above, where discovery rejects or resets the first watches, as if it were crowded.
TEST_F(StartupTest, SendsNothingToDrainingEngineWhenWatchIsRejectedAndThenSlow) {
  for (const std::string& rejection :
       {std::string("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), std::string()}) {
    tellDrainAfter(1);
    const ScriptedServer::Script slow = discovery.script;
    discovery.script = [&, watches = 0](Peer& peer, const http1::Request& request) mutable {
      if (++watches > 1) return slow(peer, request);
      if (rejection.empty()) return peer.connection.abort();
      peer.send(rejection);
    };
    startNodeWithOutdatedList();
    expectServedWithoutDrainingEngine(1.5);
    stopNode();
  }
}

// A discovery that stays silent is down: requests that cannot wait go by the old list, and so do all once the
// wait is over.
TEST_F(StartupTest, ServesByOldListWhenDiscoveryTakesWatchAndStaysSilent) {
  discovery.script = [](Peer&, const http1::Request&) {};
  startNodeWithOutdatedList();
  const auto urgent = sendFromNewClient(chatRequest("urgent", "", "chat", "1500"));
  const auto patient = sendFromNewClient(chatRequest("patient", "", "chat", "12000"));
  advance(1.4);
  EXPECT_TRUE(urgent->hasReceived("HTTP/1.1 200"));
  EXPECT_FALSE(patient->hasReceived("HTTP/1.1 200"));
  EXPECT_FALSE(isReady());
  advance(kReadyLimit - 1.4);
  EXPECT_TRUE(isReady());
  EXPECT_TRUE(patient->hasReceived("HTTP/1.1 200"));
  const auto later = sendFromNewClient(chatRequest("later"));
  advance(0.1);
  EXPECT_TRUE(later->hasReceived("HTTP/1.1 200"));
  EXPECT_EQ(node->core().counters().rejected, 0U);
}

TEST_F(StartupTest, ServesByOldListAtOnceWhenDiscoveryIsUnreachable) {
  discovery.listener.rejectConnections(true);
  startNodeWithOutdatedList();
  const auto early = sendFromNewClient(chatRequest("early"));
  advance(kUnreachableReadyLimit);
  EXPECT_TRUE(isReady());
  EXPECT_TRUE(early->hasReceived("HTTP/1.1 200"));
}

// Without any list a node becomes ready after 6 s, by which time a change must have reached it. A node that
// is not ready after 30 s counts as failed to start.
TEST_F(StartupTest, BecomesReadyAndRejectsRequestsWithoutAnyList) {
  discovery.listener.rejectConnections(true);
  startNode([](Json& json) { json.erase("known"); });
  advance(3);
  EXPECT_EQ(statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
  advance(3);
  EXPECT_EQ(statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")), 200);
  const auto rejected = sendFromNewClient(chatRequest("early"));
  advance(1.5);
  EXPECT_EQ(statusOf(rejected), 503);
  EXPECT_TRUE(rejected->hasReceived("Retry-After"));
}

TEST_F(StartupTest, RejectsRequestsWhenConfiguredListIsMalformed) {
  discovery.listener.rejectConnections(true);
  startNode([](Json& json) { json["known"] = {{"index", "x"}, {"endpoints", 5}}; });
  const auto rejected = sendFromNewClient(chatRequest("no-list"));
  advance(1.5);
  EXPECT_EQ(statusOf(rejected), 503);
}

}  // namespace
}  // namespace gannetcourse::platform
