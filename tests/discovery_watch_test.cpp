// The watch on discovery: it must prove that it is alive, and is opened anew where it does not.
#include "platform_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

// How long a node may take to know a change after a watch broke: the page's 6 s, of the machine's clock.
constexpr double kPropagationLimit = 6;

class DiscoveryWatchTest : public PlatformTest {
 protected:
  static bool isWatch(const http1::Request& r) { return r.target.find("watch=1") != std::string::npos; }
  std::size_t watches() const {
    std::size_t n = 0;
    for (const auto& r : discovery.requests) n += isWatch(r);
    return n;
  }
  std::string drained(std::uint64_t index) const {
    return engineListJson(index, false, {engineJson("w1", "decode", decodeEngine.address(), "draining")})
               .dump() +
           "\n";
  }
  // No request is forwarded once the only decode engine drains.
  bool knowsDrain() {
    const std::size_t before = decodeEngine.requests.size();
    EXPECT_EQ(
        statusOf(sendFromNewClient(chatRequest("probe" + std::to_string(++probes_), "", "chat", "300"))) /
            100,
        5);
    return decodeEngine.requests.size() == before;
  }
  // Plays `first` to the first watch and the change to those after it.
  void changeReachesThroughASecondWatch(const std::function<void(Peer&)>& first) {
    int n = 0;
    discovery.script = [&, n](Peer& peer, const http1::Request&) mutable {
      if (++n == 1) return first(peer);
      peer.send(kStreamHead + chunkOf(drained(9)));
    };
    startNode();
    const Instant began = net::monotonicNow();
    ASSERT_TRUE(runUntil([&] { return watches() >= 2; }));
    EXPECT_LT((net::monotonicNow() - began).count(), kPropagationLimit);
    ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
    EXPECT_TRUE(knowsDrain());
  }

 private:
  int probes_ = 0;
};

