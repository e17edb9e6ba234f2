// States that wait at a prefill engine are released in time, whatever becomes of the decode attempts.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

constexpr double kLeaseLimit = 1, kPrefillEnds = 1.2;
constexpr std::uint32_t kPrefillEngine = 1;

Settings settingsWith(Idempotency idempotency) {
  Settings settings = twoStageSettings();
  settings.classes[0].idempotency = idempotency;
  settings.classes[0].dedupWindow = Duration(10);
  settings.classes[0].ttftObjective = Duration(3);
  settings.stateLeaseLimit = Duration(kLeaseLimit);
  settings.connectTimeout = Duration(0.25);
  return settings;
}

constexpr Idempotency kIdempotencies[] = {Idempotency::kIdempotent, Idempotency::kIdempotencyKey,
                                          Idempotency::kAtMostOnce};

// A request whose prefill has ended and whose decode attempt is in flight.
class Decoding {
 public:
  explicit Decoding(Idempotency idempotency)
      : host(settingsWith(idempotency)), canRepeat(idempotency != Idempotency::kAtMostOnce) {
    host.engineList(1, {engineEntry(kPrefillEngine, Role::kPrefill), engineEntry(2, Role::kDecode),
                        engineEntry(3, Role::kDecode)});
    host.request(1.1, "a");
    decodeEngine = sentTo(host.attemptEnded(kPrefillEnds, "a", kPrefillEngine, Outcome::kPrefilled));
    EXPECT_NE(decodeEngine, 0U);
    host.all.clear();
  }

  PolicyHost host;
  bool canRepeat;
  std::uint32_t decodeEngine = 0;
};

TEST(StateLease, ASilentDecodeDoesNotStopTheLease) {
  for (const Idempotency idempotency : kIdempotencies) {
    Decoding decoding(idempotency);
    const auto seen = decoding.host.runUntil(kPrefillEnds + kLeaseLimit);
    EXPECT_EQ(only<Release>(seen).size(), 1U);
    EXPECT_TRUE(only<StartAttempt>(seen).empty());
    EXPECT_TRUE(only<FailRequest>(seen).empty() && only<RejectRequest>(seen).empty())
        << "the attempt may have arrived";
  }
}

TEST(StateLease, ADecodeEngineThatIsOnlySlowKeepsItsAttempt) {
  for (const Idempotency idempotency : kIdempotencies) {
    Decoding decoding(idempotency);
    decoding.host.runUntil(kPrefillEnds + kLeaseLimit);
    decoding.host.streamStarted(kPrefillEnds + kLeaseLimit + 0.1, "a", decoding.decodeEngine);
    decoding.host.runUntil(5);
    EXPECT_TRUE(only<CancelAttempt>(decoding.host.all).empty());
    decoding.host.attemptEnded(5, "a", decoding.decodeEngine, Outcome::kOk, true);
    EXPECT_TRUE(only<FailRequest>(decoding.host.all).empty() &&
                only<RejectRequest>(decoding.host.all).empty());
  }
}

// The engine that the attempt reached may have kept the state from the first release.
TEST(StateLease, ADecodeThatEndsLaterIsFollowedByAReleaseAndANewPrefill) {
  for (const Idempotency idempotency : kIdempotencies) {
    Decoding decoding(idempotency);
    decoding.host.runUntil(kPrefillEnds + kLeaseLimit);
    decoding.host.attemptEnded(kPrefillEnds + kLeaseLimit + 0.1, "a", decoding.decodeEngine, Outcome::kReset);
    EXPECT_EQ(only<Release>(decoding.host.last).size(), 1U);
    EXPECT_EQ(only<FailRequest>(decoding.host.last).size(), decoding.canRepeat ? 0U : 1U);
    EXPECT_EQ(sentTo(decoding.host.last), 0U)
        << "the release goes first: it would release the new prefill's state";
    EXPECT_EQ(sentTo(decoding.host.runUntil(decoding.host.now + 0.03)),
              decoding.canRepeat ? kPrefillEngine : 0U);
  }
}

TEST(StateLease, ADecodeThatFindsTheStateLostIsPrefilledAnew) {
  for (const Idempotency idempotency : kIdempotencies) {
    Decoding decoding(idempotency);
    decoding.host.runUntil(kPrefillEnds + kLeaseLimit);
    decoding.host.attemptEnded(kPrefillEnds + kLeaseLimit + 0.1, "a", decoding.decodeEngine,
                               Outcome::kStateLost);
    EXPECT_EQ(sentTo(decoding.host.last), kPrefillEngine)
        << "it never ran, so that an at-most-once request may be retried as well";
  }
}

// Attempts that may not have arrived do not restart the lease, however many there are.
TEST(StateLease, AttemptsThatMayNotHaveArrivedDoNotLengthenTheLease) {
  for (const Outcome outcome : {Outcome::kTimeout, Outcome::kReset, Outcome::kConnectFailed}) {
    PolicyHost host(settingsWith(Idempotency::kIdempotent));
    host.engineList(1, {engineEntry(kPrefillEngine, Role::kPrefill), engineEntry(2, Role::kDecode),
                        engineEntry(3, Role::kDecode), engineEntry(4, Role::kDecode)});
    host.request(1.1, "a");
    const std::uint32_t first =
        sentTo(host.attemptEnded(kPrefillEnds, "a", kPrefillEngine, Outcome::kPrefilled));
    host.runUntil(kPrefillEnds + 0.3);
    const std::uint32_t second = sentTo(host.attemptEnded(kPrefillEnds + 0.3, "a", first, outcome));
    ASSERT_NE(second, 0U);
    EXPECT_NE(second, kPrefillEngine) << "the state still waits";
    EXPECT_EQ(only<Release>(host.runUntil(kPrefillEnds + kLeaseLimit)).size(), 1U);
  }
}

// A decode engine that cannot be reached has taken nothing over: the lease runs on from the end of the
// prefill.
TEST(StateLease, AttemptsThatNeverConnectedDoNotLengthenTheLease) {
  Settings settings = twoStageSettings();
  settings.stateLeaseLimit = Duration(0.4);
  settings.connectTimeout = Duration(0.25);
  PolicyHost host(settings);
  host.engineList(
      1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode), engineEntry(3, Role::kDecode)});
  host.request(1.1, "a");
  const std::uint32_t decodeEngine = sentTo(host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled));
  ASSERT_NE(decodeEngine, 0U);
  host.attemptEnded(1.45, "a", decodeEngine, Outcome::kConnectFailed);
  EXPECT_EQ(only<Release>(host.last).size(), 1U);
  for (const StartAttempt& send : only<StartAttempt>(host.last))
    EXPECT_EQ(send.engine.value, 1U) << "it is prefilled anew";
}

TEST(StateLease, AStateWithoutADecodeEngineIsReleasedWithinTheLimit) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.1, "a");
  EngineEntry removed = engineEntry(2, Role::kDecode);
  removed.state = EngineEntry::State::kRemoved;
  host.engineList(1.15, {removed}, EngineListUpdate::Scope::kDelta);
  host.attemptEnded(1.2, "a", 1, Outcome::kPrefilled);
  const auto seen = host.runUntil(1.2 + 0.5);
  EXPECT_EQ(only<Release>(seen).size(), 1U);
  EXPECT_EQ(finalResponses(seen), 1U);
}

}  // namespace
}  // namespace gannetcourse::test
