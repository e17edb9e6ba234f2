// Tests reading, checking, comparing and merging settings. Each fault must have file, line, reason and
// remedy, and the rule that the setting would break.
#include <gtest/gtest.h>

#include "config/reload.h"
#include "config/settings.h"
#include "config/settings_difference.h"

namespace gannetcourse::config {
namespace {

// The elements of a valid settings file; tests replace some of them.
struct SettingsParts {
  std::string node = "<node name='n1' zone='north' nodes='3'/>";
  std::string listen = "<listen grpc='127.0.0.1:0'/>";
  std::string zones = "<zones><zone name='north'/><zone name='south'/></zones>";
  std::string classes =
      "<classes><class name='query' aim='1s' token-aim='60ms' first-token-within='4s' worth='3'/></classes>";
  std::string rest;
  std::string fleet = "<fleet registry='127.0.0.1:4000'/>";
  std::string text() const {
    return "<gannetcourse xmlns='urn:gannetcourse:settings:1'>\n" + node + "\n" + listen + "\n" + zones +
           "\n" + classes + "\n" + fleet + "\n" + rest + "\n</gannetcourse>\n";
  }
};

std::vector<Fault> parseFaults(const std::string& text) {
  try {
    parseSettings(text, "node.xml");
  } catch (const InvalidFile& invalid) {
    return invalid.faults();
  }
  return {};
}

TEST(SettingsTest, ReadsValuesWithUnits) {
  SettingsParts parts;
  parts.rest =
      "<limits max-attempts='6' pin-limit='500ms' drain-grace='1s' worth-by='work'/>"
      "<tenants over-share-worth='0.1'><tenant name='a' share='0.6' quota-per-second='12'/></tenants>"
      "<cold-start start-capacity='0.3' warm-after='13s' overload-factor='2.5' window='3s'/>"
      "<engines reports='probes' connect-timeout='100ms'/>";
  const NodeSettings s = parseSettings(parts.text(), "node.xml");
  EXPECT_EQ(s.name, "n1");
  EXPECT_EQ(s.policy.zone, 0u);
  EXPECT_EQ(s.policy.routerCount, 3);
  EXPECT_EQ(s.policy.maxAttempts, 6);
  EXPECT_DOUBLE_EQ(s.policy.stateLeaseLimit.count(), 0.5);
  EXPECT_DOUBLE_EQ(s.policy.slowStartDuration.count(), 13);
  EXPECT_TRUE(s.policy.probesAllowed);
  EXPECT_TRUE(s.policy.weightByTokens);
  EXPECT_DOUBLE_EQ(s.policy.tenants.at(0).quotaPerSecond, 12);
  EXPECT_DOUBLE_EQ(s.policy.classes.at(0).interTokenObjective.count(), 0.06);
  EXPECT_DOUBLE_EQ(s.connectTimeout.count(), 0.1);
}

struct InvalidCase {
  const char* name;
  void (*makeInvalid)(SettingsParts&);
  int line;
  const char* expectedText;  // must be part of the fault's text
};

class InvalidSettingsTest : public ::testing::TestWithParam<InvalidCase> {};

TEST_P(InvalidSettingsTest, ReportsFileLineReasonAndRemedy) {
  SettingsParts parts;
  GetParam().makeInvalid(parts);
  const auto faults = parseFaults(parts.text());
  ASSERT_FALSE(faults.empty());
  const Fault& fault = faults.front();
  EXPECT_EQ(fault.file, "node.xml");
  EXPECT_EQ(fault.line, GetParam().line) << fault.text();
  EXPECT_NE(fault.text().find(GetParam().expectedText), std::string::npos) << fault.text();
  EXPECT_FALSE(fault.remedy.empty()) << fault.text();
  EXPECT_EQ(fault.text().find('\n'), std::string::npos) << "a fault's text must be one line";
}

const InvalidCase kInvalidCases[] = {
    {"duration_without_unit",
     [](SettingsParts& p) { p.classes = "<classes><class name='q' aim='15'/></classes>"; }, 5, "250ms"},
    {"unknown_attribute", [](SettingsParts& p) { p.listen = "<listen grpc='127.0.0.1:0' port='1'/>"; }, 3,
     "remove it"},
    {"unknown_element", [](SettingsParts& p) { p.rest = "<limit/>"; }, 7, "limit"},
    {"missing_fleet_element", [](SettingsParts& p) { p.fleet = ""; }, 1, "add the missing element"},
    {"two_engine_list_sources",
     [](SettingsParts& p) { p.fleet = "<fleet registry='127.0.0.1:1' file='x'/>"; }, 6, "exactly one source"},
    {"malformed_xml", [](SettingsParts& p) { p.zones = "<zones><zone name='north'></zones>"; }, 4, "XML"},
    {"unknown_zone_of_node", [](SettingsParts& p) { p.node = "<node name='n' zone='east'/>"; }, 2,
     "not one of <zones>"},
    {"duplicate_class",
     [](SettingsParts& p) {
       p.classes = "<classes><class name='q' aim='1s'/>\n<class name='q' aim='1s'/></classes>";
     },
     6, "is defined more than once"},
    {"keyed_class_without_dedup_window",
     [](SettingsParts& p) { p.classes = "<classes><class name='q' aim='1s' effect='keyed'/></classes>"; }, 5,
     "rule 2"},
    {"first_token_timeout_within_answer_margin",
     [](SettingsParts& p) {
       p.classes = "<classes><class name='q' aim='10ms' first-token-within='90ms'/></classes>";
     },
     5, "rule 1"},
    {"answer_margin_below_minimum", [](SettingsParts& p) { p.rest = "<limits answer-margin='1ms'/>"; }, 7,
     "rule 1"},
    {"connect_timeout_longer_than_drain_grace",
     [](SettingsParts& p) { p.rest = "<limits drain-grace='100ms'/><engines connect-timeout='250ms'/>"; }, 7,
     "rule 3"},
    {"slow_start_shorter_than_its_window",
     [](SettingsParts& p) { p.rest = "<cold-start window='20s' warm-after='10s'/>"; }, 7, "rule 4"},
    {"slow_start_without_capacity", [](SettingsParts& p) { p.rest = "<cold-start start-capacity='0'/>"; }, 7,
     "rule 4"},
    {"pin_limit_below_minimum", [](SettingsParts& p) { p.rest = "<limits pin-limit='50ms'/>"; }, 7, "rule 5"},
    {"max_attempts_below_minimum", [](SettingsParts& p) { p.rest = "<limits max-attempts='1'/>"; }, 7,
     "one prefill and one decode"},
    {"tenant_shares_above_one",
     [](SettingsParts& p) {
       p.rest = "<tenants><tenant name='a' share='0.7'/><tenant name='b' share='0.7'/></tenants>";
     },
     7, "more than 1"},
    {"address_without_port", [](SettingsParts& p) { p.listen = "<listen grpc='localhost'/>"; }, 3,
     "127.0.0.1:8080"},
    {"port_too_large", [](SettingsParts& p) { p.listen = "<listen grpc='127.0.0.1:99999'/>"; }, 3,
     "a.b.c.d:port"},
};

INSTANTIATE_TEST_SUITE_P(EachFault, InvalidSettingsTest, ::testing::ValuesIn(kInvalidCases),
                         [](const auto& info) { return info.param.name; });

TEST(SettingsTest, ReportsPathOfMissingFile) {
  try {
    loadSettings("/nowhere/node.xml");
    FAIL() << "loading a missing file must throw";
  } catch (const InvalidFile& invalid) {
    EXPECT_NE(std::string(invalid.what()).find("/nowhere/node.xml"), std::string::npos);
  }
}

TEST(SettingsTest, DescribesDifferencesAndFindsThoseThatNeedRestart) {
  SettingsParts before, after;
  after.classes =
      "<classes><class name='query' aim='1s' token-aim='60ms' first-token-within='6s' worth='3'/></classes>";
  after.rest = "<log level='debug'/>";
  const NodeSettings a = parseSettings(before.text(), "a"), b = parseSettings(after.text(), "b");
  const auto lines = describeDifferences(a, b);
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_EQ(lines[0], "log level: info -> debug");
  EXPECT_EQ(lines[1], "class query first-token-within: 4s -> 6s");
  EXPECT_EQ(firstRestartOnlyDifference(a, b), "");
  after.rest = "<limits answer-margin='90ms'/>";
  EXPECT_EQ(firstRestartOnlyDifference(a, parseSettings(after.text(), "b")), "limits answer-margin");
}

// Accepted requests refer to their class by index. If a reload reused an index for another class, they would
// be finished under the wrong objectives. Reloading an earlier file must restore the earlier indices.
TEST(SettingsTest, ReloadKeepsIndicesOfClasses) {
  SettingsParts first, second;
  second.classes =
      "<classes><class name='order' aim='2s' effect='unsafe'/>"
      "<class name='query' aim='3s' token-aim='60ms' first-token-within='6s'/></classes>";
  const NodeSettings a = parseSettings(first.text(), "a"), b = parseSettings(second.text(), "b");
  const NodeSettings merged = mergeForReload(a, b);
  ASSERT_EQ(merged.classes.size(), a.classes.size() + 2);
  EXPECT_EQ(findClassInService(merged, "order"), a.classes.size());
  EXPECT_EQ(findClassInService(merged, "query"), a.classes.size() + 1);
  EXPECT_FALSE(merged.policy.classes[0].inService);
  EXPECT_EQ(merged.policy.classes[0].ttftObjective, a.policy.classes[0].ttftObjective);
  const NodeSettings restored = mergeForReload(merged, a);
  EXPECT_EQ(restored.classes.size(), merged.classes.size())
      << "reloading the earlier file must not add an index";
  EXPECT_EQ(findClassInService(restored, "query"), 0u);
  EXPECT_FALSE(findClassInService(restored, "order"));
  EXPECT_EQ(firstRestartOnlyDifference(a, b), "") << "a changed class must not need a restart";
  const auto lines = describeDifferences(a, b);
  ASSERT_FALSE(lines.empty());
  EXPECT_NE(lines[0].find("order (aim 2s"), std::string::npos) << lines[0];
  EXPECT_NE(lines[0].find("unsafe"), std::string::npos) << lines[0];
}

TEST(UnitsTest, ParsesAndFormatsDurationsAndSizes) {
  EXPECT_DOUBLE_EQ(parseDuration("250ms")->count(), 0.25);
  EXPECT_DOUBLE_EQ(parseDuration("1.5s")->count(), 1.5);
  EXPECT_DOUBLE_EQ(parseDuration("2min")->count(), 120);
  EXPECT_DOUBLE_EQ(parseDuration("40us")->count(), 4e-5);
  for (const char* malformed : {"", "5", "s", "-1s", "1 s", "1h", "nans"})
    EXPECT_FALSE(parseDuration(malformed)) << malformed;
  EXPECT_EQ(parseBytes("32KiB"), 32768u);
  EXPECT_EQ(parseBytes("100"), 100u);
  EXPECT_FALSE(parseBytes("1KB"));
  for (const char* text : {"250ms", "1.5s", "40us", "13s"})
    EXPECT_EQ(formatDuration(*parseDuration(text)), text);
}

}  // namespace
}  // namespace gannetcourse::config
