// Silent engines: which attempts are cancelled, and when.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

// Guards against responses that are lost on their way, one at a time: the engine answers others meanwhile.
TEST(AttemptManager, AnOvertakenAttemptIsCancelledAloneAndNoEngineIsBlamed) {
  for (const bool overtaken : {true, false}) {
    PolicyHost host(twoStageSettings());
    host.engineList(
        0, {engineEntry(1, Role::kPrefill), engineEntry(3, Role::kPrefill), engineEntry(2, Role::kDecode)});
    const std::uint32_t preferred = sentTo(host.feed(0, requestOfSession("lost", 5)));
    ASSERT_EQ(sentTo(host.feed(0.05, requestOfSession("next", 5))), preferred);
    if (overtaken) {
      host.attemptEnded(0.15, "next", preferred, Outcome::kPrefilled);
      host.streamStarted(0.2, "next", 2);
    }
    EXPECT_TRUE(only<CancelAttempt>(host.runUntil(0.4)).empty());
    std::vector<CancelAttempt> cancels = only<CancelAttempt>(host.runUntil(0.8));
    EXPECT_EQ(cancels.size(), overtaken ? 1U : 2U);  // at an engine that is silent to all both are cancelled
    host.attemptEnded(0.81, "lost", preferred, Outcome::kCancelled);
    EXPECT_NE(sentTo(host.last), preferred);  // retried elsewhere
    EXPECT_EQ(sentTo(host.feed(0.82, requestOfSession("after", 5))) == preferred, overtaken);
  }
}

// Under overload all prefills take long. Another attempt that would be late as well does not justify
// throwing this one's prefill away: its engine counts as hung only after twice the patience.
TEST(AttemptManager, AnAttemptGoesOnWhileAnotherWouldBeLateAsWell) {
  Settings settings = twoStageSettings();
  settings.classes[0].ttftObjective = Duration(0.7);
  PolicyHost host(settings);
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  // A quarter of 8,000 tokens is expected to take 0.23 s; after three times that the objective of 0.7 s has
  // nearly passed.
  ASSERT_NE(sentTo(host.feed(1.1, requestOf("long", 8000, 1))), 0U);
  EXPECT_TRUE(only<CancelAttempt>(host.runUntil(2.4)).empty());
  EXPECT_EQ(only<CancelAttempt>(host.runUntil(2.6)).size(), 1U);
}

// A cancelled attempt has taken that long at least: else an overload in which all slow attempts are cancelled
// would never show.
TEST(AttemptManager, ACancelledAttemptCountsInTheTypicalDuration) {
  PolicyHost host(twoStageSettings());
  host.engineList(0, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill),
                      engineEntry(4, Role::kPrefill), engineEntry(3, Role::kDecode)});
  const std::uint32_t first = sentTo(host.feed(0, requestOf("a", 100, 1)));
  ASSERT_EQ(only<CancelAttempt>(host.runUntil(0.6)).size(), 1U);  // half of the objective and a little
  host.feed(0.61, AttemptEnded{{"a"}, 0, {first}, Outcome::kCancelled, false, 0, Duration(0.6), {}});
  host.feed(0.62, ClientDisconnected{{"a"}});
  ASSERT_NE(sentTo(host.feed(0.7, requestOf("b", 100, 2))), 0U);
  EXPECT_TRUE(only<CancelAttempt>(host.runUntil(1.5)).empty());  // 0.5 s after its start, and more
}

TEST(AttemptManager, AnAttemptAtASilentEngineIsCancelledAndRetriedElsewhere) {
  PolicyHost host(twoStageSettings());
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  const std::uint32_t prefillEngine = sentTo(host.request(1.1, "a"));
  const auto cancels = only<CancelAttempt>(host.runUntil(2.4));
  ASSERT_EQ(cancels.size(), 1U);
  EXPECT_EQ(sentTo(host.attemptEnded(2.45, "a", prefillEngine, Outcome::kCancelled)), 3U - prefillEngine);
}

}  // namespace
}  // namespace gannetcourse::test
