// The wire from outside: raw sockets that send frames of HTTP/2 byte by byte, good and bad, to a
// grpc::Server.
#include <nghttp2/nghttp2.h>

#include "grpc/server.h"
#include "raw_http2.h"

namespace gannetcourse::grpc {
namespace {

using namespace test;

class FrameTest : public ::testing::Test {
 protected:
  FrameTest() : server(loop, {}, options()) {
    server.handle("/test.Echo/Say",
                  [this](const std::shared_ptr<ServerCall>& call, std::string_view message) {
                    said.emplace_back(message);
                    call->send(message);
                    call->finish({});
                  });
    raw = RawHttp2Socket::connectTo(server.port());
  }

  static ServerOptions options() {
    ServerOptions o;
    o.maxMessageBytes = 1000;
    o.http2.maxHeaderBytes = 4096;
    return o;
  }

  template <class Done>
  bool until(const Done& done) {
    return runUntil(loop, done);
  }

  // Sends one request on a new connection. Returns the status in its response's trailers.
  std::optional<Code> answer(const std::string& path, const std::string& body,
                             const http2::Headers& more = {}) {
    http2::Headers headers = requestHeaders(path);
    headers.insert(headers.end(), more.begin(), more.end());
    raw->write(kPreface + request(1, body, headers));
    return statusOn(1);
  }

  // The status in the trailers of a stream, once they have arrived.
  std::optional<Code> statusOn(std::uint32_t stream) {
    std::optional<Code> code;
    until([&] {
      for (const Frame& f : raw->frames()) {
        if (f.stream != stream || f.type != kHeaders || (f.flags & kEndStream) == 0) continue;
        code = decodeStatus();
      }
      return code.has_value();
    });
    return code;
  }

  // Decodes the header blocks received so far, in order: each connection here has one response.
  std::optional<Code> decodeStatus();

  // From now on the handler keeps its call and does not answer.
  void keepCallsOpen() {
    server.handle("/test.Echo/Say", [this](const std::shared_ptr<ServerCall>& call, std::string_view) {
      received = call;
      call->onClientDisconnected = [this] { cancelled = true; };
    });
  }

  net::Loop loop;
  std::shared_ptr<ServerCall> received;  // after keepCallsOpen()
  bool cancelled = false;
  Server server;
  std::unique_ptr<RawHttp2Socket> raw;
  std::vector<std::string> said;  // messages that the handler received
};

std::optional<Code> FrameTest::decodeStatus() {
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
        code = codeFromText({reinterpret_cast<char*>(pair.value), pair.valuelen});
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
    loop.runOnce(Duration(0));
  }
  EXPECT_EQ(statusOn(1), Code::kOk);
  EXPECT_EQ(said, std::vector<std::string>{"slowly"});
}

TEST_F(FrameTest, RejectsProtocolErrorsByStatus) {
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
    raw = RawHttp2Socket::connectTo(server.port());
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
  raw->write(kPreface + encodeFrame(kPing, 0, 0, "12345678"));
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
      kPreface +
          encodeFrame(kHeaders, kEndHeaders, 2, encodeHeaderBlock(requestHeaders())),  // an even stream
      kPreface + encodeFrame(kData, 0, 1, "data before headers"),
      kPreface + encodeFrame(kHeaders, kEndHeaders, 1, std::string(20, '\xff')),  // broken HPACK
      kPreface + encodeFrame(kSettings, 0, 0, "12345"),                           // a wrong size
      kPreface + encodeFrame(kHeaders, 0, 1, "") +
          encodeFrame(kPing, 0, 0, "12345678"),  // a block that is interrupted
  };
  for (const std::string& bytes : broken) {
    raw = RawHttp2Socket::connectTo(server.port());
    raw->write(bytes);
    EXPECT_TRUE(until([&] { return raw->closed(); })) << bytes.substr(0, 40);
  }
  raw = RawHttp2Socket::connectTo(server.port());
  EXPECT_EQ(answer("/test.Echo/Say", frame("still here")), Code::kOk);
}

TEST_F(FrameTest, HeaderFloodsAndHpackBombsEndTheConnection) {
  // One entry of 3,900 bytes in the dynamic table, then named a thousand times.
  std::string bomb = "\x40" + encodeHeaderBlock({{"bomb", std::string(3900, 'b')}}).substr(1);
  bomb += std::string(1000, '\xbe');
  raw->write(kPreface + encodeFrame(kHeaders, 0, 1, bomb));
  EXPECT_TRUE(until([&] { return raw->closed(); }));
  // A block without an end.
  raw = RawHttp2Socket::connectTo(server.port());
  raw->write(kPreface + encodeFrame(kHeaders, 0, 1, encodeHeaderBlock(requestHeaders())));
  for (int i = 0; i < 100 && !raw->closed(); ++i) {
    raw->write(encodeFrame(kContinuation, 0, 1, encodeHeaderBlock({{"more", std::string(1000, 'm')}})));
    loop.runOnce(Duration(0));
  }
  EXPECT_TRUE(until([&] { return raw->closed(); }));
  EXPECT_TRUE(until([&] { return server.connectionCount() == 0; }));
}

TEST_F(FrameTest, AResetNotifiesTheHandler) {
  keepCallsOpen();
  raw->write(kPreface + request(1, frame("x")));
  ASSERT_TRUE(until([&] { return received != nullptr; }));
  raw->write(encodeFrame(kReset, 0, 1, encodeBigEndian(http2::kCancel, 4)));
  EXPECT_TRUE(until([&] { return cancelled; }));
  EXPECT_FALSE(received->isOpen());
  received->send("into the void");
  received->finish({});
}

TEST_F(FrameTest, APeerThatVanishesWithoutAFinIsFoundByItsReset) {
  keepCallsOpen();
  raw->write(kPreface + request(1, frame("x")));
  ASSERT_TRUE(until([&] { return received != nullptr; }));
  raw.reset();  // unread bytes are there: the kernel sends a RST, no FIN
  received->send("hello");
  EXPECT_TRUE(until([&] { return cancelled; }));
}

}  // namespace
}  // namespace gannetcourse::grpc
