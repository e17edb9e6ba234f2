// A grpc::Channel against a raw server that answers in every wrong way.
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
  bool until(const Done& done) {
    return runUntil(loop, done);
  }

  std::shared_ptr<ClientCall> call() {
    auto started = channel->start("/test.Echo/Say", "hello");
    started->onMessage = [this](std::string_view message) { messages.emplace_back(message); };
    started->onEnd = [this](const CallEnd& end) { ends.push_back(end); };
    return started;
  }

  // Waits until the request has come, then answers with these bytes.
  CallEnd answered(const std::string& bytes) {
    const auto started = call();
    EXPECT_TRUE(
        until([&] { return peer && !peer->frames().empty() && peer->frames().back().type == kData; }));
    peer->write(encodeFrame(kSettings, 0, 0, "") + bytes);
    EXPECT_TRUE(until([&] { return !ends.empty(); }));
    EXPECT_EQ(ends.size(), 1u);
    return ends.empty() ? CallEnd{} : ends.front();
  }

  static std::string head(int flags = kEndHeaders) {
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

TEST_F(ChannelTest, ReadsAResponse) {
  const CallEnd end = answered(head() + encodeFrame(kData, 0, 1, frame("world")) + trailers("0"));
  EXPECT_EQ(end.kind, CallEnd::Kind::kStatus);
  EXPECT_EQ(end.status.code, Code::kOk);
  EXPECT_EQ(messages, std::vector<std::string>{"world"});
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kOk);
}

TEST_F(ChannelTest, ReadsATrailersOnlyResponse) {
  const CallEnd end = answered(encodeFrame(
      kHeaders, kEndHeaders | kEndStream, 1,
      encodeHeaderBlock({{":status", "200"}, {"grpc-status", "8"}, {"grpc-message", "full%21"}})));
  EXPECT_EQ(end.status.code, Code::kResourceExhausted);
  EXPECT_EQ(end.status.message, "full!");
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kRejected) << "known not to have run";
}

TEST_F(ChannelTest, RefusedStreamsDidNotRun) {
  const CallEnd end = answered(encodeFrame(kReset, 0, 1, encodeBigEndian(http2::kRefusedStream, 4)));
  EXPECT_EQ(end.kind, CallEnd::Kind::kRefusedStream);
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kRejected);
}

TEST_F(ChannelTest, StreamsPastAGoawayDidNotRun) {
  const CallEnd end = answered(encodeFrame(kGoaway, 0, 0, encodeBigEndian(0, 4) + encodeBigEndian(0, 4)));
  EXPECT_EQ(end.kind, CallEnd::Kind::kRefusedStream);
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kRejected);
}

TEST_F(ChannelTest, OtherResetsMayHaveRun) {
  const CallEnd end = answered(encodeFrame(kReset, 0, 1, encodeBigEndian(http2::kInternalError, 4)));
  EXPECT_EQ(end.kind, CallEnd::Kind::kReset);
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kReset);
}

TEST_F(ChannelTest, ALostConnectionMayHaveRun) {
  const auto started = call();
  ASSERT_TRUE(until([&] { return peer && !peer->frames().empty() && peer->frames().back().type == kData; }));
  peer.reset();
  ASSERT_TRUE(until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends.front().kind, CallEnd::Kind::kConnectionLost);
  EXPECT_EQ(engines::outcomeOf(ends.front()), Outcome::kReset);
}

TEST_F(ChannelTest, ARefusedConnectDidNotRun) {
  listener.rejectConnections(true);
  const auto started = call();
  ASSERT_TRUE(until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends.front().kind, CallEnd::Kind::kNotSent);
  EXPECT_EQ(engines::outcomeOf(ends.front()), Outcome::kConnectFailed);
  listener.rejectConnections(false);
  // The back-off is bounded: a later call finds the server again.
  ASSERT_TRUE(until([&] {
    if (!peer && ends.size() < 100) {
      const auto again = call();
      until([&] { return again->isOver() || peer != nullptr; });
    }
    return peer != nullptr;
  }));
}

TEST_F(ChannelTest, ResponsesWithoutAStatusAreMalformed) {
  const CallEnd end = answered(head() + encodeFrame(kData, kEndStream, 1, frame("world")));
  EXPECT_EQ(end.kind, CallEnd::Kind::kMalformed);
  EXPECT_EQ(engines::outcomeOf(end), Outcome::kError);
}

TEST_F(ChannelTest, HttpFaultsBecomeStatuses) {
  const CallEnd end =
      answered(encodeFrame(kHeaders, kEndHeaders | kEndStream, 1, encodeHeaderBlock({{":status", "503"}})));
  EXPECT_EQ(end.kind, CallEnd::Kind::kMalformed);
  EXPECT_EQ(end.status.code, Code::kUnavailable);
}

TEST_F(ChannelTest, AResponseThatEndsInsideAMessageIsMalformed) {
  const CallEnd end =
      answered(head() + encodeFrame(kData, 0, 1, frame("world").substr(0, 8)) + trailers("0"));
  EXPECT_EQ(end.kind, CallEnd::Kind::kMalformed);
}

TEST_F(ChannelTest, AnOversizedResponseIsEnded) {
  const CallEnd end = answered(head() + encodeFrame(kData, 0, 1, std::string("\0\xff\xff\xff\xff", 5)));
  EXPECT_EQ(end.kind, CallEnd::Kind::kMalformed);
  EXPECT_TRUE(until([&] {
    for (const Frame& f : peer->frames()) {
      if (f.type == kReset && f.stream == 1) return true;
    }
    return false;
  })) << "the server is notified";
}

TEST_F(ChannelTest, ACancelIsAResetAndNotifiesItsEndAtOnce) {
  const auto started = call();
  ASSERT_TRUE(until([&] { return peer && !peer->frames().empty() && peer->frames().back().type == kData; }));
  started->cancel();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(engines::outcomeOf(ends.front()), Outcome::kCancelled);
  EXPECT_TRUE(until([&] {
    for (const Frame& f : peer->frames()) {
      if (f.type == kReset && f.stream == 1) return f.payload == encodeBigEndian(http2::kCancel, 4);
    }
    return false;
  }));
  peer->write(encodeFrame(kSettings, 0, 0, "") + head() + encodeFrame(kData, 0, 1, frame("late")) +
              trailers("0"));
  for (int i = 0; i < 20; ++i) loop.runOnce(Duration(0.01));
  EXPECT_TRUE(messages.empty());
  EXPECT_EQ(ends.size(), 1u);
}

TEST_F(ChannelTest, AFrameForAnEndedStreamIsReported) {
  int stray = 0;
  channel->onStrayFrame = [&](http2::StreamId) { ++stray; };
  answered(head() + encodeFrame(kData, 0, 1, frame("world")) + trailers("0") + trailers("13"));
  EXPECT_TRUE(until([&] { return stray > 0; }));
  EXPECT_EQ(ends.size(), 1u) << "the first answer stays the only one";
}

TEST_F(ChannelTest, APausedCallClosesItsWindow) {
  const auto started = call();
  started->pause(true);
  ASSERT_TRUE(until([&] { return peer && !peer->frames().empty() && peer->frames().back().type == kData; }));
  peer->write(encodeFrame(kSettings, 0, 0, "") + head() +
              encodeFrame(kData, 0, 1, frame(std::string(10000, 'x'))));
  for (int i = 0; i < 20; ++i) loop.runOnce(Duration(0.01));
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
