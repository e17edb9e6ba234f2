// States that wait at a reader are let go in time, whatever becomes of the writes that were sent for them.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

constexpr double kPinLimit = 1, kReadEnds = 1.2;
constexpr std::uint32_t kReader = 1;

Settings settingsWith(Idempotency effect) {
  Settings settings = twoStageSettings();
  settings.classes[0].idempotency = effect;
  settings.classes[0].dedupWindow = Duration(10);
  settings.classes[0].ttftObjective = Duration(3);
  settings.stateLeaseLimit = Duration(kPinLimit);
  settings.connectTimeout = Duration(0.25);
  return settings;
}

constexpr Idempotency kEffects[] = {Idempotency::kIdempotent, Idempotency::kIdempotencyKey,
                                    Idempotency::kAtMostOnce};

// A request whose read has ended and whose write is out.
class Writing {
 public:
  explicit Writing(Idempotency effect)
      : host(settingsWith(effect)), mayRepeat(effect != Idempotency::kAtMostOnce) {
    host.list(1, {server(kReader, Role::kPrefill), server(2, Role::kDecode), server(3, Role::kDecode)});
    host.request(1.1, "a");
    writer = sentTo(host.ended(kReadEnds, "a", kReader, Outcome::kPrefilled));
    EXPECT_NE(writer, 0U);
    host.all.clear();
  }

  Host host;
  bool mayRepeat;
  std::uint32_t writer = 0;
};

TEST(HeldState, AWriteThatSaysNothingDoesNotStopTheClock) {
  for (const Idempotency effect : kEffects) {
    Writing writing(effect);
    const auto seen = writing.host.run(kReadEnds + kPinLimit);
    EXPECT_EQ(only<Release>(seen).size(), 1U);
    EXPECT_TRUE(only<StartAttempt>(seen).empty());
    EXPECT_TRUE(only<FailRequest>(seen).empty() && only<RejectRequest>(seen).empty())
        << "the write may have arrived";
  }
}

TEST(HeldState, AWriterThatIsOnlySlowKeepsItsWork) {
  for (const Idempotency effect : kEffects) {
    Writing writing(effect);
    writing.host.run(kReadEnds + kPinLimit);
    writing.host.streams(kReadEnds + kPinLimit + 0.1, "a", writing.writer);
    writing.host.run(5);
    EXPECT_TRUE(only<CancelAttempt>(writing.host.all).empty());
    writing.host.ended(5, "a", writing.writer, Outcome::kOk, true);
    EXPECT_TRUE(only<FailRequest>(writing.host.all).empty() && only<RejectRequest>(writing.host.all).empty());
  }
}

// The engine that the write reached may have kept the state from the first release.
TEST(HeldState, AWriteThatEndsLaterIsFollowedByAReleaseAndANewRead) {
  for (const Idempotency effect : kEffects) {
    Writing writing(effect);
    writing.host.run(kReadEnds + kPinLimit);
    writing.host.ended(kReadEnds + kPinLimit + 0.1, "a", writing.writer, Outcome::kReset);
    EXPECT_EQ(only<Release>(writing.host.last).size(), 1U);
    EXPECT_EQ(only<FailRequest>(writing.host.last).size(), writing.mayRepeat ? 0U : 1U);
    EXPECT_EQ(sentTo(writing.host.last), 0U) << "the release goes first: it would take the new read's state";
    EXPECT_EQ(sentTo(writing.host.run(writing.host.now + 0.03)), writing.mayRepeat ? kReader : 0U);
  }
}

TEST(HeldState, AWriteThatFindsTheStateGoneIsReadAnew) {
  for (const Idempotency effect : kEffects) {
    Writing writing(effect);
    writing.host.run(kReadEnds + kPinLimit);
    writing.host.ended(kReadEnds + kPinLimit + 0.1, "a", writing.writer, Outcome::kStateLost);
    EXPECT_EQ(sentTo(writing.host.last), kReader)
        << "it never ran, so that an unsafe one may go out again as well";
  }
}

// Tries that may not have arrived do not begin the time of the state anew, however many there are.
TEST(HeldState, TriesThatMayNotHaveArrivedDoNotLengthenTheHold) {
  for (const Outcome outcome : {Outcome::kTimeout, Outcome::kReset, Outcome::kConnectFailed}) {
    Host host(settingsWith(Idempotency::kIdempotent));
    host.list(1, {server(kReader, Role::kPrefill), server(2, Role::kDecode), server(3, Role::kDecode),
                  server(4, Role::kDecode)});
    host.request(1.1, "a");
    const std::uint32_t first = sentTo(host.ended(kReadEnds, "a", kReader, Outcome::kPrefilled));
    host.run(kReadEnds + 0.3);
    const std::uint32_t second = sentTo(host.ended(kReadEnds + 0.3, "a", first, outcome));
    ASSERT_NE(second, 0U);
    EXPECT_NE(second, kReader) << "the state still waits";
    EXPECT_EQ(only<Release>(host.run(kReadEnds + kPinLimit)).size(), 1U);
  }
}

}  // namespace
}  // namespace gannetcourse::test
