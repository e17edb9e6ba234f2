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
#include "net/memory_budget.h"

namespace gannetcourse::grpc {

/// Status codes of gRPC.
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
/// The code's standard name: "DEADLINE_EXCEEDED".
const char* nameOf(Code code);
/// Parses the number of a grpc-status header; kUnknown if it is no status code.
Code codeFromText(std::string_view number);

/// The result of a call: code, and message before percent-encoding.
struct Status {
  Code code = Code::kOk;
  std::string message;
};

/// Encodes a grpc-message: bytes outside 0x20..0x7e, and '%', become %XX.
std::string percentEncode(std::string_view text);
/// Decodes a grpc-message. Broken escapes are passed through unchanged.
std::string percentDecode(std::string_view text);

/// Parses a grpc-timeout: up to 8 digits and one of H M S m u n. Returns nothing if malformed.
std::optional<Duration> parseTimeout(std::string_view text);
/// Formats a grpc-timeout. Rounds down, so that the server's deadline is never later than the client's.
std::string formatTimeout(Duration timeout);

/// Bytes before each message: a flag (0 = not compressed) and the message's length (4 bytes, big-endian).
inline constexpr std::size_t kPrefixBytes = 5;
using FramePrefix = std::array<char, kPrefixBytes>;
FramePrefix framePrefix(std::size_t size);
/// Returns the message with its prefix.
std::string frame(std::string_view message);

/// Splits a byte stream into messages. Owns the bytes that were added.
class MessageReader {
 public:
  /// Why no further message can be read from the byte stream.
  enum class Fault { kNone, kTooLarge, kCompressed, kBadFlag };
  explicit MessageReader(std::size_t maxMessageBytes) : maxMessageBytes_(maxMessageBytes) {}

  void add(std::string_view bytes) { buffer_.append(bytes); }
  /// Returns the next complete message, if any; valid until the next add() or next(). Returns nothing once
  /// fault() is not kNone.
  std::optional<std::string_view> next();
  Fault fault() const { return fault_; }
  bool isInsideMessage() const { return offset_ < buffer_.size(); }
  std::size_t heldBytes() const { return net::heapBytesOf(buffer_); }
  /// Bytes that next() has not returned yet.
  std::size_t bufferedBytes() const { return buffer_.size() - offset_; }

 private:
  void discardReturned();

  std::size_t maxMessageBytes_;
  std::string buffer_;
  std::size_t offset_ = 0;  // bytes at the start of buffer_ that next() has returned
  Fault fault_ = Fault::kNone;
};

/// The status code for a stream that was reset with this HTTP/2 error code.
Code codeFromHttp2Error(std::uint32_t http2Code);

}  // namespace gannetcourse::grpc
