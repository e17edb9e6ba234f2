#include "resume/seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <sstream>
#include <stdexcept>

#include "config/xml.h"

namespace gannetcourse::resume {
namespace {

// A sealed text: length of the key's name, the name, nonce, tag, cipher text. The name is sealed along.
constexpr std::size_t kNonce = 12, kTag = 16, kLongestName = 16;

using Context = std::unique_ptr<EVP_CIPHER_CTX, decltype(&EVP_CIPHER_CTX_free)>;

const unsigned char* bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}
unsigned char* bytes(std::string& text) { return reinterpret_cast<unsigned char*>(text.data()); }

Context context() { return {EVP_CIPHER_CTX_new(), EVP_CIPHER_CTX_free}; }

void must(int good) {
  if (good != 1) throw std::runtime_error("OpenSSL cannot seal");
}

bool readHex(const std::string& text, std::array<unsigned char, 32>& out) {
  std::size_t size = 0;
  return text.size() == 2 * out.size() &&
         OPENSSL_hexstr2buf_ex(out.data(), out.size(), &size, text.c_str(), '\0') == 1 && size == out.size();
}

bool goodName(const std::string& name) {
  return !name.empty() && name.size() <= kLongestName && std::all_of(name.begin(), name.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-';
  });
}

}  // namespace

Sealer Sealer::load(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw config::InvalidFile(
        {{path, 0, "the key file cannot be read", "name a file that this user may read"}});
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
    std::string hex, more;
    if (!(words >> key.name)) continue;
    words >> hex >> more;
    const bool twice = std::any_of(sealer.keys_.begin(), sealer.keys_.end(),
                                   [&](const Key& k) { return k.name == key.name; });
    if (!goodName(key.name)) {
      faults.push_back({file, number, "a key's name is not 1 to 16 letters, digits or '-'", "rename it"});
    } else if (!more.empty() || !readHex(hex, key.bytes)) {
      faults.push_back({file, number, "key '" + key.name + "' is not 64 hexadecimal digits",
                        "write NAME and the output of 'openssl rand -hex 32'"});
    } else if (twice) {
      faults.push_back({file, number, "key '" + key.name + "' is there twice", "remove one"});
    } else {
      sealer.keys_.push_back(key);
    }
  }
  if (sealer.keys_.empty() && faults.empty())
    faults.push_back(
        {file, 1, "the file holds no key", "write NAME and the output of 'openssl rand -hex 32'"});
  if (!faults.empty()) throw config::InvalidFile(std::move(faults));
  return sealer;
}

std::string Sealer::seal(std::string_view text) const {
  if (keys_.empty()) throw std::runtime_error("there is no key to seal with");
  const Key& key = keys_.front();
  std::string nonce(kNonce, '\0'), tag(kTag, '\0'), cipher(text.size(), '\0');
  must(RAND_bytes(bytes(nonce), kNonce));
  const Context c = context();
  int size = 0;
  must(EVP_EncryptInit_ex(c.get(), EVP_aes_256_gcm(), nullptr, key.bytes.data(), bytes(nonce)));
  must(EVP_EncryptUpdate(c.get(), nullptr, &size, bytes(std::string_view(key.name)),
                         static_cast<int>(key.name.size())));
  must(EVP_EncryptUpdate(c.get(), bytes(cipher), &size, bytes(text), static_cast<int>(text.size())));
  must(EVP_EncryptFinal_ex(c.get(), bytes(cipher) + size, &size));
  must(EVP_CIPHER_CTX_ctrl(c.get(), EVP_CTRL_GCM_GET_TAG, kTag, tag.data()));
  return static_cast<char>(key.name.size()) + key.name + nonce + tag + cipher;
}

std::optional<std::string> Sealer::open(std::string_view sealed) const {
  if (sealed.empty()) return std::nullopt;
  const std::size_t named = static_cast<unsigned char>(sealed.front());
  if (named > kLongestName || sealed.size() < 1 + named + kNonce + kTag) return std::nullopt;
  const std::string_view name = sealed.substr(1, named), nonce = sealed.substr(1 + named, kNonce);
  std::string tag(sealed.substr(1 + named + kNonce, kTag));
  const std::string_view cipher = sealed.substr(1 + named + kNonce + kTag);
  const auto key = std::find_if(keys_.begin(), keys_.end(),
                                [&](const Key& k) { return std::string_view(k.name) == name; });
  if (key == keys_.end()) return std::nullopt;
  std::string text(cipher.size(), '\0');
  const Context c = context();
  int size = 0;
  const bool good =
      EVP_DecryptInit_ex(c.get(), EVP_aes_256_gcm(), nullptr, key->bytes.data(), bytes(nonce)) == 1 &&
      EVP_DecryptUpdate(c.get(), nullptr, &size, bytes(name), static_cast<int>(name.size())) == 1 &&
      EVP_DecryptUpdate(c.get(), bytes(text), &size, bytes(cipher), static_cast<int>(cipher.size())) == 1 &&
      EVP_CIPHER_CTX_ctrl(c.get(), EVP_CTRL_GCM_SET_TAG, kTag, tag.data()) == 1 &&
      EVP_DecryptFinal_ex(c.get(), bytes(text) + size, &size) == 1;
  if (!good) return std::nullopt;
  return text;
}

}  // namespace gannetcourse::resume
