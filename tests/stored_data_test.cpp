// Tests that data stored by earlier versions can be read. The samples were recorded with version d0b718d,
// before names in the code changed.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "discovery/engine_list_file.h"
#include "gannetcourse/v1/resume.pb.h"
#include "resume/seal.h"

namespace gannetcourse {
namespace {

const std::string kDataFolder = TEST_DATA;

std::string readFile(const std::string& path) {
  std::ostringstream content;
  content << std::ifstream(path).rdbuf();
  return content.str();
}

std::string decodeHex(const std::string& digits) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  return bytes;
}

// A node reads its saved engine list at startup, also after an upgrade: names and format must not change.
TEST(StoredDataTest, ReadsSavedEngineListAndWritesItUnchanged) {
  const std::string path = kDataFolder + "/saved-engine-list.xml";
  const discovery::EntryResolver resolver({"north", "south"}, Instant{}, 0);
  const discovery::EngineList list = discovery::loadEngineListFile(path, resolver);
  EXPECT_EQ(list.version, 42u);
  ASSERT_EQ(list.engines.size(), 3u);
  const discovery::Engine& draining = list.engines[1];
  EXPECT_EQ(draining.entry.id, EngineId{2});
  EXPECT_EQ(draining.entry.role, Role::kDecode);
  EXPECT_EQ(draining.entry.state, EngineEntry::State::kDraining);
  EXPECT_EQ(draining.entry.zone, 1u);
  EXPECT_EQ(draining.entry.cell, 4u);
  EXPECT_EQ(draining.entry.memoryTokens, 190862);
  EXPECT_EQ(draining.address.text(), "127.0.0.1:5002");
  EXPECT_EQ(draining.startedUnixMs, 1790000000000);
  EXPECT_EQ(draining.shutdownUnixMs, 1790000060000);
  EXPECT_EQ(list.engines[2].zone, "a \"quoted\" <zone>");
  EXPECT_EQ(discovery::formatEngineList(list), readFile(path));
}

// Clients present resume tokens that an earlier version sealed: the seal and the message format must not
// change.
TEST(StoredDataTest, OpensResumeTokenOfEarlierVersion) {
  const auto sealer = resume::Sealer::parse("old " + std::string(64, '1') + "\n", "keys");
  const auto opened = sealer.open(decodeHex(readFile(kDataFolder + "/resume-token.hex")));
  ASSERT_TRUE(opened);
  v1::ResumePoint point;
  ASSERT_TRUE(point.ParseFromString(*opened));
  EXPECT_EQ(point.request(), "node-1-00c0ffee-7");
  EXPECT_EQ(point.attempt(), 3u);
  EXPECT_EQ(point.engine(), 9u);
  EXPECT_EQ(point.request_class(), "field-query");
  EXPECT_EQ(point.prompt_hash(), 0x1234567890abcdefULL);
  EXPECT_EQ(point.max_output_tokens(), 300u);
}

}  // namespace
}  // namespace gannetcourse
