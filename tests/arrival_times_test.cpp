// Arrival times of bytes that wait in a connection's buffer.
#include "http1/arrival_times.h"

#include <gtest/gtest.h>

namespace gannetcourse::http1 {
namespace {

Instant at(double seconds) { return Instant(Duration(seconds)); }

TEST(ArrivalTimes, TellsWhenTheLastParsedByteArrived) {
  ArrivalTimes times;
  times.record(100, at(1));
  EXPECT_EQ(times.onParsed(0), at(1));
  times.record(50, at(2));
  times.record(10, at(2));
  times.record(40, at(3));
  EXPECT_EQ(times.onParsed(100), at(1));
  EXPECT_EQ(times.onParsed(99), at(2));
  EXPECT_EQ(times.onParsed(40), at(2));
  EXPECT_EQ(times.onParsed(39), at(3));
  EXPECT_EQ(times.onParsed(0), at(3));
}

// A request that arrives in many pieces is counted from its last one, unless it waits behind another one.
TEST(ArrivalTimes, KeepsABoundedNumberOfPieces) {
  ArrivalTimes times;
  const int pieces = 2 * static_cast<int>(ArrivalTimes::kMaxPieces);
  for (int i = 0; i < pieces; ++i) {
    times.record(1, at(i));
    EXPECT_EQ(times.onParsed(0), at(i));
  }
  for (int i = 0; i < pieces; ++i) times.record(1, at(pieces + i));
  const Instant lastKept = at(pieces + static_cast<int>(ArrivalTimes::kMaxPieces) - 2);
  EXPECT_EQ(times.onParsed(0), lastKept);
}

}  // namespace
}  // namespace gannetcourse::http1
