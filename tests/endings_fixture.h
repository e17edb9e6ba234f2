// A node in stepped time with the helpers that the tests of endings share. docs/design/endings.md has the
// table that these tests belong to.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "stepped_time.h"

namespace gannetcourse::test {

// Hears what becomes of calls and does nothing.
struct IgnoringEventHandler final : engines::EngineEventHandler {
  void onPrefillEnded(router::CallKey, std::string, double, std::optional<LoadReport>) override {}
  void onToken(router::CallKey, std::uint32_t, std::string) override {}
  void onCallEnded(router::CallKey, Outcome, double, std::optional<LoadReport>, const std::string&,
                   recovery::AttemptEnd) override {}
  void onAttemptFenced(router::RequestKey, int) override {}
  void onGoAway(EngineId) override {}
  void onProbeEnded(EngineId, Outcome, Duration, std::optional<LoadReport>) override {}
  void onReservationResult(router::RequestKey, EngineId, bool) override {}
};

class EndingsTest : public SteppedTest {
 protected:
  bool obligationsEnd() {
    return happensWithin(1, [&] { return node->core().pendingObligations() == 0; });
  }
  void drain() {
    node->drain([this] { ++drained; });
    runUntilIdle();
  }
  bool shutdownEnds() {
    return happensWithin(10, [&] { return drained > 0; });
  }
  // A stream whose first event has reached its client.
  std::shared_ptr<Peer> startStream(const std::string& id) {
    decodeEngine.script = [](Peer& peer, const http1::Request& request) {
      if (!answerRelease(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
    };
    auto peer = sendFromNewClient(chatRequest(id));
    EXPECT_TRUE(happensWithin(1, [&] { return peer->hasReceived("\"a\""); }));
    return peer;
  }
  Peer& latestDecodePeer() { return *decodeEngine.peers.back(); }
  std::vector<int> budgets(const ScriptedServer& engine) const {
    std::vector<int> values;
    for (const auto& r : engine.requests) {
      if (r.method == "POST") values.push_back(std::stoi(*r.fields.find("X-Budget-Ms")));
    }
    return values;
  }

  int drained = 0;
};

}  // namespace gannetcourse::test
