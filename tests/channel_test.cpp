// Tests grpc::Channel against a raw server that sends valid and invalid responses.
#include "grpc/channel.h"

#include "engines/call_outcome.h"
#include "net/listener.h"
#include "raw_http2.h"

namespace gannetcourse::grpc {
namespace {

using namespace test;

class ChannelTest : public ::testing::Test {
 protected:
  ChannelTest() : listener(loop, {}, [this](int fd) { peer = std::make_unique<RawHttp2Socket>(fd); }) {
    ChannelOptions options;
    options.connectTimeout = Duration(5);
    options.keepaliveInterval = Duration(0);
    channel = std::make_unique<Channel>(loop, net::Endpoint{"127.0.0.1", listener.port()}, options);
  }

  template <class Done>
  bool waitUntil(const Done& done) {
    return runUntil(loop, done);
  }

  std::shared_ptr<ClientCall> startCall() {
    auto started = channel->start("/test.Echo/Say", "hello");
    started->onMessage = [this](std::string_view message) { messages.emplace_back(message); };
    started->onEnd = [this](const CallEnd& end) { ends.push_back(end); };
    return started;
  }

  // Starts a call, waits for its request, responds with `bytes` and returns how the call ended.
  CallEnd endAfterResponse(const std::string& bytes) {
    const auto started = startCall();
    EXPECT_TRUE(
        waitUntil([&] { return peer && !peer->frames().empty() && peer->frames().back().type == kData; }));
    peer->write(encodeFrame(kSettings, 0, 0, "") + bytes);
    EXPECT_TRUE(waitUntil([&] { return !ends.empty(); }));
    EXPECT_EQ(ends.size(), 1u);
    return ends.empty() ? CallEnd{} : ends.front();
  }

  static std::string responseHeaders(int flags = kEndHeaders) {
    return encodeFrame(kHeaders, flags, 1,
                       encodeHeaderBlock({{":status", "200"}, {"content-type", "application/grpc"}}));
  }
  static std::string trailers(const std::string& status) {
    return encodeFrame(kHeaders, kEndHeaders | kEndStream, 1,
                       encodeHeaderBlock({{"grpc-status", status}, {"grpc-message", "a%20b"}}));
  }

  net::Loop loop;
  std::unique_ptr<RawHttp2Socket> peer;
  net::Listener listener;
  std::unique_ptr<Channel> channel;
  std::vector<std::string> messages;
  std::vector<CallEnd> ends;
};

TEST_F(ChannelTest, DeliversMessagesAndStatusOfResponse) {
  const CallEnd end =
      endAfterResponse(responseHeaders() + encodeFrame(kData, 0, 1, frame("world")) + trailers("0"));
  EXPECT_EQ(end.kind, CallEnd::Kind::kStatus);
  EXPECT_EQ(end.status.code, Code::kOk);
  EXPECT_EQ(messages, std::vector<std::string>{"world"});
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kOk);
}

// A server may send the status in the response headers, without trailers. The status message is
// percent-encoded.
TEST_F(ChannelTest, ReadsStatusFromTrailersOnlyResponse) {
  const CallEnd end = endAfterResponse(encodeFrame(
      kHeaders, kEndHeaders | kEndStream, 1,
      encodeHeaderBlock({{":status", "200"}, {"grpc-status", "8"}, {"grpc-message", "full%21"}})));
  EXPECT_EQ(end.status.code, Code::kResourceExhausted);
  EXPECT_EQ(end.status.message, "full!");
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kRejected)
      << "RESOURCE_EXHAUSTED means that the call did not run";
}

// REFUSED_STREAM guarantees that the call did not run, so every request may be retried.
TEST_F(ChannelTest, ReportsRefusedStreamAsNotRun) {
  const CallEnd end = endAfterResponse(encodeFrame(kReset, 0, 1, encodeBigEndian(http2::kRefusedStream, 4)));
  EXPECT_EQ(end.kind, CallEnd::Kind::kRefusedStream);
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kRejected);
}

// The server has not processed a stream above the last stream id of its GOAWAY, so its request may be
// retried, even if it is at-most-once.
TEST_F(ChannelTest, ReportsStreamAboveGoawayLimitAsNotRun) {
  const CallEnd end =
      endAfterResponse(encodeFrame(kGoaway, 0, 0, encodeBigEndian(0, 4) + encodeBigEndian(0, 4)));
  EXPECT_EQ(end.kind, CallEnd::Kind::kRefusedStream);
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kRejected);
}

// Guards against retries of at-most-once requests that the server may have run before the reset.
TEST_F(ChannelTest, ReportsInternalErrorResetAsPossiblyRun) {
  const CallEnd end = endAfterResponse(encodeFrame(kReset, 0, 1, encodeBigEndian(http2::kInternalError, 4)));
  EXPECT_EQ(end.kind, CallEnd::Kind::kReset);
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kReset);
}

// Guards against retries of at-most-once requests that the server may have run before the connection broke.
TEST_F(ChannelTest, ReportsLostConnectionAsPossiblyRun) {
  const auto started = startCall();
  ASSERT_TRUE(
      waitUntil([&] { return peer && !peer->frames().empty() && peer->frames().back().type == kData; }));
  peer.reset();
  ASSERT_TRUE(waitUntil([&] { return !ends.empty(); }));
  EXPECT_EQ(ends.front().kind, CallEnd::Kind::kConnectionLost);
  EXPECT_EQ(engines::outcomeOf(ends.front()), Outcome::kReset);
}

