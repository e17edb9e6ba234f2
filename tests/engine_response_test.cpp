// Tests of the interpretation of engine responses: statuses, load reports and event streams, without sockets.
#include "platform/engine_response.h"

#include <gtest/gtest.h>

#include "platform/load_report.h"
#include "platform_peers.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

// Covers every row of the outcome table: statuses, rejections and failed calls.
TEST(AttemptOutcomes, MapsStatusesAndCallResultsToOutcomes) {
  EXPECT_EQ(outcomeOf(202, false, AttemptKind::kPrefill), Outcome::kPrefilled);
  EXPECT_EQ(outcomeOf(500, false, AttemptKind::kDecode), Outcome::kError);
  EXPECT_EQ(outcomeOf(503, true, AttemptKind::kDecode), Outcome::kRejected);
  EXPECT_EQ(outcomeOf(504, true, AttemptKind::kPrefill), Outcome::kRejected);
  EXPECT_EQ(outcomeOf(503, false, AttemptKind::kDecode), Outcome::kError);  // not rejected: it may have run
  EXPECT_EQ(outcomeOf(410, true, AttemptKind::kDecode), Outcome::kStateLost);
  EXPECT_EQ(outcomeOf(http1::CallResult::kNotConnected), Outcome::kConnectFailed);
  EXPECT_EQ(outcomeOf(http1::CallResult::kConnectionLost), Outcome::kReset);
  EXPECT_EQ(outcomeOf(http1::CallResult::kMalformed), Outcome::kError);
  EXPECT_EQ(outcomeOf(http1::CallResult::kNoConnectionAvailable), Outcome::kNotSent);
}

TEST(LoadReports, ParsesValidReportsAndIgnoresMalformedOnes) {
  const auto load = parseLoadReport(" TEXT mean_ms=12.5, x0=0.5, x1=3, queue=2");
  ASSERT_TRUE(load);
  EXPECT_DOUBLE_EQ(*load->memoryUtilization, 0.5);
  EXPECT_DOUBLE_EQ(*load->queuedPrefillTokens, 3000);
  EXPECT_DOUBLE_EQ(*load->requestsQueued, 2);
  EXPECT_FALSE(load->requestsInFlight);
  for (const char* const malformed : {"", "JSON {}", "TEXT x0", "TEXT x0=", "TEXT x0=a",
                                      "TEXT x0=1, =", "TEXT x0=-1", "TEXT x0=nan", "TEXT x0=1e999"})
    EXPECT_FALSE(parseLoadReport(malformed)) << malformed;
}

TEST(EventStreams, DeliversCompleteEventsForAnyInputPieceSize) {
  const std::string bytes =
      eventOf("a") + eventOf("b") + ": X-Load-Report: TEXT x0=0.5\n\n" +
      "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n" + kDone;
  for (const std::size_t step : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
    EventStreamDecoder stream;
    std::string delivered;
    for (std::size_t i = 0; i < bytes.size(); i += step)
      ASSERT_TRUE(stream.feed(std::string_view(bytes).substr(i, step),
                              [&](const std::string& e) { delivered += e; }));
    EXPECT_TRUE(stream.finish([](const std::string&) {}));
    EXPECT_EQ(delivered.find(": X-Load"), std::string::npos);
    EXPECT_EQ(delivered.substr(0, 10), eventOf("a").substr(0, 10));
    EXPECT_DOUBLE_EQ(stream.cachedTokens(), 4096);
    EXPECT_DOUBLE_EQ(*stream.loadReport()->memoryUtilization, 0.5);
  }
  EventStreamDecoder unfinished;
  EXPECT_TRUE(unfinished.feed(eventOf("a"), [](const std::string&) {}));
  EXPECT_FALSE(unfinished.finish([](const std::string&) {}));
}

}  // namespace
}  // namespace gannetcourse::platform
