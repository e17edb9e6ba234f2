// Which requests are admitted at one router, and which are shed.
#include <gtest/gtest.h>

#include "harness.h"

namespace gannetcourse::test {
namespace {

TEST(AdmissionControl, ALongQueueKeepsRequestsHereAndThenRejectsThem) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  for (int i = 0; i < 20; ++i) host.request(1.1, "r" + std::to_string(i), 2000);
  const std::size_t out = only<StartAttempt>(host.all).size();
  EXPECT_GE(out, 1U);
  EXPECT_LE(out, 4U);
  EXPECT_EQ(only<RejectRequest>(host.runUntil(1.9)).size(), 20 - out)
      << "none stays past half of its objective";
}

// A hung or slow engine must not keep out requests that go to other engines.
TEST(AdmissionControl, HungAttemptsDoNotCountAsAQueueElsewhere) {
  Settings settings = twoStageSettings();
  settings.routerCount = 100;
  PolicyHost host(settings);
  std::vector<EngineEntry> entries = {engineEntry(99, Role::kDecode)};
  for (std::uint32_t id = 1; id <= 10; ++id) entries.push_back(engineEntry(id, Role::kPrefill));
  host.engineList(1, entries);
  ASSERT_NE(sentTo(host.feed(1.1, requestOf("hung", 3000, 1))), 0U);
  host.runUntil(1.4);  // silent, not yet cancelled
  EXPECT_NE(sentTo(host.feed(1.41, requestOf("next", 1000, 2))), 0U);
}

// The headroom of a class with a higher weight keeps queues short; a long prompt that finds none takes
// nobody's.
TEST(AdmissionControl, ALongPromptIsAdmittedWhileNothingQueues) {
  for (const bool marked : {false, true}) {
    Settings settings = twoStageSettings();
    settings.classes.push_back(settings.classes[0]);
    settings.classes[1].ttftObjective = Duration(4);
    settings.classes[0].priorityWeight = 3;
    PolicyHost host(settings);
    host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
    RequestArrived r =
        requestOf("long", 12000, 1);  // 1.2 s of prefill: over half of the other class's objective
    r.classIndex = 1;
    r.timeUntilDeadline = Duration(10);
    r.isRetry = marked;
    EXPECT_EQ(sentTo(host.feed(1.1, r)), marked ? 0U : 1U);
    if (marked) continue;
    EXPECT_EQ(sentTo(host.feed(1.12, requestOf("behind", 9000, 2))), 0U) << "that one would queue";
  }
}

// In a queue the headroom is judged by the mean prompt, and a longer one gets its prefill beyond that in
// addition: else overload would shed just the long ones.
TEST(AdmissionControl, ALongPromptIsNotTheFirstToBeShedInAQueue) {
  for (const double prompt :
       {1000.0, 18000.0}) {  // a quarter of it is not cached: 0.48 s of an objective of 1 s
    PolicyHost host(twoStageSettings());
    host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
    for (int i = 0; i < 4; ++i) {  // 100 tokens each are the mean prefill
      const std::string id = "usual" + std::to_string(i);
      host.feed(1.1 + 0.1 * i, requestOf(id, 100, 10 + static_cast<std::uint64_t>(i)));
      host.attemptEnded(1.14 + 0.1 * i, id, 1, Outcome::kPrefilled);
      host.streamStarted(1.15 + 0.1 * i, id, 2);
    }
    ASSERT_EQ(sentTo(host.feed(1.6, requestOf("ahead", 1500, 1))), 1U);  // prefilled first
    EXPECT_EQ(sentTo(host.feed(1.61, requestOf("next", prompt, 2))), 1U) << prompt;
  }
}

// First tokens came after the objective lately: nothing more is prefilled until that is over.
TEST(AdmissionControl, AdmitsByTheExpectedFirstToken) {
  PolicyHost host(twoStageSettings());
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.1, "slow", 100);
  host.attemptEnded(1.15, "slow", 1, Outcome::kPrefilled);
  host.runUntil(2.1);
  host.streamStarted(2.12, "slow", 2);  // a decode engine's wait of about 1 s against an objective of 1 s
  host.doHousekeeping(2.14);
  EXPECT_EQ(sentTo(host.request(2.15, "b", 100)), 0U);
  const auto rejected = only<RejectRequest>(host.runUntil(2.8));
  ASSERT_EQ(rejected.size(), 1U) << "answered at half of its objective";
}

TEST(AdmissionControl, ATenantOverItsQuotaGivesWayFirst) {
  Settings settings = twoStageSettings();
  settings.tenants = {{0.5, 0.01}, {0.5, 100.0}};
  PolicyHost host(settings);
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  // The decode engine took 0.27 s to a first token: requests within their quota may wait for that (up to half
  // of the objective), those over it may not (a fifth).
  host.request(1.01, "slow", 100);
  host.attemptEnded(1.02, "slow", 1, Outcome::kPrefilled);
  host.streamStarted(1.29, "slow", 2);
  host.doHousekeeping(1.295);
  for (int i = 0; i < 8; ++i) {  // the first tenant may have one now
    for (std::size_t tenant : {0U, 1U}) {
      RequestArrived r = requestOf((tenant == 0 ? "beyond" : "within") + std::to_string(i), 100, 0);
      r.tenant = tenant;
      host.feed(1.3, r);
    }
  }
  host.doHousekeeping(1.32);
  int beyond = 0, within = 0;
  for (const StartAttempt& send : only<StartAttempt>(host.all)) {
    beyond += send.id.value.rfind("beyond", 0) == 0;
    within += send.id.value.rfind("within", 0) == 0;
  }
  EXPECT_LE(beyond, 1);
  EXPECT_GT(within, beyond);
}

// With hundreds of routers a tenant's part at one of them is one request in many seconds; two that come
// together are chance, not a tenant over its quota.
TEST(AdmissionControl, ChanceAtOneOfManyRoutersPutsNoTenantOverItsQuota) {
  Settings settings = twoStageSettings();
  settings.routerCount = 150;
  settings.tenants = {{0.07, 20.0}};
  PolicyHost host(settings);
  host.engineList(1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kDecode)});
  host.request(1.01, "slow", 100);
  host.attemptEnded(1.02, "slow", 1, Outcome::kPrefilled);
  host.streamStarted(1.29, "slow", 2);  // requests over a quota wait for that, those within it do not
  host.doHousekeeping(1.295);
  for (const std::string id : {"a", "b"}) {
    RequestArrived r = requestOf(id, 100, 0);
    r.tenant = 0;
    EXPECT_NE(sentTo(host.feed(1.3, r)), 0U) << id;
  }
}

}  // namespace
}  // namespace gannetcourse::test
