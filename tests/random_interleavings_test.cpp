// Nodes under seeded interleavings of faults: clients that disconnect, engines that fail in every way,
// drains, watches that break, and a shutdown, in stepped time. The rules are checked after each step; a
// failure names its seed.
#include <random>

#include "rule_audit.h"
#include "stepped_time.h"

namespace gannetcourse::platform {
namespace {

using namespace test;

constexpr double kPlayedSeconds = 12;        // seconds of clients, engines and discovery
constexpr double kListPropagationLimit = 6;  // a change must be known this long after discovery has it

class RandomInterleavings : public SteppedTest, public ::testing::WithParamInterface<unsigned> {
 protected:
  RandomInterleavings()
      : secondPrefillEngine(loop, [this](Peer& p, const http1::Request& r) { servePrefill(p, r, 2); }),
        secondDecodeEngine(loop, [this](Peer& p, const http1::Request& r) { serveDecode(p, r, 3); }),
        random_(GetParam()) {
    prefillEngine.script = [this](Peer& p, const http1::Request& r) { servePrefill(p, r, 0); };
    decodeEngine.script = [this](Peer& p, const http1::Request& r) { serveDecode(p, r, 1); };
    discovery.script = [this](Peer& p, const http1::Request&) { beginWatch(p); };
  }
  ~RandomInterleavings() override { node.reset(); }

  double clock() const { return now().time_since_epoch().count(); }
  bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
  double between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  std::size_t oneOf(std::size_t count) { return random_() % count; }
  void later(double seconds, std::function<void()> task) {
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
    double drainKnownAt = 1e18;  // when the node must know that it is draining
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
  void beginWatch(Peer& peer) {
    if (silent_) return;
    openWatches_.push_back(shared(discovery, peer));
    peer.send(kStreamHead +
              chunkOf(engineListJson(index_, true, entries()).dump(chance(0.3) ? 2 : -1) + "\n"));
    markDrainsKnown();
  }
  void markDrainsKnown() {
    for (EngineState& s : states_) {
      if (s.draining) s.drainKnownAt = std::min(s.drainKnownAt, clock());
    }
  }
  void changeEngine() {
    const std::size_t i = oneOf(states_.size());
    EngineState& state = states_[i];
    state.draining = !state.draining;
    state.drainKnownAt = state.draining ? clock() + kListPropagationLimit : 1e18;
    ++index_;
    for (const auto& peer : openWatches_) {
      if (peer->closed) continue;
      peer->send(chunkOf(engineListJson(index_, false, {entryOf(i)}).dump() + "\n"));
      if (state.draining) state.drainKnownAt = std::min(state.drainKnownAt, clock());
    }
  }
  void injectWatchFault() {
    const std::size_t kind = oneOf(3);
    if (kind == 0) {
      silent_ = true;
      later(between(0.2, 2), [this] { silent_ = false; });
    }
    for (const auto& peer : std::exchange(openWatches_, {})) {  // none of them delivers anything more
      if (!peer->closed && kind == 1) {
        peer->connection.abort();
        peer->closed = true;
      }
      if (!peer->closed && kind == 2) peer->send(chunkOf("{\"index\": "));  // half an object
    }
  }
  void emptyLines() {
    for (const auto& peer : openWatches_) {
      if (!peer->closed) peer->send(chunkOf("\n"));
    }
    later(2, [this] { emptyLines(); });
  }

  // ---- Engines ----
  std::shared_ptr<Peer> shared(ScriptedServer& engine, const Peer& peer) {
    for (const auto& p : engine.peers) {
      if (p.get() == &peer) return p;
    }
    return nullptr;
  }
  ScriptedServer& engineAt(std::size_t i) {
    ScriptedServer* const all[] = {&prefillEngine, &decodeEngine, &secondPrefillEngine, &secondDecodeEngine};
    return *all[i];
  }
  // An attempt that an engine serves, until either side ends it.
  struct ServedAttempt {
    std::string id;
    std::shared_ptr<Peer> peer;
    bool over = false, stateStays = true;
  };
  bool handleRelease(Peer& peer, const http1::Request& request) {
    if (!answerRelease(peer, request)) return false;
    audit.onRelease(request.target.substr(request.target.rfind('/') + 1));
    return true;
  }
  std::shared_ptr<ServedAttempt> onAttempt(Peer& peer, const http1::Request& request, std::size_t engine) {
    auto attempt = std::make_shared<ServedAttempt>();
    attempt->id = *request.fields.find("X-Call-Id");
    attempt->peer = shared(engineAt(engine), peer);
    // The node may have closed an earlier one just now: the bytes in the kernel decide, whichever event comes
    // first.
    for (const auto& earlier : servedAttempts_) {
      if (earlier->id == attempt->id && !earlier->over && !earlier->peer->closed)
        earlier->peer->connection.readNow();
    }
    noticeCancelledAttempts();
    audit.onAttemptReceived(attempt->id, engine % 2 == 1, states_[engine].drainKnownAt, clock());
    servedAttempts_.push_back(attempt);
    return attempt;
  }
  void endAttempt(ServedAttempt& attempt, bool stateStays) {
    if (std::exchange(attempt.over, true)) return;
    audit.onAttemptEnded(attempt.id, stateStays, clock());
  }
  bool alive(const ServedAttempt& attempt) const { return !attempt.over && !attempt.peer->closed; }
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
    if (handleRelease(peer, request)) return;
    const auto attempt = onAttempt(peer, request, engine);
    later(chance(0.5) ? 0 : between(0, 0.3), [this, attempt, kind = oneOf(30)] {
      if (!alive(*attempt)) return;
      if (kind < 26) {
        endAttempt(*attempt, false);
        audit.onStateCreated(attempt->id, clock());
        attempt->peer->send("HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n{\"cached_tokens\":40}");
      } else if (kind == 26) {
        rejectAttempt(*attempt, 503);
      } else if (kind == 27) {
        endAttempt(*attempt, false);
        attempt->peer->send("HTTP/1.1 500 Internal\r\n" +
                            std::string(chance(0.5) ? "" : "Content-Length: 0\r\n") + "\r\n");
      } else if (kind == 28) {
        endAttempt(*attempt, false);
        breakConnection(*attempt, chance(0.5));
      }  // else the engine stays silent
    });
  }

