// Runs nodes under seeded random interleavings of faults, in simulated time: clients that disconnect, engines
// that fail in different ways, drains, watches that break, and a shutdown. The rules are checked after each
// step; a failure names its seed.
#include <random>

#include "rule_audit.h"
#include "stepped_time.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

constexpr double kRunSeconds = 12;           // simulated seconds with faults, before the drain
constexpr double kListPropagationLimit = 6;  // seconds after which the node must know a change

class RandomInterleavings : public SteppedTest, public ::testing::WithParamInterface<unsigned> {
 protected:
  RandomInterleavings()
      : secondPrefillEngine(loop, [this](Peer& p, const http1::Request& r) { servePrefill(p, r, 2); }),
        secondDecodeEngine(loop, [this](Peer& p, const http1::Request& r) { serveDecode(p, r, 3); }),
        random_(GetParam()) {
    prefillEngine.script = [this](Peer& p, const http1::Request& r) { servePrefill(p, r, 0); };
    decodeEngine.script = [this](Peer& p, const http1::Request& r) { serveDecode(p, r, 1); };
    discovery.script = [this](Peer& p, const http1::Request&) { answerWatch(p); };
  }
  ~RandomInterleavings() override { node.reset(); }

  double nowSeconds() const { return now().time_since_epoch().count(); }
  bool withProbability(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  std::size_t randomIndex(std::size_t count) { return random_() % count; }
  void runLater(double seconds, std::function<void()> task) {
    loop.runAfter(Duration(seconds), std::move(task));
  }

  void startNodeWithAllClasses() {
    startNode([&](Json& json) {
      Json& settings = json["settings"];
      settings["classes"].push_back({{"aimS", 0.8},
                                     {"idempotency", "deduplicated"},
                                     {"dedupWindowS", 0.6},
                                     {"group", "all"},
                                     {"name", "note"}});
      json["known"] = engineListJson(7, true, entries());
    });
  }

  // ---- Discovery ----
  struct EngineState {
    bool draining = false;
    double drainKnownAt = 1e18;  // time by which the node must know of the drain; 1e18: not draining
  };
  Json entryOf(std::size_t i) {
    static const char* const kNames[] = {"r1", "w1", "r2", "w2"};
    const std::string addresses[] = {prefillEngine.address(), decodeEngine.address(),
                                     secondPrefillEngine.address(), secondDecodeEngine.address()};
    return engineJson(kNames[i], i % 2 == 0 ? "prefill" : "decode", addresses[i],
                      states_[i].draining ? "draining" : "up");
  }
  std::vector<Json> entries() {
    std::vector<Json> all;
    for (std::size_t i = 0; i < states_.size(); ++i) all.push_back(entryOf(i));
    return all;
  }
  void answerWatch(Peer& peer) {
    if (silent_) return;
    openWatches_.push_back(sharedPeer(discovery, peer));
    peer.send(kStreamHead +
              chunkOf(engineListJson(index_, true, entries()).dump(withProbability(0.3) ? 2 : -1) + "\n"));
    markDrainsKnown();
  }
  void markDrainsKnown() {
    for (EngineState& s : states_) {
      if (s.draining) s.drainKnownAt = std::min(s.drainKnownAt, nowSeconds());
    }
  }
  void changeEngine() {
    const std::size_t i = randomIndex(states_.size());
    EngineState& state = states_[i];
    state.draining = !state.draining;
    state.drainKnownAt = state.draining ? nowSeconds() + kListPropagationLimit : 1e18;
    ++index_;
    for (const auto& peer : openWatches_) {
      if (peer->closed) continue;
      peer->send(chunkOf(engineListJson(index_, false, {entryOf(i)}).dump() + "\n"));
      if (state.draining) state.drainKnownAt = std::min(state.drainKnownAt, nowSeconds());
    }
  }
  void injectWatchFault() {
    const std::size_t behavior = randomIndex(3);
    if (behavior == 0) {
      silent_ = true;
      runLater(uniform(0.2, 2), [this] { silent_ = false; });
    }
    for (const auto& peer : std::exchange(openWatches_, {})) {  // none of them delivers further changes
      if (!peer->closed && behavior == 1) {
        peer->connection.abort();
        peer->closed = true;
      }
      if (!peer->closed && behavior == 2) peer->send(chunkOf("{\"index\": "));  // a partial object
    }
  }
  void sendEmptyLinesPeriodically() {
    for (const auto& peer : openWatches_) {
      if (!peer->closed) peer->send(chunkOf("\n"));
    }
    runLater(2, [this] { sendEmptyLinesPeriodically(); });
  }

  // ---- Engines ----
  std::shared_ptr<Peer> sharedPeer(ScriptedServer& engine, const Peer& peer) {
    for (const auto& p : engine.peers) {
      if (p.get() == &peer) return p;
    }
    return nullptr;
  }
  ScriptedServer& engineAt(std::size_t i) {
    ScriptedServer* const all[] = {&prefillEngine, &decodeEngine, &secondPrefillEngine, &secondDecodeEngine};
    return *all[i];
  }
  // An attempt at an engine, until either side ends it.
  struct ServedAttempt {
    std::string id;
    std::shared_ptr<Peer> peer;
    bool ended = false, stateStays = true;
  };
  bool recordRelease(Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) return false;
    audit.onRelease(request.target.substr(request.target.rfind('/') + 1));
    return true;
  }
  std::shared_ptr<ServedAttempt> onAttempt(Peer& peer, const http1::Request& request, std::size_t engine) {
    auto attempt = std::make_shared<ServedAttempt>();
    attempt->id = *request.fields.find("X-Call-Id");
    attempt->peer = sharedPeer(engineAt(engine), peer);
    // The node may just have closed an earlier attempt. Reads from the kernel to notice that, because the
    // event for the new attempt may be handled before the one for the close.
    for (const auto& earlier : servedAttempts_) {
      if (earlier->id == attempt->id && !earlier->ended && !earlier->peer->closed)
        earlier->peer->connection.readNow();
    }
    noticeCancelledAttempts();
    audit.onAttemptReceived(attempt->id, engine % 2 == 1, states_[engine].drainKnownAt, nowSeconds());
    servedAttempts_.push_back(attempt);
    return attempt;
  }
  void endAttempt(ServedAttempt& attempt, bool stateStays) {
    if (std::exchange(attempt.ended, true)) return;
    audit.onAttemptEnded(attempt.id, stateStays, nowSeconds());
  }
  bool isOpen(const ServedAttempt& attempt) const { return !attempt.ended && !attempt.peer->closed; }
  void breakConnection(ServedAttempt& attempt, bool reset) {
    attempt.peer->disconnect(reset);
    attempt.peer->closed = true;
  }
  void rejectAttempt(ServedAttempt& attempt, int status) {
    endAttempt(attempt, status != 410);
    attempt.peer->send("HTTP/1.1 " + std::to_string(status) +
                       " No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n");
  }

