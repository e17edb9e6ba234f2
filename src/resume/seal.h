// Seals what a client carries from one node to another: AES-256-GCM by OpenSSL, under keys that all nodes of
// a deployment share and that may change in service.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gannetcourse::resume {

class Sealer {
 public:
  // A key file: lines "NAME HEX", NAME of 1 to 16 letters, digits or '-', HEX of 64 digits; '#' begins a
  // comment. The first key seals, all of them open. Throws config::Faults naming file, line and mend.
  static Sealer load(const std::string& path);
  static Sealer parse(std::string_view text, const std::string& file);

  Sealer() = default;  // has no key: seals nothing
  bool hasKey() const { return !keys_.empty(); }

  // Alike texts are sealed unlike. Throws std::runtime_error where the system has no randomness.
  std::string seal(std::string_view text) const;
  // Nothing where it was sealed by no key of this file, or was changed.
  std::optional<std::string> open(std::string_view sealed) const;

 private:
  struct Key {
    std::string name;
    std::array<unsigned char, 32> bytes{};
  };
  std::vector<Key> keys_;
};

}  // namespace gannetcourse::resume
