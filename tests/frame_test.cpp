// The wire from outside: raw sockets that send frames of HTTP/2 byte by byte, good and bad, to a
// grpc::Server, and a raw server that answers a grpc::Channel in every wrong way. Header blocks here are
// literals without indexing.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "engines/fleet.h"
#include "grpc/channel.h"
#include "grpc/server.h"

namespace gannetcourse::grpc {
namespace {

constexpr double kBound = 10;  // seconds; only a broken program needs them

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

std::string number(std::uint32_t value, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) text.push_back(static_cast<char>(value >> (8 * i)));
  return text;
}

std::string frameOf(Type type, int flags, std::uint32_t stream, const std::string& payload) {
  return number(static_cast<std::uint32_t>(payload.size()), 3) + static_cast<char>(type) +
         static_cast<char>(flags) + number(stream, 4) + payload;
}

std::string field(const std::string& name, const std::string& value) {
  const auto length = [](std::size_t size) {  // an HPACK integer with 7 bits of prefix
    if (size < 127) return std::string(1, static_cast<char>(size));
    std::string text(1, '\x7f');
    for (size -= 127; size >= 128; size >>= 7) text.push_back(static_cast<char>(0x80 | (size & 0x7f)));
    text.push_back(static_cast<char>(size));
    return text;
  };
  return std::string(1, '\0') + length(name.size()) + name + length(value.size()) + value;
}

std::string fields(const http2::Headers& headers) {
  std::string block;
  for (const auto& [name, value] : headers) block += field(name, value);
  return block;
}

const std::string kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frameOf(kSettings, 0, 0, "");

http2::Headers requestHeaders(const std::string& path = "/test.Echo/Say") {
  return {{":method", "POST"},    {":scheme", "http"}, {":path", path},
          {":authority", "test"}, {"te", "trailers"},  {"content-type", "application/grpc"}};
}

std::string request(std::uint32_t stream, const std::string& body,
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

class FrameTest : public ::testing::Test {
 protected:
  FrameTest() : server(loop, {}, options()) {
    server.handle("/test.Echo/Say",
                  [this](const std::shared_ptr<ServerCall>& call, std::string_view message) {
                    said.emplace_back(message);
                    call->send(message);
                    call->finish({});
                  });
    raw = Raw::connectTo(server.port());
  }

  static ServerOptions options() {
    ServerOptions o;
    o.maxMessageBytes = 1000;
    o.http2.maxHeaderBytes = 4096;
    return o;
  }

  template <class Done>
  bool until(const Done& done, double bound = kBound) {
    const Instant end = net::monotonicNow() + Duration(bound);
    while (!done() && net::monotonicNow() < end) loop.step(Duration(0.02));
    return done();
  }

  // The status of a stream: from the plain text of its literal or Huffman-coded trailers as nghttp2 reads
  // them.
  std::optional<Code> answer(const std::string& path, const std::string& body,
                             const http2::Headers& more = {}) {
    http2::Headers headers = requestHeaders(path);
    headers.insert(headers.end(), more.begin(), more.end());
    raw->write(kPreface + request(1, body, headers));
    return statusOn(1);
  }

  // The server's trailers are HPACK: a second, decoding channel is not needed, its status digits are told by
  // length.
  std::optional<Code> statusOn(std::uint32_t stream) {
    std::optional<Code> code;
    until([&] {
      for (const Frame& f : raw->frames()) {
        if (f.stream != stream || f.type != kHeaders || (f.flags & kEndStream) == 0) continue;
        code = inflate(f.payload);
      }
      return code.has_value();
    });
    return code;
  }

  // Feeds all header blocks so far to nghttp2's decoder would need its state; here each connection has one
  // answer, and the decoder sees the blocks in order.
  std::optional<Code> inflate(const std::string&);

  net::Loop loop;
  Server server;
  std::unique_ptr<Raw> raw;
  std::vector<std::string> said;
};

}  // namespace
}  // namespace gannetcourse::grpc

#include <nghttp2/nghttp2.h>

