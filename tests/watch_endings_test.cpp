// Tests of watches on discovery that break around a change of the engine list, in simulated time. The change
// must reach the node within the protocol's limits.
#include "stepped_time.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

// Limits within which a change must be known, in seconds.
constexpr double kPropagationLimit = 6;  // after a watch fell silent, or after the change became available
constexpr double kPropagationLimitAfterReload = 4;  // after a reload (SIGHUP) changed discovery's address
constexpr std::size_t kMaxWatches = 5;              // open at a time, as docs/platform.md states

class WatchEndingsTest : public SteppedTest {
 protected:
  // Makes discovery answer each new watch with the current list, except while `silent` is set.
  void serveEngineLists() {
    discovery.script = [this](Peer& peer, const http1::Request&) {
      if (!silent) peer.send(kStreamHead + chunkOf(list()));
    };
  }
  std::string list() const {
    return engineListJson(index, true,
                          {engineJson("r1", "prefill", prefillEngine.address()),
                           engineJson("w1", "decode", decodeEngine.address(), draining ? "draining" : "up")})
               .dump(indent) +
           "\n";
  }
  // Sends an empty line every 2 s on each open watch on which nothing was received, except while `silent` is
  // set.
  void sendEmptyLinesPeriodically(ScriptedServer& server) {
    for (const auto& peer : server.peers) {
      if (!peer->closed && !silent && peer->received.empty()) peer->send(chunkOf("\n"));
    }
    loop.runAfter(Duration(2), [this, &server] { sendEmptyLinesPeriodically(server); });
  }
  // Makes discovery send the current list on each new watch in pieces that take `seconds` together.
  void serveEngineListsSlowly(double seconds) {
    discovery.script = [this, seconds](Peer& peer, const http1::Request&) {
      peer.send(kStreamHead);
      for (const auto& accepted : discovery.peers) {
        if (accepted.get() == &peer) sendPieces(accepted, chunkOf(list()), seconds);
      }
    };
  }
  void sendPieces(const std::shared_ptr<Peer>& peer, const std::string& text, double seconds) {
    constexpr std::size_t kPieces = 20;
    const std::size_t size = text.size() / kPieces + 1;
    for (std::size_t piece = 0; piece * size < text.size(); ++piece) {
      loop.runAfter(Duration(seconds) * (piece + 1.0) / kPieces,
                    [peer, bytes = text.substr(piece * size, size)] {
                      if (!peer->closed) peer->send(bytes);
                    });
    }
  }
  // Makes discovery answer each new watch with the current list after this many seconds.
  void serveEngineListsAfter(double seconds) {
    discovery.script = [this, seconds](Peer& peer, const http1::Request&) {
      for (const auto& accepted : discovery.peers) {
        if (accepted.get() != &peer) continue;
        loop.runAfter(Duration(seconds), [this, accepted] {
          if (!accepted->closed) accepted->send(kStreamHead + chunkOf(list()));
        });
      }
    };
  }
  std::size_t openWatchCount() const {
    return static_cast<std::size_t>(std::count_if(discovery.peers.begin(), discovery.peers.end(),
                                                  [](const auto& peer) { return !peer->closed; }));
  }
  // Sets the decode engine to draining without notifying the open watches.
  void drainWithoutNotification() {
    ++index;
    draining = true;
  }
  bool appliesListWithin(double seconds) {
    return becomesTrueWithin(seconds, [&] { return node->listIndex() == index; });
  }
  // Once the only decode engine drains, the node must reject a request without forwarding it.
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
  bool draining = false, silent = false;
  int indent = -1;  // of the list's JSON text; -1: one line
};

TEST_F(WatchEndingsTest, AppliesDrainWhenWatchIsSilentAfterFirstList) {
  for (const int indentation : {-1, 2}) {
    indent = indentation;
    draining = silent = false;
    serveEngineLists();
    startNode();
    ASSERT_TRUE(appliesListWithin(1));
    drainWithoutNotification();  // the open watch delivers nothing more; new watches get the list
    EXPECT_TRUE(appliesListWithin(kPropagationLimit));
    expectNothingReachesTheDecodeEngine();
    node.reset();
    runUntilIdle();
  }
}

TEST_F(WatchEndingsTest, AppliesDrainWhenWatchFallsSilentAfterThirteenSeconds) {
  serveEngineLists();
  startNode();
  ASSERT_TRUE(appliesListWithin(1));
  sendEmptyLinesPeriodically(discovery);
  advance(13);
  EXPECT_EQ(discovery.requests.size(), 1U);  // the watch is alive, so no second one is opened
  silent = true;
  drainWithoutNotification();
  advance(0.1);
  silent = false;
  for (const auto& peer : discovery.peers) peer->received = "silent";  // stops their empty lines
  EXPECT_TRUE(appliesListWithin(kPropagationLimit));
  expectNothingReachesTheDecodeEngine();
}

