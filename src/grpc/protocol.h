// gRPC's wire conventions over HTTP/2: statuses, percent-encoded messages, time-outs, message frames.
// Source: the gRPC project's public documents "gRPC over HTTP2" and "Status codes and their use in gRPC".
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gannetcourse/policy.h"
#include "http2/session.h"

namespace gannetcourse::grpc {

enum class Code : int {
  kOk = 0,
  kCancelled = 1,
  kUnknown = 2,
  kInvalidArgument = 3,
  kDeadlineExceeded = 4,
  kNotFound = 5,
  kAlreadyExists = 6,
  kPermissionDenied = 7,
  kResourceExhausted = 8,
  kFailedPrecondition = 9,
  kAborted = 10,
  kOutOfRange = 11,
  kUnimplemented = 12,
  kInternal = 13,
  kUnavailable = 14,
  kDataLoss = 15,
  kUnauthenticated = 16,
};
const char* nameOf(Code code);  // "DEADLINE_EXCEEDED"
// A number from the wire; what is no status counts as kUnknown.
Code codeFromText(std::string_view number);

struct Status {
  Code code = Code::kOk;
  std::string message;
};

// grpc-message: bytes outside 0x20..0x7e, and '%', as %XX. Decoding passes broken escapes through as they
// are.
std::string percentEncode(std::string_view text);
std::string percentDecode(std::string_view text);

// grpc-timeout: up to 8 digits and one of H M S m u n. Nothing where malformed.
std::optional<Duration> parseTimeout(std::string_view text);
// Rounds down, so that a called party never has longer than the caller.
std::string formatTimeout(Duration timeout);

// What stands before a message: no compression, and its length, big-endian.
inline constexpr std::size_t kPrefixBytes = 5;
using FramePrefix = std::array<char, kPrefixBytes>;
FramePrefix framePrefix(std::size_t size);
// A message with its prefix.
std::string frame(std::string_view message);

// Cuts a byte stream into messages.
class MessageReader {
 public:
  enum class Fault { kNone, kTooLarge, kCompressed, kBadFlag };
  explicit MessageReader(std::size_t mostBytes) : maxMessageBytes_(mostBytes) {}

  void add(std::string_view bytes) { buffer_.append(bytes); }
  // The next whole message, if there is one; valid until the next call. After a fault there is none any more.
  std::optional<std::string_view> next();
  Fault fault() const { return fault_; }
  bool isInsideMessage() const { return offset_ < buffer_.size(); }
  std::size_t bufferedBytes() const { return buffer_.size() - offset_; }  // bytes not yet given out

 private:
  std::size_t maxMessageBytes_;
  std::string buffer_;
  std::size_t offset_ = 0;
  Fault fault_ = Fault::kNone;
};

// The status that an HTTP/2 stream's end without trailers stands for.
Code codeFromHttp2Error(std::uint32_t http2Code);

}  // namespace gannetcourse::grpc
