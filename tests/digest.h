// A digest of lines of text, for tests that compare long recorded streams.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace gannetcourse::test {

/// FNV-1a of all lines, with their number.
class Digest {
 public:
  /// Adds a line.
  void add(const std::string& line) {
    for (const char c : line + "\n") hash_ = (hash_ ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    ++lines_;
  }
  /// The digest in hexadecimal, and the number of lines.
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