  void serveDecode(Peer& peer, const http1::Request& request, std::size_t engine) {
    if (handleRelease(peer, request)) return;
    const auto attempt = onAttempt(peer, request, engine);
    const std::size_t kind = chance(0.7) ? 4 + oneOf(4) : oneOf(14);
    if (kind != 8 && kind != 9) audit.onPossibleExecution(attempt->id, clock());
    later(chance(0.5) ? 0 : between(0, 0.4), [this, attempt, kind] {
      if (!alive(*attempt)) return;
      if (kind < 8) {
        attempt->peer->send(kStreamHead);
        return sendEvents(attempt, 2 + static_cast<int>(oneOf(6)), kind);
      }
      if (kind == 8) return rejectAttempt(*attempt, 503);
      if (kind == 9) return rejectAttempt(*attempt, 410);
      if (kind == 10) attempt->peer->send("HTTP/1.1 500 Internal\r\nContent-Length: 0\r\n\r\n");
      if (kind == 11) attempt->peer->send("noise\r\n\r\n");
      if (kind == 12) breakConnection(*attempt, chance(0.5));
      if (kind < 13) endAttempt(*attempt, true);
    });
  }
  void sendEvents(const std::shared_ptr<ServedAttempt>& attempt, int left, std::size_t kind) {
    if (!alive(*attempt)) return;
    if (left > 0) {
      audit.onEventSent(attempt->id, clock());
      attempt->peer->send(chunkOf(eventOf("t" + std::to_string(left))));
      return later(between(0, 0.4), [=, this] { sendEvents(attempt, left - 1, kind); });
    }
    endAttempt(*attempt, false);
    if (kind == 0) return breakConnection(*attempt, chance(0.5));
    if (kind == 1) return attempt->peer->send(chunkOf("data: half"));
    attempt->peer->send(chunkOf(kDone) + "0\r\n\r\n");
    if (kind == 2) breakConnection(*attempt, true);  // right behind its end
    if (kind == 3)
      later(0.01, [attempt] {  // a second response
        if (!attempt->peer->closed)
          attempt->peer->send(kStreamHead + chunkOf(eventOf("stray")) + "0\r\n\r\n");
      });
  }
  // Attempts whose connection the node has closed.
  void noticeCancelledAttempts() {
    for (const auto& attempt : servedAttempts_) {
      if (!attempt->over && attempt->peer->closed) endAttempt(*attempt, true);
    }
    std::erase_if(servedAttempts_, [](const auto& attempt) { return attempt->over; });
  }

