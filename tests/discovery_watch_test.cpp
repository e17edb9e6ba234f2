// Tests of the watch on discovery: a node reopens a watch that breaks or does not show that it is alive.
#include "platform_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

// Within this time after a watch broke, a node must know a change; seconds of real time. The protocol's limit
// is 6 s.
constexpr double kPropagationLimit = 6;

class DiscoveryWatchTest : public PlatformTest {
 protected:
  static bool isWatch(const http1::Request& r) { return r.target.find("watch=1") != std::string::npos; }
  std::size_t watchCount() const {
    std::size_t n = 0;
    for (const auto& r : discovery.requests) n += isWatch(r);
    return n;
  }
  std::string drainMessage(std::uint64_t index) const {
    return engineListJson(index, false, {engineJson("w1", "decode", decodeEngine.address(), "draining")})
               .dump() +
           "\n";
  }
  // Sends a request and returns whether the node answers it without forwarding it to the decode engine, as it
  // must once it knows that the only decode engine drains.
  bool hasAppliedDrain() {
    const std::size_t before = decodeEngine.requests.size();
    EXPECT_EQ(
        statusOf(sendFromNewClient(chatRequest("probe" + std::to_string(++probes_), "", "chat", "300"))) /
            100,
        5);
    return decodeEngine.requests.size() == before;
  }
  // Answers the first watch with `answerFirst` and all later ones with a drain of the decode engine, and
  // expects that the node opens a second watch within the limit and applies the drain.
  void expectDrainThroughSecondWatch(const std::function<void(Peer&)>& answerFirst) {
    int n = 0;
    discovery.script = [&, n](Peer& peer, const http1::Request&) mutable {
      if (++n == 1) return answerFirst(peer);
      peer.send(kStreamHead + chunkOf(drainMessage(9)));
    };
    startNode();
    const Instant start = net::monotonicNow();
    ASSERT_TRUE(runUntil([&] { return watchCount() >= 2; }));
    EXPECT_LT((net::monotonicNow() - start).count(), kPropagationLimit);
    ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
    EXPECT_TRUE(hasAppliedDrain());
  }

 private:
  int probes_ = 0;
};

