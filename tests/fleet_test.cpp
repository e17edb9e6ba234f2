// Effects of many routers on the engines that they share: after restarts, with silent engines, and at
// moderate load.
#include <ostream>

#include "fleet_model.h"

namespace gannetcourse::test {
namespace {

struct SlowStartCase {
  const char* name;
  FleetPlan plan;
};

// Names the test cases. NOLINTNEXTLINE(readability-identifier-naming): GoogleTest requires this name
void PrintTo(const SlowStartCase& given, std::ostream* out) { *out << given.name; }

// Engines in slow start must not be overloaded by the sum of all routers, none of which knows of the others'
// attempts.
class WarmingEngines : public ::testing::TestWithParam<SlowStartCase> {};

TEST_P(WarmingEngines, AreNotOverloadedByAllRoutersTogether) {
  double worstOverload = 0;
  std::size_t attempts = 0;
  const std::uint64_t seeds = GetParam().plan.routers > 100 ? 1 : 3;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    FleetPlan plan = GetParam().plan;
    plan.seed = seed;
    Fleet fleet(plan);
    fleet.run(25);
    fleet.restartEngines();
    fleet.run(40);
    worstOverload = std::max(worstOverload, fleet.worstOverload());
    attempts += fleet.attemptsAtRestartedEngines();
    RecordProperty("worst", std::to_string(worstOverload));
  }
  std::printf("%s: worst overload %.2f, attempts at restarted engines %zu\n", GetParam().name, worstOverload,
              attempts);
  EXPECT_LE(worstOverload, 1);
  EXPECT_GT(attempts, 0U);  // a budget that allows no attempts would meet the bound trivially
}

FleetPlan planOf(int routers, double imbalance, double burstFactor, int restartedPerRole,
                 bool routersRestart) {
  FleetPlan plan;
  plan.routers = routers;
  plan.imbalance = imbalance;
  plan.burstFactor = burstFactor;
  plan.restartedPerRole = restartedPerRole;
  plan.routersRestart = routersRestart;
  if (routers >= 300) plan.enginesPerRole = 30;
  return plan;
}

INSTANTIATE_TEST_SUITE_P(
    Fleets, WarmingEngines,
    ::testing::Values(SlowStartCase{"three", planOf(3, 1.5, 1, 1, false)},
                      SlowStartCase{"three_in_a_burst", planOf(3, 2, 2, 4, false)},
                      SlowStartCase{"thirty", planOf(30, 2, 1, 1, false)},
                      SlowStartCase{"thirty_uneven_in_a_burst", planOf(30, 5, 2, 6, false)},
                      SlowStartCase{"thirty_six_in_ten_replaced", planOf(30, 3, 1.5, 7, false)},
                      SlowStartCase{"thirty_six_in_ten_replaced_in_a_burst", planOf(30, 5, 2, 8, false)},
                      SlowStartCase{"thirty_restarted", planOf(30, 3, 1.5, 4, true)},
                      SlowStartCase{"three_hundred", planOf(300, 2, 1, 1, false)},
                      SlowStartCase{"three_hundred_uneven_in_a_burst", planOf(300, 6, 2, 12, false)},
                      SlowStartCase{"three_hundred_restarted", planOf(300, 3, 1.5, 6, true)}),
    [](const auto& given) { return std::string(given.param.name); });

// Four of five engines of one role stop answering for 3 s, three times. Guards against requests without a
// response and against an overload by retries that persists after the engines answer again.
TEST(SilentEngines, LeaveNoRequestUnansweredAndNoLastingOverload) {
  for (const Role role : {Role::kPrefill, Role::kDecode}) {
    for (const int routers : {3, 30}) {
      FleetPlan plan;
      plan.routers = routers;
      plan.enginesPerRole = 10;
      plan.load = 0.3;
      plan.restartedPerRole = 0;
      Fleet fleet(plan);
      fleet.run(8);
      for (int round = 0; round < 3; ++round) {
        fleet.silenceEngines(role, 8);
        fleet.run(11.0 + 6 * round);
        fleet.silenceEngines(role, 0);
        fleet.run(14.0 + 6 * round);
      }
      fleet.run(36);  // the engines answer again from 23 s on
      EXPECT_EQ(fleet.requestsOpenLongerThan(5), 0U);
      EXPECT_LE(fleet.slowestResponse(), 4);  // the clients' deadline
      const std::size_t served = fleet.served(), rejected = fleet.rejected();
      fleet.run(42);
      const auto servedAfter = static_cast<double>(fleet.served() - served);
      EXPECT_GE(servedAfter, 0.95 * (servedAfter + static_cast<double>(fleet.rejected() - rejected)))
          << routers;
    }
  }
}

// At moderate load without faults, no router may reject a request.
TEST(CalmFleets, ServeAllRequests) {
  for (const int routers : {3, 30}) {
    FleetPlan plan;
    plan.routers = routers;
    plan.restartedPerRole = 0;
    Fleet fleet(plan);
    fleet.run(30);
    EXPECT_EQ(fleet.rejected(), 0U) << routers;
    EXPECT_GT(fleet.served(), 500U);
  }
}

// Guards against constants that fit one deployment only: objectives, service times and prompts are scaled.
TEST(CalmFleets, ServeNearlyAllRequestsAtAnyScaleOfTimesAndPrompts) {
  for (const double timeScale : {0.4, 1.0, 3.0}) {
    for (const double promptScale : {0.3, 1.0, 6.0}) {
      FleetPlan plan;
      plan.routers = 5;
      plan.restartedPerRole = 0;
      plan.timeScale = timeScale;
      plan.promptScale = promptScale;
      Fleet fleet(plan);
      fleet.run(20);
      const auto served = static_cast<double>(fleet.served());
      EXPECT_GE(served, 0.99 * (served + static_cast<double>(fleet.rejected())))
          << timeScale << " " << promptScale;
      EXPECT_LE(fleet.slowestResponse(), 4 * timeScale);
    }
  }
}

}  // namespace
}  // namespace gannetcourse::test
