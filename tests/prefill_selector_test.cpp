// Selection of prefill engines; the expected choices follow from costs computed by hand.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

TEST(PrefillSelector, SelectsTheEngineWithTheShorterQueue) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  const std::uint32_t first = selectedEngine(host.request(1.1, "a", 800));
  const std::uint32_t second = selectedEngine(host.request(1.1, "b", 800));
  EXPECT_EQ(first + second, 3U) << "the second request goes to the engine without the 800 queued tokens";
}

TEST(PrefillSelector, SelectsAnotherEngineWhenTheQueueOutweighsCachedTokens) {
  Settings settings = twoStageSettings();
  settings.classes[0].ttftObjective =
      Duration(100);  // admits all requests, so that only the selection matters
  PolicyHost host(settings);
  host.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  const std::uint32_t prefillEngine = completeRequest(host, 1.1, makeRequest("a", 1000, 42));
  bool otherSelected = false;
  for (int i = 0; i < 20 && !otherSelected; ++i) {
    otherSelected =
        selectedEngine(host.feed(2.0, makeRequest("b" + std::to_string(i), 1200, 42))) != prefillEngine;
  }
  EXPECT_TRUE(otherSelected);
}

TEST(PrefillSelector, MixedEngineServesBothPhasesAndPrefillEngineIsFollowedByDecodeEngine) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(1, {engineEntry(1, Role::kMixed)});
  EXPECT_EQ(selectedEngine(host.request(1.1, "a")), 1U);
  host.streamStarted(1.2, "a", 1);
  EXPECT_TRUE(actionsOf<StartAttempt>(host.attemptEnded(2, "a", 1, Outcome::kOk, true)).empty());

  PolicyHost pair(twoStageSettings());
  pair.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kMixed), engineEntry(3, Role::kDecode)});
  pair.request(1.1, "b", 3000);
  const std::uint32_t first = selectedEngine(pair.lastActions);
  ASSERT_NE(first, 0U);
  if (first == 1) {
    EXPECT_EQ(selectedEngine(pair.attemptEnded(1.3, "b", 1, Outcome::kPrefilled)), 3U);
  }
}

TEST(PrefillSelector, SelectsDecodeEngineOnlyWithoutPrefillEngines) {
  Settings settings = twoStageSettings();
  settings.decodeCanPrefill = true;
  PolicyHost host(settings);
  host.updateEngineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  EXPECT_EQ(selectedEngine(host.request(1.1, "a")), 1U);
  host.updateEngineList(1.2, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  EngineEntry removed = engineEntry(1, Role::kPrefill);
  removed.state = EngineEntry::State::kRemoved;
  host.updateEngineList(1.3, {removed}, EngineListUpdate::Scope::kDelta);
  EXPECT_EQ(selectedEngine(host.request(1.4, "b")), 2U);
}

}  // namespace
}  // namespace gannetcourse::test
