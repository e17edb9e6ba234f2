// Components of router::Core: the timer queue, the request table and the texts of records.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "router/record_text.h"
#include "router/request_table.h"
#include "router/timer_queue.h"

namespace gannetcourse::router {
namespace {

Instant at(double seconds) { return Instant(Duration(seconds)); }

TEST(TimerQueueTest, ReturnsTimersByDueTimeThenBySchedulingOrder) {
  TimerQueue timers;
  timers.schedule(at(2), Timer{TimerKind::kPolicy, 1, {}});
  timers.schedule(at(1), Timer{TimerKind::kPolicy, 2, {}});
  timers.schedule(at(1), Timer{TimerKind::kPolicy, 3, {}});
  EXPECT_EQ(timers.nextDue(), at(1));
  EXPECT_FALSE(timers.takeDue(at(0.9)));
  EXPECT_EQ(timers.takeDue(at(1))->key, 2U);
  EXPECT_EQ(timers.takeDue(at(1))->key, 3U);
  EXPECT_FALSE(timers.takeDue(at(1)));
  EXPECT_EQ(timers.takeDue(at(5))->key, 1U);
  EXPECT_FALSE(timers.nextDue());
}

TEST(TimerQueueTest, DoesNotReturnACancelledTimer) {
  TimerQueue timers;
  TimerQueue::Handle timer = timers.schedule(at(1), Timer{});
  timers.cancel(timer);
  EXPECT_FALSE(timer);
  timers.cancel(timer);
  EXPECT_FALSE(timers.takeDue(at(2)));
}

TEST(RequestTableTest, FindsRequestByItsKeyOrIdOrPolicyId) {
  RequestTable requests;
  Request& request = requests.add(7, "n-1");
  EXPECT_EQ(requests.find(7), &request);
  EXPECT_EQ(requests.findByPolicyId(RequestId{"n-1"}), &request);
  EXPECT_EQ(requests.findById("n-1"), nullptr) << "a request must not be found by its id before indexById()";
  requests.indexById(request);
  EXPECT_EQ(requests.findById("n-1"), &request);
  requests.clearPolicyId(request);
  EXPECT_EQ(requests.findByPolicyId(RequestId{"n-1"}), nullptr);
  requests.setPolicyId(request, "n-1+1");
  EXPECT_EQ(requests.findByPolicyId(RequestId{"n-1+1"}), &request);
  requests.erase(request);
  EXPECT_EQ(requests.find(7), nullptr);
  EXPECT_EQ(requests.findById("n-1"), nullptr);
  EXPECT_EQ(requests.findByPolicyId(RequestId{"n-1+1"}), nullptr);
}

// A resumed request takes over the id of the earlier request. When the earlier request is erased, the id must
// still lead to the resumed request.
TEST(RequestTableTest, KeepsIdOfResumedRequestWhenEarlierOneIsErased) {
  RequestTable requests;
  Request& earlier = requests.add(1, "n-1");
  requests.indexById(earlier);
  Request& resumed = requests.add(2, "n-2");
  resumed.id = "n-1";
  requests.indexById(resumed);
  EXPECT_EQ(requests.findById("n-1"), &earlier) << "indexById() must not replace an indexed request";
  requests.replaceById(resumed);
  requests.erase(earlier);
  EXPECT_EQ(requests.findById("n-1"), &resumed);
}

TEST(RequestTableTest, CountsOnlyRequestsWithoutFinalResponseAsOpen) {
  RequestTable requests;
  requests.add(1, "n-1").isCompleted = true;
  requests.add(2, "n-2");
  EXPECT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests.openCount(), 1U);
}

TEST(RecordTextTest, NamesEachRecordKindUniquely) {
  std::set<std::string> names;
  for (std::size_t kind = 0; kind < static_cast<std::size_t>(RecordKind::kCount); ++kind)
    names.insert(nameOf(static_cast<RecordKind>(kind)));
  EXPECT_EQ(names.size(), static_cast<std::size_t>(RecordKind::kCount));
  EXPECT_EQ(names.count(""), 0U);
}

TEST(RecordTextTest, DescribesRequestByClassTokensAndObjectives) {
  ClassSettings classSettings;
  classSettings.ttftObjective = Duration(0.5);
  classSettings.ttftObjectivePerToken = Duration(0.001);
  classSettings.interTokenObjective = Duration(0.0762);
  classSettings.priorityWeight = 3;
  RequestPayload payload;
  payload.requestClass = "chat";
  payload.promptTokens = 400;
  payload.prefixTokens = 150;
  EXPECT_EQ(
      describeRequest(classSettings, payload),
      "chat prompt 400 prefix 150 ttft_objective 0.900 inter_token_objective 0.076 priority_weight 3.00");
}

}  // namespace
}  // namespace gannetcourse::router
