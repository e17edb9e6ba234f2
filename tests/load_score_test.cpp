// Figures that engines report: their load and the number of cached tokens.
#include <gtest/gtest.h>

#include <map>

#include "harness.h"

namespace gannetcourse::test {
namespace {

// An engine that corrupts its responses may report any number that can be parsed. Guards against such a
// figure that excludes its engine for good or distorts the estimates for the others: later requests have to
// be admitted and distributed as without it.
TEST(LoadReports, AbsurdFiguresAffectNeitherAdmissionNorSelection) {
  const auto countByEngine = [](bool absurdCached, bool absurdLoad) {
    Settings settings = twoStageSettings();
    settings.loadReportSource = LoadReportSource::kResponses;
    PolicyHost host(settings);
    host.updateEngineList(
        1, {engineEntry(1, Role::kPrefill), engineEntry(2, Role::kPrefill), engineEntry(3, Role::kDecode)});
    const auto serve = [&](double at, const std::string& id, double cachedTokens, double load) {
      const std::uint32_t prefillEngine = selectedEngine(host.request(at, id));
      if (prefillEngine == 0) return prefillEngine;
      AttemptEnded prefill{
          {id}, 0, {prefillEngine}, Outcome::kPrefilled, false, cachedTokens, Duration(0.05), LoadReport{}};
      prefill.load->memoryUtilization = prefill.load->slotUtilization = prefill.load->requestsQueued = load;
      host.feed(at + 0.05, prefill);
      host.streamStarted(at + 0.06, id, 3);
      host.attemptEnded(at + 0.07, id, 3, Outcome::kOk, true);
      host.doHousekeeping(at + 0.08);
      return prefillEngine;
    };
    for (int i = 0; i < 20; ++i) serve(1.1 + i * 0.1, "before" + std::to_string(i), 100, 0.2);
    serve(4, "absurd", absurdCached ? 1e300 : 100, absurdLoad ? 1e300 : 0.2);
    serve(4.1, "negative", absurdCached ? -1e300 : 100, 0.2);
    serve(4.2, "zero cost", absurdCached ? 1300 : 100,
          0.2);  // the tokens of the prompt plus the fixed cost of a prefill
    host.runUntil(12);
    std::map<std::uint32_t, int> requests;  // by prefill engine; 0: not admitted
    for (int i = 0; i < 40; ++i) ++requests[serve(host.now + 0.1, "after" + std::to_string(i), 100, 0.2)];
    return requests;
  };
  std::map<std::uint32_t, int> usual = countByEngine(false, false), load = countByEngine(false, true);
  EXPECT_EQ(usual[0], 0);
  EXPECT_EQ(countByEngine(true, false)[0], 0) << "all are admitted";
  EXPECT_EQ(load[0], 0) << "all are admitted";
  for (const std::uint32_t prefillEngine : {1U, 2U})
    EXPECT_EQ(load[prefillEngine] > 0, usual[prefillEngine] > 0) << prefillEngine;
}

}  // namespace
}  // namespace gannetcourse::test
