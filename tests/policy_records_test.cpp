// Unit tests of small types and functions of the policy: state lease, prefix tables, bounds on reports,
// hashing.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "policy/hashing.h"
#include "policy/load_report_bounds.h"
#include "policy/prefix_tables.h"
#include "policy/state_lease.h"

namespace gannetcourse::policy {
namespace {

Instant at(double seconds) { return Instant(Duration(seconds)); }

TEST(StateLeaseRecord, LastsFromTheEndOfThePrefillUntilShortlyBeforeTheLimit) {
  StateLease lease;
  EXPECT_FALSE(lease.mayRemain());
  lease.begin(at(10));
  EXPECT_TRUE(lease.isWaiting());
  // The state may wait for 0.6 of the limit, less two housekeeping periods: 0.56 s.
  EXPECT_TRUE(lease.canWaitLonger(at(10.55), Duration(1)));
  EXPECT_FALSE(lease.canWaitLonger(at(10.57), Duration(1)));
  EXPECT_TRUE(lease.canWaitLonger(at(1000), Duration(0))) << "a limit of 0 means no limit";
}

TEST(StateLeaseRecord, StateReleasedDuringDecodeMayRemainAtTheEngine) {
  StateLease lease;
  lease.begin(at(0));
  lease.releaseDuringDecode();
  EXPECT_FALSE(lease.isWaiting());
  EXPECT_TRUE(lease.mayRemain());
  lease.end();
  EXPECT_FALSE(lease.mayRemain());
}

TEST(CachedPrefixTable, EntriesDecayAndExpireWhenTheEngineRestarts) {
  CachedPrefixTable table;
  table.record(7, {1}, 1000, at(0));
  EXPECT_DOUBLE_EQ(table.cachedTokens(7, {1}, at(0), at(0)), 1000);
  EXPECT_DOUBLE_EQ(table.cachedTokens(7, {1}, at(0), at(60)), 1000 * std::exp(-1.0));
  EXPECT_DOUBLE_EQ(table.cachedTokens(7, {1}, at(1), at(2)), 0)
      << "the engine has started since the entry was recorded";
  EXPECT_DOUBLE_EQ(table.cachedTokens(7, {2}, at(0), at(0)), 0) << "the prefix was cached at engine 1 only";
  table.record(0, {1}, 1000, at(0));
  EXPECT_DOUBLE_EQ(table.cachedTokens(0, {1}, at(0), at(0)), 0) << "no key";
}

TEST(PrefixPopularity, DoesNotCountTheNewestRequest) {
  PrefixPopularity popularity;
  popularity.record(7, at(0));
  EXPECT_DOUBLE_EQ(popularity.fractionOf(7, at(0)), 0);
  for (int i = 0; i < 4; ++i) popularity.record(7, at(0));
  popularity.record(8, at(0));
  // Four of six requests and four more as a prior; the newest request with the prefix does not count.
  EXPECT_DOUBLE_EQ(popularity.fractionOf(7, at(0)), 0.4);
}

TEST(LoadReportBounds, ReplacesNegativeHugeAndNotANumberFigures) {
  LoadReport report;
  report.requestsQueued = 1e300;
  report.memoryUtilization = -1;
  report.slotUtilization = std::numeric_limits<double>::quiet_NaN();
  const LoadReport load = bounded(report);
  EXPECT_DOUBLE_EQ(*load.requestsQueued, kMaxReportedRequests);
  EXPECT_DOUBLE_EQ(*load.memoryUtilization, 0);
  EXPECT_DOUBLE_EQ(*load.slotUtilization, 0);
  EXPECT_FALSE(load.requestsInFlight) << "a figure that was not reported stays unset";
  EXPECT_DOUBLE_EQ(boundedCachedTokens(2000, 1000), 1000);
}

// All routers, also those of other versions, must compute the same hashes to prefer the same engines.
TEST(Hashing, ReturnsTheRecordedHashes) {
  EXPECT_EQ(hashCombine(0, 0), 0U);
  EXPECT_EQ(hashCombine(1, 2), 0xbeeb8da1658eec67U);
  EXPECT_EQ(hashCombine(0x123456789abcdef, 42), 0xc4915e2d5eae9ad0U);
  EXPECT_DOUBLE_EQ(toUnitInterval(std::uint64_t{1} << 63), 0.5);
  EXPECT_LT(toUnitInterval(std::numeric_limits<std::uint64_t>::max()), 1);
}

}  // namespace
}  // namespace gannetcourse::policy