  void servePrefill(Peer& peer, const http1::Request& request, std::size_t engine) {
    if (recordRelease(peer, request)) return;
    const auto attempt = onAttempt(peer, request, engine);
    const double delay = withProbability(0.5) ? 0 : uniform(0, 0.3);
    const std::size_t behavior = randomIndex(30);
    runLater(delay, [this, attempt, behavior] {
      if (!isOpen(*attempt)) return;
      if (behavior < 26) {
        endAttempt(*attempt, false);
        audit.onStateCreated(attempt->id, nowSeconds());
        attempt->peer->send("HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":40}");
      } else if (behavior == 26) {
        rejectAttempt(*attempt, 503);
      } else if (behavior == 27) {
        endAttempt(*attempt, false);
        attempt->peer->send("HTTP/1.1 500 Internal\r\n" +
                            std::string(withProbability(0.5) ? "" : "Content-Length: 0\r\n") + "\r\n");
      } else if (behavior == 28) {
        endAttempt(*attempt, false);
        breakConnection(*attempt, withProbability(0.5));
      }  // else the engine stays silent
    });
  }

  void serveDecode(Peer& peer, const http1::Request& request, std::size_t engine) {
    if (recordRelease(peer, request)) return;
    const auto attempt = onAttempt(peer, request, engine);
    const std::size_t behavior = withProbability(0.7) ? 4 + randomIndex(4) : randomIndex(14);
    if (behavior != 8 && behavior != 9) audit.onPossibleExecution(attempt->id, nowSeconds());
    runLater(withProbability(0.5) ? 0 : uniform(0, 0.4), [this, attempt, behavior] {
      if (!isOpen(*attempt)) return;
      if (behavior < 8) {
        attempt->peer->send(kStreamHead);
        return sendEvents(attempt, 2 + static_cast<int>(randomIndex(6)), behavior);
      }
      if (behavior == 8) return rejectAttempt(*attempt, 503);
      if (behavior == 9) return rejectAttempt(*attempt, 410);
      if (behavior == 10) attempt->peer->send("HTTP/1.1 500 Internal\r\nContent-Length: 0\r\n\r\n");
      if (behavior == 11) attempt->peer->send("noise\r\n\r\n");
      if (behavior == 12) breakConnection(*attempt, withProbability(0.5));
      if (behavior < 13) endAttempt(*attempt, true);
    });
  }
  void sendEvents(const std::shared_ptr<ServedAttempt>& attempt, int left, std::size_t behavior) {
    if (!isOpen(*attempt)) return;
    if (left > 0) {
      audit.onEventSent(attempt->id, nowSeconds());
      attempt->peer->send(chunkOf(eventOf("t" + std::to_string(left))));
      return runLater(uniform(0, 0.4), [=, this] { sendEvents(attempt, left - 1, behavior); });
    }
    endAttempt(*attempt, false);
    if (behavior == 0) return breakConnection(*attempt, withProbability(0.5));
    if (behavior == 1) return attempt->peer->send(chunkOf("data: half"));
    attempt->peer->send(chunkOf(kDone) + "0\r\n\r\n");
    if (behavior == 2) breakConnection(*attempt, true);  // reset directly after the last chunk
    if (behavior == 3)
      runLater(0.01, [attempt] {  // a second response on the same connection
        if (!attempt->peer->closed)
          attempt->peer->send(kStreamHead + chunkOf(eventOf("stray")) + "0\r\n\r\n");
      });
  }
  // Attempts whose connection the node has closed.
  void noticeCancelledAttempts() {
    for (const auto& attempt : servedAttempts_) {
      if (!attempt->ended && attempt->peer->closed) endAttempt(*attempt, true);
    }
    std::erase_if(servedAttempts_, [](const auto& attempt) { return attempt->ended; });
  }