  // ---- Clients ----
  struct ClientRequest {
    std::string id;
    std::shared_ptr<Peer> peer;
    double disconnectsAt = 1e18, deadline = 0;
    bool over = false;
  };
  void sendRequest() {
    static const std::pair<const char*, Idempotency> kClasses[] = {{"chat", Idempotency::kIdempotent},
                                                                   {"pay", Idempotency::kAtMostOnce},
                                                                   {"note", Idempotency::kIdempotencyKey}};
    const auto& [name, effect] = kClasses[oneOf(3)];
    ClientRequest request;
    request.id = "q" + std::to_string(++requestCount_);
    const int budget = 200 + static_cast<int>(oneOf(2500));
    request.deadline = clock() + budget / 1000.0;
    audit.onRequest(request.id, effect, request.deadline);
    request.peer = client();
    if (chance(0.25)) request.disconnectsAt = clock() + between(0, 1);
    request.peer->send(PlatformTest::chatRequest(request.id, "", name, std::to_string(budget)));
    clientRequests_.push_back(std::move(request));
  }
  void checkClients() {
    for (ClientRequest& a : clientRequests_) {
      if (a.over) continue;
      if (clock() >= a.disconnectsAt) {
        const bool reset = !chance(0.5);
        a.peer->disconnect(reset);
        audit.onClientDisconnected(a.id, clock());
        a.over = true;
        continue;
      }
      const std::string& got = a.peer->received;
      if (audit.history(a.id).respondedAt < 0 && a.peer->hasReceived("\r\n\r\n"))
        audit.onFinalResponse(a.id, std::stoi(got.substr(9, 3)), clock());
      // A connection that the node rejects while it shuts down counts as a response: the client tries
      // elsewhere.
      if (audit.history(a.id).respondedAt < 0 && a.peer->closed) audit.onFinalResponse(a.id, 0, clock());
      std::size_t events = 0;
      for (std::size_t at = 0; (at = got.find("{\"content\":\"t", at)) != std::string::npos; ++at) ++events;
      audit.onEventsReceived(a.id, events, clock());
      a.over = a.peer->closed || a.peer->hasReceived("\r\n0\r\n\r\n") || audit.history(a.id).status >= 400;
      EXPECT_EQ(got.find("stray"), std::string::npos) << a.id;
    }
    std::erase_if(clientRequests_, [&](const ClientRequest& a) {
      const bool over = a.over && clock() > a.deadline + 1;  // anything else would have come by now
      if (over && a.peer->received.find("HTTP/1.1 ", 1) != std::string::npos)
        ADD_FAILURE() << a.id << " twice";
      return over;
    });
  }

  void step() {
    advance(kTick.count());
    noticeCancelledAttempts();
    checkClients();
    audit.check(clock());
  }

  ScriptedServer secondPrefillEngine, secondDecodeEngine;
  RuleAudit audit{RuleLimits{}};
  std::vector<ClientRequest> clientRequests_;

 private:
  std::mt19937_64 random_;
  std::array<EngineState, 4> states_;
  std::uint64_t index_ = 7;
  bool silent_ = false;
  std::vector<std::shared_ptr<Peer>> openWatches_;  // streams that deliver changes
  int requestCount_ = 0;
  std::vector<std::shared_ptr<ServedAttempt>> servedAttempts_;
};

TEST_P(RandomInterleavings, KeepTheRulesAfterEachStep) {
  startNodeWithAllClasses();
  emptyLines();
  const double endAt = clock() + kPlayedSeconds;
  bool done = false;
  while (clock() < endAt && audit.violations().empty()) {
    if (chance(0.15)) sendRequest();
    if (chance(0.003)) changeEngine();
    if (chance(0.002)) injectWatchFault();
    step();
  }
  node->drain([&] { done = true; });
  const double drainedBy = clock() + 30;
  while (!done && clock() < drainedBy && audit.violations().empty()) {
    if (chance(0.02)) sendRequest();
    step();
  }
  for (const std::string& violation : audit.violations())
    ADD_FAILURE() << "seed " << GetParam() << ": " << violation;
  EXPECT_TRUE(done) << "seed " << GetParam() << ": " << node->statisticsLine();
  EXPECT_EQ(node->core().pendingObligations(), 0U);
  EXPECT_EQ(node->engineClient().openCallCount(), 0U);
  EXPECT_EQ(node->engineClient().auxiliaryCalls(), 0U);
  EXPECT_GT(node->core().counters().served, 5U);  // the run has served something
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomInterleavings, ::testing::Range(1U, 25U));

}  // namespace
}  // namespace gannetcourse::platform
