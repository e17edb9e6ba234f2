// Admission over many nodes, on calm days and at full load: whom a fleet serves when it cannot serve all.
#include "fleet_model.h"

namespace gannetcourse::test {
namespace {

// The users' bounds, and what is kept clear of them.
constexpr double kCalmShare = 2.0 / 3, kFullShare = 0.5;  // of the class's answered share
constexpr double kMargin = 0.05;
constexpr double kSingledOut = 0.12;  // sessions refused throughout beyond chance
constexpr double kRefusesAllFor = 4;  // seconds on end, of at least kRefusedAtLeast requests
constexpr std::size_t kRefusedAtLeast = 15;
constexpr int kNodes = 40;

FleetPlan planAt(double load, std::uint64_t seed) {
  FleetPlan plan;
  plan.nodes = kNodes;
  plan.engines = 10;
  plan.cold = 0;
  plan.load = load;
  plan.sessions = 300;
  plan.promptSpread = 0.7;
  plan.readersQueue = true;
  plan.seed = seed;
  return plan;
}

double servedShare(std::vector<Fleet::Ended>::const_iterator from,
                   std::vector<Fleet::Ended>::const_iterator to) {
  const auto served = std::count_if(from, to, [](const auto& e) { return e.served; });
  return from == to ? 1 : static_cast<double>(served) / static_cast<double>(to - from);
}

struct Shares {
  double all = 1, longestTenth = 1, nextFifth = 1;
};
Shares sharesOf(std::vector<Fleet::Ended> ended) {
  std::sort(ended.begin(), ended.end(), [](const auto& a, const auto& b) { return a.prompt > b.prompt; });
  const auto tenth = ended.begin() + static_cast<long>(ended.size() / 10);
  const auto third = ended.begin() + static_cast<long>(3 * ended.size() / 10);
  return {servedShare(ended.begin(), ended.end()), servedShare(ended.begin(), tenth),
          servedShare(tenth, third)};
}

// Share of the sessions with several turns of which all were refused, less what chance gives.
double singledOut(const std::vector<Fleet::Ended>& ended) {
  std::map<std::uint64_t, std::pair<int, int>> turns;  // of each session: all, refused
  double refused = 0;
  for (const auto& e : ended) {
    ++turns[e.session].first;
    turns[e.session].second += !e.served;
    refused += !e.served;
  }
  refused /= static_cast<double>(ended.size());
  double all = 0, throughout = 0, byChance = 0;
  for (const auto& [session, counts] : turns) {
    if (counts.first < 2) continue;
    ++all;
    throughout += counts.first == counts.second;
    byChance += std::pow(refused, counts.first);
  }
  return (throughout - byChance) / std::max(1.0, all);
}

// Nodes that refused all that they got, as much as counts, for as long as counts.
std::size_t nodesThatRefuseAll(const std::vector<Fleet::Ended>& ended) {
  struct Run {
    double since = 0;
    std::size_t refused = 0;
    bool tooLong = false;
  };
  std::map<int, Run> runs;
  for (const auto& e : ended) {
    Run& run = runs[e.node];
    if (e.served) {
      run.refused = 0;
      continue;
    }
    if (run.refused++ == 0) run.since = e.askedAt;
    run.tooLong = run.tooLong || (run.refused >= kRefusedAtLeast && e.askedAt - run.since >= kRefusesAllFor);
  }
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(), [](const auto& r) { return r.second.tooLong; }));
}

class Admission : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Admission, OnACalmDayAlmostAllAreServedWhateverTheirLength) {
  Fleet fleet(planAt(0.55, GetParam()));
  fleet.run(40);
  const Shares shares = sharesOf(fleet.ended());
  std::printf("calm: all %.3f longest tenth %.3f next fifth %.3f\n", shares.all, shares.longestTenth,
              shares.nextFifth);
  EXPECT_GE(shares.all, 0.9);
  EXPECT_GE(shares.longestTenth, kCalmShare * shares.all + kMargin);
  EXPECT_GE(shares.nextFifth, kCalmShare * shares.all + kMargin);
  EXPECT_LE(singledOut(fleet.ended()), kSingledOut - kMargin);
  EXPECT_EQ(nodesThatRefuseAll(fleet.ended()), 0U);
}

TEST_P(Admission, AtFullLoadLongPromptsKeepTheirShareAndFewNodesRefuseAll) {
  Fleet fleet(planAt(1.15, GetParam()));
  fleet.run(40);
  const Shares shares = sharesOf(fleet.ended());
  std::printf("full: all %.3f longest tenth %.3f next fifth %.3f\n", shares.all, shares.longestTenth,
              shares.nextFifth);
  EXPECT_GE(shares.all, 0.4);
  EXPECT_LE(shares.all, 0.98);  // else it is no full load
  EXPECT_GE(shares.longestTenth, kFullShare * shares.all);
  EXPECT_GE(shares.nextFifth, kFullShare * shares.all + kMargin);
  EXPECT_LE(nodesThatRefuseAll(fleet.ended()), std::size_t{kNodes} / 10);
  EXPECT_EQ(fleet.openFor(5), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Admission, ::testing::Values(1, 2, 3));

}  // namespace
}  // namespace gannetcourse::test
