// The choice of a decode engine, with figures worked out by hand.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

TEST(DecodeSelector, SelectsInThePrefillEnginesCellAfterThePrefill) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {engineEntry(1, Role::kPrefill, 0), engineEntry(2, Role::kDecode, 1),
                      engineEntry(3, Role::kDecode, 0)});
  EXPECT_EQ(sentTo(host.request(1.1, "a")), 1U);
  EXPECT_TRUE(only<Reserve>(host.all).empty());
  // 1,000 tokens: 5 ms inside the cell against 20 ms and the cost of leaving it.
  EXPECT_EQ(sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled)), 3U);
}

TEST(DecodeSelector, AFullEngineYieldsToTheNextCell) {
  Settings settings = twoStageSettings();
  settings.loadReportSource = LoadReportSource::kProbes;
  settings.probesAllowed = true;
  PolicyHost host(settings);
  host.engineList(1, {engineEntry(1, Role::kPrefill, 0), engineEntry(2, Role::kDecode, 1),
                      engineEntry(3, Role::kDecode, 0)});
  LoadReport full;
  full.memoryUtilization = 0.998;
  host.feed(1.05, ProbeEnded{{3}, Outcome::kOk, Duration(0.001), full});
  host.request(1.1, "a");
  EXPECT_EQ(sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled)), 2U);
}

// An engine that has slowed down still gives first tokens in time; that its streams do not end shows it.
TEST(DecodeSelector, AnEngineWhoseStreamsDoNotEndYields) {
  PolicyHost host(twoStageSettings());
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  double at = 1.1;
  int toSlow = 0, toOther = 0;
  for (int i = 0; i < 60; ++i, at += 0.4) {
    const std::string id = "s" + std::to_string(i);
    const std::uint32_t prefillEngine = sentTo(host.request(at, id, 200));
    const std::uint32_t decodeEngine =
        sentTo(host.attemptEnded(at + 0.02, id, prefillEngine, Outcome::kPrefilled));
    host.streamStarted(at + 0.04, id, decodeEngine);
    if (decodeEngine == 3)
      host.attemptEnded(at + 0.3, id, decodeEngine, Outcome::kOk,
                        true);  // those of decode engine 2 never end
    host.runUntil(at + 0.39);
    if (i >= 30) (decodeEngine == 2 ? toSlow : toOther) += 1;
  }
  EXPECT_LE(toSlow, 2);
  EXPECT_GE(toOther, 28);
}

// To a router that has just started only short streams have ended: that makes no engine slow and excludes
// none.
TEST(DecodeSelector, ShortStreamsFirstMakeNoEngineSlow) {
  PolicyHost host(twoStageSettings());
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  double at = 1.1;
  for (int i = 0; i < 40; ++i, at += 0.1) {
    const std::string id = "s" + std::to_string(i);
    ASSERT_EQ(sentTo(host.request(at, id, 200)), 1U) << "request " << i;
    const std::uint32_t decodeEngine = sentTo(host.attemptEnded(at + 0.02, id, 1, Outcome::kPrefilled));
    host.streamStarted(at + 0.04, id, decodeEngine);
    if (i < 4) host.attemptEnded(at + 0.06, id, decodeEngine, Outcome::kOk, true);  // the others go on
    host.runUntil(at + 0.09);
  }
}

}  // namespace
}  // namespace gannetcourse::test
