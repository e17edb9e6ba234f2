// HTTP/2 below any library: frames as bytes, and sockets whose bytes a test reads and writes itself. Header
// blocks here are literals without indexing.
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

enum Type : char {
  kData = 0,
  kHeaders = 1,
  kReset = 3,
  kSettings = 4,
  kPing = 6,
  kGoaway = 7,
  kContinuation = 9
};
enum Flag : char { kEndStream = 1, kAck = 1, kEndHeaders = 4 };

inline std::string number(std::uint32_t value, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) text.push_back(static_cast<char>(value >> (8 * i)));
  return text;
}

inline std::string frameOf(Type type, int flags, std::uint32_t stream, const std::string& payload) {
  return number(static_cast<std::uint32_t>(payload.size()), 3) + static_cast<char>(type) +
         static_cast<char>(flags) + number(stream, 4) + payload;
}

inline std::string field(const std::string& name, const std::string& value) {
  const auto length = [](std::size_t size) {  // an HPACK integer with 7 bits of prefix
    if (size < 127) return std::string(1, static_cast<char>(size));
    std::string text(1, '\x7f');
    for (size -= 127; size >= 128; size >>= 7) text.push_back(static_cast<char>(0x80 | (size & 0x7f)));
    text.push_back(static_cast<char>(size));
    return text;
  };
  return std::string(1, '\0') + length(name.size()) + name + length(value.size()) + value;
}

inline std::string fields(const http2::Headers& headers) {
  std::string block;
  for (const auto& [name, value] : headers) block += field(name, value);
  return block;
}

inline const std::string kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frameOf(kSettings, 0, 0, "");

inline http2::Headers requestHeaders(const std::string& path = "/test.Echo/Say") {
  return {{":method", "POST"},    {":scheme", "http"}, {":path", path},
          {":authority", "test"}, {"te", "trailers"},  {"content-type", "application/grpc"}};
}

inline std::string request(std::uint32_t stream, const std::string& body,
                           const http2::Headers& headers = requestHeaders()) {
  return frameOf(kHeaders, kEndHeaders, stream, fields(headers)) + frameOf(kData, kEndStream, stream, body);
}

struct Frame {
  int type = 0, flags = 0;
  std::uint32_t stream = 0;
  std::string payload;
};

// A socket whose bytes the test reads and writes itself.
class Raw {
 public:
  explicit Raw(int fd) : fd_(fd) {}
  static std::unique_ptr<Raw> connectTo(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
    return std::make_unique<Raw>(fd);
  }
  ~Raw() { close(fd_); }
  Raw(const Raw&) = delete;
  Raw& operator=(const Raw&) = delete;

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
      in_.append(buffer, static_cast<std::size_t>(got));
    if (got == 0 || (got < 0 && errno != EAGAIN)) closed_ = true;
  }
  std::vector<Frame> frames() {
    read();
    std::vector<Frame> found;
    const std::size_t first = in_.rfind("PRI * HTTP/2.0", 0) == 0 ? 24 : 0;  // a client's preface
    for (std::size_t at = first; at + 9 <= in_.size();) {
      const auto byte = [&](std::size_t i) {
        return static_cast<std::uint32_t>(static_cast<unsigned char>(in_[at + i]));
      };
      const std::size_t size = byte(0) << 16 | byte(1) << 8 | byte(2);
      if (at + 9 + size > in_.size()) break;
      found.push_back({static_cast<int>(byte(3)), static_cast<int>(byte(4)),
                       byte(5) << 24 | byte(6) << 16 | byte(7) << 8 | byte(8), in_.substr(at + 9, size)});
      at += 9 + size;
    }
    return found;
  }
  bool closed() {
    read();
    return closed_;
  }
  const std::string& bytes() const { return in_; }

 private:
  int fd_;
  std::string in_;
  bool closed_ = false;
};

constexpr double kMaxWait = 10;  // seconds; only a broken program needs them

// Runs the loop until `done` holds. False where it does not within `maxWait` seconds.
template <class Done>
bool runUntil(net::Loop& loop, const Done& done, double maxWait = kMaxWait) {
  const Instant end = net::monotonicNow() + Duration(maxWait);
  while (!done() && net::monotonicNow() < end) loop.runOnce(Duration(0.02));
  return done();
}

}  // namespace gannetcourse::test