TEST_F(WatchEndingsTest, AppliesDrainAtOnceWhenWatchBrokeTwoSecondsBefore) {
  for (const bool reset : {false, true}) {
    draining = false;
    serveEngineLists();
    startNode();
    ASSERT_TRUE(appliesListWithin(1));
    breakWatches(reset);
    advance(2);
    ++index;
    draining = true;
    ASSERT_NE(openWatch(), nullptr);  // the watch was reopened within 2 s
    openWatch()->send(chunkOf(list()));
    EXPECT_TRUE(appliesListWithin(0));
    expectNothingReachesTheDecodeEngine();
    node.reset();
    runUntilIdle();
  }
}

TEST_F(WatchEndingsTest, AppliesDrainWhenFirstWatchAtReloadedAddressIsSilent) {
  serveEngineLists();
  startNode();
  ASSERT_TRUE(appliesListWithin(1));
  int watchesSeen = 0;
  ScriptedServer newDiscovery(loop, [&](Peer& peer, const http1::Request&) {
    if (++watchesSeen > 1) peer.send(kStreamHead + chunkOf(list()));  // the first watch is never answered
  });
  Json newConfiguration = configurationJson();
  newConfiguration["discovery"] = newDiscovery.address();
  silent = true;
  drainWithoutNotification();
  node->reload(configurationOf(newConfiguration));
  EXPECT_TRUE(appliesListWithin(kPropagationLimitAfterReload));
  expectNothingReachesTheDecodeEngine();
  node.reset();
}

TEST_F(WatchEndingsTest, AppliesDrainWhenOldWatchClosesDuringReload) {
  serveEngineLists();
  startNode();
  ASSERT_TRUE(appliesListWithin(1));
  ScriptedServer newDiscovery(
      loop, [&](Peer& peer, const http1::Request&) { peer.send(kStreamHead + chunkOf(list())); });
  newDiscovery.listener.rejectConnections(true);
  Json newConfiguration = configurationJson();
  newConfiguration["discovery"] = newDiscovery.address();
  node->reload(configurationOf(newConfiguration));
  breakWatches(true);
  drainWithoutNotification();
  advance(1);
  newDiscovery.listener.rejectConnections(false);
  EXPECT_TRUE(appliesListWithin(kPropagationLimitAfterReload));
  expectNothingReachesTheDecodeEngine();
  node.reset();
}

TEST_F(WatchEndingsTest, AppliesDrainAfterDiscoveryWasUnreachable) {
  for (const double unreachableSeconds : {0.3, 4.0, 9.0}) {
    draining = silent = false;
    serveEngineLists();
    startNode();
    ASSERT_TRUE(appliesListWithin(1));
    silent = true;
    breakWatches(true);
    discovery.listener.rejectConnections(true);
    drainWithoutNotification();
    advance(unreachableSeconds);
    discovery.listener.rejectConnections(false);
    silent = false;
    EXPECT_TRUE(appliesListWithin(kPropagationLimit)) << unreachableSeconds;
    expectNothingReachesTheDecodeEngine();
    node.reset();
    runUntilIdle();
  }
}

TEST_F(WatchEndingsTest, AppliesDrainWhenDiscoveryAcceptsWatchesButStaysSilent) {
  serveEngineLists();
  startNode();
  ASSERT_TRUE(appliesListWithin(1));
  silent = true;
  breakWatches(true);
  advance(8);  // discovery accepts connections but sends nothing
  drainWithoutNotification();
  silent = false;
  EXPECT_TRUE(appliesListWithin(kPropagationLimit));
  expectNothingReachesTheDecodeEngine();
}

// Discovery may be slow: a list that arrives in small pieces must be applied once it is complete. All watches
// are equally slow, so a watch that is given up is lost time.
TEST_F(WatchEndingsTest, AppliesListThatArrivesSlowlyInOneChunk) {
  serveEngineListsSlowly(4.4);
  drainWithoutNotification();
  startNode();
  EXPECT_TRUE(appliesListWithin(kPropagationLimit));
  expectNothingReachesTheDecodeEngine();
}