TEST_F(DiscoveryWatchTest, ASilentOneIsOpenedAnew) {
  changeReachesThroughASecondWatch([](Peer& p) { p.send(kStreamHead + chunkOf("\n")); });
}
TEST_F(DiscoveryWatchTest, OneThatNeverAnswersIsOpenedAnew) {
  changeReachesThroughASecondWatch([](Peer&) {});
}
TEST_F(DiscoveryWatchTest, OneThatIsResetIsOpenedAnew) {
  changeReachesThroughASecondWatch([](Peer& p) {
    p.send(kStreamHead + chunkOf("\n"));
    p.connection.abort();
  });
}
TEST_F(DiscoveryWatchTest, OneThatEndsInHalfALineIsOpenedAnew) {
  changeReachesThroughASecondWatch([this](Peer& p) {
    p.send(kStreamHead + chunkOf(drained(9).substr(0, 40)));
    p.connection.close();
  });
}
TEST_F(DiscoveryWatchTest, HalfALineDoesNotProveLiveness) {
  changeReachesThroughASecondWatch(
      [this](Peer& p) { p.send(kStreamHead + chunkOf(drained(9).substr(0, 40))); });
}
TEST_F(DiscoveryWatchTest, ARejectionWhoseBodyNeverEndsDoesNotProveLiveness) {
  changeReachesThroughASecondWatch([this](Peer& p) {
    p.send("HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkOf("\n"));
    loop.runAfter(Duration(0.5), [this] {
      if (!discovery.peers.front()->closed) discovery.peers.front()->send(chunkOf("\n"));
    });
  });
}
TEST_F(DiscoveryWatchTest, EndlessMalformedBytesDoNotProveLiveness) {
  changeReachesThroughASecondWatch([](Peer& p) { p.send(kStreamHead + chunkOf("nonsense nonsense")); });
}

TEST_F(DiscoveryWatchTest, AnIndentedListIsRead) {
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
  EXPECT_TRUE(knowsDrain());
}

TEST_F(DiscoveryWatchTest, AnEngineMissingFromASnapshotIsRemoved) {
  discovery.script = [&](Peer& peer, const http1::Request&) {
    peer.send(kStreamHead +
              chunkOf(engineListJson(9, true, {engineJson("r1", "prefill", prefillEngine.address())}).dump() +
                      "\n"));
  };
  startNode();
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
  EXPECT_TRUE(knowsDrain());
}

TEST_F(DiscoveryWatchTest, AListOlderThanTheLatestBringsNoEngineBack) {
  discovery.script = [&, n = 0](Peer& peer, const http1::Request&) mutable {
    if (++n == 1) return peer.send(kStreamHead + chunkOf(drained(9)) + "0\r\n\r\n");
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
  EXPECT_TRUE(knowsDrain());
}

TEST_F(DiscoveryWatchTest, DiscoveryThatWasUnreachableIsUsedSoonAfterItsReturn) {
  discovery.script = [&](Peer& peer, const http1::Request&) { peer.connection.abort(); };
  startNode();
  ASSERT_TRUE(runUntil([&] { return watches() >= 4; }));  // rejected again and again
  discovery.script = [&](Peer& peer, const http1::Request&) { peer.send(kStreamHead + chunkOf(drained(9))); };
  const Instant back = net::monotonicNow();
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
  EXPECT_LT((net::monotonicNow() - back).count(), kPropagationLimit);
  EXPECT_TRUE(knowsDrain());
}

TEST_F(DiscoveryWatchTest, WhileDiscoveryIsSilentOneOpenWatchIsKeptAndOneIsRenewed) {
  discovery.script = [](Peer&, const http1::Request&) {};
  startNode();
  ASSERT_TRUE(runUntil([&] { return watches() >= 3; }));
  EXPECT_FALSE(discovery.peers.front()->closed);
  std::size_t open = 0;
  for (const auto& peer : discovery.peers) open += !peer->closed;
  EXPECT_LE(open, 2U);
  discovery.peers.front()->send(kStreamHead + chunkOf(drained(9)));  // the first one delivers after all
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
  EXPECT_TRUE(knowsDrain());
}

TEST_F(DiscoveryWatchTest, ANewAddressIsUsedThoughTheOldOneStillDelivers) {
  discovery.script = [](Peer& peer, const http1::Request&) { peer.send(kStreamHead + chunkOf("\n")); };
  std::shared_ptr<Peer> late;
  ScriptedServer other(loop, [&](Peer&, const http1::Request&) {});
  startNode();
  ASSERT_TRUE(runUntil([&] { return watches() == 1; }));
  Json fresh = configurationJson();
  fresh["discovery"] = other.address();
  node->reload(configurationOf(fresh));
  ASSERT_TRUE(runUntil([&] { return other.requests.size() == 1; }));
  discovery.peers.front()->send(chunkOf("\n"));
  runFor(0.1);
  ASSERT_FALSE(other.peers.front()->closed);
  other.peers.front()->send(kStreamHead + chunkOf(drained(9)));
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9 && discovery.peers.front()->closed; }));
  EXPECT_TRUE(knowsDrain());
}

TEST_F(DiscoveryWatchTest, ADiscoveryThatEndsEachAnswerIsAskedWithPauses) {
  discovery.script = [&](Peer& peer, const http1::Request&) {
    peer.send(kStreamHead + chunkOf("\n") + "0\r\n\r\n");
  };
  startNode();
  const Instant began = net::monotonicNow();
  ASSERT_TRUE(runUntil([&] { return watches() >= 8; }));
  EXPECT_GE((net::monotonicNow() - began).count(), 1.5);  // the least that seven pauses last
}

TEST_F(DiscoveryWatchTest, ANodeThatKnowsEnginesIsReadyAndServesThoughDiscoveryIsUnreachable) {
  discovery.listener.rejectConnections(true);
  startNode();
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("by-the-known-list"))), 200);
  EXPECT_TRUE(becomesReady());
}

TEST_F(DiscoveryWatchTest, ANodeThatKnowsNoEngineIsReadyOnceItHasAList) {
  std::shared_ptr<Peer> watchesSeen;
  startNode([](Json& json) { json.erase("known"); });
  EXPECT_EQ(statusOf(sendFromNewClient("GET /-/ready HTTP/1.1\r\n\r\n")), 503);
  ASSERT_TRUE(runUntil([&] { return watches() == 1; }));
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