TEST_F(ChannelTest, ReportsRefusedConnectAsNotRunAndReconnects) {
  listener.rejectConnections(true);
  const auto started = startCall();
  ASSERT_TRUE(waitUntil([&] { return !ends.empty(); }));
  EXPECT_EQ(ends.front().kind, CallEnd::Kind::kNotSent);
  EXPECT_EQ(engines::outcomeOf(ends.front()), Outcome::kConnectFailed);
  listener.rejectConnections(false);
  // Once the backoff has passed, a later call reconnects to the server.
  ASSERT_TRUE(waitUntil([&] {
    if (!peer && ends.size() < 100) {
      const auto again = startCall();
      waitUntil([&] { return again->isOver() || peer != nullptr; });
    }
    return peer != nullptr;
  }));
}

TEST_F(ChannelTest, ReportsResponseWithoutStatusAsMalformed) {
  const CallEnd end = endAfterResponse(responseHeaders() + encodeFrame(kData, kEndStream, 1, frame("world")));
  EXPECT_EQ(end.kind, CallEnd::Kind::kMalformed);
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kError);
}

// Proxies respond with plain HTTP errors: 503 must become UNAVAILABLE.
TEST_F(ChannelTest, MapsHttpErrorToStatusCode) {
  const CallEnd end = endAfterResponse(
      encodeFrame(kHeaders, kEndHeaders | kEndStream, 1, encodeHeaderBlock({{":status", "503"}})));
  EXPECT_EQ(end.kind, CallEnd::Kind::kMalformed);
  EXPECT_EQ(end.status.code, Code::kUnavailable);
}

TEST_F(ChannelTest, ReportsResponseEndingInsideMessageAsMalformed) {
  const CallEnd end = endAfterResponse(responseHeaders() +
                                       encodeFrame(kData, 0, 1, frame("world").substr(0, 8)) + trailers("0"));
  EXPECT_EQ(end.kind, CallEnd::Kind::kMalformed);
}

// A message whose prefix announces a length above the limit must not be buffered; the call must end.
TEST_F(ChannelTest, ResetsStreamOfOversizedResponse) {
  const CallEnd end =
      endAfterResponse(responseHeaders() + encodeFrame(kData, 0, 1, std::string("\0\xff\xff\xff\xff", 5)));
  EXPECT_EQ(end.kind, CallEnd::Kind::kMalformed);
  EXPECT_TRUE(waitUntil([&] {
    for (const Frame& f : peer->frames()) {
      if (f.type == kReset && f.stream == 1) return true;
    }
    return false;
  })) << "the server received no RST_STREAM";
}

// A response that arrives after cancel() must be ignored; onEnd must not be called again.
TEST_F(ChannelTest, CancelResetsStreamAndCallsOnEndOnceBeforeReturning) {
  const auto started = startCall();
  ASSERT_TRUE(
      waitUntil([&] { return peer && !peer->frames().empty() && peer->frames().back().type == kData; }));
  started->cancel();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(engines::outcomeOf(ends.front()), Outcome::kCancelled);
  EXPECT_TRUE(waitUntil([&] {
    for (const Frame& f : peer->frames()) {
      if (f.type == kReset && f.stream == 1) return f.payload == encodeBigEndian(http2::kCancel, 4);
    }
    return false;
  }));
  peer->write(encodeFrame(kSettings, 0, 0, "") + responseHeaders() + encodeFrame(kData, 0, 1, frame("late")) +
              trailers("0"));
  for (int i = 0; i < 20; ++i) loop.runOnce(Duration(0.01));
  EXPECT_TRUE(messages.empty());
  EXPECT_EQ(ends.size(), 1u);
}

TEST_F(ChannelTest, ReportsFrameForEndedStream) {
  int stray = 0;
  channel->onStrayFrame = [&](http2::StreamId) { ++stray; };
  endAfterResponse(responseHeaders() + encodeFrame(kData, 0, 1, frame("world")) + trailers("0") +
                   trailers("13"));
  EXPECT_TRUE(waitUntil([&] { return stray > 0; }));
  EXPECT_EQ(ends.size(), 1u) << "onEnd must be called exactly once";
}

// Guards against a server that can send without limit while the call is paused.
TEST_F(ChannelTest, PausedCallSendsNoWindowUpdate) {
  const auto started = startCall();
  started->pause(true);
  ASSERT_TRUE(
      waitUntil([&] { return peer && !peer->frames().empty() && peer->frames().back().type == kData; }));
  peer->write(encodeFrame(kSettings, 0, 0, "") + responseHeaders() +
              encodeFrame(kData, 0, 1, frame(std::string(10000, 'x'))));
  for (int i = 0; i < 20; ++i) loop.runOnce(Duration(0.01));
  EXPECT_TRUE(messages.empty());
  const auto windowUpdates = [&] {
    std::size_t count = 0;  // number of WINDOW_UPDATE frames
    for (const Frame& f : peer->frames()) count += f.type == 8 && f.stream == 1;
    return count;
  };
  EXPECT_EQ(windowUpdates(), 0u);
  started->pause(false);
  EXPECT_EQ(messages.size(), 1u);
  started->cancel();
}

}  // namespace
}  // namespace gannetcourse::grpc