TEST_F(DiscoveryWatchTest, ReopensWatchThatFallsSilent) {
  expectDrainThroughSecondWatch([](Peer& p) { p.send(kStreamHead + chunkOf("\n")); });
}
TEST_F(DiscoveryWatchTest, ReopensWatchThatIsNeverAnswered) {
  expectDrainThroughSecondWatch([](Peer&) {});
}
TEST_F(DiscoveryWatchTest, ReopensWatchThatIsReset) {
  expectDrainThroughSecondWatch([](Peer& p) {
    p.send(kStreamHead + chunkOf("\n"));
    p.connection.abort();
  });
}
TEST_F(DiscoveryWatchTest, ReopensWatchThatClosesWithinALine) {
  expectDrainThroughSecondWatch([this](Peer& p) {
    p.send(kStreamHead + chunkOf(drainMessage(9).substr(0, 40)));
    p.connection.close();
  });
}
TEST_F(DiscoveryWatchTest, ReopensWatchThatDeliversOnlyAPartialLine) {
  expectDrainThroughSecondWatch(
      [this](Peer& p) { p.send(kStreamHead + chunkOf(drainMessage(9).substr(0, 40))); });
}
TEST_F(DiscoveryWatchTest, ReopensWatchThatIsRejectedWithEndlessBody) {
  expectDrainThroughSecondWatch([this](Peer& p) {
    p.send("HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkOf("\n"));
    loop.runAfter(Duration(0.5), [this] {
      if (!discovery.peers.front()->closed) discovery.peers.front()->send(chunkOf("\n"));
    });
  });
}
TEST_F(DiscoveryWatchTest, ReopensWatchThatDeliversMalformedBytes) {
  expectDrainThroughSecondWatch([](Peer& p) { p.send(kStreamHead + chunkOf("nonsense nonsense")); });
}

TEST_F(DiscoveryWatchTest, AppliesIndentedList) {
  discovery.script = [&](Peer& peer, const http1::Request&) {
    const std::string text = engineListJson(9, true,
                                            {engineJson("r1", "prefill", prefillEngine.address()),
                                             engineJson("w1", "decode", decodeEngine.address(), "draining")})
                                 .dump(2) +
                             "\n";
    peer.send(kStreamHead + chunkOf(text.substr(0, 100)) + chunkOf(text.substr(100)));
  };
  startNode();
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
  EXPECT_TRUE(hasAppliedDrain());
}

TEST_F(DiscoveryWatchTest, RemovesEngineMissingFromSnapshot) {
  discovery.script = [&](Peer& peer, const http1::Request&) {
    peer.send(kStreamHead +
              chunkOf(engineListJson(9, true, {engineJson("r1", "prefill", prefillEngine.address())}).dump() +
                      "\n"));
  };
  startNode();
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
  EXPECT_TRUE(hasAppliedDrain());
}

TEST_F(DiscoveryWatchTest, KeepsEngineDrainedWhenAnOlderListArrives) {
  discovery.script = [&, n = 0](Peer& peer, const http1::Request&) mutable {
    if (++n == 1) return peer.send(kStreamHead + chunkOf(drainMessage(9)) + "0\r\n\r\n");
    if (n == 2)
      return peer.send(kStreamHead +
                       chunkOf(engineListJson(8, true,
                                              {engineJson("r1", "prefill", prefillEngine.address()),
                                               engineJson("w1", "decode", decodeEngine.address())})
                                   .dump() +
                               "\n"));
    peer.send(kStreamHead + chunkOf("\n"));
  };
  startNode();
  ASSERT_TRUE(runUntil([&] { return discovery.count("GET", "/api/targets?watch=1&from=0") > 0; }));
  EXPECT_EQ(node->listIndex(), 9U);
  EXPECT_TRUE(hasAppliedDrain());
}

TEST_F(DiscoveryWatchTest, AppliesListSoonAfterDiscoveryBecomesReachable) {
  discovery.script = [&](Peer& peer, const http1::Request&) { peer.connection.abort(); };
  startNode();
  ASSERT_TRUE(runUntil([&] { return watchCount() >= 4; }));  // each was rejected
  discovery.script = [&](Peer& peer, const http1::Request&) {
    peer.send(kStreamHead + chunkOf(drainMessage(9)));
  };
  const Instant reachableAt = net::monotonicNow();
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
  EXPECT_LT((net::monotonicNow() - reachableAt).count(), kPropagationLimit);
  EXPECT_TRUE(hasAppliedDrain());
}

TEST_F(DiscoveryWatchTest, KeepsFirstWatchOpenAndOpensOthersWhileDiscoveryIsSilent) {
  discovery.script = [](Peer&, const http1::Request&) {};
  startNode();
  const Instant start = net::monotonicNow();
  ASSERT_TRUE(runUntil([&] { return watchCount() >= 3; }));
  EXPECT_GE((net::monotonicNow() - start).count(), 4.2);  // a silent discovery is not flooded with watches
  EXPECT_FALSE(discovery.peers.front()->closed);
  std::size_t open = 0;
  for (const auto& peer : discovery.peers) open += !peer->closed;
  EXPECT_EQ(open, 3U);  // none is closed before discovery has had time to answer it
  discovery.peers.front()->send(kStreamHead + chunkOf(drainMessage(9)));  // on the first watch
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
  runFor(0.1);
  open = 0;
  for (const auto& peer : discovery.peers) open += !peer->closed;
  EXPECT_EQ(open, 1U);
  EXPECT_TRUE(hasAppliedDrain());
}

TEST_F(DiscoveryWatchTest, MovesToNewAddressWhileOldAddressStillDelivers) {
  discovery.script = [](Peer& peer, const http1::Request&) { peer.send(kStreamHead + chunkOf("\n")); };
  std::shared_ptr<Peer> late;
  ScriptedServer newDiscovery(loop, [&](Peer&, const http1::Request&) {});
  startNode();
  ASSERT_TRUE(runUntil([&] { return watchCount() == 1; }));
  Json newConfiguration = configurationJson();
  newConfiguration["discovery"] = newDiscovery.address();
  node->reload(configurationOf(newConfiguration));
  ASSERT_TRUE(runUntil([&] { return newDiscovery.requests.size() == 1; }));
  discovery.peers.front()->send(chunkOf("\n"));
  runFor(0.1);
  ASSERT_FALSE(newDiscovery.peers.front()->closed);
  newDiscovery.peers.front()->send(kStreamHead + chunkOf(drainMessage(9)));
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9 && discovery.peers.front()->closed; }));
  EXPECT_TRUE(hasAppliedDrain());
}

TEST_F(DiscoveryWatchTest, PausesBetweenWatchesWhenDiscoveryEndsEachResponse) {
  discovery.script = [&](Peer& peer, const http1::Request&) {
    peer.send(kStreamHead + chunkOf("\n") + "0\r\n\r\n");
  };
  startNode();
  const Instant start = net::monotonicNow();
  ASSERT_TRUE(runUntil([&] { return watchCount() >= 8; }));
  EXPECT_GE((net::monotonicNow() - start).count(), 1.5);  // the shortest possible sum of the seven pauses
}

TEST_F(DiscoveryWatchTest, ServesByConfiguredListWhenDiscoveryIsUnreachable) {
  discovery.listener.rejectConnections(true);
  startNode();
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("by-the-known-list"))), 200);
  EXPECT_TRUE(becomesReady());
}

TEST_F(DiscoveryWatchTest, BecomesReadyWithFirstListWhenNoneIsConfigured) {
  std::shared_ptr<Peer> watchesSeen;
  startNode([](Json& json) { json.erase("known"); });
  EXPECT_EQ(statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
  ASSERT_TRUE(runUntil([&] { return watchCount() == 1; }));
  discovery.peers.front()->send(chunkOf(engineListJson(9, true,
                                                       {engineJson("r1", "prefill", prefillEngine.address()),
                                                        engineJson("w1", "decode", decodeEngine.address())})
                                            .dump() +
                                        "\n"));
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
  EXPECT_EQ(statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")), 200);
}

}  // namespace
}  // namespace gannetcourse::platform