  // ---- Clients ----
  struct ClientRequest {
    std::string id;
    std::shared_ptr<Peer> peer;
    double disconnectsAt = 1e18, deadline = 0;
    bool ended = false;
  };
  void sendRequest() {
    static const std::pair<const char*, Idempotency> kClasses[] = {{"chat", Idempotency::kIdempotent},
                                                                   {"pay", Idempotency::kAtMostOnce},
                                                                   {"note", Idempotency::kIdempotencyKey}};
    const auto& [name, idempotency] = kClasses[randomIndex(3)];
    ClientRequest request;
    request.id = "q" + std::to_string(++requestCount_);
    const int budget = 200 + static_cast<int>(randomIndex(2500));
    request.deadline = nowSeconds() + budget / 1000.0;
    audit.onRequest(request.id, idempotency, request.deadline);
    request.peer = client();
    if (withProbability(0.25)) request.disconnectsAt = nowSeconds() + uniform(0, 1);
    request.peer->send(PlatformTest::chatRequest(request.id, "", name, std::to_string(budget)));
    clientRequests_.push_back(std::move(request));
  }
  void checkClients() {
    for (ClientRequest& request : clientRequests_) {
      if (request.ended) continue;
      if (nowSeconds() >= request.disconnectsAt) {
        const bool reset = !withProbability(0.5);
        request.peer->disconnect(reset);
        audit.onClientDisconnected(request.id, nowSeconds());
        request.ended = true;
        continue;
      }
      const std::string& received = request.peer->received;
      if (audit.history(request.id).respondedAt < 0 && request.peer->hasReceived("\r\n\r\n"))
        audit.onFinalResponse(request.id, std::stoi(received.substr(9, 3)), nowSeconds());
      // A connection that the node closes during its shutdown counts as a response: the client can try
      // another node.
      if (audit.history(request.id).respondedAt < 0 && request.peer->closed)
        audit.onFinalResponse(request.id, 0, nowSeconds());
      std::size_t events = 0;
      for (std::size_t at = 0; (at = received.find("{\"content\":\"t", at)) != std::string::npos; ++at)
        ++events;
      audit.onEventsReceived(request.id, events, nowSeconds());
      request.ended = request.peer->closed || request.peer->hasReceived("\r\n0\r\n\r\n") ||
                      audit.history(request.id).status >= 400;
      EXPECT_EQ(received.find("stray"), std::string::npos) << request.id;
    }
    std::erase_if(clientRequests_, [&](const ClientRequest& request) {
      const bool ended = request.ended && nowSeconds() > request.deadline + 1;  // no more bytes are expected
      if (ended && request.peer->received.find("HTTP/1.1 ", 1) != std::string::npos)
        ADD_FAILURE() << request.id << ": received two responses";
      return ended;
    });
  }

