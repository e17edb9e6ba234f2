// Engine lists: draining and removed engines, and lists that cannot be fetched.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

TEST(EngineRegistry, StartsNoAttemptsAtDrainingOrRemovedEngines) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  EngineEntry draining = engineEntry(1, Role::kPrefill);
  draining.state = EngineEntry::State::kDraining;
  host.updateEngineList(1.1, {draining}, EngineListUpdate::Scope::kDelta);
  for (int i = 0; i < 20; ++i) {
    host.request(1.2, "r" + std::to_string(i), 100);
    for (const StartAttempt& start : actionsOf<StartAttempt>(host.lastActions))
      EXPECT_EQ(start.engine.value, 2U);
  }
  host.updateEngineList(1.3, {engineEntry(3, Role::kDecode)});  // a snapshot without the prefill engines
  host.request(1.4, "x", 100);
  EXPECT_TRUE(actionsOf<StartAttempt>(host.lastActions).empty());
}

// Guards against a router that loses its engines, or never asks again, when discovery cannot be reached.
TEST(EngineRegistry, KeepsTheListAndSubscribesAgainWhenAFetchFails) {
  Settings settings = twoStageSettings();
  settings.subscribeToDiscovery = true;
  PolicyHost host(settings);
  host.updateEngineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)},
                        EngineListUpdate::Scope::kCached);
  EXPECT_EQ(actionsOf<SubscribeToEngineList>(host.lastActions).size(), 1U);
  host.updateEngineList(1.1, {}, EngineListUpdate::Scope::kFetchFailed);
  const auto timers = actionsOf<SetTimer>(host.lastActions);
  ASSERT_EQ(timers.size(), 1U);
  EXPECT_EQ(selectedEngine(host.request(1.2, "a")), 1U);
  host.feed(timers[0].at.time_since_epoch().count(), TimerFired{timers[0].timer});
  EXPECT_EQ(actionsOf<SubscribeToEngineList>(host.lastActions).size(), 1U);
  EXPECT_TRUE(actionsOf<SetTimer>(host.lastActions).empty()) << "housekeeping has its own timer";
}

}  // namespace
}  // namespace gannetcourse::test
