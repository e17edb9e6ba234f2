// Encrypts and authenticates resume tokens, which clients present to another node to resume a stream. Uses
// AES-256-GCM of OpenSSL with keys that all nodes of a deployment share and that can be rotated in operation.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gannetcourse::resume {

/// Encrypts and decrypts short texts. A value type that owns its keys; const methods are thread-safe.
class Sealer {
 public:
  /// Reads a key file with lines "NAME HEX": NAME has 1 to 16 letters, digits or '-', HEX has 64 hexadecimal
  /// digits; '#' begins a comment. seal() uses the first key, open() uses all keys. Throws
  /// config::InvalidFile if the file cannot be read or is malformed.
  static Sealer load(const std::string& path);
  /// The same for the text of a key file; `file` is the file name in reported faults.
  static Sealer parse(std::string_view text, const std::string& file);

  Sealer() = default;  ///< Has no key: open() returns nothing and seal() throws.
  bool hasKey() const { return !keys_.empty(); }

  /// Encrypts the text under a random nonce, so that the result differs each time. Throws std::runtime_error
  /// if there is no key or OpenSSL fails.
  std::string seal(std::string_view text) const;
  /// Decrypts a sealed text. Absent if it was not sealed under one of these keys, or was modified.
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
