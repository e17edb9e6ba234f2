// resume::Sealer: a sealed text can be opened only with the key that sealed it; key files are checked.
#include "resume/seal.h"

#include <gtest/gtest.h>

#include "config/xml.h"

namespace gannetcourse::resume {
namespace {

const std::string kOldKey = "old " + std::string(64, '1') + "\n",
                  kNewKey = "new " + std::string(64, '2') + "\n";

TEST(SealTest, OpensTextSealedWithTheSameKey) {
  const Sealer sealer = Sealer::parse(kOldKey, "keys");
  for (const std::string& text : {std::string(), std::string("request"), std::string(5000, 'x')}) {
    const std::string sealed = sealer.seal(text);
    EXPECT_EQ(sealer.open(sealed), text);
    EXPECT_NE(sealer.seal(text), sealed) << "equal texts must be sealed differently";
  }
}

// Keys are rotated in operation: tokens of the old key must stay valid until that key is removed.
TEST(SealTest, OpensOldTokensUntilTheOldKeyIsRemoved) {
  const Sealer before = Sealer::parse(kOldKey, "keys"), during = Sealer::parse(kNewKey + kOldKey, "keys"),
               after = Sealer::parse(kNewKey, "keys");
  EXPECT_EQ(during.open(before.seal("a")), "a");
  EXPECT_EQ(after.open(during.seal("a")), "a") << "the first key must be used to seal";
  EXPECT_EQ(after.open(before.seal("a")), std::nullopt);
}

TEST(SealTest, RejectsSealedTextWhenAByteIsChangedRemovedOrAdded) {
  const Sealer sealer = Sealer::parse(kOldKey, "keys");
  const std::string sealed = sealer.seal("request 7");
  for (std::size_t i = 0; i < sealed.size(); ++i) {
    std::string changed = sealed;
    changed[i] = static_cast<char>(changed[i] ^ 0x20);
    EXPECT_EQ(sealer.open(changed), std::nullopt) << i;
    EXPECT_EQ(sealer.open(sealed.substr(0, i)), std::nullopt) << i;
  }
  EXPECT_EQ(sealer.open(sealed + "x"), std::nullopt);
}

TEST(SealTest, ReportsFileAndLineOfInvalidKeys) {
  const std::pair<std::string, std::string> cases[] = {
      {"# nothing\n", "keys:1: the file contains no key"},
      {kOldKey + "short 12ab\n", "keys:2: the value of key 'short' must be 64 hexadecimal digits"},
      {kOldKey + "old " + std::string(64, '3'), "keys:2: key 'old' is defined more than once"},
      {"a/b " + std::string(64, '3'), "keys:1: the key's name"}};
  for (const auto& [text, reason] : cases) {
    try {
      Sealer::parse(text, "keys");
      ADD_FAILURE() << reason;
    } catch (const config::InvalidFile& invalid) {
      ASSERT_EQ(invalid.faults().size(), 1u);
      EXPECT_EQ(invalid.faults().front().text().find(reason), 0u) << invalid.faults().front().text();
    }
  }
  EXPECT_THROW(Sealer::load("/nowhere/keys"), config::InvalidFile);
}

}  // namespace
}  // namespace gannetcourse::resume