namespace gannetcourse::grpc {
namespace {

std::optional<Code> FrameTest::inflate(const std::string&) {
  nghttp2_hd_inflater* inflater = nullptr;
  nghttp2_hd_inflate_new(&inflater);
  std::optional<Code> code;
  for (const Frame& f : raw->frames()) {
    if (f.type != kHeaders) continue;
    const auto* at = reinterpret_cast<const std::uint8_t*>(f.payload.data());
    std::size_t left = f.payload.size();
    for (;;) {
      nghttp2_nv pair{};
      int flags = 0;
      const auto used = nghttp2_hd_inflate_hd2(inflater, &pair, &flags, at, left, 1);
      if (used < 0) break;
      at += used;
      left -= static_cast<std::size_t>(used);
      if ((flags & NGHTTP2_HD_INFLATE_EMIT) != 0 &&
          std::string(reinterpret_cast<char*>(pair.name), pair.namelen) == "grpc-status")
        code = codeOf({reinterpret_cast<char*>(pair.value), pair.valuelen});
      if ((flags & NGHTTP2_HD_INFLATE_FINAL) != 0) break;
    }
    nghttp2_hd_inflate_end_headers(inflater);
  }
  nghttp2_hd_inflate_del(inflater);
  return code;
}

TEST_F(FrameTest, AnswersAGoodCall) {
  EXPECT_EQ(answer("/test.Echo/Say", frame("hello")), Code::kOk);
  EXPECT_EQ(said, std::vector<std::string>{"hello"});
}

TEST_F(FrameTest, TakesOneByteAtATime) {
  for (const char c : kPreface + request(1, frame("slowly"))) {
    raw->write(std::string(1, c));
    loop.step(Duration(0));
  }
  EXPECT_EQ(statusOn(1), Code::kOk);
  EXPECT_EQ(said, std::vector<std::string>{"slowly"});
}

TEST_F(FrameTest, RefusesFaultsOfTheCallerByStatus) {
  struct Case {
    const char* name;
    std::string path, body;
    http2::Headers more;
    Code code;
  };
  const Case cases[] = {
      {"unknown method", "/test.Echo/Sing", frame("x"), {}, Code::kUnimplemented},
      {"unknown service", "/other.Echo/Say", frame("x"), {}, Code::kUnimplemented},
      {"compression", "/test.Echo/Say", frame("x"), {{"grpc-encoding", "gzip"}}, Code::kUnimplemented},
      {"time-out", "/test.Echo/Say", frame("x"), {{"grpc-timeout", "5 seconds"}}, Code::kInvalidArgument},
      {"no message", "/test.Echo/Say", "", {}, Code::kUnimplemented},
      {"two messages", "/test.Echo/Say", frame("x") + frame("y"), {}, Code::kUnimplemented},
      {"trailing garbage", "/test.Echo/Say", frame("x") + "zz", {}, Code::kInternal},
      {"half a message", "/test.Echo/Say", frame("hello").substr(0, 7), {}, Code::kInternal},
      {"oversized", "/test.Echo/Say", frame(std::string(1001, 'x')), {}, Code::kResourceExhausted},
      {"compressed flag", "/test.Echo/Say", std::string("\1\0\0\0\1x", 6), {}, Code::kInternal},
      {"large metadata",
       "/test.Echo/Say",
       frame("x"),
       {{"big", std::string(5000, 'b')}},
       Code::kResourceExhausted},
  };
  for (const Case& c : cases) {
    raw = Raw::connectTo(server.port());
    EXPECT_EQ(answer(c.path, c.body, c.more), c.code) << c.name;
  }
  EXPECT_TRUE(said.empty()) << "none of them reached the handler";
}

TEST_F(FrameTest, OtherHttpIsAnsweredAsHttp) {
  http2::Headers headers = requestHeaders();
  headers.back().value = "text/html";
  raw->write(kPreface + request(1, frame("x"), headers));
  EXPECT_TRUE(until([&] {
    for (const Frame& f : raw->frames()) {
      if (f.stream == 1 && f.type == kHeaders) return true;
    }
    return false;
  }));
  EXPECT_TRUE(said.empty());
}

TEST_F(FrameTest, AnswersPings) {
  raw->write(kPreface + frameOf(kPing, 0, 0, "12345678"));
  EXPECT_TRUE(until([&] {
    for (const Frame& f : raw->frames()) {
      if (f.type == kPing && f.flags == kAck && f.payload == "12345678") return true;
    }
    return false;
  }));
}

TEST_F(FrameTest, ClosesOnWhatIsNoHttp2AndServesOthers) {
  const std::string broken[] = {
      "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
      std::string(100, '\xff'),
      kPreface + frameOf(kHeaders, kEndHeaders, 2, fields(requestHeaders())),  // an even stream
      kPreface + frameOf(kData, 0, 1, "data before headers"),
      kPreface + frameOf(kHeaders, kEndHeaders, 1, std::string(20, '\xff')),  // broken HPACK
      kPreface + frameOf(kSettings, 0, 0, "12345"),                           // a wrong size
      kPreface + frameOf(kHeaders, 0, 1, "") +
          frameOf(kPing, 0, 0, "12345678"),  // a block that is interrupted
  };
  for (const std::string& bytes : broken) {
    raw = Raw::connectTo(server.port());
    raw->write(bytes);
    EXPECT_TRUE(until([&] { return raw->closed(); })) << bytes.substr(0, 40);
  }
  raw = Raw::connectTo(server.port());
  EXPECT_EQ(answer("/test.Echo/Say", frame("still here")), Code::kOk);
}

TEST_F(FrameTest, HeaderFloodsAndHpackBombsEndTheConnection) {
  // One entry of 3,900 bytes in the dynamic table, then named a thousand times.
  std::string bomb = "\x40" + fields({{"bomb", std::string(3900, 'b')}}).substr(1);
  bomb += std::string(1000, '\xbe');
  raw->write(kPreface + frameOf(kHeaders, 0, 1, bomb));
  EXPECT_TRUE(until([&] { return raw->closed(); }));
  // A block without an end.
  raw = Raw::connectTo(server.port());
  raw->write(kPreface + frameOf(kHeaders, 0, 1, fields(requestHeaders())));
  for (int i = 0; i < 100 && !raw->closed(); ++i) {
    raw->write(frameOf(kContinuation, 0, 1, fields({{"more", std::string(1000, 'm')}})));
    loop.step(Duration(0));
  }
  EXPECT_TRUE(until([&] { return raw->closed(); }));
  EXPECT_TRUE(until([&] { return server.connections() == 0; }));
}

TEST_F(FrameTest, AResetTellsTheHandler) {
  std::shared_ptr<ServerCall> held;
  bool cancelled = false;
  server.handle("/test.Echo/Say", [&](const std::shared_ptr<ServerCall>& call, std::string_view) {
    held = call;
    call->onCancelled = [&] { cancelled = true; };
  });
  raw->write(kPreface + request(1, frame("x")));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  raw->write(frameOf(kReset, 0, 1, number(http2::kCancel, 4)));
  EXPECT_TRUE(until([&] { return cancelled; }));
  EXPECT_FALSE(held->open());
  held->send("into the void");
  held->finish({});
}

TEST_F(FrameTest, APeerThatVanishesWithoutAFinIsFoundByItsReset) {
  std::shared_ptr<ServerCall> held;
  bool cancelled = false;
  server.handle("/test.Echo/Say", [&](const std::shared_ptr<ServerCall>& call, std::string_view) {
    held = call;
    call->onCancelled = [&] { cancelled = true; };
  });
  raw->write(kPreface + request(1, frame("x")));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  raw.reset();  // unread bytes are there: the kernel sends a RST, no FIN
  held->send("hello");
  EXPECT_TRUE(until([&] { return cancelled; }));
}

// ---- A channel against a server that misbehaves ----
class ChannelTest : public ::testing::Test {
 protected:
  ChannelTest() : listener(loop, {}, [this](int fd) { peer = std::make_unique<Raw>(fd); }) {
    ChannelOptions options;
    options.connectTimeout = Duration(5);
    options.keepaliveEvery = Duration(0);
    channel = std::make_unique<Channel>(loop, net::Endpoint{"127.0.0.1", listener.port()}, options);
  }

