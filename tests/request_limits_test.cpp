// Tests of the time limits of clients' requests, in simulated time: a client that begins a request and does
// not complete it gets an error or a close within 3 s, whatever it has sent before; one that is only slow is
// served.
#include "stream_fixture.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

constexpr double kMaxWait = 3;       // the protocol's limit from connecting, in seconds
constexpr double kSendPeriod = 0.2;  // pause between two pieces of a slow request, in seconds

class RequestLimitsTest : public StreamTest {
 protected:
  // Sends one byte of `request` every kSendPeriod, but not its last one, until the client has an answer or
  // its connection is closed; returns the elapsed time in seconds, at most about 30.
  double secondsUntilAnsweredWhileSending(const std::shared_ptr<Peer>& peer, const std::string& request) {
    const std::size_t before = peer->received.size();
    const auto answered = [&] { return peer->closed || peer->received.size() > before; };
    const Instant start = now();
    for (std::size_t at = 0; !answered() && now() - start < Duration(30); ++at) {
      if (at + 1 < request.size()) peer->send(request.substr(at, 1));
      becomesTrueWithin(kSendPeriod, answered);
    }
    return (now() - start).count();
  }
};

TEST_F(RequestLimitsTest, RejectsRequestWhoseBytesKeepArriving) {
  startNode();
  const auto peer = client();
  EXPECT_LT(secondsUntilAnsweredWhileSending(peer, chatRequest("slow")), kMaxWait);
  EXPECT_TRUE(peer->hasReceived("HTTP/1.1 408"));
}

// The limit runs from connecting: the first byte of a request must not restart it.
TEST_F(RequestLimitsTest, RejectsFirstRequestThatBeginsLateWithinTheLimitOfItsConnection) {
  startNode();
  for (const double idleSeconds : {0.5, 1.5, 2.4}) {
    const auto peer = client();
    advance(idleSeconds);
    ASSERT_FALSE(peer->closed);
    EXPECT_LT(idleSeconds + secondsUntilAnsweredWhileSending(peer, chatRequest("late")), kMaxWait);
    EXPECT_TRUE(peer->hasReceived("HTTP/1.1 408")) << idleSeconds;
  }
}

TEST_F(RequestLimitsTest, RejectsLaterRequestThatDoesNotArrive) {
  startNode();
  const auto peer = sendFromNewClient(chatRequest("first"));
  ASSERT_TRUE(becomesTrueWithin(1, [&] { return isComplete(*peer); }));
  advance(5);
  EXPECT_LT(secondsUntilAnsweredWhileSending(peer, chatRequest("second")), kMaxWait);
  EXPECT_TRUE(peer->hasReceived("HTTP/1.1 408"));
}

// The limit of a request behind another one runs from the end of that one's response.
TEST_F(RequestLimitsTest, RejectsIncompleteRequestBehindAnother) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")));
  const std::string second = chatRequest("second");
  peer->send(second.substr(0, 60));
  advance(4);
  ASSERT_FALSE(peer->closed);
  latestDecodePeer().send(chunkOf(kDone) + kLastChunk);
  ASSERT_TRUE(becomesTrueWithin(1, [&] { return isComplete(*peer); }));
  EXPECT_LT(secondsUntilAnsweredWhileSending(peer, second.substr(60)), kMaxWait);
  EXPECT_TRUE(peer->hasReceived("HTTP/1.1 408"));
}

// As above, where reading was paused because too many bytes waited behind the first request.
TEST_F(RequestLimitsTest, RejectsIncompleteRequestAfterReadingWasPaused) {
  const auto peer = startStream(kStreamHead + chunkOf(eventOf("a")));
  const std::string body = "{\"messages\":[\"" + std::string(200'000, 'b') + "\"]}";
  constexpr std::size_t kRequests = 4;  // more bytes than the limit on pipelined bytes
  for (std::size_t i = 0; i < kRequests; ++i)
    peer->send(chatRequest("next" + std::to_string(i), "", "chat", "4800", body));
  const std::string last = chatRequest("last");
  peer->send(last.substr(0, 60));
  advance(4);
  decodeEngine.script = [](Peer& engine, const http1::Request& r) { answerDecode(engine, r); };
  latestDecodePeer().send(chunkOf(kDone) + kLastChunk);
  const auto answersReceived = [&] {
    std::size_t count = 0;
    for (std::size_t at = 0; (at = peer->received.find("HTTP/1.1 200", at)) != std::string::npos; ++at)
      ++count;
    return count;
  };
  ASSERT_TRUE(becomesTrueWithin(5, [&] { return answersReceived() == kRequests + 1; }));
  EXPECT_LT(secondsUntilAnsweredWhileSending(peer, last.substr(60)), kMaxWait);
  EXPECT_TRUE(peer->hasReceived("HTTP/1.1 408"));
}

TEST_F(RequestLimitsTest, ServesRequestThatArrivesSlowlyWithinTheLimit) {
  startNode();
  const std::string request = chatRequest("slow");
  const auto peer = client();
  for (std::size_t piece = 0; piece < 10; ++piece) {
    const std::size_t size = request.size() / 9;
    peer->send(request.substr(std::min(request.size(), piece * size), size));
    advance(0.25);
  }
  EXPECT_TRUE(becomesTrueWithin(1, [&] { return isComplete(*peer); }));
}

}  // namespace
}  // namespace gannetcourse::platform
