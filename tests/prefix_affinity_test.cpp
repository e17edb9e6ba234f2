// Preferred prefill engines of sessions and of shared prefixes.
#include <gtest/gtest.h>

#include <algorithm>

#include "harness.h"

namespace gannetcourse::test {
namespace {

TEST(PrefixAffinity, SelectsTheEngineThatHasTheSessionCached) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  const std::uint32_t prefillEngine = completeRequest(host, 1.1, makeRequest("a", 3000, 42));
  // 500 tokens are queued there and 3,000 of 3,400 are cached: a cost of (500 + 300) + 2 * 400 tokens,
  // compared with 2 * 3,400 at the other engine.
  host.feed(2.0, makeRequest("filler", 200, 0));
  const std::uint32_t busy = selectedEngine(host.lastActions);
  EXPECT_EQ(selectedEngine(host.feed(2.0, makeRequest("b", 3400, 42))), prefillEngine)
      << "the filler request was sent to engine " << busy;
}

TEST(PrefixAffinity, AssumesNothingCachedAtARestartedEngine) {
  const std::vector<EngineEntry> both = {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill),
                                         engineEntry(3, Role::kDecode)};
  std::uint64_t prefix = 1;  // a prefix that prefers engine 2
  for (std::uint32_t preferred = 0; preferred != 2; ++prefix) {
    PolicyHost fresh(twoStageSettings());
    fresh.updateEngineList(1, both);
    preferred = selectedEngine(fresh.feed(1.1, makeRequest("a", 3000, 0, prefix + 1, 2900)));
  }
  PolicyHost host(twoStageSettings());
  host.updateEngineList(1, {engineEntry(1, Role::kPrefill), engineEntry(3, Role::kDecode)});
  EXPECT_EQ(completeRequest(host, 1.1, makeRequest("a", 3000, 0, prefix, 2900)), 1U);
  host.updateEngineList(1.6, both);
  EXPECT_EQ(completeRequest(host, 1.7, makeRequest("b", 3000, 0, prefix, 2900)), 1U)
      << "engine 1 has the prefix cached";
  EngineEntry restarted = engineEntry(1, Role::kPrefill);
  restarted.startedAt = Instant(Duration(2.3));
  host.updateEngineList(3, {restarted}, EngineListUpdate::Scope::kDelta);
  EXPECT_EQ(completeRequest(host, 15.1, makeRequest("c", 3000, 0, prefix, 2900)), 2U)
      << "engine 1 has restarted and lost its cache";
}

TEST(PrefixAffinity, RoutersSelectTheSameEngineForASharedPrefix) {
  Settings settings = twoStageSettings();
  std::uint32_t selected[2];
  for (int router = 0; router < 2; ++router) {
    settings.seed = 100 + static_cast<std::uint64_t>(router);
    PolicyHost host(settings);
    host.updateEngineList(
        1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
    selected[router] = selectedEngine(host.feed(1.1, makeRequest("a", 500, 0, 99, 400)));
  }
  EXPECT_EQ(selected[0], selected[1]);
}

// With many routers, the turns of a session arrive at different routers that do not know where it is cached.
// They have to prefer the same engine without communication.
TEST(PrefixAffinity, RoutersPreferTheSameEngineForASession) {
  std::vector<EngineEntry> entries = {engineEntry(99, Role::kDecode)};
  for (std::uint32_t id = 1; id <= 8; ++id) entries.push_back(engineEntry(id, Role::kPrefill));
  Settings settings = twoStageSettings();
  settings.routerCount = 50;
  PolicyHost one(settings);
  settings.seed = 12345;
  PolicyHost other(settings);
  one.updateEngineList(1, entries);
  other.updateEngineList(1, entries);
  std::vector<std::uint32_t> preferredEngines;
  for (std::uint64_t session = 1; session <= 20; ++session) {
    preferredEngines.push_back(
        completeRequest(one, 1 + 0.6 * static_cast<double>(session), makeRequest("a", 1000, session)));
    EXPECT_EQ(completeRequest(other, 1 + 0.6 * static_cast<double>(session), makeRequest("a", 1000, session)),
              preferredEngines.back());
  }
  std::sort(preferredEngines.begin(), preferredEngines.end());
  EXPECT_GE(std::unique(preferredEngines.begin(), preferredEngines.end()) - preferredEngines.begin(), 5)
      << "sessions are distributed over the prefill engines";
}

// Requests with the same shared prefix have to be prefilled where it is cached, by every router. A prefix of
// half of all requests would overload one engine and therefore has several preferred engines.
TEST(PrefixAffinity, PrefersMoreEnginesForAMorePopularPrefix) {
  std::vector<EngineEntry> entries = {engineEntry(99, Role::kDecode)};
  for (std::uint32_t id = 1; id <= 12; ++id) entries.push_back(engineEntry(id, Role::kPrefill));
  Settings settings = twoStageSettings();
  settings.routerCount = 50;
  PolicyHost one(settings), other(settings);
  one.updateEngineList(1, entries);
  other.updateEngineList(1, entries);
  std::vector<std::uint32_t> popularEngines;  // selected for the popular prefix
  for (std::uint64_t i = 1; i <= 40; ++i) {
    const double at = 1 + 0.6 * static_cast<double>(i);
    const bool rare = i % 2 == 0;  // each rare prefix belongs to one request per router
    const RequestArrived r = makeRequest("a", 1000, 1000 + i, rare ? 500 + i : 7, 700);
    if (!rare) {
      popularEngines.push_back(completeRequest(one, at, r));
    } else {
      RequestArrived otherSession = r;
      otherSession.sessionKey = 2000 + i;
      EXPECT_EQ(completeRequest(one, at, r), completeRequest(other, at, otherSession))
          << "a rare prefix has one preferred engine for all sessions";
    }
  }
  std::sort(popularEngines.begin(), popularEngines.end());
  const auto preferredEngines =
      std::unique(popularEngines.begin(), popularEngines.end()) - popularEngines.begin();
  EXPECT_GE(preferredEngines, 2);
  EXPECT_LE(preferredEngines, 9);
}

}  // namespace
}  // namespace gannetcourse::test