  template <class Done>
  bool until(const Done& done) {
    const Instant end = net::monotonicNow() + Duration(kBound);
    while (!done() && net::monotonicNow() < end) loop.step(Duration(0.02));
    return done();
  }

  std::shared_ptr<ClientCall> call() {
    auto started = channel->start("/test.Echo/Say", "hello");
    started->onMessage = [this](std::string_view message) { messages.emplace_back(message); };
    started->onEnd = [this](const CallEnd& told) { ends.push_back(told); };
    return started;
  }

  // Waits until the request has come, then answers with these bytes.
  CallEnd answered(const std::string& bytes) {
    const auto started = call();
    EXPECT_TRUE(
        until([&] { return peer && !peer->frames().empty() && peer->frames().back().type == kData; }));
    peer->write(frameOf(kSettings, 0, 0, "") + bytes);
    EXPECT_TRUE(until([&] { return !ends.empty(); }));
    EXPECT_EQ(ends.size(), 1u);
    return ends.empty() ? CallEnd{} : ends.front();
  }

  static std::string head(int flags = kEndHeaders) {
    return frameOf(kHeaders, flags, 1, fields({{":status", "200"}, {"content-type", "application/grpc"}}));
  }
  static std::string trailers(const std::string& status) {
    return frameOf(kHeaders, kEndHeaders | kEndStream, 1,
                   fields({{"grpc-status", status}, {"grpc-message", "a%20b"}}));
  }

