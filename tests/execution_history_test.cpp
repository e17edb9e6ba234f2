// The memory of requests that may have run, beyond their end.
#include "router/execution_history.h"

#include <gtest/gtest.h>

#include <string>

#include "core_fixture.h"

namespace gannetcourse::router {
namespace {

ClassSettings classOf(Idempotency idempotency, DedupScope scope = DedupScope::kAll) {
  ClassSettings settings;
  settings.idempotency = idempotency;
  settings.dedupScope = scope;
  settings.dedupWindow = Duration(5);
  return settings;
}

// Guards against a second effect of a request that comes again under its id.
TEST(ExecutionHistory, AllowsExecutedRequestAgainOnlyWhereEnginesDropDuplicates) {
  ExecutionHistory history;
  history.record(at(1.5), "a", at(1));
  history.record(at(4), "a", at(3));  // the first start counts
  EXPECT_TRUE(history.mayExecute("b", classOf(Idempotency::kAtMostOnce), at(5)));
  EXPECT_TRUE(history.mayExecute("a", classOf(Idempotency::kIdempotent), at(5)));
  EXPECT_FALSE(history.mayExecute("a", classOf(Idempotency::kAtMostOnce), at(5)));
  EXPECT_TRUE(history.mayExecute("a", classOf(Idempotency::kIdempotencyKey), at(6)));
  EXPECT_FALSE(history.mayExecute("a", classOf(Idempotency::kIdempotencyKey), at(6.1)));
  EXPECT_FALSE(history.mayExecute("a", classOf(Idempotency::kIdempotencyKey, DedupScope::kZone), at(6)));
}

TEST(ExecutionHistory, ForgetsTheOldestBeyondItsBounds) {
  const ClassSettings atMostOnce = classOf(Idempotency::kAtMostOnce);
  ExecutionHistory history;
  for (std::size_t i = 0; i <= ExecutionHistory::kMaxExecutions; ++i)
    history.record(at(1), std::to_string(i), at(1));
  EXPECT_TRUE(history.mayExecute("0", atMostOnce, at(5)));
  EXPECT_FALSE(history.mayExecute("1", atMostOnce, at(5)));
  history.record(at(2) + ExecutionHistory::kRetention, "later", at(2));
  EXPECT_TRUE(history.mayExecute("1", atMostOnce, at(5)));
  EXPECT_FALSE(history.mayExecute("later", atMostOnce, at(5)));
}

}  // namespace
}  // namespace gannetcourse::router
