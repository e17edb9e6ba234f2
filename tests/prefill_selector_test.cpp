// The choice of a prefill engine, with figures worked out by hand.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

TEST(PrefillSelector, GoesToTheShorterQueue) {
  PolicyHost host(twoStageSettings());
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  const std::uint32_t first = sentTo(host.request(1.1, "a", 800));
  const std::uint32_t second = sentTo(host.request(1.1, "b", 800));
  EXPECT_EQ(first + second, 3U) << "800 tokens queue at one prefill engine, none at the other";
}

TEST(PrefillSelector, ALongQueueOutweighsCachedTokens) {
  Settings settings = twoStageSettings();
  settings.classes[0].ttftObjective = Duration(100);  // no waiting here: only the selection counts
  PolicyHost host(settings);
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  const std::uint32_t prefillEngine = serveToEnd(host, 1.1, requestOf("a", 1000, 42));
  bool left = false;
  for (int i = 0; i < 20 && !left; ++i) {
    left = sentTo(host.feed(2.0, requestOf("b" + std::to_string(i), 1200, 42))) != prefillEngine;
  }
  EXPECT_TRUE(left);
}

TEST(PrefillSelector, MixedEnginesServeBothPhasesAndPrefillEnginesServePureDecodeEngines) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {engineEntry(1, Role::kMixed)});
  EXPECT_EQ(sentTo(host.request(1.1, "a")), 1U);
  host.streamStarted(1.2, "a", 1);
  EXPECT_TRUE(only<StartAttempt>(host.attemptEnded(2, "a", 1, Outcome::kOk, true)).empty());

  PolicyHost pair(twoStageSettings());
  pair.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kMixed), engineEntry(3, Role::kDecode)});
  pair.request(1.1, "b", 3000);
  const std::uint32_t first = sentTo(pair.last);
  ASSERT_NE(first, 0U);
  if (first == 1) {
    EXPECT_EQ(sentTo(pair.attemptEnded(1.3, "b", 1, Outcome::kPrefilled)), 3U);
  }
}

TEST(PrefillSelector, ADecodeEnginePrefillsOnlyWithoutPrefillEngines) {
  Settings settings = twoStageSettings();
  settings.decodeCanPrefill = true;
  PolicyHost host(settings);
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  EXPECT_EQ(sentTo(host.request(1.1, "a")), 1U);
  host.engineList(1.2, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  EngineEntry removed = engineEntry(1, Role::kPrefill);
  removed.state = EngineEntry::State::kRemoved;
  host.engineList(1.3, {removed}, EngineListUpdate::Scope::kDelta);
  EXPECT_EQ(sentTo(host.request(1.4, "b")), 2U);
}

}  // namespace
}  // namespace gannetcourse::test
