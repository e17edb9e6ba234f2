// Admission over many routers, on calm days and at full load: which requests a fleet serves when it cannot
// serve all.
#include "fleet_model.h"

namespace gannetcourse::test {
namespace {

// The required bounds, and the margin to them.
constexpr double kCalmFraction = 2.0 / 3,
                 kFullLoadFraction = 0.5;  // of the fraction of all requests that is served
constexpr double kMargin = 0.05;
constexpr double kAlwaysRejected = 0.12;  // sessions of which all turns are rejected, beyond chance
constexpr double kRejectsAllFor = 4;      // seconds, with at least kRejectedAtLeast requests
constexpr std::size_t kRejectedAtLeast = 15;
constexpr int kRouters = 40;

FleetPlan planAt(double load, std::uint64_t seed) {
  FleetPlan plan;
  plan.routers = kRouters;
  plan.engines = 10;
  plan.restarted = 0;
  plan.load = load;
  plan.sessions = 300;
  plan.promptSpread = 0.7;
  plan.prefillEnginesQueue = true;
  plan.seed = seed;
  return plan;
}

double servedFraction(std::vector<Fleet::Ended>::const_iterator from,
                      std::vector<Fleet::Ended>::const_iterator to) {
  const auto served = std::count_if(from, to, [](const auto& e) { return e.served; });
  return from == to ? 1 : static_cast<double>(served) / static_cast<double>(to - from);
}

struct ServedFractions {
  double all = 1, longestTenth = 1, nextFifth = 1;
};
ServedFractions servedFractionsOf(std::vector<Fleet::Ended> ended) {
  std::sort(ended.begin(), ended.end(), [](const auto& a, const auto& b) { return a.prompt > b.prompt; });
  const auto tenth = ended.begin() + static_cast<long>(ended.size() / 10);
  const auto third = ended.begin() + static_cast<long>(3 * ended.size() / 10);
  return {servedFraction(ended.begin(), ended.end()), servedFraction(ended.begin(), tenth),
          servedFraction(tenth, third)};
}

// Fraction of the sessions with several turns of which all were rejected, less what chance gives.
double alwaysRejected(const std::vector<Fleet::Ended>& ended) {
  std::map<std::uint64_t, std::pair<int, int>> turns;  // of each session: all, rejected
  double rejected = 0;
  for (const auto& e : ended) {
    ++turns[e.session].first;
    turns[e.session].second += !e.served;
    rejected += !e.served;
  }
  rejected /= static_cast<double>(ended.size());
  double all = 0, throughout = 0, byChance = 0;
  for (const auto& [session, counts] : turns) {
    if (counts.first < 2) continue;
    ++all;
    throughout += counts.first == counts.second;
    byChance += std::pow(rejected, counts.first);
  }
  return (throughout - byChance) / std::max(1.0, all);
}

// Routers that rejected all of enough requests for long enough.
std::size_t routersThatRejectAll(const std::vector<Fleet::Ended>& ended) {
  struct Run {
    double since = 0;
    std::size_t rejected = 0;
    bool tooLong = false;
  };
  std::map<int, Run> runs;
  for (const auto& e : ended) {
    Run& run = runs[e.router];
    if (e.served) {
      run.rejected = 0;
      continue;
    }
    if (run.rejected++ == 0) run.since = e.arrivedAt;
    run.tooLong =
        run.tooLong || (run.rejected >= kRejectedAtLeast && e.arrivedAt - run.since >= kRejectsAllFor);
  }
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), [](const auto& r) { return r.second.tooLong; }));
}

class Admission : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Admission, OnACalmDayNearlyAllAreServedWhateverTheirLength) {
  Fleet fleet(planAt(0.55, GetParam()));
  fleet.run(40);
  const ServedFractions fractions = servedFractionsOf(fleet.ended());
  std::printf("calm: all %.3f longest tenth %.3f next fifth %.3f\n", fractions.all, fractions.longestTenth,
              fractions.nextFifth);
  EXPECT_GE(fractions.all, 0.9);
  EXPECT_GE(fractions.longestTenth, kCalmFraction * fractions.all + kMargin);
  EXPECT_GE(fractions.nextFifth, kCalmFraction * fractions.all + kMargin);
  EXPECT_LE(alwaysRejected(fleet.ended()), kAlwaysRejected - kMargin);
  EXPECT_EQ(routersThatRejectAll(fleet.ended()), 0U);
}

TEST_P(Admission, AtFullLoadLongPromptsAreServedAsWellAndFewRoutersRejectAll) {
  Fleet fleet(planAt(1.15, GetParam()));
  fleet.run(40);
  const ServedFractions fractions = servedFractionsOf(fleet.ended());
  std::printf("full: all %.3f longest tenth %.3f next fifth %.3f\n", fractions.all, fractions.longestTenth,
              fractions.nextFifth);
  EXPECT_GE(fractions.all, 0.4);
  EXPECT_LE(fractions.all, 0.98);  // else this is no full load
  EXPECT_GE(fractions.longestTenth, kFullLoadFraction * fractions.all);
  EXPECT_GE(fractions.nextFifth, kFullLoadFraction * fractions.all + kMargin);
  EXPECT_LE(routersThatRejectAll(fleet.ended()), std::size_t{kRouters} / 10);
  EXPECT_EQ(fleet.openFor(5), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Admission, ::testing::Values(1, 2, 3));

}  // namespace
}  // namespace gannetcourse::test