  net::Loop loop;
  std::unique_ptr<Raw> peer;
  net::Listener listener;
  std::unique_ptr<Channel> channel;
  std::vector<std::string> messages;
  std::vector<CallEnd> ends;
};

TEST_F(ChannelTest, ReadsAnAnswer) {
  const CallEnd end = answered(head() + frameOf(kData, 0, 1, frame("world")) + trailers("0"));
  EXPECT_EQ(end.how, CallEnd::How::kStatus);
  EXPECT_EQ(end.status.code, Code::kOk);
  EXPECT_EQ(messages, std::vector<std::string>{"world"});
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kOk);
}

TEST_F(ChannelTest, ReadsATrailersOnlyAnswer) {
  const CallEnd end =
      answered(frameOf(kHeaders, kEndHeaders | kEndStream, 1,
                       fields({{":status", "200"}, {"grpc-status", "8"}, {"grpc-message", "full%21"}})));
  EXPECT_EQ(end.status.code, Code::kResourceExhausted);
  EXPECT_EQ(end.status.message, "full!");
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kRejected) << "known not to have run";
}

TEST_F(ChannelTest, RefusedStreamsDidNotRun) {
  const CallEnd end = answered(frameOf(kReset, 0, 1, number(http2::kRefusedStream, 4)));
  EXPECT_EQ(end.how, CallEnd::How::kRefused);
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kRejected);
}

TEST_F(ChannelTest, StreamsPastAGoawayDidNotRun) {
  const CallEnd end = answered(frameOf(kGoaway, 0, 0, number(0, 4) + number(0, 4)));
  EXPECT_EQ(end.how, CallEnd::How::kRefused);
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kRejected);
}

TEST_F(ChannelTest, OtherResetsMayHaveRun) {
  const CallEnd end = answered(frameOf(kReset, 0, 1, number(http2::kInternalError, 4)));
  EXPECT_EQ(end.how, CallEnd::How::kReset);
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kReset);
}

TEST_F(ChannelTest, AConnectionThatEndsMayHaveRun) {
  const auto started = call();
  ASSERT_TRUE(until([&] { return peer && !peer->frames().empty() && peer->frames().back().type == kData; }));
  peer.reset();
  ASSERT_TRUE(until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends.front().how, CallEnd::How::kBroken);
  EXPECT_EQ(engines::outcomeOf(ends.front()), Outcome::kReset);
}

