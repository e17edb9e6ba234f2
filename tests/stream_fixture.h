// Test fixture for streams from a scripted decode engine to one client, in simulated time.
#pragma once

#include <memory>
#include <string>

#include "stepped_time.h"

namespace gannetcourse::test {

inline const std::string kLastChunk = "0\r\n\r\n";

class StreamTest : public SteppedTest {
 protected:
  // Starts a node whose decode engine responds with `bytes`, and sends one request.
  std::shared_ptr<Peer> startStream(const std::string& bytes) {
    decodeEngine.script = [bytes](Peer& peer, const http1::Request& request) {
      if (!answerRelease(peer, request)) peer.send(bytes);
    };
    startNode();
    const std::size_t before = attemptCount(decodeEngine);
    auto peer = sendFromNewClient(chatRequest("stream"));
    EXPECT_TRUE(becomesTrueWithin(1, [&] { return attemptCount(decodeEngine) == before + 1; }));
    runUntilIdle();
    return peer;
  }
  Peer& latestDecodePeer() { return *decodeEngine.peers.back(); }
  // Sends one piece every 0.2 s until the client's connection is closed; returns the elapsed time in seconds,
  // at most about 30.
  double secondsUntilClosedWhileSending(const std::shared_ptr<Peer>& peer, const std::string& piece) {
    const Instant start = now();
    while (!peer->closed && now() - start < Duration(30)) {
      if (!latestDecodePeer().closed) latestDecodePeer().send(piece);
      becomesTrueWithin(0.2, [&] { return peer->closed; });
    }
    return (now() - start).count();
  }
  // Whether the client has received the end of the stream.
  static bool isComplete(const Peer& client) { return client.hasReceived("\r\n" + kLastChunk); }
  static std::string bodyOf(const std::string& answer) {
    std::string body;
    http1::ResponseParser parser(
        http1::Limits{}, {[](const http1::ResponseHead&) {}, [&](std::string_view bytes) { body += bytes; }});
    EXPECT_NE(parser.consume(answer), http1::ParseState::kMalformed);
    return body;
  }
};

}  // namespace gannetcourse::test
