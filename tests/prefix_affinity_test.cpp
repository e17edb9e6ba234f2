// Which prefill engine a session or a shared prefix comes back to.
#include <gtest/gtest.h>

#include <algorithm>

#include "harness.h"

namespace gannetcourse::test {
namespace {

TEST(PrefixAffinity, ASessionReturnsToTheEngineThatHasItCached) {
  PolicyHost host(twoStageSettings());
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  const std::uint32_t prefillEngine = serveToEnd(host, 1.1, requestOf("a", 3000, 42));
  // 500 tokens queue there and 3,000 of 3,400 are cached: (500 + 300) + 2 * 400 tokens against 2 * 3,400.
  host.feed(2.0, requestOf("filler", 200, 0));
  const std::uint32_t busy = sentTo(host.last);
  EXPECT_EQ(sentTo(host.feed(2.0, requestOf("b", 3400, 42))), prefillEngine) << "filler went to " << busy;
}

TEST(PrefixAffinity, ARestartedEngineHasNothingCached) {
  const std::vector<EngineEntry> both = {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill),
                                         engineEntry(3, Role::kDecode)};
  std::uint64_t prefix = 1;  // a prefix that prefers engine 2
  for (std::uint32_t preferred = 0; preferred != 2; ++prefix) {
    PolicyHost fresh(twoStageSettings());
    fresh.engineList(1, both);
    preferred = sentTo(fresh.feed(1.1, requestOf("a", 3000, 0, prefix + 1, 2900)));
  }
  PolicyHost host(twoStageSettings());
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(3, Role::kDecode)});
  EXPECT_EQ(serveToEnd(host, 1.1, requestOf("a", 3000, 0, prefix, 2900)), 1U);
  host.engineList(1.6, both);
  EXPECT_EQ(serveToEnd(host, 1.7, requestOf("b", 3000, 0, prefix, 2900)), 1U) << "its cached tokens count";
  EngineEntry again = engineEntry(1, Role::kPrefill);
  again.startedAt = Instant(Duration(2.3));
  host.engineList(3, {again}, EngineListUpdate::Scope::kDelta);
  EXPECT_EQ(serveToEnd(host, 15.1, requestOf("c", 3000, 0, prefix, 2900)), 2U) << "until it starts anew";
}

TEST(PrefixAffinity, ASharedPrefixBreaksTiesAlikeOnEveryRouter) {
  Settings settings = twoStageSettings();
  std::uint32_t selected[2];
  for (int router = 0; router < 2; ++router) {
    settings.seed = 100 + static_cast<std::uint64_t>(router);
    PolicyHost host(settings);
    host.engineList(
        1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
    selected[router] = sentTo(host.feed(1.1, requestOf("a", 500, 0, 99, 400)));
  }
  EXPECT_EQ(selected[0], selected[1]);
}

// With many routers the turns of a session come to different ones, none of which knows where it is cached.
TEST(PrefixAffinity, ASessionHasOnePreferredEngineOnAllRouters) {
  std::vector<EngineEntry> entries = {engineEntry(99, Role::kDecode)};
  for (std::uint32_t id = 1; id <= 8; ++id) entries.push_back(engineEntry(id, Role::kPrefill));
  Settings settings = twoStageSettings();
  settings.routerCount = 50;
  PolicyHost one(settings);
  settings.seed = 12345;
  PolicyHost other(settings);
  one.engineList(1, entries);
  other.engineList(1, entries);
  std::vector<std::uint32_t> preferredEngines;
  for (std::uint64_t session = 1; session <= 20; ++session) {
    preferredEngines.push_back(
        serveToEnd(one, 1 + 0.6 * static_cast<double>(session), requestOf("a", 1000, session)));
    EXPECT_EQ(serveToEnd(other, 1 + 0.6 * static_cast<double>(session), requestOf("a", 1000, session)),
              preferredEngines.back());
  }
  std::sort(preferredEngines.begin(), preferredEngines.end());
  EXPECT_GE(std::unique(preferredEngines.begin(), preferredEngines.end()) - preferredEngines.begin(), 5)
      << "sessions spread over prefill engines";
}

// Sessions that begin with one prefix are prefilled where it is cached, on every router; a prefix that half
// of the requests begin with has more than one preferred engine.
TEST(PrefixAffinity, ASharedPrefixHasPreferredEnginesByItsShareOfTheRequests) {
  std::vector<EngineEntry> entries = {engineEntry(99, Role::kDecode)};
  for (std::uint32_t id = 1; id <= 12; ++id) entries.push_back(engineEntry(id, Role::kPrefill));
  Settings settings = twoStageSettings();
  settings.routerCount = 50;
  PolicyHost one(settings), other(settings);
  one.engineList(1, entries);
  other.engineList(1, entries);
  std::vector<std::uint32_t> hot;
  for (std::uint64_t i = 1; i <= 40; ++i) {
    const double at = 1 + 0.6 * static_cast<double>(i);
    const bool rare = i % 2 == 0;  // each of these prefixes comes once
    const RequestArrived r = requestOf("a", 1000, 1000 + i, rare ? 500 + i : 7, 700);
    if (!rare) {
      hot.push_back(serveToEnd(one, at, r));
    } else {
      RequestArrived again = r;
      again.sessionKey = 2000 + i;
      EXPECT_EQ(serveToEnd(one, at, r), serveToEnd(other, at, again))
          << "a rare prefix has one preferred engine for all sessions";
    }
  }
  std::sort(hot.begin(), hot.end());
  const auto preferredEngines = std::unique(hot.begin(), hot.end()) - hot.begin();
  EXPECT_GE(preferredEngines, 2);
  EXPECT_LE(preferredEngines, 9);
}

}  // namespace
}  // namespace gannetcourse::test
