// The adapter: good batches and malformed input through the real binary, and instances that share nothing.
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

struct Played {
  std::string out, err;
  int code = -1;
};

std::string slurp(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

Played runBinary(const std::string& input) {
  std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
  std::replace(name.begin(), name.end(), '/', '_');
  const std::string base = testing::TempDir() + "gannetcourse_" + name;
  std::ofstream(base + ".in") << input;
  const std::string command =
      std::string(WIREHOST) + " < " + base + ".in > " + base + ".out 2> " + base + ".err";
  const int status = std::system(command.c_str());
  return {slurp(base + ".out"), slurp(base + ".err"), WIFEXITED(status) ? WEXITSTATUS(status) : -1};
}

const char kOptions[] =
    R"({"balancers":1,"classes":[{"aimS":1.0,"idempotency":"idempotent","name":"quick","stream":true}],)"
    R"("familyInfo":{"kindRole":["read","write"],"kindMemoryTokens":[200000,200000],"pinLimitS":0.5},)"
    R"("kinds":["p","d"],"limits":{"maxAttempts":4,"mayCancel":true},"membershipMode":"push",)"
    R"("tickS":0.004,"zones":["z"],"zone":"z","somethingNew":{"a":1}})";

std::string frame(double now, int batch) {
  return "{\"frame\":{\"nowS\":" + std::to_string(now) + ",\"batch\":" + std::to_string(batch) + "}}\n";
}

const char kEnd[] = "{\"eob\":{}}\n";

std::string attach(const std::string& who) {
  return "{\"attach\":{\"who\":\"" + who + "\",\"prng\":18446744073709551615,\"options\":" + kOptions +
         "}}\n" + "{\"sync\":{\"who\":\"" + who + "\",\"scope\":\"SAVED\",\"stamp\":1,\"lines\":[" +
         R"({"engine":4294967295,"rackZone":"z","status":"SERVING","cell":0,"classOfHost":"p"},)" +
         R"({"engine":7,"rackZone":"z","status":"SERVING","cell":0,"classOfHost":"d"}]}})" + "\n";
}

std::string demand(const std::string& who, const std::string& id) {
  return "{\"demand\":{\"who\":\"" + who + "\",\"tid\":\"" + id +
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

// Names distinguish classes, zones and kinds; what they mean to a reader changes nothing.
TEST(Wire, NamesDecideNothing) {
  std::string input = frame(8.5, 1) + attach("n0");
  for (int i = 0; i < 5; ++i) input += demand("n0", "r" + std::to_string(i));
  input += kEnd;
  for (int batch = 2; batch < 60; ++batch) input += frame(8.5 + 0.02 * batch, batch) + kEnd;
  const Played plain = runBinary(input);
  const Played other = runBinary(
      renamed(input, {{"quick", "field-query"}, {"z", "colombo"}, {"p", "decode"}, {"d", "prefill"}}));
  EXPECT_EQ(plain.code, 0);
  EXPECT_NE(plain.out.find("4294967295"), std::string::npos);  // something is decided
  EXPECT_EQ(other.out, plain.out);
  EXPECT_EQ(other.err, plain.err);
}

TEST(Wire, EmptyBatchGetsAYield) {
  const Played run = runBinary(frame(8.5, 1) + kEnd);
  EXPECT_EQ(run.out, "{\"yield\":{\"batch\":1}}\n");
  EXPECT_EQ(run.code, 0);
  EXPECT_EQ(run.err, "");
}

TEST(Wire, RequestIsSentReadAndAnsweredWithExactIds) {
  const Played run =
      runBinary(frame(1, 1) + attach("node_0") + kEnd + frame(1.1, 2) + demand("node_0", "id-1") + kEnd +
                frame(1.2, 3) +
                "{\"resolved\":{\"who\":\"node_0\",\"tid\":\"id-1\",\"engine\":4294967295,\"outcome\":"
                "\"prefilled\",\"delaySeenS\":0.1,\"metrics\":{\"x0\":0.3,\"x1\":1.5,\"new\":2}}}\n" +
                kEnd);
  ASSERT_EQ(run.code, 0) << run.err;
  EXPECT_NE(run.out.find("\"engine\":4294967295"), std::string::npos);
  EXPECT_NE(run.out.find("\"engine\":7"), std::string::npos);
  EXPECT_NE(run.out.find("{\"yield\":{\"batch\":3}}"), std::string::npos);
}

TEST(Wire, InstancesShareNothing) {
  const auto play = [](const std::vector<std::string>& nodes) {
    std::string input = frame(1, 1);
    for (const std::string& who : nodes) input += attach(who);
    input += kEnd + frame(1.1, 2);
    for (const std::string& who : nodes) input += demand(who, "r-" + who);
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
  const auto alone = play({"node_0"});
  EXPECT_FALSE(alone.empty());
  EXPECT_EQ(alone, play({"node_1", "node_0", "node_2"}));
}

TEST(Wire, QuietInstanceStaysSilent) {
  const Played run = runBinary(frame(1, 1) + attach("node_0") + attach("node_1") + kEnd + frame(1.1, 2) +
                               demand("node_0", "a") + kEnd);
  const std::string second = run.out.substr(run.out.find("{\"yield\":{\"batch\":1}}"));
  EXPECT_EQ(second.find("node_1"), std::string::npos);
}

struct Bad {
  const char* name;
  std::string line, fault;
};

// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest looks for this name.
void PrintTo(const Bad& bad, std::ostream* out) { *out << bad.name; }

class Malformed : public testing::TestWithParam<Bad> {};

TEST_P(Malformed, NamesLineAndFaultAndSaysNothingElse) {
  const Played run = runBinary(frame(1, 1) + attach("node_0") + GetParam().line + "\n" + kEnd);
  EXPECT_EQ(run.code, 1);
  EXPECT_EQ(run.out, "") << "no partial reply";
  EXPECT_NE(run.err.find("line 4: "), std::string::npos) << run.err;
  EXPECT_NE(run.err.find(GetParam().fault), std::string::npos) << run.err;
  EXPECT_EQ(std::count(run.err.begin(), run.err.end(), '\n'), 1);
}

INSTANTIATE_TEST_SUITE_P(
    Lines, Malformed,
    testing::Values(
        Bad{"json", "{\"elapsed\":", "not valid JSON"}, Bad{"array", "[1]", "single key"},
        Bad{"unknown", "{\"hello\":{\"who\":\"node_0\"}}", "unknown message 'hello'"},
        Bad{"instance", "{\"elapsed\":{\"who\":\"node_9\",\"cookie\":\"x\"}}", "not attached"},
        Bad{"missing", "{\"elapsed\":{\"who\":\"node_0\"}}", "'cookie' is missing"},
        Bad{"outcome", R"({"probeResult":{"who":"node_0","engine":7,"outcome":"MAYBE"}})",
            "unknown outcome 'MAYBE'"},
        Bad{"engine", R"({"probeResult":{"who":"node_0","engine":4294967296,"outcome":"OK"}})", "'engine'"},
        Bad{"category", R"({"demand":{"who":"node_0","tid":"a","category":"odd","timeBudgetS":1}})",
            "category"},
        Bad{"frame", "{\"frame\":{\"nowS\":2,\"batch\":2}}", "before the batch's end"}),
    [](const testing::TestParamInfo<Bad>& info) { return info.param.name; });

TEST(Wire, InputThatEndsInsideABatchIsAFault) {
  const Played run = runBinary(frame(1, 1));
  EXPECT_EQ(run.code, 1);
  EXPECT_EQ(run.out, "");
  EXPECT_NE(run.err.find("inside a batch"), std::string::npos);
}

}  // namespace
}  // namespace gannetcourse::test
