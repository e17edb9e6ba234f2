// Tests that releases reach a responsive engine as soon as there is one, in simulated time.
#include <set>

#include "stepped_time.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class ReleaseDispatcherTest : public SteppedTest {
 protected:
  // Starts a node with `others` prefill engines besides the two of the fixture. None of the engines answers
  // while `silent` is set.
  void startWith(int others, const std::function<void(Json&)>& editConfiguration = nullptr) {
    std::vector<Json> entries = {engineJson("r1", "prefill", prefillEngine.address()),
                                 engineJson("w1", "decode", decodeEngine.address())};
    prefillEngine.script = decodeEngine.script = script;
    for (int i = 0; i < others; ++i) {
      moreEngines.emplace_back(loop, script);
      entries.push_back(engineJson("r" + std::to_string(i + 2), "prefill", moreEngines.back().address()));
    }
    startNode([&](Json& json) {
      json["known"] = engineListJson(7, true, entries);
      if (editConfiguration) editConfiguration(json);
    });
  }

  const ScriptedServer::Script script = [this](Peer& peer, const http1::Request& request) {
    if (silent) return;
    if (request.method == "DELETE") ++answeredReleases;
    answerPrefill(peer, request);
  };

  std::list<ScriptedServer> moreEngines;
  bool silent = false;
  int answeredReleases = 0;
};

TEST_F(ReleaseDispatcherTest, KeepsReleasePendingWhileAllEnginesAreSilent) {
  silent = true;
  startWith(2);
  const auto peer = sendFromNewClient(chatRequest("held"));
  ASSERT_TRUE(becomesTrueWithin(1, [&] { return node->core().openRequests() == 1; }));
  advance(0.1);
  peer->connection.close();
  advance(6);
  EXPECT_EQ(answeredReleases, 0);
  silent = false;
  EXPECT_TRUE(becomesTrueWithin(0.3, [&] { return answeredReleases > 0; }));
  EXPECT_EQ(node->engineClient().auxiliaryCalls(), 0U);
}

// An engine that was removed from the list may still run and accept releases. It is called only after the
// listed engines have not answered.
TEST_F(ReleaseDispatcherTest, CallsRemovedEngineWhenNoListedEngineAnswers) {
  std::vector<bool> calledRemoved;  // for each call, whether it went to the removed engine
  ScriptedServer listed(loop, [&](Peer&, const http1::Request&) { calledRemoved.push_back(false); });
  ScriptedServer removed(loop, [&](Peer& peer, const http1::Request&) {
    calledRemoved.push_back(true);
    peer.send("HTTP/1.1 204 No Content\r\n\r\n");
  });
  http1::Client calls(loop, {});
  EngineTable engines;
  engines[EngineId{1}].address = *net::parseEndpoint(removed.address());
  engines[EngineId{1}].removed = true;
  engines[EngineId{2}].address = *net::parseEndpoint(listed.address());
  ReleaseDispatcher releases(loop, calls, engines, [](EngineId) {});
  releases.startRelease("a");
  EXPECT_TRUE(becomesTrueWithin(0.5, [&] { return releases.pending() == 0; }));
  EXPECT_EQ(calledRemoved, (std::vector<bool>{false, true}));
}

// Once a removed engine has answered one release, the pending ones must be sent to it as well, even though
// seven listed engines stay silent.
TEST_F(ReleaseDispatcherTest, SendsManyReleasesToRemovedEngineWhenAllListedEnginesAreSilent) {
  constexpr int kReleases = 40, kSilent = 7;
  std::set<std::string> releasedTargets;
  ScriptedServer removed(loop, [&](Peer& peer, const http1::Request& request) {
    releasedTargets.insert(request.target);
    peer.send("HTTP/1.1 204 No Content\r\n\r\n");
  });
  std::list<ScriptedServer> silentEngines;
  http1::Client calls(loop, {});
  EngineTable engines;
  engines[EngineId{99}].address = *net::parseEndpoint(removed.address());
  engines[EngineId{99}].removed = true;
  for (std::uint32_t id = 1; id <= kSilent; ++id) {
    silentEngines.emplace_back(loop, [](Peer&, const http1::Request&) {});
    engines[EngineId{id}].address = *net::parseEndpoint(silentEngines.back().address());
  }
  ReleaseDispatcher releases(loop, calls, engines, [](EngineId) {});
  for (int i = 0; i < kReleases; ++i) releases.startRelease("r" + std::to_string(i));
  EXPECT_TRUE(becomesTrueWithin(0.5, [&] { return releasedTargets.size() == kReleases; }))
      << releasedTargets.size();
}

