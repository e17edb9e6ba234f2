// The tables of prefixes stay bounded, whatever names clients send.
#include "policy/prefix_tables.h"

#include <gtest/gtest.h>

#include "policy/tuning.h"

namespace gannetcourse::policy {
namespace {

constexpr std::uint64_t kPopularPrefix = 1;
constexpr std::uint64_t kFirstNewPrefix = 1000;
constexpr int kNewPrefixesPerSecond = 40000;
constexpr int kSeconds = 5;

Instant at(double seconds) { return Instant(Duration(seconds)); }

// Calls `record` for each of the new prefixes and `prune` once per housekeeping period.
template <typename Record, typename Prune>
void sendNewPrefixes(const Record& record, const Prune& prune) {
  Instant lastPrune = at(0);
  for (int i = 0; i < kSeconds * kNewPrefixesPerSecond; ++i) {
    const Instant now = at(static_cast<double>(i) / kNewPrefixesPerSecond);
    record(kFirstNewPrefix + static_cast<std::uint64_t>(i), now);
    if (now - lastPrune < kHousekeepingPeriod) continue;
    prune(now);
    lastPrune = now;
  }
}

// Guards against a client that sends requests under ever new prefixes and so takes all memory.
TEST(PrefixPopularity, StaysBoundedUnderEverNewPrefixesAndKeepsThePopularOne) {
  PrefixPopularity popularity;
  sendNewPrefixes(
      [&](std::uint64_t prefix, Instant now) {
        popularity.record(prefix, now);
        if (prefix % 100 == 0) popularity.record(kPopularPrefix, now);
      },
      [&](Instant now) {
        popularity.prune(now);
        EXPECT_LE(popularity.size(), kMaxPrefixEntries);
      });
  EXPECT_NEAR(popularity.fractionOf(kPopularPrefix, at(kSeconds)), 0.01, 0.001);
}

TEST(CachedPrefixTable, StaysBoundedUnderEverNewPrefixesAndKeepsTheLatest) {
  constexpr EngineId kEngine{1};
  CachedPrefixTable cached;
  sendNewPrefixes([&](std::uint64_t prefix, Instant now) { cached.record(prefix, kEngine, 100, now); },
                  [&](Instant now) {
                    cached.prune(now);
                    EXPECT_LE(cached.size(), kMaxPrefixEntries);
                  });
  const std::uint64_t latest = kFirstNewPrefix + kSeconds * kNewPrefixesPerSecond - 1;
  EXPECT_GT(cached.cachedTokens(latest, kEngine, at(0), at(kSeconds)), 0);
  EXPECT_GT(cached.cachedTokens(latest - kPrefixEntriesKept / 2, kEngine, at(0), at(kSeconds)), 0);
}

}  // namespace
}  // namespace gannetcourse::policy
