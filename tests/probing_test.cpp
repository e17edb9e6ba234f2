// Probes and their budget.
#include <gtest/gtest.h>

#include <utility>

#include "harness.h"

namespace gannetcourse::test {
namespace {

LoadReport queueOf(double requests) {
  LoadReport report;
  report.requestsQueued = requests;
  return report;
}

// A hundred routers, reports with queues; a prefill engine reported one some seconds ago.
PolicyHost hostWithReportedQueue(double requests, std::vector<EngineEntry> entries) {
  Settings settings = twoStageSettings();
  settings.routerCount = 100;
  settings.probesAllowed = true;
  settings.loadReportSource = LoadReportSource::kResponses;
  PolicyHost host(settings);
  host.engineList(1, std::move(entries));
  host.feed(1.01, ProbeEnded{{1}, Outcome::kOk, Duration(0.001), queueOf(requests)});
  return host;
}

// Where probes have a cost they go to the decode engine that a prefill will need, and no more than are saved
// up.
TEST(Probing, GoesToTheDecodeEngineNeededNextWithinItsBudget) {
  Settings settings = twoStageSettings();
  settings.routerCount = 200;
  settings.probesAllowed = true;
  settings.loadReportSource = LoadReportSource::kProbes;
  settings.probeCost = 0.01;
  PolicyHost host(settings);
  std::vector<EngineEntry> entries = {engineEntry(1, Role::kPrefill, 0)};
  for (std::uint32_t id = 10; id < 60; ++id) entries.push_back(engineEntry(id, Role::kDecode, id));
  entries.push_back(engineEntry(2, Role::kDecode, 0));
  host.engineList(1, entries);
  const int requests = 40;
  for (int i = 0; i < requests; ++i) {
    const std::string id = "r" + std::to_string(i);
    const double at = 1.1 + i;
    host.request(at, id, 500);
    for (const Probe& probe : only<Probe>(host.last))
      EXPECT_EQ(probe.engine.value, 2U) << "the prefill engine's cell";
    host.attemptEnded(at + 0.05, id, 1, Outcome::kPrefilled);
    host.streamStarted(at + 0.08, id, 2);
    host.attemptEnded(at + 0.3, id, 2, Outcome::kOk, true);
    host.runUntil(at + 0.9);
  }
  const std::size_t probes = only<Probe>(host.all).size();
  EXPECT_GT(probes, 10U);
  EXPECT_LE(probes, 18U) << "0.4 a request, and one to begin with";
}

// Most of a prefill engine's queue is other routers': where engines report it, the one selected is probed
// before the attempt.
TEST(Probing, QueriesThePrefillEnginesQueueBeforeTheAttempt) {
  PolicyHost host = hostWithReportedQueue(
      2, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
  host.request(3.1, "a");
  ASSERT_TRUE(only<StartAttempt>(host.last).empty());
  ASSERT_EQ(only<Probe>(host.last).size(), 1U);
  const std::uint32_t first = only<Probe>(host.last)[0].engine.value;
  host.feed(3.102, ProbeEnded{{first}, Outcome::kOk, Duration(0.001), queueOf(4)});
  ASSERT_EQ(only<Probe>(host.last).size(), 1U) << "the other one looks better now and is probed too";
  host.feed(3.104, ProbeEnded{{3 - first}, Outcome::kOk, Duration(0.001), queueOf(0)});
  EXPECT_EQ(sentTo(host.last), 3 - first);
  host.request(3.2, "b");
  EXPECT_EQ(sentTo(host.last), 3 - first) << "what is known is not probed again";
}

TEST(Probing, ASilentEngineDelaysNoRequest) {
  PolicyHost host = hostWithReportedQueue(2, {engineEntry(1, Role::kPrefill), engineEntry(3, Role::kDecode)});
  host.request(3.1, "a");
  ASSERT_TRUE(only<StartAttempt>(host.last).empty());
  EXPECT_EQ(only<StartAttempt>(host.runUntil(3.15)).size(), 1U);
}

TEST(Probing, EnginesWithoutQueuesAreNotProbed) {
  PolicyHost host = hostWithReportedQueue(0, {engineEntry(1, Role::kPrefill), engineEntry(3, Role::kDecode)});
  EXPECT_EQ(sentTo(host.request(3.1, "a")), 1U);
}

}  // namespace
}  // namespace gannetcourse::test
