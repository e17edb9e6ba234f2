// The machine stands still in the middle of an iteration of the loop: what is still to leave in it was
// decided before, so it looks once more at what has come meanwhile. In stepped time.
#include "stepped_time.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

class StalledLoopTest : public SteppedTest {
 protected:
  // Two requests whose reads end in one iteration; `meanwhile` happens while the write of the first one is
  // sent.
  void readsEndTogether(const std::function<void()>& meanwhile) {
    Json json = configurationJson();
    node = std::make_unique<Node>(
        loop, configurationOf(json), [](const std::string&, const std::string&, const std::string&) {},
        [this](const router::Record& record) {
          if (record.kind == router::RecordKind::kDecodeStarted && then && first.empty()) {
            first = record.request;
            then();
          }
        });
    openConnections();
    prefillEngine.script = [this](Peer& peer, const http1::Request& request) {
      if (!answerRelease(peer, request)) reading.push_back(&peer);
    };
    for (const char* const id : {"one", "two"}) {
      clients.push_back(std::make_unique<RawSocket>());
      ASSERT_TRUE(clients.back()->connect(node->port()));
      clients.back()->send(chatRequest(id));
      advance(0.1);
    }
    ASSERT_TRUE(happensWithin(1, [&] { return reading.size() == 2; }));
    then = meanwhile;
    for (Peer* const peer : reading)
      peer->send("HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":40}");
    runUntilIdle();
    ASSERT_FALSE(first.empty());
  }
  // Two to the decode engine, which are then idle: what is sent to it later leaves at once.
  void openConnections() {
    std::vector<Peer*> writing;
    decodeEngine.script = [&](Peer& peer, const http1::Request& request) {
      if (!answerRelease(peer, request)) writing.push_back(&peer);
    };
    const auto one = sendFromNewClient(chatRequest("warm-one")),
               two = sendFromNewClient(chatRequest("warm-two"));
    ASSERT_TRUE(happensWithin(1, [&] { return writing.size() == 2; }));
    for (Peer* const peer : writing) peer->send(completeStream());
    advance(0.2);
    decodeEngine.script = [](Peer& peer, const http1::Request& request) { answerDecode(peer, request); };
    decodeEngine.requests.clear();
  }
  RawSocket& otherClient() { return *clients[first == "one" ? 1 : 0]; }
  bool otherWasSent() const {
    for (const auto& request : decodeEngine.requests) {
      const std::string* const id = request.fields.find("X-Call-Id");
      if (id != nullptr && *id != first) return true;
    }
    return false;
  }

  std::vector<Peer*> reading;
  std::vector<std::unique_ptr<RawSocket>> clients;
  std::string first;  // whose write is sent first
  std::function<void()> then;
};

TEST_F(StalledLoopTest, NothingIsSentForAClientThatDisconnectedMeanwhile) {
  readsEndTogether([this] {
    otherClient().reset();
    deliverSentBytes();
    stall(0.5);
  });
  advance(1);
  EXPECT_FALSE(otherWasSent());
  EXPECT_GE(releaseCount(first == "one" ? "two" : "one"), 1U);
}

TEST_F(StalledLoopTest, WhatIsStillWantedIsSentWithTheNextIteration) {
  readsEndTogether([this] { stall(0.5); });
  advance(0.05);
  EXPECT_TRUE(otherWasSent());
  EXPECT_TRUE(happensWithin(1, [&] { return node->core().pendingObligations() == 0; }));
  EXPECT_EQ(node->core().counters().served, 4U) << "the two that opened the connections as well";
}

TEST_F(StalledLoopTest, NothingIsSentToAnEngineWhoseDrainHasComeMeanwhile) {
  readsEndTogether([this] {
    openWatch()->send(chunkOf(
        engineListJson(9, false, {engineJson("w1", "decode", decodeEngine.address(), "draining")}).dump() +
        "\n"));
    deliverSentBytes();
    stall(0.5);
  });
  advance(1);
  EXPECT_FALSE(otherWasSent());
}

}  // namespace
}  // namespace gannetcourse::platform
