// Engine lists: draining, removed engines, lists that fail to come.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

TEST(EngineRegistry, ADrainingEngineGetsNothingNew) {
  PolicyHost host(twoStageSettings());
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  EngineEntry draining = engineEntry(1, Role::kPrefill);
  draining.state = EngineEntry::State::kDraining;
  host.engineList(1.1, {draining}, EngineListUpdate::Scope::kDelta);
  for (int i = 0; i < 20; ++i) {
    host.request(1.2, "r" + std::to_string(i), 100);
    for (const StartAttempt& send : only<StartAttempt>(host.last)) EXPECT_EQ(send.engine.value, 2U);
  }
  host.engineList(1.3, {engineEntry(3, Role::kDecode)});  // a snapshot without the prefill engines
  host.request(1.4, "x", 100);
  EXPECT_TRUE(only<StartAttempt>(host.last).empty());
}

TEST(EngineRegistry, AFailedFetchKeepsTheListAndIsRetried) {
  Settings settings = twoStageSettings();
  settings.subscribeToDiscovery = true;
  PolicyHost host(settings);
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)},
                  EngineListUpdate::Scope::kCached);
  EXPECT_EQ(only<SubscribeToEngineList>(host.last).size(), 1U);
  host.engineList(1.1, {}, EngineListUpdate::Scope::kFetchFailed);
  const auto timers = only<SetTimer>(host.last);
  ASSERT_EQ(timers.size(), 1U);
  EXPECT_EQ(sentTo(host.request(1.2, "a")), 1U);
  host.feed(timers[0].at.time_since_epoch().count(), TimerFired{timers[0].timer});
  EXPECT_EQ(only<SubscribeToEngineList>(host.last).size(), 1U);
  EXPECT_TRUE(only<SetTimer>(host.last).empty()) << "housekeeping keeps its own timer";
}

}  // namespace
}  // namespace gannetcourse::test
