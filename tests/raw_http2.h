// Encodes and decodes HTTP/2 frames without an HTTP/2 library, so that tests can send malformed ones. Header
// fields are encoded as HPACK literals without indexing.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "http2/session.h"

namespace gannetcourse::test {

enum FrameType : char {
  kData = 0,
  kHeaders = 1,
  kReset = 3,
  kSettings = 4,
  kPing = 6,
  kGoaway = 7,
  kContinuation = 9
};
enum FrameFlag : char { kEndStream = 1, kAck = 1, kEndHeaders = 4 };

// Encodes the lowest `bytes` bytes of `value` in network byte order.
inline std::string encodeBigEndian(std::uint32_t value, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) text.push_back(static_cast<char>(value >> (8 * i)));
  return text;
}

inline std::string encodeFrame(FrameType type, int flags, std::uint32_t stream, const std::string& payload) {
  return encodeBigEndian(static_cast<std::uint32_t>(payload.size()), 3) + static_cast<char>(type) +
         static_cast<char>(flags) + encodeBigEndian(stream, 4) + payload;
}

inline std::string encodeHeaderField(const std::string& name, const std::string& value) {
  const auto length = [](std::size_t size) {  // HPACK integer with a 7-bit prefix
    if (size < 127) return std::string(1, static_cast<char>(size));
    std::string text(1, '\x7f');
    for (size -= 127; size >= 128; size >>= 7) text.push_back(static_cast<char>(0x80 | (size & 0x7f)));
    text.push_back(static_cast<char>(size));
    return text;
  };
  return std::string(1, '\0') + length(name.size()) + name + length(value.size()) + value;
}

inline std::string encodeHeaderBlock(const http2::Headers& headers) {
  std::string block;
  for (const auto& [name, value] : headers) block += encodeHeaderField(name, value);
  return block;
}

inline const std::string kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + encodeFrame(kSettings, 0, 0, "");

inline http2::Headers requestHeaders(const std::string& path = "/test.Echo/Say") {
  return {{":method", "POST"},    {":scheme", "http"}, {":path", path},
          {":authority", "test"}, {"te", "trailers"},  {"content-type", "application/grpc"}};
}

inline std::string request(std::uint32_t stream, const std::string& body,
                           const http2::Headers& headers = requestHeaders()) {
  return encodeFrame(kHeaders, kEndHeaders, stream, encodeHeaderBlock(headers)) +
         encodeFrame(kData, kEndStream, stream, body);
}

struct Frame {
  int type = 0, flags = 0;
  std::uint32_t stream = 0;
  std::string payload;
};

// A blocking TCP socket on which the test writes bytes itself and decodes the frames that it receives.
class RawHttp2Socket {
 public:
  explicit RawHttp2Socket(int fd) : fd_(fd) {}
  static std::unique_ptr<RawHttp2Socket> connectTo(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
    return std::make_unique<RawHttp2Socket>(fd);
  }
  ~RawHttp2Socket() { close(fd_); }
  RawHttp2Socket(const RawHttp2Socket&) = delete;
  RawHttp2Socket& operator=(const RawHttp2Socket&) = delete;

  void write(const std::string& bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
      const auto sent = send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (sent <= 0) return;  // the peer has closed
      at += static_cast<std::size_t>(sent);
    }
  }
  void read() {
    char buffer[65536];
    ssize_t got = 0;
    while ((got = recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
      received_.append(buffer, static_cast<std::size_t>(got));
    if (got == 0 || (got < 0 && errno != EAGAIN)) closed_ = true;
  }
  std::vector<Frame> frames() {
    read();
    std::vector<Frame> found;
    const std::size_t first =
        received_.rfind("PRI * HTTP/2.0", 0) == 0 ? 24 : 0;  // bytes of a client's preface
    for (std::size_t at = first; at + 9 <= received_.size();) {
      const auto byte = [&](std::size_t i) {
        return static_cast<std::uint32_t>(static_cast<unsigned char>(received_[at + i]));
      };
      const std::size_t size = byte(0) << 16 | byte(1) << 8 | byte(2);
      if (at + 9 + size > received_.size()) break;
      found.push_back({static_cast<int>(byte(3)), static_cast<int>(byte(4)),
                       byte(5) << 24 | byte(6) << 16 | byte(7) << 8 | byte(8),
                       received_.substr(at + 9, size)});
      at += 9 + size;
    }
    return found;
  }
  bool closed() {
    read();
    return closed_;
  }
  const std::string& bytes() const { return received_; }

 private:
  int fd_;
  std::string received_;
  bool closed_ = false;
};

constexpr double kMaxWaitSeconds = 10;  // only a faulty program reaches this limit

// Runs the loop until done() is true. Returns false if that takes longer than `maxWait` seconds.
template <class Done>
bool runUntil(net::Loop& loop, const Done& done, double maxWait = kMaxWaitSeconds) {
  const Instant end = net::monotonicNow() + Duration(maxWait);
  while (!done() && net::monotonicNow() < end) loop.runOnce(Duration(0.02));
  return done();
}

}  // namespace gannetcourse::test
