// Tests of the wire adapter: valid batches and malformed input through the real binary, and isolation between
// instances.
#include "wire.h"

#include <gtest/gtest.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>
#include <vector>

namespace gannetcourse::test {
namespace {

struct ProcessResult {
  std::string out, err;
  int code = -1;
};

std::string readFile(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

ProcessResult runBinary(const std::string& input) {
  std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
  std::replace(name.begin(), name.end(), '/', '_');
  const std::string base = testing::TempDir() + "gannetcourse_" + name;
  std::ofstream(base + ".in") << input;
  const std::string command =
      std::string(WIREHOST) + " < " + base + ".in > " + base + ".out 2> " + base + ".err";
  const int status = std::system(command.c_str());
  return {readFile(base + ".out"), readFile(base + ".err"), WIFEXITED(status) ? WEXITSTATUS(status) : -1};
}

const char kOptions[] =
    R"({"balancers":1,"classes":[{"aimS":1.0,"idempotency":"idempotent","name":"quick","stream":true}],)"
    R"("familyInfo":{"kindRole":["read","write"],"kindMemoryTokens":[200000,200000],"pinLimitS":0.5},)"
    R"("kinds":["p","d"],"limits":{"maxAttempts":4,"mayCancel":true},"membershipMode":"push",)"
    R"("tickS":0.004,"zones":["z"],"zone":"z","somethingNew":{"a":1}})";

std::string frameMessage(double now, int batch) {
  return "{\"frame\":{\"nowS\":" + std::to_string(now) + ",\"batch\":" + std::to_string(batch) + "}}\n";
}

const char kEnd[] = "{\"eob\":{}}\n";

std::string attachMessage(const std::string& node) {
  return "{\"attach\":{\"who\":\"" + node + "\",\"prng\":18446744073709551615,\"options\":" + kOptions +
         "}}\n" + "{\"sync\":{\"who\":\"" + node + "\",\"scope\":\"SAVED\",\"stamp\":1,\"lines\":[" +
         R"({"engine":4294967295,"rackZone":"z","status":"SERVING","cell":0,"classOfHost":"p"},)" +
         R"({"engine":7,"rackZone":"z","status":"SERVING","cell":0,"classOfHost":"d"}]}})" + "\n";
}

std::string demandMessage(const std::string& node, const std::string& id) {
  return "{\"demand\":{\"who\":\"" + node + "\",\"tid\":\"" + id +
         "\",\"category\":\"quick\",\"timeBudgetS\":2.0,\"promptLen\":500,\"session\":\"ffffffffffffffff\"}}"
         "\n";
}

std::string renamed(std::string text, const std::vector<std::pair<std::string, std::string>>& names) {
  for (const auto& [from, to] : names) {
    const std::string word = "\"" + from + "\"";
    for (std::size_t at = 0; (at = text.find(word, at)) != std::string::npos; at += to.size() + 2)
      text.replace(at, word.size(), "\"" + to + "\"");
  }
  return text;
}

// Names of classes, zones and engine kinds only tell them apart. Consistently renaming them must not change
// any decision.
TEST(Wire, DecisionsDoNotDependOnNames) {
  std::string input = frameMessage(8.5, 1) + attachMessage("n0");
  for (int i = 0; i < 5; ++i) input += demandMessage("n0", "r" + std::to_string(i));
  input += kEnd;
  for (int batch = 2; batch < 60; ++batch) input += frameMessage(8.5 + 0.02 * batch, batch) + kEnd;
  const ProcessResult original = runBinary(input);
  const ProcessResult withNewNames = runBinary(
      renamed(input, {{"quick", "field-query"}, {"z", "colombo"}, {"p", "decode"}, {"d", "prefill"}}));
  EXPECT_EQ(original.code, 0);
  EXPECT_NE(original.out.find("4294967295"), std::string::npos);  // the run contains decisions
  EXPECT_EQ(withNewNames.out, original.out);
  EXPECT_EQ(withNewNames.err, original.err);
}

TEST(Wire, AnswersEmptyBatchWithYield) {
  const ProcessResult run = runBinary(frameMessage(8.5, 1) + kEnd);
  EXPECT_EQ(run.out, "{\"yield\":{\"batch\":1}}\n");
  EXPECT_EQ(run.code, 0);
  EXPECT_EQ(run.err, "");
}

TEST(Wire, SendsRequestToPrefillThenDecodeWithExactEngineIds) {
  const ProcessResult run =
      runBinary(frameMessage(1, 1) + attachMessage("node_0") + kEnd + frameMessage(1.1, 2) +
                demandMessage("node_0", "id-1") + kEnd + frameMessage(1.2, 3) +
                "{\"resolved\":{\"who\":\"node_0\",\"tid\":\"id-1\",\"engine\":4294967295,\"outcome\":"
                "\"prefilled\",\"delaySeenS\":0.1,\"metrics\":{\"x0\":0.3,\"x1\":1.5,\"new\":2}}}\n" +
                kEnd);
  ASSERT_EQ(run.code, 0) << run.err;
  EXPECT_NE(run.out.find("\"engine\":4294967295"), std::string::npos);
  EXPECT_NE(run.out.find("\"engine\":7"), std::string::npos);
  EXPECT_NE(run.out.find("{\"yield\":{\"batch\":3}}"), std::string::npos);
}

TEST(Wire, DecisionsDoNotDependOnOtherInstances) {
  const auto actionsOfFirstNode = [](const std::vector<std::string>& nodes) {
    std::string input = frameMessage(1, 1);
    for (const std::string& node : nodes) input += attachMessage(node);
    input += kEnd + frameMessage(1.1, 2);
    for (const std::string& node : nodes) input += demandMessage(node, "r-" + node);
    std::istringstream in(input + kEnd);
    std::ostringstream out, err;
    EXPECT_EQ(wire::serve(in, out, err), 0) << err.str();
    std::vector<std::string> first;  // the actions of node_0
    std::istringstream lines(out.str());
    for (std::string line; std::getline(lines, line);) {
      if (line.find("\"node_0\"") != std::string::npos) first.push_back(line);
    }
    return first;
  };
  const auto alone = actionsOfFirstNode({"node_0"});
  EXPECT_FALSE(alone.empty());
  EXPECT_EQ(alone, actionsOfFirstNode({"node_1", "node_0", "node_2"}));
}

TEST(Wire, ProducesNoOutputForInstanceWithoutInput) {
  const ProcessResult run = runBinary(frameMessage(1, 1) + attachMessage("node_0") + attachMessage("node_1") +
                                      kEnd + frameMessage(1.1, 2) + demandMessage("node_0", "a") + kEnd);
  const std::string second = run.out.substr(run.out.find("{\"yield\":{\"batch\":1}}"));
  EXPECT_EQ(second.find("node_1"), std::string::npos);
}

struct MalformedInput {
  const char* name;
  std::string line, expectedError;
};

// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest looks for this name.
void PrintTo(const MalformedInput& input, std::ostream* out) { *out << input.name; }

class Malformed : public testing::TestWithParam<MalformedInput> {};

TEST_P(Malformed, ReportsLineAndErrorAndProducesNoOutput) {
  const ProcessResult run =
      runBinary(frameMessage(1, 1) + attachMessage("node_0") + GetParam().line + "\n" + kEnd);
  EXPECT_EQ(run.code, 1);
  EXPECT_EQ(run.out, "") << "the failed batch must produce no output";
  EXPECT_NE(run.err.find("line 4: "), std::string::npos) << run.err;
  EXPECT_NE(run.err.find(GetParam().expectedError), std::string::npos) << run.err;
  EXPECT_EQ(std::count(run.err.begin(), run.err.end(), '\n'), 1);
}

INSTANTIATE_TEST_SUITE_P(
    Lines, Malformed,
    testing::Values(
        MalformedInput{"json", "{\"elapsed\":", "not valid JSON"},
        MalformedInput{"array", "[1]", "single key"},
        MalformedInput{"unknown", "{\"hello\":{\"who\":\"node_0\"}}", "unknown message 'hello'"},
        MalformedInput{"instance", "{\"elapsed\":{\"who\":\"node_9\",\"cookie\":\"x\"}}", "not attached"},
        MalformedInput{"missing", "{\"elapsed\":{\"who\":\"node_0\"}}", "'cookie' is missing"},
        MalformedInput{"outcome", R"({"probeResult":{"who":"node_0","engine":7,"outcome":"MAYBE"}})",
                       "unknown outcome 'MAYBE'"},
        MalformedInput{"engine", R"({"probeResult":{"who":"node_0","engine":4294967296,"outcome":"OK"}})",
                       "'engine'"},
        MalformedInput{"category",
                       R"({"demand":{"who":"node_0","tid":"a","category":"odd","timeBudgetS":1}})",
                       "category"},
        MalformedInput{"frame", "{\"frame\":{\"nowS\":2,\"batch\":2}}", "before the batch's end"}),
    [](const testing::TestParamInfo<MalformedInput>& info) { return info.param.name; });

TEST(Wire, FailsWhenInputEndsInsideBatch) {
  const ProcessResult run = runBinary(frameMessage(1, 1));
  EXPECT_EQ(run.code, 1);
  EXPECT_EQ(run.out, "");
  EXPECT_NE(run.err.find("inside a batch"), std::string::npos);
}

}  // namespace
}  // namespace gannetcourse::test
