// The queue of bytes that have been received and not parsed.
#include "http1/input_buffer.h"

#include <gtest/gtest.h>

#include <string>

namespace gannetcourse::http1 {
namespace {

TEST(InputBuffer, KeepsTheOrderOfBytesThatAreAddedAndRemoved) {
  InputBuffer buffer;
  std::string expected;
  for (std::size_t i = 0; i < 1000; ++i) {
    const std::string piece(i % 37, static_cast<char>('a' + i % 26));
    buffer.append(piece);
    expected += piece;
    const std::size_t removed = i % 18;
    if (removed > buffer.size()) continue;
    buffer.remove(removed);
    expected.erase(0, removed);
    ASSERT_EQ(buffer.view(), expected);
  }
}

// What has been removed holds no more memory than what is left.
TEST(InputBuffer, ReturnsTheMemoryOfRemovedBytes) {
  constexpr std::size_t kBytes = 1 << 20, kPiece = 1000;
  InputBuffer buffer;
  buffer.append(std::string(kBytes, 'x'));
  while (buffer.size() > kPiece) {
    buffer.remove(kPiece);
    EXPECT_LE(buffer.heldBytes(), 4 * buffer.size() + kPiece);
  }
  buffer.clear();
  EXPECT_EQ(buffer.size(), 0U);
  EXPECT_LE(buffer.heldBytes(), kPiece);
}

}  // namespace
}  // namespace gannetcourse::http1
