// Releases reach an engine that runs, as soon as there is one, in stepped time.
#include <set>

#include "stepped_time.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class ReleaseDispatcherTest : public SteppedTest {
 protected:
  // Engines beside the two of the fixture; all of them silent while `silent` is set.
  void startWith(int others, const std::function<void(Json&)>& change = nullptr) {
    std::vector<Json> entries = {engineJson("r1", "prefill", prefillEngine.address()),
                                 engineJson("w1", "decode", decodeEngine.address())};
    prefillEngine.script = decodeEngine.script = script;
    for (int i = 0; i < others; ++i) {
      more.emplace_back(loop, script);
      entries.push_back(engineJson("r" + std::to_string(i + 2), "prefill", more.back().address()));
    }
    startNode([&](Json& json) {
      json["known"] = engineListJson(7, true, entries);
      if (change) change(json);
    });
  }

  const ScriptedServer::Script script = [this](Peer& peer, const http1::Request& request) {
    if (silent) return;
    if (request.method == "DELETE") ++taken;
    answerPrefill(peer, request);
  };

  std::list<ScriptedServer> more;
  bool silent = false;
  int taken = 0;  // releases that an engine has answered
};

TEST_F(ReleaseDispatcherTest, AReleaseIsNotAbandonedWhileAllEnginesAreSilent) {
  silent = true;
  startWith(2);
  const auto peer = sendFromNewClient(chatRequest("held"));
  ASSERT_TRUE(happensWithin(1, [&] { return node->core().openRequests() == 1; }));
  advance(0.1);
  peer->connection.close();
  advance(6);
  EXPECT_EQ(taken, 0);
  silent = false;
  EXPECT_TRUE(happensWithin(0.3, [&] { return taken > 0; }));
  EXPECT_EQ(node->engineClient().auxiliaryCalls(), 0U);
}

// An engine that is off the list may run on, and takes a release as well as any other; it comes last.
TEST_F(ReleaseDispatcherTest, ARemovedEngineIsCalledWhereNoOtherAnswers) {
  std::vector<bool> offTheList;  // of the engines called, in turn
  ScriptedServer onTheList(loop, [&](Peer&, const http1::Request&) { offTheList.push_back(false); });
  ScriptedServer removed(loop, [&](Peer& peer, const http1::Request&) {
    offTheList.push_back(true);
    peer.send("HTTP/1.1 204 No Content\r\n\r\n");
  });
  http1::Client calls(loop, {});
  EngineTable engines;
  engines[EngineId{1}].address = *net::parseEndpoint(removed.address());
  engines[EngineId{1}].removed = true;
  engines[EngineId{2}].address = *net::parseEndpoint(onTheList.address());
  ReleaseDispatcher releases(loop, calls, engines, [](EngineId) {});
  releases.startRelease("a");
  EXPECT_TRUE(happensWithin(0.5, [&] { return releases.pending() == 0; }));
  EXPECT_EQ(offTheList, (std::vector<bool>{false, true}));
}

// What it answers brings it all the others, as with any engine.
TEST_F(ReleaseDispatcherTest, ManyReleasesAtOnceReachTheRemovedEngineThatRuns) {
  constexpr int kReleases = 40, kSilent = 7;
  std::set<std::string> reached;
  ScriptedServer removed(loop, [&](Peer& peer, const http1::Request& request) {
    reached.insert(request.target);
    peer.send("HTTP/1.1 204 No Content\r\n\r\n");
  });
  std::list<ScriptedServer> silentOnes;
  http1::Client calls(loop, {});
  EngineTable engines;
  engines[EngineId{99}].address = *net::parseEndpoint(removed.address());
  engines[EngineId{99}].removed = true;
  for (std::uint32_t id = 1; id <= kSilent; ++id) {
    silentOnes.emplace_back(loop, [](Peer&, const http1::Request&) {});
    engines[EngineId{id}].address = *net::parseEndpoint(silentOnes.back().address());
  }
  ReleaseDispatcher releases(loop, calls, engines, [](EngineId) {});
  for (int i = 0; i < kReleases; ++i) releases.startRelease("r" + std::to_string(i));
  EXPECT_TRUE(happensWithin(0.5, [&] { return reached.size() == kReleases; })) << reached.size();
}