// Calls to silent engines must not keep a slow engine from being called. After its first answer, 0.3 s late,
// all pending releases are sent to it.
TEST_F(ReleaseDispatcherTest, SendsManyReleasesToSlowEngineWhenAllOthersAreSilent) {
  constexpr int kReleases = 40, kSilent = 7;
  const Duration kAnswerDelay{0.3};
  std::set<std::string> releasedTargets;
  ScriptedServer slow(loop, [&](Peer& peer, const http1::Request& request) {
    releasedTargets.insert(request.target);
    loop.runAfter(kAnswerDelay, [&peer] { peer.send("HTTP/1.1 204 No Content\r\n\r\n"); });
  });
  std::list<ScriptedServer> silentEngines;
  http1::Client calls(loop, {});
  EngineTable engines;
  engines[EngineId{99}].address = *net::parseEndpoint(slow.address());
  for (std::uint32_t id = 1; id <= kSilent; ++id) {
    silentEngines.emplace_back(loop, [](Peer&, const http1::Request&) {});
    engines[EngineId{id}].address = *net::parseEndpoint(silentEngines.back().address());
    engines[EngineId{id}].lastActivityAt = loop.now();  // ranks the silent engines before the slow one
  }
  ReleaseDispatcher releases(loop, calls, engines, [](EngineId) {});
  releases.setStateLeaseLimit(Duration(0.3));
  for (int i = 0; i < kReleases; ++i) releases.startRelease("r" + std::to_string(i));
  EXPECT_TRUE(becomesTrueWithin(0.5, [&] { return releasedTargets.size() == kReleases; }))
      << releasedTargets.size();
  EXPECT_TRUE(becomesTrueWithin(0.5, [&] { return releases.pending() == 0; }));
}

// Without any engine no release completes, so the number of pending releases must be bounded. Repeating a
// release that is pending adds none.
TEST_F(ReleaseDispatcherTest, LimitsPendingReleasesAndIgnoresRepeats) {
  http1::Client calls(loop, {});
  const EngineTable noEngines;
  ReleaseDispatcher releases(loop, calls, noEngines, [](EngineId) {});
  for (std::size_t i = 0; i <= ReleaseDispatcher::kMaxPending; ++i)
    releases.startRelease("r" + std::to_string(i));
  EXPECT_EQ(releases.pending(), ReleaseDispatcher::kMaxPending);
  EXPECT_EQ(releases.counters().abandoned, 1U);
  releases.startRelease("r7");
  EXPECT_EQ(releases.pending(), ReleaseDispatcher::kMaxPending);
  EXPECT_EQ(releases.counters().abandoned, 1U);
}

// The first call may have reached the engine before the state to be released existed. Only a call
// that was sent after the repeated release may complete it.
TEST_F(ReleaseDispatcherTest, IgnoresAnswerToCallSentBeforeRepeatedRelease) {
  std::vector<Peer*> calledPeers;
  prefillEngine.script = [&](Peer& peer, const http1::Request&) { calledPeers.push_back(&peer); };
  http1::Client calls(loop, {});
  EngineTable engines;
  engines[EngineId{1}].address = *net::parseEndpoint(prefillEngine.address());
  ReleaseDispatcher releases(loop, calls, engines, [](EngineId) {});
  releases.startRelease("a");
  ASSERT_TRUE(becomesTrueWithin(0.1, [&] { return calledPeers.size() == 1; }));
  advance(0.01);
  releases.startRelease("a");
  calledPeers.front()->send("HTTP/1.1 204 No Content\r\n\r\n");
  advance(0.01);
  EXPECT_EQ(releases.pending(), 1U);
  ASSERT_TRUE(becomesTrueWithin(0.2, [&] { return calledPeers.size() >= 2; }));
  calledPeers.back()->send("HTTP/1.1 204 No Content\r\n\r\n");
  advance(0.01);
  EXPECT_EQ(releases.pending(), 0U);
}

}  // namespace
}  // namespace gannetcourse::platform
