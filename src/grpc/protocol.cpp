#include "grpc/protocol.h"

#include <array>
#include <charconv>
#include <cmath>

namespace gannetcourse::grpc {
namespace {

constexpr std::array<const char*, 17> kNames = {
    "OK",        "CANCELLED",      "UNKNOWN",           "INVALID_ARGUMENT",   "DEADLINE_EXCEEDED",
    "NOT_FOUND", "ALREADY_EXISTS", "PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION",
    "ABORTED",   "OUT_OF_RANGE",   "UNIMPLEMENTED",     "INTERNAL",           "UNAVAILABLE",
    "DATA_LOSS", "UNAUTHENTICATED"};

// Limit of the bytes at the front of the buffer that were already returned. Above it they are erased.
constexpr std::size_t kMaxReturnedBytes = 64 * 1024;

int hexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

struct TimeoutUnit {
  char letter;
  double seconds;
};
constexpr std::array<TimeoutUnit, 6> kTimeoutUnits = {
    {{'n', 1e-9}, {'u', 1e-6}, {'m', 1e-3}, {'S', 1}, {'M', 60}, {'H', 3600}}};

}  // namespace

const char* nameOf(Code code) { return kNames.at(static_cast<std::size_t>(code)); }

Code codeFromText(std::string_view number) {
  int value = -1;
  const auto [stop, fault] = std::from_chars(number.data(), number.data() + number.size(), value);
  const bool known = fault == std::errc() && stop == number.data() + number.size() && value >= 0 &&
                     value < static_cast<int>(kNames.size());
  return known ? static_cast<Code>(value) : Code::kUnknown;
}

std::string percentEncode(std::string_view text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= 0x20 && byte <= 0x7e && c != '%') {
      encoded.push_back(c);
    } else {
      encoded.append({'%', kHex[byte >> 4], kHex[byte & 15]});
    }
  }
  return encoded;
}

std::string percentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const int high = text[i] == '%' && i + 2 < text.size() ? hexDigit(text[i + 1]) : -1;
    const int low = high >= 0 ? hexDigit(text[i + 2]) : -1;
    if (low >= 0) {
      decoded.push_back(static_cast<char>(high * 16 + low));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

std::optional<Duration> parseTimeout(std::string_view text) {
  if (text.size() < 2 || text.size() > 9) return std::nullopt;
  std::uint32_t value = 0;
  const char* const end = text.data() + text.size() - 1;
  const auto [stop, fault] = std::from_chars(text.data(), end, value);
  if (fault != std::errc() || stop != end) return std::nullopt;
  for (const TimeoutUnit& unit : kTimeoutUnits) {
    if (unit.letter == text.back()) return Duration(value * unit.seconds);
  }
  return std::nullopt;
}

std::string formatTimeout(Duration timeout) {
  for (const TimeoutUnit& unit : kTimeoutUnits) {
    const double count = std::floor(timeout.count() / unit.seconds);
    if (count < 1e8) return std::to_string(static_cast<long>(std::max(0.0, count))) + unit.letter;
  }
  return "99999999H";
}

FramePrefix framePrefix(std::size_t size) {
  FramePrefix prefix{};
  for (std::size_t i = 0; i < 4; ++i) prefix[1 + i] = static_cast<char>(size >> (24 - 8 * i));
  return prefix;
}

std::string frame(std::string_view message) {
  const FramePrefix prefix = framePrefix(message.size());
  return std::string(prefix.data(), prefix.size()).append(message);
}

void MessageReader::discardReturned() {
  const bool everything = offset_ == buffer_.size();
  if (offset_ == 0 || (!everything && offset_ <= kMaxReturnedBytes)) return;
  buffer_.erase(0, offset_);
  offset_ = 0;
}

std::optional<std::string_view> MessageReader::next() {
  discardReturned();
  if (fault_ != Fault::kNone || buffer_.size() - offset_ < kPrefixBytes) return std::nullopt;
  const auto* bytes = reinterpret_cast<const unsigned char*>(buffer_.data()) + offset_;
  std::size_t size = 0;
  for (std::size_t i = 1; i < kPrefixBytes; ++i) size = size << 8 | bytes[i];
  if (bytes[0] > 1) fault_ = Fault::kBadFlag;
  if (bytes[0] == 1) fault_ = Fault::kCompressed;
  if (size > maxMessageBytes_) fault_ = Fault::kTooLarge;
  const std::size_t frameBytes = kPrefixBytes + size;
  if (fault_ != Fault::kNone || buffer_.size() - offset_ < frameBytes) return std::nullopt;
  const std::string_view message(buffer_.data() + offset_ + kPrefixBytes, size);
  offset_ += frameBytes;
  return message;
}

Code codeFromHttp2Error(std::uint32_t http2Code) {
  switch (http2Code) {
    case http2::kRefusedStream:
      return Code::kUnavailable;
    case http2::kCancel:
      return Code::kCancelled;
    case http2::kEnhanceYourCalm:
      return Code::kResourceExhausted;
    case http2::kInadequateSecurity:
      return Code::kPermissionDenied;
    default:
      return Code::kInternal;
  }
}

}  // namespace gannetcourse::grpc
