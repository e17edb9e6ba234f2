// States that wait at a prefillEngine are let go in time, whatever becomes of the writes that were sent for
// them.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

constexpr double kPinLimit = 1, kReadEnds = 1.2;
constexpr std::uint32_t kPrefillEngine = 1;

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
    host.engineList(
        1, {server(kPrefillEngine, Role::kPrefill), server(2, Role::kDecode), server(3, Role::kDecode)});
    host.request(1.1, "a");
    decodeEngine = sentTo(host.attemptEnded(kReadEnds, "a", kPrefillEngine, Outcome::kPrefilled));
    EXPECT_NE(decodeEngine, 0U);
    host.all.clear();
  }

  PolicyHost host;
  bool mayRepeat;
  std::uint32_t decodeEngine = 0;
};

TEST(StateLease, AWriteThatSaysNothingDoesNotStopTheClock) {
  for (const Idempotency effect : kEffects) {
    Writing writing(effect);
    const auto seen = writing.host.runUntil(kReadEnds + kPinLimit);
    EXPECT_EQ(only<Release>(seen).size(), 1U);
    EXPECT_TRUE(only<StartAttempt>(seen).empty());
    EXPECT_TRUE(only<FailRequest>(seen).empty() && only<RejectRequest>(seen).empty())
        << "the write may have arrived";
  }
}

TEST(StateLease, AWriterThatIsOnlySlowKeepsItsWork) {
  for (const Idempotency effect : kEffects) {
    Writing writing(effect);
    writing.host.runUntil(kReadEnds + kPinLimit);
    writing.host.streamStarted(kReadEnds + kPinLimit + 0.1, "a", writing.decodeEngine);
    writing.host.runUntil(5);
    EXPECT_TRUE(only<CancelAttempt>(writing.host.all).empty());
    writing.host.attemptEnded(5, "a", writing.decodeEngine, Outcome::kOk, true);
    EXPECT_TRUE(only<FailRequest>(writing.host.all).empty() && only<RejectRequest>(writing.host.all).empty());
  }
}

// The engine that the write reached may have kept the state from the first release.
TEST(StateLease, AWriteThatEndsLaterIsFollowedByAReleaseAndANewRead) {
  for (const Idempotency effect : kEffects) {
    Writing writing(effect);
    writing.host.runUntil(kReadEnds + kPinLimit);
    writing.host.attemptEnded(kReadEnds + kPinLimit + 0.1, "a", writing.decodeEngine, Outcome::kReset);
    EXPECT_EQ(only<Release>(writing.host.last).size(), 1U);
    EXPECT_EQ(only<FailRequest>(writing.host.last).size(), writing.mayRepeat ? 0U : 1U);
    EXPECT_EQ(sentTo(writing.host.last), 0U) << "the release goes first: it would take the new read's state";
    EXPECT_EQ(sentTo(writing.host.runUntil(writing.host.now + 0.03)),
              writing.mayRepeat ? kPrefillEngine : 0U);
  }
}

TEST(StateLease, AWriteThatFindsTheStateGoneIsReadAnew) {
  for (const Idempotency effect : kEffects) {
    Writing writing(effect);
    writing.host.runUntil(kReadEnds + kPinLimit);
    writing.host.attemptEnded(kReadEnds + kPinLimit + 0.1, "a", writing.decodeEngine, Outcome::kStateLost);
    EXPECT_EQ(sentTo(writing.host.last), kPrefillEngine)
        << "it never ran, so that an unsafe one may go out again as well";
  }
}

// Tries that may not have arrived do not begin the time of the state anew, however many there are.
TEST(StateLease, TriesThatMayNotHaveArrivedDoNotLengthenTheHold) {
  for (const Outcome outcome : {Outcome::kTimeout, Outcome::kReset, Outcome::kConnectFailed}) {
    PolicyHost host(settingsWith(Idempotency::kIdempotent));
    host.engineList(1, {server(kPrefillEngine, Role::kPrefill), server(2, Role::kDecode),
                        server(3, Role::kDecode), server(4, Role::kDecode)});
    host.request(1.1, "a");
    const std::uint32_t first =
        sentTo(host.attemptEnded(kReadEnds, "a", kPrefillEngine, Outcome::kPrefilled));
    host.runUntil(kReadEnds + 0.3);
    const std::uint32_t second = sentTo(host.attemptEnded(kReadEnds + 0.3, "a", first, outcome));
    ASSERT_NE(second, 0U);
    EXPECT_NE(second, kPrefillEngine) << "the state still waits";
    EXPECT_EQ(only<Release>(host.runUntil(kReadEnds + kPinLimit)).size(), 1U);
  }
}

// A decode engine that cannot be reached has taken nothing over: the lease runs on from the end of the
// prefill.
TEST(StateLease, AttemptsThatNeverConnectedDoNotLengthenTheLease) {
  Settings settings = twoStageSettings();
  settings.stateLeaseLimit = Duration(0.4);
  settings.connectTimeout = Duration(0.25);
  PolicyHost host(settings);
  host.engineList(1, {server(1, Role::kPrefill), server(2, Role::kDecode), server(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t decodeEngine = sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
  ASSERT_NE(decodeEngine, 0U);
  host.attemptEnded(1.45, "a", decodeEngine, Outcome::kConnectFailed);
  EXPECT_EQ(only<Release>(host.last).size(), 1U);
  for (const StartAttempt& send : only<StartAttempt>(host.last))
    EXPECT_EQ(send.engine.value, 1U) << "it is read anew";
}

TEST(StateLease, AStateWithoutADecodeEngineIsReleasedWithinTheLimit) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {server(1, Role::kPrefill), server(2, Role::kDecode)});
  host.request(1.1, "a");
  EngineEntry removed = server(2, Role::kDecode);
  removed.state = EngineEntry::State::kRemoved;
  host.engineList(1.15, {removed}, EngineListUpdate::Scope::kDelta);
  host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled);
  const auto seen = host.runUntil(1.2 + 0.5);
  EXPECT_EQ(only<Release>(seen).size(), 1U);
  EXPECT_EQ(finalResponses(seen), 1U);
}

}  // namespace
}  // namespace gannetcourse::test
