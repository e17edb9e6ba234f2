#include "resume/seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>
#include <stdexcept>

#include "config/fault.h"

namespace gannetcourse::resume {
namespace {

// Format of a sealed text: length of the key's name (1 byte), the name, nonce, tag, cipher text. The name is
// not encrypted, but authenticated.
constexpr std::size_t kNonceBytes = 12;
constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kMaxNameLength = 16;

constexpr const char* kKeyLineRemedy = "write NAME and the output of 'openssl rand -hex 32'";

using CipherContext = std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;

CipherContext makeContext() { return {EVP_CIPHER_CTX_new(), EVP_CIPHER_CTX_free}; }

const unsigned char* toBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}
unsigned char* toBytes(std::string& text) { return reinterpret_cast<unsigned char*>(text.data()); }

void requireSuccess(int result) {
  if (result != 1)
    throw std::runtime_error("OpenSSL failed to generate a nonce or to encrypt the resume token");
}

bool parseHex(const std::string& text, std::array<unsigned char, 32>& bytes) {
  if (text.size() != 2 * bytes.size()) return false;
  std::size_t size = 0;
  const int result = OPENSSL_hexstr2buf_ex(bytes.data(), bytes.size(), &size, text.c_str(), '\0');
  return result == 1 && size == bytes.size();
}

bool isKeyName(const std::string& name) {
  const auto isAllowed = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-'; };
  return !name.empty() && name.size() <= kMaxNameLength && std::all_of(name.begin(), name.end(), isAllowed);
}

// The fields of a sealed text. They refer to the sealed text, which must outlive them.
struct SealedParts {
  std::string_view keyName, nonce, tag, cipherText;
};

std::optional<SealedParts> split(std::string_view sealed) {
  if (sealed.empty()) return std::nullopt;
  const std::size_t nameLength = static_cast<unsigned char>(sealed.front());
  const std::size_t headLength = 1 + nameLength + kNonceBytes + kTagBytes;
  if (nameLength > kMaxNameLength || sealed.size() < headLength) return std::nullopt;
  return SealedParts{sealed.substr(1, nameLength), sealed.substr(1 + nameLength, kNonceBytes),
                     sealed.substr(1 + nameLength + kNonceBytes, kTagBytes), sealed.substr(headLength)};
}

}  // namespace

Sealer Sealer::load(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw config::InvalidFile(
        {{path, 0, "the key file cannot be read", "specify a file that the router's user can read"}});
  std::ostringstream text;
  text << file.rdbuf();
  return parse(text.str(), path);
}

Sealer Sealer::parse(std::string_view text, const std::string& file) {
  Sealer sealer;
  std::vector<config::Fault> faults;
  std::istringstream lines{std::string(text)};
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    std::istringstream words(line.substr(0, line.find('#')));
    Key key;
    std::string hex, excess;
    if (!(words >> key.name)) continue;
    words >> hex >> excess;
    if (!isKeyName(key.name)) {
      faults.push_back(
          {file, number, "the key's name must consist of 1 to 16 letters, digits or '-'", "rename the key"});
    } else if (!excess.empty() || !parseHex(hex, key.bytes)) {
      faults.push_back({file, number, "the value of key '" + key.name + "' must be 64 hexadecimal digits",
                        kKeyLineRemedy});
    } else if (sealer.findKey(key.name) != nullptr) {
      faults.push_back(
          {file, number, "key '" + key.name + "' is defined more than once", "remove or rename one"});
    } else {
      sealer.keys_.push_back(key);
    }
  }
  if (sealer.keys_.empty() && faults.empty())
    faults.push_back({file, 1, "the file contains no key", kKeyLineRemedy});
  if (!faults.empty()) throw config::InvalidFile(std::move(faults));
  return sealer;
}

const Sealer::Key* Sealer::findKey(std::string_view name) const {
  const auto found =
      std::find_if(keys_.begin(), keys_.end(), [name](const Key& key) { return key.name == name; });
  return found == keys_.end() ? nullptr : &*found;
}

std::string Sealer::seal(std::string_view text) const {
  if (keys_.empty()) throw std::runtime_error("cannot seal a resume token: no key is configured");
  const Key& key = keys_.front();
  std::string nonce(kNonceBytes, '\0'), tag(kTagBytes, '\0'), cipherText(text.size(), '\0');
  requireSuccess(RAND_bytes(toBytes(nonce), kNonceBytes));
  const CipherContext context = makeContext();
  int size = 0;
  requireSuccess(
      EVP_EncryptInit_ex(context.get(), EVP_aes_256_gcm(), nullptr, key.bytes.data(), toBytes(nonce)));
  requireSuccess(EVP_EncryptUpdate(context.get(), nullptr, &size, toBytes(std::string_view(key.name)),
                                   static_cast<int>(key.name.size())));
  requireSuccess(EVP_EncryptUpdate(context.get(), toBytes(cipherText), &size, toBytes(text),
                                   static_cast<int>(text.size())));
  requireSuccess(EVP_EncryptFinal_ex(context.get(), toBytes(cipherText) + size, &size));
  requireSuccess(EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_GET_TAG, kTagBytes, tag.data()));
  return static_cast<char>(key.name.size()) + key.name + nonce + tag + cipherText;
}

std::optional<std::string> Sealer::open(std::string_view sealed) const {
  const std::optional<SealedParts> parts = split(sealed);
  if (!parts) return std::nullopt;
  const Key* const key = findKey(parts->keyName);
  if (key == nullptr) return std::nullopt;
  std::string tag(parts->tag);
  std::string text(parts->cipherText.size(), '\0');
  const CipherContext context = makeContext();
  int size = 0;
  const bool authentic =
      EVP_DecryptInit_ex(context.get(), EVP_aes_256_gcm(), nullptr, key->bytes.data(),
                         toBytes(parts->nonce)) == 1 &&
      EVP_DecryptUpdate(context.get(), nullptr, &size, toBytes(parts->keyName),
                        static_cast<int>(parts->keyName.size())) == 1 &&
      EVP_DecryptUpdate(context.get(), toBytes(text), &size, toBytes(parts->cipherText),
                        static_cast<int>(parts->cipherText.size())) == 1 &&
      EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_SET_TAG, kTagBytes, tag.data()) == 1 &&
      EVP_DecryptFinal_ex(context.get(), toBytes(text) + size, &size) == 1;
  if (!authentic) return std::nullopt;
  return text;
}

}  // namespace gannetcourse::resume