// As above, for the watch that replaces a silent one. Such a watch must not be given up while its list
// arrives.
TEST_F(WatchEndingsTest, AppliesListThatArrivesSlowlyOnTheReplacementOfASilentWatch) {
  for (const double listSeconds : {2.7, 4.0}) {
    draining = false;
    serveEngineLists();
    startNode();
    ASSERT_TRUE(appliesListWithin(1));
    drainWithoutNotification();
    serveEngineListsSlowly(listSeconds);
    constexpr double kDetectionLimit = 3.1;  // until the silent watch is replaced
    EXPECT_TRUE(appliesListWithin(kDetectionLimit + listSeconds)) << listSeconds;
    expectNothingReachesTheDecodeEngine();
    node.reset();
    runUntilIdle();
  }
}

// Guards against a node that closes each watch shortly before a slow discovery answers it, and so never hears
// of a drain again.
TEST_F(WatchEndingsTest, AppliesDrainWhenNewWatchesAreAnsweredSlowly) {
  for (const double quietSeconds : {1.0, 13.0, 60.0}) {
    for (const double answerSeconds : {0.1, 0.5, 1.0, 2.0, 3.0, 3.5}) {
      draining = false;
      serveEngineLists();
      startNode();
      ASSERT_TRUE(appliesListWithin(1));
      sendEmptyLinesPeriodically(discovery);
      advance(quietSeconds);
      silent = true;  // for the open watch
      serveEngineListsAfter(answerSeconds);
      drainWithoutNotification();
      EXPECT_TRUE(appliesListWithin(kPropagationLimit)) << quietSeconds << " s, " << answerSeconds << " s";
      expectNothingReachesTheDecodeEngine();
      silent = false;
      node.reset();
      runUntilIdle();
    }
  }
}

// As above, for a discovery that needs longer than the limit for its answer: it must be heard at all.
TEST_F(WatchEndingsTest, AppliesDrainWhenNewWatchesAreAnsweredAfterTheLimit) {
  for (const double answerSeconds : {5.0, 8.0, 20.0}) {
    draining = false;
    serveEngineLists();
    startNode();
    ASSERT_TRUE(appliesListWithin(1));
    serveEngineListsAfter(answerSeconds);
    drainWithoutNotification();
    constexpr double kDetectionLimit = 2.5;  // until a second watch is opened
    std::size_t mostOpen = 0;
    EXPECT_TRUE(becomesTrueWithin(kDetectionLimit + answerSeconds, [&] {
      mostOpen = std::max(mostOpen, openWatchCount());
      return node->listIndex() == index;
    })) << answerSeconds;
    EXPECT_LE(mostOpen, kMaxWatches);
    expectNothingReachesTheDecodeEngine();
    node.reset();
    runUntilIdle();
  }
}

// The oldest unanswered watch stays open for a slow discovery; it must not be the only one that stays,
// because a discovery that was down has lost it.
TEST_F(WatchEndingsTest, AppliesDrainWhenASlowDiscoveryReturnsAfterLosingItsWatches) {
  for (const double silentSeconds : {4.0, 12.0, 25.0, 70.0}) {
    draining = silent = false;
    serveEngineLists();
    startNode();
    ASSERT_TRUE(appliesListWithin(1));
    silent = true;
    breakWatches(true);
    advance(silentSeconds);  // watches opened now are never answered
    drainWithoutNotification();
    constexpr double kAnswerSeconds = 3;
    serveEngineListsAfter(kAnswerSeconds);
    EXPECT_TRUE(appliesListWithin(kPropagationLimit)) << silentSeconds;
    expectNothingReachesTheDecodeEngine();
    node.reset();
    runUntilIdle();
  }
}

// Bytes of an object that never ends do not show that a watch is alive, and neither do blanks between
// objects.
TEST_F(WatchEndingsTest, AppliesDrainWhenOnlyUnfinishedObjectsArrive) {
  for (const std::string filler : {"{\"index\":", " ", "1,"}) {
    draining = false;
    serveEngineLists();
    startNode();
    ASSERT_TRUE(appliesListWithin(1));
    const std::shared_ptr<Peer> first = openWatch();
    drainWithoutNotification();
    const Instant start = now();
    while (node->listIndex() != index && now() - start < Duration(30)) {
      if (!first->closed) first->send(chunkOf(filler));
      becomesTrueWithin(0.2, [&] { return node->listIndex() == index; });
    }
    EXPECT_LT((now() - start).count(), kPropagationLimit) << filler;
    expectNothingReachesTheDecodeEngine();
    node.reset();
    runUntilIdle();
  }
}

}  // namespace
}  // namespace gannetcourse::platform
