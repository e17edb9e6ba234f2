// Watches that break at the worst moment: changes reach the node within the limits of the protocol all the
// same.
#include "stepped_time.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

constexpr double kPropagationLimit = 6;  // after a watch fell silent, or a change was there to be had
constexpr double kPropagationLimitAfterReload = 4;  // after SIGHUP moved discovery

class WatchEndingsTest : public SteppedTest {
 protected:
  // Every watch gets the list as it stands, while discovery delivers at all.
  void speak() {
    discovery.script = [this](Peer& peer, const http1::Request&) {
      if (!silent) peer.send(kStreamHead + chunkOf(list()));
    };
  }
  std::string list() const {
    return engineListJson(index, true,
                          {engineJson("r1", "prefill", prefillEngine.address()),
                           engineJson("w1", "decode", decodeEngine.address(), drains ? "draining" : "up")})
               .dump(indent) +
           "\n";
  }
  // Empty lines on all open watches, as long as they are not silent.
  void emptyLines(ScriptedServer& from) {
    for (const auto& peer : from.peers) {
      if (!peer->closed && !silent && peer->received.empty()) peer->send(chunkOf("\n"));
    }
    loop.runAfter(Duration(2), [this, &from] { emptyLines(from); });
  }
  // The change is made, and open watches do not hear of it.
  void drainUnheard() {
    ++index;
    drains = true;
  }
  bool appliesListWithin(double seconds) {
    return happensWithin(seconds, [&] { return node->listIndex() == index; });
  }
  // Once the only decode engine drains, no request is forwarded.
  void expectNothingReachesTheDecodeEngine() {
    const std::size_t before = attemptCount(decodeEngine);
    const auto peer = sendFromNewClient(chatRequest("probe" + std::to_string(index), "", "chat", "300"));
    advance(0.5);
    EXPECT_EQ(attemptCount(decodeEngine), before);
    EXPECT_TRUE(peer->hasReceived("HTTP/1.1 5"));
  }
  void breakWatches(bool reset) {
    for (const auto& peer : discovery.peers) {
      if (peer->closed) continue;
      peer->disconnect(reset);
      peer->closed = true;
    }
  }

  std::uint64_t index = 8;
  bool drains = false, silent = false;
  int indent = -1;
};

TEST_F(WatchEndingsTest, SilentFromItsFirstSecond) {
  for (const int layout : {-1, 2}) {
    indent = layout;
    drains = silent = false;
    speak();
    startNode();
    ASSERT_TRUE(appliesListWithin(1));
    drainUnheard();  // the open watch says nothing from here on, new ones speak
    EXPECT_TRUE(appliesListWithin(kPropagationLimit));
    expectNothingReachesTheDecodeEngine();
    node.reset();
    runUntilIdle();
  }
}

TEST_F(WatchEndingsTest, SilentAfterThirteenSecondsOfActivity) {
  speak();
  startNode();
  ASSERT_TRUE(appliesListWithin(1));
  emptyLines(discovery);
  advance(13);
  EXPECT_EQ(discovery.requests.size(), 1U);  // it is alive: no second one is needed
  silent = true;
  drainUnheard();
  advance(0.1);
  silent = false;
  for (const auto& peer : discovery.peers) peer->received = "silent";  // of those that are open
  EXPECT_TRUE(appliesListWithin(kPropagationLimit));
  expectNothingReachesTheDecodeEngine();
}

TEST_F(WatchEndingsTest, ResetSecondsBeforeADrain) {
  for (const bool reset : {false, true}) {
    drains = false;
    speak();
    startNode();
    ASSERT_TRUE(appliesListWithin(1));
    breakWatches(reset);
    advance(2);
    ++index;
    drains = true;
    ASSERT_NE(openWatch(), nullptr);  // it has been opened anew by now, and delivers the change at once
    openWatch()->send(chunkOf(list()));
    EXPECT_TRUE(appliesListWithin(0));
    expectNothingReachesTheDecodeEngine();
    node.reset();
    runUntilIdle();
  }
}

TEST_F(WatchEndingsTest, SilentAsAReloadMovesIt) {
  speak();
  startNode();
  ASSERT_TRUE(appliesListWithin(1));
  int watchesSeen = 0;
  ScriptedServer other(loop, [&](Peer& peer, const http1::Request&) {
    if (++watchesSeen > 1) peer.send(kStreamHead + chunkOf(list()));  // its first watch never delivers
  });
  Json fresh = configurationJson();
  fresh["discovery"] = other.address();
  silent = true;
  drainUnheard();
  node->reload(configurationOf(fresh));
  EXPECT_TRUE(appliesListWithin(kPropagationLimitAfterReload));
  expectNothingReachesTheDecodeEngine();
  node.reset();
}

TEST_F(WatchEndingsTest, TheOldAddressClosesAsAReloadMovesIt) {
  speak();
  startNode();
  ASSERT_TRUE(appliesListWithin(1));
  ScriptedServer other(loop,
                       [&](Peer& peer, const http1::Request&) { peer.send(kStreamHead + chunkOf(list())); });
  other.listener.rejectConnections(true);
  Json fresh = configurationJson();
  fresh["discovery"] = other.address();
  node->reload(configurationOf(fresh));
  breakWatches(true);
  drainUnheard();
  advance(1);
  other.listener.rejectConnections(false);
  EXPECT_TRUE(appliesListWithin(kPropagationLimitAfterReload));
  expectNothingReachesTheDecodeEngine();
  node.reset();
}

TEST_F(WatchEndingsTest, BackWithDrainsAtOnceHoweverLongItWasAway) {
  for (const double away : {0.3, 4.0, 9.0}) {
    drains = silent = false;
    speak();
    startNode();
    ASSERT_TRUE(appliesListWithin(1));
    silent = true;
    breakWatches(true);
    discovery.listener.rejectConnections(true);
    drainUnheard();
    advance(away);
    discovery.listener.rejectConnections(false);
    silent = false;
    EXPECT_TRUE(appliesListWithin(kPropagationLimit)) << away;
    expectNothingReachesTheDecodeEngine();
    node.reset();
    runUntilIdle();
  }
}

TEST_F(WatchEndingsTest, BackInSilenceThenWithDrains) {
  speak();
  startNode();
  ASSERT_TRUE(appliesListWithin(1));
  silent = true;
  breakWatches(true);
  advance(8);  // connections are taken, and nothing is said on them
  drainUnheard();
  silent = false;
  EXPECT_TRUE(appliesListWithin(kPropagationLimit));
  expectNothingReachesTheDecodeEngine();
}

}  // namespace
}  // namespace gannetcourse::platform
