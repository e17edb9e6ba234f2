// Unit tests of the statistics that the policy learns from: decaying means and sums, and windows of samples.
#include "policy/decaying_statistics.h"

#include <gtest/gtest.h>

namespace gannetcourse::policy {
namespace {

constexpr LearningRate kRate{Duration(8), 5, 0.5};
Instant at(double seconds) { return Instant(Duration(seconds)); }

TEST(DecayingMean, ReturnsThePriorWithoutSamplesAndDecaysBackToIt) {
  DecayingMean<double> mean;
  EXPECT_DOUBLE_EQ(mean.get(at(0), 3, kRate), 3);
  mean.add(10, at(0), kRate);
  EXPECT_DOUBLE_EQ(mean.get(at(0), 3, kRate), (10 + 0.5 * 3) / 1.5);
  EXPECT_NEAR(mean.get(at(100), 3, kRate), 3, 1e-4);
}

TEST(DecayingMean, AveragesOnlyTheNewestSamples) {
  DecayingMean<Duration> mean;
  for (int i = 0; i < 100; ++i) mean.add(Duration(1), at(0), kRate);
  mean.add(Duration(2), at(0), kRate);
  // One of the five samples that count is 2, the others are 1; the prior of 0 counts as half a sample.
  EXPECT_NEAR(mean.get(at(0), Duration(0), kRate).count(), 1.2 * 5 / 5.5, 1e-12);
}

TEST(DecayingSum, FallsByAFactorOfEInTheDecayTime) {
  DecayingSum sum;
  sum.add(2, at(1), Duration(4));
  sum.add(1, at(1), Duration(4));
  EXPECT_DOUBLE_EQ(sum.get(at(1), Duration(4)), 3);
  EXPECT_DOUBLE_EQ(sum.get(at(5), Duration(4)), 3 * std::exp(-1.0));
}

TEST(SlidingWindowSamples, ReturnsTheUpperMedianOfTheWindow) {
  SlidingWindowSamples<double> samples;
  EXPECT_DOUBLE_EQ(samples.medianSince(at(0), 7), 7) << "without samples it returns the fallback";
  samples.add(100, at(1));
  samples.add(1, at(2));
  samples.add(2, at(2));
  EXPECT_DOUBLE_EQ(samples.medianSince(at(0), 7), 2);
  EXPECT_DOUBLE_EQ(samples.medianSince(at(2), 7), 2) << "the upper median of 1 and 2";
  EXPECT_DOUBLE_EQ(samples.medianSince(at(3), 7), 7);
}

}  // namespace
}  // namespace gannetcourse::policy