TEST_F(ChannelTest, ARefusedConnectDidNotRun) {
  listener.refuse(true);
  const auto started = call();
  ASSERT_TRUE(until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends.front().how, CallEnd::How::kNotSent);
  EXPECT_EQ(engines::outcomeOf(ends.front()), Outcome::kConnectFailed);
  listener.refuse(false);
  // The back-off is bounded: a later call finds the server again.
  ASSERT_TRUE(until([&] {
    if (!peer && ends.size() < 100) {
      const auto again = call();
      until([&] { return again->over() || peer != nullptr; });
    }
    return peer != nullptr;
  }));
}

TEST_F(ChannelTest, AnswersWithoutAStatusAreMalformed) {
  const CallEnd end = answered(head() + frameOf(kData, kEndStream, 1, frame("world")));
  EXPECT_EQ(end.how, CallEnd::How::kMalformed);
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kError);
}

TEST_F(ChannelTest, HttpFaultsBecomeStatuses) {
  const CallEnd end = answered(frameOf(kHeaders, kEndHeaders | kEndStream, 1, fields({{":status", "503"}})));
  EXPECT_EQ(end.how, CallEnd::How::kMalformed);
  EXPECT_EQ(end.status.code, Code::kUnavailable);
}

TEST_F(ChannelTest, AnAnswerThatEndsInsideAMessageIsMalformed) {
  const CallEnd end = answered(head() + frameOf(kData, 0, 1, frame("world").substr(0, 8)) + trailers("0"));
  EXPECT_EQ(end.how, CallEnd::How::kMalformed);
}

TEST_F(ChannelTest, AnOversizedAnswerIsEnded) {
  const CallEnd end = answered(head() + frameOf(kData, 0, 1, std::string("\0\xff\xff\xff\xff", 5)));
  EXPECT_EQ(end.how, CallEnd::How::kMalformed);
  EXPECT_TRUE(until([&] {
    for (const Frame& f : peer->frames()) {
      if (f.type == kReset && f.stream == 1) return true;
    }
    return false;
  })) << "the server is told";
}

TEST_F(ChannelTest, ACancelIsAResetAndItsEndIsToldAtOnce) {
  const auto started = call();
  ASSERT_TRUE(until([&] { return peer && !peer->frames().empty() && peer->frames().back().type == kData; }));
  started->cancel();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(engines::outcomeOf(ends.front()), Outcome::kCancelled);
  EXPECT_TRUE(until([&] {
    for (const Frame& f : peer->frames()) {
      if (f.type == kReset && f.stream == 1) return f.payload == number(http2::kCancel, 4);
    }
    return false;
  }));
  peer->write(frameOf(kSettings, 0, 0, "") + head() + frameOf(kData, 0, 1, frame("late")) + trailers("0"));
  for (int i = 0; i < 20; ++i) loop.step(Duration(0.01));
  EXPECT_TRUE(messages.empty());
  EXPECT_EQ(ends.size(), 1u);
}

TEST_F(ChannelTest, WhatComesForAnEndedStreamIsTold) {
  int stray = 0;
  channel->onStrayFrame = [&](http2::StreamId) { ++stray; };
  answered(head() + frameOf(kData, 0, 1, frame("world")) + trailers("0") + trailers("13"));
  EXPECT_TRUE(until([&] { return stray > 0; }));
  EXPECT_EQ(ends.size(), 1u) << "the first answer stays the only one";
}

TEST_F(ChannelTest, APausedCallShutsItsWindow) {
  const auto started = call();
  started->pause(true);
  ASSERT_TRUE(until([&] { return peer && !peer->frames().empty() && peer->frames().back().type == kData; }));
  peer->write(frameOf(kSettings, 0, 0, "") + head() + frameOf(kData, 0, 1, frame(std::string(10000, 'x'))));
  for (int i = 0; i < 20; ++i) loop.step(Duration(0.01));
  EXPECT_TRUE(messages.empty());
  const auto windowOfStream = [&] {
    std::size_t opened = 0;
    for (const Frame& f : peer->frames()) opened += f.type == 8 && f.stream == 1;
    return opened;
  };
  EXPECT_EQ(windowOfStream(), 0u);
  started->pause(false);
  EXPECT_EQ(messages.size(), 1u);
  started->cancel();
}

}  // namespace
}  // namespace gannetcourse::grpc