// Many releases at once and one engine that answers, late: the calls to silent engines do not keep it from
// being called, and its first answer brings it all the others.
TEST_F(ReleaseDispatcherTest, ManyReleasesAtOnceReachTheOneSlowEngineThatRuns) {
  constexpr int kReleases = 40, kSilent = 7;
  const Duration kAnswersAfter{0.3};
  std::set<std::string> reached;
  ScriptedServer slow(loop, [&](Peer& peer, const http1::Request& request) {
    reached.insert(request.target);
    loop.runAfter(kAnswersAfter, [&peer] { peer.send("HTTP/1.1 204 No Content\r\n\r\n"); });
  });
  std::list<ScriptedServer> silentOnes;
  http1::Client calls(loop, {});
  EngineTable engines;
  engines[EngineId{99}].address = *net::parseEndpoint(slow.address());
  for (std::uint32_t id = 1; id <= kSilent; ++id) {
    silentOnes.emplace_back(loop, [](Peer&, const http1::Request&) {});
    engines[EngineId{id}].address = *net::parseEndpoint(silentOnes.back().address());
    engines[EngineId{id}].lastActivityAt = loop.now();  // more likely to be there
  }
  ReleaseDispatcher releases(loop, calls, engines, [](EngineId) {});
  releases.setStateLeaseLimit(Duration(0.3));
  for (int i = 0; i < kReleases; ++i) releases.startRelease("r" + std::to_string(i));
  EXPECT_TRUE(happensWithin(0.5, [&] { return reached.size() == kReleases; })) << reached.size();
  EXPECT_TRUE(happensWithin(0.5, [&] { return releases.pending() == 0; }));
}

// Without an engine none is taken: what is pending is bounded, and a repeat adds nothing to it.
TEST_F(ReleaseDispatcherTest, WhatIsPendingIsBoundedAndARepeatAddsNothing) {
  http1::Client calls(loop, {});
  const EngineTable none;
  ReleaseDispatcher releases(loop, calls, none, [](EngineId) {});
  for (std::size_t i = 0; i <= ReleaseDispatcher::kMaxPending; ++i)
    releases.startRelease("r" + std::to_string(i));
  EXPECT_EQ(releases.pending(), ReleaseDispatcher::kMaxPending);
  EXPECT_EQ(releases.counters().abandoned, 1U);
  releases.startRelease("r7");
  EXPECT_EQ(releases.pending(), ReleaseDispatcher::kMaxPending);
  EXPECT_EQ(releases.counters().abandoned, 1U);
}

// The first call may have come before what it was to release: only one sent after the repeat ends it.
TEST_F(ReleaseDispatcherTest, ACallFromBeforeARepeatDoesNotEndIt) {
  std::vector<Peer*> asked;
  prefillEngine.script = [&](Peer& peer, const http1::Request&) { asked.push_back(&peer); };
  http1::Client calls(loop, {});
  EngineTable engines;
  engines[EngineId{1}].address = *net::parseEndpoint(prefillEngine.address());
  ReleaseDispatcher releases(loop, calls, engines, [](EngineId) {});
  releases.startRelease("a");
  ASSERT_TRUE(happensWithin(0.1, [&] { return asked.size() == 1; }));
  advance(0.01);
  releases.startRelease("a");
  asked.front()->send("HTTP/1.1 204 No Content\r\n\r\n");
  advance(0.01);
  EXPECT_EQ(releases.pending(), 1U);
  ASSERT_TRUE(happensWithin(0.2, [&] { return asked.size() >= 2; }));
  asked.back()->send("HTTP/1.1 204 No Content\r\n\r\n");
  advance(0.01);
  EXPECT_EQ(releases.pending(), 0U);
}

}  // namespace
}  // namespace gannetcourse::platform
