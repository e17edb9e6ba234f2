// What a watch is told: objects out of bytes, news against old lists, and a watch that must show life.
#include <random>

#include "platform/json_stream_splitter.h"
#include "platform_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

std::vector<std::string> split(const std::string& bytes, std::size_t step) {
  JsonStreamSplitter splitter;
  std::vector<std::string> objects;
  for (std::size_t i = 0; i < bytes.size(); i += step)
    splitter.feed(std::string_view(bytes).substr(i, step),
                [&](std::string o) { objects.push_back(std::move(o)); });
  return objects;
}

TEST(JsonStreamSplitter, FindsObjectsHoweverTheyAreLaidOut) {
  const Json list = engineListJson(
      41, true, {engineJson("a{\"]}\\", "prefill", "10.0.0.1:1"), engineJson("b", "decode", "1.2.3.4:5")});
  const std::string bytes =
      list.dump() + "\n\n" + list.dump(2) + "\n" + list.dump(-1) + list.dump(1) + "\r\n\r\n";
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
    const auto objects = split(bytes, step);
    ASSERT_EQ(objects.size(), 4U);
    for (const auto& text : objects) EXPECT_EQ(Json::parse(text), list);
  }
}

TEST(JsonStreamSplitter, AnEmptyLineIsLifeAndHalfAnObjectIsNot) {
  JsonStreamSplitter splitter;
  const auto none = [](const std::string&) { FAIL(); };
  EXPECT_TRUE(splitter.feed("\n", none));
  EXPECT_FALSE(splitter.feed("  ", none));
  EXPECT_FALSE(splitter.feed("{\"index\": 3,\n \"endpoints\": [\n", none));
  EXPECT_FALSE(splitter.feed("\n\n", none));
  int told = 0;
  EXPECT_TRUE(splitter.feed("]}", [&](const std::string&) { ++told; }));
  EXPECT_EQ(told, 1);
}

TEST(JsonStreamSplitter, SurvivesRandomBytes) {
  std::mt19937 random(3);
  JsonStreamSplitter splitter;
  for (int i = 0; i < 2000; ++i) {
    std::string bytes;
    for (std::size_t n = random() % 40; n > 0; --n) bytes.push_back("{}[]\"\\\n a"[random() % 9]);
    splitter.feed(bytes, [](const std::string& object) { EXPECT_EQ(object.front(), '{'); });
  }
}

TEST(ParseEngineListMessage, ADrainOrRemovalCountsWhateverElseItsEntrySays) {
  const Json bad = {{"group", -3},   {"address", 7},    {"type", Json::array()},
                    {"zone", false}, {"since_ms", "x"}, {"weight", nullptr}};
  for (const char* const status : {"draining", "removed"}) {
    for (const auto& [field, value] : bad.items()) {
      Json entry = engineJson("a", "prefill", "10.0.0.1:1", status);
      entry[field] = value;
      const auto list =
          parseEngineListMessage(engineListJson(9, false, {entry}), {}, net::WallClock(Instant{}, 0));
      ASSERT_TRUE(list);
      ASSERT_EQ(list->engines.size(), 1U) << field;
      EXPECT_EQ(list->engines[0].entry.id, engineIdOf("a")) << field;
      EXPECT_NE(list->engines[0].entry.state, EngineEntry::State::kServing) << field;
    }
  }
}

TEST(EngineListVersion, OlderListsAreNoNewsUntilNothingElseComes) {
  using V = EngineListVersion::Decision;
  EngineListVersion version;
  const auto at = [](double s) { return Instant(Duration(s)); };
  EXPECT_EQ(version.classify(41, true, at(0)), V::kApply);
  EXPECT_EQ(version.classify(43, false, at(1)), V::kApply);
  EXPECT_EQ(version.classify(43, false, at(1)), V::kApply);  // told once more: the same
  EXPECT_EQ(version.classify(40, true, at(2)), V::kResync);  // a replica that lags
  EXPECT_EQ(version.classify(44, false, at(2.1)), V::kApply);
  EXPECT_EQ(version.classify(2, false, at(10)), V::kResync);
  EXPECT_EQ(version.classify(2, true, at(10.5)), V::kResync);
  EXPECT_EQ(version.classify(2, true, at(12.5)), V::kApply);  // it counts anew
  EXPECT_EQ(version.latestIndex(), 2U);
  EXPECT_EQ(version.classify(3, false, at(13)), V::kApply);
}

// How long a node may take to know a change after a watch broke: the page's 6 s, of the machine's clock.
constexpr double kTold = 6;

class WatchTest : public PlatformTest {
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
  // Requests go nowhere once the only writer drains.
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
    EXPECT_LT((net::monotonicNow() - began).count(), kTold);
    ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
    EXPECT_TRUE(knowsDrain());
  }

 private:
  int probes_ = 0;
};

