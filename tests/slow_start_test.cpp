// Slow start: how many attempts engines get that have just started.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

TEST(SlowStart, AttemptsInAnyWindowStayWithinTheBudget) {
  Settings settings = twoStageSettings();
  settings.classes[0].ttftObjective = Duration(100);
  PolicyHost host(settings);
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  for (int i = 0; i < 100; ++i) {  // a warm prefill engine gets 20 a second from this router
    const std::string id = "w" + std::to_string(i);
    ASSERT_EQ(sentTo(host.request(1.1 + i * 0.05, id, 100)), 1U);
    host.attemptEnded(1.12 + i * 0.05, id, 1, Outcome::kPrefilled);
    host.streamStarted(1.13 + i * 0.05, id, 2);
    host.attemptEnded(1.14 + i * 0.05, id, 2, Outcome::kOk, true);
  }
  EngineEntry warming = engineEntry(9, Role::kPrefill);
  warming.startedAt = Instant(Duration(6.2));
  host.engineList(6.2, {warming}, EngineListUpdate::Scope::kDelta);
  int sends = 0;
  for (int i = 0; i < 200; ++i) {  // within its first 2 s, at 100 a second
    host.request(6.2 + i * 0.01, "c" + std::to_string(i), 100);
    for (const StartAttempt& send : only<StartAttempt>(host.last)) sends += send.engine.value == 9;
  }
  EXPECT_GT(sends, 0);
  // At its start it bears 0.3 of 20 a second; 2.5 times that for 2 s are 30, and a little more as it warms
  // up.
  EXPECT_LE(sends, 30);
}

TEST(SlowStart, ARouterThatKnowsNothingStartsOneAWindow) {
  PolicyHost host(twoStageSettings());
  EngineEntry warming = engineEntry(1, Role::kPrefill);
  warming.startedAt = Instant(Duration(0.9));
  host.engineList(1, {warming, engineEntry(2, Role::kDecode)}, EngineListUpdate::Scope::kCached);
  for (int i = 0; i < 10; ++i) host.request(1.1 + i * 0.01, "r" + std::to_string(i), 100);
  EXPECT_EQ(only<StartAttempt>(host.all).size(), 1U);
}

// A rolling restart with six routers: few engines are warm, so what a warm one gets now says little about
// what a warming one can do.
TEST(SlowStart, ARollingRestartDoesNotRaiseTheBudget) {
  Settings settings = twoStageSettings();
  settings.classes[0].ttftObjective = Duration(100);
  settings.routerCount = 6;
  PolicyHost host(settings);
  std::vector<EngineEntry> entries = {engineEntry(1, Role::kPrefill), engineEntry(9, Role::kDecode)};
  for (std::uint32_t id = 2; id <= 4; ++id) {
    entries.push_back(engineEntry(id, Role::kPrefill));
    entries.back().startedAt = Instant(Duration(6 + id * 0.1));
  }
  host.engineList(1, {entries[0], entries[1]});
  int sends = 0;
  for (int i = 0; i < 400; ++i) {  // 40 a second, all to the only warm prefill engine until the others start
    if (i == 240) host.engineList(7, {entries[2], entries[3], entries[4]}, EngineListUpdate::Scope::kDelta);
    const double at = 1 + i * 0.025;
    const std::string id = "r" + std::to_string(i);
    const std::uint32_t prefillEngine = sentTo(host.request(at, id, 100));
    if (at >= 7 && at < 9) sends += prefillEngine == 2;
    host.doHousekeeping(at);
    if (prefillEngine == 0) continue;
    host.attemptEnded(at + 0.01, id, prefillEngine, Outcome::kPrefilled);
    host.streamStarted(at + 0.011, id, 9);
    host.attemptEnded(at + 0.012, id, 9, Outcome::kOk, true);
  }
  // A warm prefill engine got 40 a second from this router: 0.3 * 40 * 2.5 * 2 s = 60, of which 0.6 are
  // used.
  EXPECT_LE(sends, 40);
}

TEST(SlowStart, ManyRoutersThatKnowNothingStartFewTogether) {
  Settings settings = twoStageSettings();
  settings.routerCount = 6;
  EngineEntry warming = engineEntry(1, Role::kPrefill);
  warming.startedAt = Instant(Duration(0.9));
  PolicyHost host(settings);
  host.engineList(1, {warming, engineEntry(2, Role::kDecode)}, EngineListUpdate::Scope::kCached);
  for (int i = 0; i < 50; ++i) host.request(1.1 + i * 0.1, "r" + std::to_string(i), 100, 10);
  EXPECT_LE(only<StartAttempt>(host.all).size(), 1U) << "a third of a request in each window of 2 s";
}

// The wall clock of a start may have been stepped, here or where it was written: that a start is reported now
// counts more than the time in it.
TEST(SlowStart, AStartReportedAnHourOffCountsAsJustNow) {
  for (const double off : {-3600.0, 3600.0}) {
    Settings settings = twoStageSettings();
    settings.classes[0].ttftObjective = Duration(100);
    PolicyHost host(settings);
    host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)},
                    EngineListUpdate::Scope::kCached);
    host.engineList(1.5, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
    EngineEntry fresh = engineEntry(1, Role::kPrefill);
    fresh.startedAt = Instant(Duration(20 + off));
    host.runUntil(20);
    host.engineList(20, {fresh}, EngineListUpdate::Scope::kDelta);
    const auto sendsFrom = [&](double at) {
      int sends = 0;
      for (int i = 0; i < 10; ++i) {
        const std::string id = "r" + std::to_string(at) + "-" + std::to_string(i);
        sends += static_cast<int>(only<StartAttempt>(host.request(at + i * 0.01, id, 100, 90)).size());
      }
      return sends;
    };
    EXPECT_LE(sendsFrom(20.1), 1) << "warming up, its capacity not known";
    host.runUntil(20 + 10 + 2 + 6);
    EXPECT_GE(sendsFrom(host.now + 0.01), 9) << "warm once its slow start is over";
  }
}

// Three hundred routers hear of a fresh engine at once and all have a request for it: not even their first
// ones may come together.
TEST(SlowStart, RoutersThatHearOfAnEngineTogetherDoNotAllStartWithIt) {
  Settings settings = twoStageSettings();
  settings.routerCount = 300;
  EngineEntry warming = engineEntry(1, Role::kPrefill);
  warming.startedAt = Instant(Duration(0.9));
  int sends = 0, later = 0;
  for (int router = 0; router < settings.routerCount; ++router) {
    settings.seed = 1000 + static_cast<std::uint64_t>(router);
    PolicyHost host(settings);
    host.engineList(1, {warming, engineEntry(2, Role::kDecode)}, EngineListUpdate::Scope::kCached);
    for (int i = 0; i < 45; ++i) {
      host.request(1.1 + i * 0.2, "r" + std::to_string(i), 100, 10);
      const std::size_t now = only<StartAttempt>(host.last).size() +
                              only<StartAttempt>(host.doHousekeeping(1.15 + i * 0.2)).size();
      (host.now < 3 ? sends : later) += static_cast<int>(now);
    }
  }
  EXPECT_LE(sends, 6) << "two a window of 2 s are borne in any case; the rest is chance";
  EXPECT_GT(later, 0) << "it is not excluded for good";
}

}  // namespace
}  // namespace gannetcourse::test