  void step() {
    advance(kTick.count());
    noticeCancelledAttempts();
    checkClients();
    audit.check(nowSeconds());
  }

  ScriptedServer secondPrefillEngine, secondDecodeEngine;
  RuleAudit audit{RuleLimits{}};
  std::vector<ClientRequest> clientRequests_;

 private:
  std::mt19937_64 random_;
  std::array<EngineState, 4> states_;
  std::uint64_t index_ = 7;
  bool silent_ = false;
  std::vector<std::shared_ptr<Peer>> openWatches_;  // watches that deliver changes
  int requestCount_ = 0;
  std::vector<std::shared_ptr<ServedAttempt>> servedAttempts_;
};

TEST_P(RandomInterleavings, FollowRulesAfterEachStep) {
  startNodeWithAllClasses();
  sendEmptyLinesPeriodically();
  const double endAt = nowSeconds() + kRunSeconds;
  bool done = false;
  while (nowSeconds() < endAt && audit.violations().empty()) {
    if (withProbability(0.15)) sendRequest();
    if (withProbability(0.003)) changeEngine();
    if (withProbability(0.002)) injectWatchFault();
    step();
  }
  node->drain([&] { done = true; });
  const double drainedBy = nowSeconds() + 30;
  while (!done && nowSeconds() < drainedBy && audit.violations().empty()) {
    if (withProbability(0.02)) sendRequest();
    step();
  }
  for (const std::string& violation : audit.violations())
    ADD_FAILURE() << "seed " << GetParam() << ": " << violation;
  EXPECT_TRUE(done) << "seed " << GetParam() << ": " << node->statisticsLine();
  EXPECT_EQ(node->core().pendingObligations(), 0U);
  EXPECT_EQ(node->engineClient().openCallCount(), 0U);
  EXPECT_EQ(node->engineClient().auxiliaryCalls(), 0U);
  EXPECT_GT(node->core().counters().served, 5U);  // the run must have served requests
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomInterleavings, ::testing::Range(1U, 25U));

}  // namespace
}  // namespace gannetcourse::platform
