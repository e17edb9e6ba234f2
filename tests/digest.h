// A digest of lines of text, for tests that compare long recorded outputs.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace gannetcourse::test {

/// Computes the 64-bit FNV-1a hash of all lines, each followed by a line feed, and counts the lines.
class Digest {
 public:
  /// Adds a line.
  void add(const std::string& line) {
    for (const char c : line + "\n") hash_ = (hash_ ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    ++lines_;
  }
  /// The hash in 16 hexadecimal digits, a space, and the number of lines.
  std::string text() const {
    char out[64];
    std::snprintf(out, sizeof out, "%016llx %zu", static_cast<unsigned long long>(hash_), lines_);
    return out;
  }

 private:
  std::uint64_t hash_ = 0xcbf29ce484222325ULL;
  std::size_t lines_ = 0;
};

}  // namespace gannetcourse::test