TEST_F(WatchTest, ASilentOneIsOpenedAnew) {
  changeReachesThroughASecondWatch([](Peer& p) { p.send(kStreamHead + chunkOf("\n")); });
}
TEST_F(WatchTest, OneThatNeverAnswersIsOpenedAnew) {
  changeReachesThroughASecondWatch([](Peer&) {});
}
TEST_F(WatchTest, OneThatIsResetIsOpenedAnew) {
  changeReachesThroughASecondWatch([](Peer& p) {
    p.send(kStreamHead + chunkOf("\n"));
    p.connection.abort();
  });
}
TEST_F(WatchTest, OneThatEndsInHalfALineIsOpenedAnew) {
  changeReachesThroughASecondWatch([this](Peer& p) {
    p.send(kStreamHead + chunkOf(drained(9).substr(0, 40)));
    p.connection.close();
  });
}
TEST_F(WatchTest, HalfALineIsNoLife) {
  changeReachesThroughASecondWatch(
      [this](Peer& p) { p.send(kStreamHead + chunkOf(drained(9).substr(0, 40))); });
}
TEST_F(WatchTest, ARefusalWhoseBodyNeverEndsIsNoLife) {
  changeReachesThroughASecondWatch([this](Peer& p) {
    p.send("HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkOf("\n"));
    loop.runAfter(Duration(0.5), [this] {
      if (!discovery.peers.front()->closed) discovery.peers.front()->send(chunkOf("\n"));
    });
  });
}
TEST_F(WatchTest, OneThatSpeaksNonsenseForEverIsNoLife) {
  changeReachesThroughASecondWatch([](Peer& p) { p.send(kStreamHead + chunkOf("nonsense nonsense")); });
}

TEST_F(WatchTest, AnIndentedListIsRead) {
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

TEST_F(WatchTest, AnEngineMissingFromAWholeListIsRemoved) {
  discovery.script = [&](Peer& peer, const http1::Request&) {
    peer.send(kStreamHead +
              chunkOf(engineListJson(9, true, {engineJson("r1", "prefill", prefillEngine.address())}).dump() +
                      "\n"));
  };
  startNode();
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
  EXPECT_TRUE(knowsDrain());
}

TEST_F(WatchTest, AListOlderThanTheOneHeldBringsNoEngineBack) {
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

TEST_F(WatchTest, DiscoveryThatWasGoneIsHeardSoonAfterItsReturn) {
  discovery.script = [&](Peer& peer, const http1::Request&) { peer.connection.abort(); };
  startNode();
  ASSERT_TRUE(runUntil([&] { return watches() >= 4; }));  // refused again and again
  discovery.script = [&](Peer& peer, const http1::Request&) { peer.send(kStreamHead + chunkOf(drained(9))); };
  const Instant back = net::monotonicNow();
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
  EXPECT_LT((net::monotonicNow() - back).count(), kTold);
  EXPECT_TRUE(knowsDrain());
}

TEST_F(WatchTest, WhileDiscoveryIsSilentOneOpenWatchIsKeptAndOneIsRenewed) {
  discovery.script = [](Peer&, const http1::Request&) {};
  startNode();
  ASSERT_TRUE(runUntil([&] { return watches() >= 3; }));
  EXPECT_FALSE(discovery.peers.front()->closed);
  std::size_t open = 0;
  for (const auto& peer : discovery.peers) open += !peer->closed;
  EXPECT_LE(open, 2U);
  discovery.peers.front()->send(kStreamHead + chunkOf(drained(9)));  // the first one speaks after all
  ASSERT_TRUE(runUntil([&] { return node->listIndex() == 9; }));
  EXPECT_TRUE(knowsDrain());
}

TEST_F(WatchTest, ANewAddressIsHeardThoughTheOldOneStillSpeaks) {
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

TEST_F(WatchTest, ADiscoveryThatEndsEachAnswerIsAskedWithPauses) {
  discovery.script = [&](Peer& peer, const http1::Request&) {
    peer.send(kStreamHead + chunkOf("\n") + "0\r\n\r\n");
  };
  startNode();
  const Instant began = net::monotonicNow();
  ASSERT_TRUE(runUntil([&] { return watches() >= 8; }));
  EXPECT_GE((net::monotonicNow() - began).count(), 1.5);  // the least that seven pauses last
}

TEST_F(WatchTest, ANodeThatKnowsEnginesIsReadyAndServesThoughDiscoveryIsAway) {
  discovery.listener.rejectConnections(true);
  startNode();
  EXPECT_EQ(statusOf(sendFromNewClient(chatRequest("by-the-known-list"))), 200);
  EXPECT_TRUE(becomesReady());
}

TEST_F(WatchTest, ANodeThatKnowsNoEngineIsReadyOnceItHasAList) {
  std::shared_ptr<Peer> asked;
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
