// Test fixture for the ways in which clients, engines and nodes end, in simulated time.
// docs/design/endings.md has the table of these cases.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "stepped_time.h"

namespace gannetcourse::test {

// Ignores all events of the engine client.
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
  bool obligationsComplete() {
    return becomesTrueWithin(1, [&] { return node->core().pendingObligations() == 0; });
  }
  void drain() {
    node->drain([this] { ++drained; });
    runUntilIdle();
  }
  bool shutdownCompletes() {
    return becomesTrueWithin(10, [&] { return drained > 0; });
  }
  // Starts a stream and waits until its client has received the first event.
  std::shared_ptr<Peer> startStream(const std::string& id) {
    decodeEngine.script = [](Peer& peer, const http1::Request& request) {
      if (!answerRelease(peer, request)) peer.send(kStreamHead + chunkOf(eventOf("a")));
    };
    auto peer = sendFromNewClient(chatRequest(id));
    EXPECT_TRUE(becomesTrueWithin(1, [&] { return peer->hasReceived("\"a\""); }));
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

  int drained = 0;  // number of times that the node reported the end of its drain
};

}  // namespace gannetcourse::test
