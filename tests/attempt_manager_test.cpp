// Attempts at engines that do not answer: which are cancelled, and when.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

// The response of one attempt was lost while the engine answers later attempts: only that attempt is
// cancelled, and the engine stays in selection. If it answers none, all its attempts are cancelled and it is
// avoided.
TEST(AttemptManager, CancelsOnlyTheAttemptThatALaterOneHasOvertaken) {
  for (const bool overtaken : {true, false}) {
    PolicyHost host(twoStageSettings());
    host.updateEngineList(
        0, {engineEntry(1, Role::kPrefill), engineEntry(3, Role::kPrefill), engineEntry(2, Role::kDecode)});
    const std::uint32_t preferred = selectedEngine(host.feed(0, makeSessionRequest("lost", 5)));
    ASSERT_EQ(selectedEngine(host.feed(0.05, makeSessionRequest("next", 5))), preferred);
    if (overtaken) {
      host.attemptEnded(0.15, "next", preferred, Outcome::kPrefilled);
      host.streamStarted(0.2, "next", 2);
    }
    EXPECT_TRUE(actionsOf<CancelAttempt>(host.runUntil(0.4)).empty());
    std::vector<CancelAttempt> cancels = actionsOf<CancelAttempt>(host.runUntil(0.8));
    EXPECT_EQ(cancels.size(), overtaken ? 1U : 2U);  // both, if the engine answers neither
    host.attemptEnded(0.81, "lost", preferred, Outcome::kCancelled);
    EXPECT_NE(selectedEngine(host.lastActions), preferred);  // retried at another engine
    EXPECT_EQ(selectedEngine(host.feed(0.82, makeSessionRequest("after", 5))) == preferred, overtaken);
  }
}

// Under overload all prefills are slow. If a retry would miss the objective too, cancelling would only waste
// the prefill; the attempt then counts as hung only after twice the silence timeout.
TEST(AttemptManager, KeepsSlowAttemptWhileARetryWouldAlsoBeLate) {
  Settings settings = twoStageSettings();
  settings.classes[0].ttftObjective = Duration(0.7);
  PolicyHost host(settings);
  host.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  // A quarter of the 8,000 tokens is uncached, with an expected prefill time of 0.23 s. After three times
  // that, the objective of 0.7 s has nearly passed.
  ASSERT_NE(selectedEngine(host.feed(1.1, makeRequest("long", 8000, 1))), 0U);
  EXPECT_TRUE(actionsOf<CancelAttempt>(host.runUntil(2.4)).empty());
  EXPECT_EQ(actionsOf<CancelAttempt>(host.runUntil(2.6)).size(), 1U);
}

// A cancelled attempt took at least the time until its cancellation. If that were not counted, an overload in
// which all slow attempts are cancelled would never raise the typical duration.
TEST(AttemptManager, CountsCancelledAttemptInTheTypicalDuration) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(0, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill),
                            engineEntry(4, Role::kPrefill), engineEntry(3, Role::kDecode)});
  const std::uint32_t first = selectedEngine(host.feed(0, makeRequest("a", 100, 1)));
  ASSERT_EQ(actionsOf<CancelAttempt>(host.runUntil(0.6)).size(), 1U);  // a little after half of the objective
  host.feed(0.61, AttemptEnded{{"a"}, 0, {first}, Outcome::kCancelled, false, 0, Duration(0.6), {}});
  host.feed(0.62, ClientDisconnected{{"a"}});
  ASSERT_NE(selectedEngine(host.feed(0.7, makeRequest("b", 100, 2))), 0U);
  EXPECT_TRUE(actionsOf<CancelAttempt>(host.runUntil(1.5)).empty());  // 0.8 s after its start
}

TEST(AttemptManager, CancelsAttemptAtASilentEngineAndRetriesItElsewhere) {
  PolicyHost host(twoStageSettings());
  host.updateEngineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  const std::uint32_t prefillEngine = selectedEngine(host.request(1.1, "a"));
  const auto cancels = actionsOf<CancelAttempt>(host.runUntil(2.4));
  ASSERT_EQ(cancels.size(), 1U);
  EXPECT_EQ(selectedEngine(host.attemptEnded(2.45, "a", prefillEngine, Outcome::kCancelled)),
            3U - prefillEngine);
}

}  // namespace
}  // namespace gannetcourse::test
