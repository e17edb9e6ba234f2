// Seals the resume tokens that clients carry from one node to another: AES-256-GCM by OpenSSL, under keys
// that all nodes of a deployment share and that may change in service.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gannetcourse::resume {

/// Encrypts and authenticates short texts. A value type that owns its keys; const methods are thread-safe.
class Sealer {
 public:
  /// Reads a key file: lines "NAME HEX", NAME of 1 to 16 letters, digits or '-', HEX of 64 digits; '#' begins
  /// a comment. The first key seals, all of them open. Throws config::InvalidFile.
  static Sealer load(const std::string& path);
  /// The same for text; `file` stands for the file in faults.
  static Sealer parse(std::string_view text, const std::string& file);

  Sealer() = default;  ///< Without a key: opens nothing and must not be asked to seal.
  bool hasKey() const { return !keys_.empty(); }

  /// Equal texts are sealed differently each time. Throws std::runtime_error where there is no key or no
  /// randomness.
  std::string seal(std::string_view text) const;
  /// The text; nothing where no key of this file sealed it, or it was changed.
  std::optional<std::string> open(std::string_view sealed) const;

 private:
  struct Key {
    std::string name;
    std::array<unsigned char, 32> bytes{};
  };
  const Key* findKey(std::string_view name) const;

  std::vector<Key> keys_;
};

}  // namespace gannetcourse::resume
