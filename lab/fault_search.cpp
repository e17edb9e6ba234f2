#include "fault_search.h"

#include <map>
#include <optional>
#include <random>
#include <utility>

#include "config/settings.h"
#include "gannetcourse/router.h"

namespace gannetcourse::lab {
namespace {

using router::CallKey;
using router::RequestKey;

constexpr std::size_t kMaxViolations = 20;
constexpr RequestKey kBackgroundRequest = 1000;  // its stream makes progress all the time
constexpr double kRequestTimeout = 9;            // seconds

enum Event {
  kProgress,             // the prefill completes, or the next token arrives
  kFinish,               // the decode engine completes the stream
  kConnectionClosed,     // the engine closes the connection of the prefill or decode call
  kConnectionAbandoned,  // the node abandons the connection; the engine continues
  kDuplicateToken,       // the last token arrives again
  kStaleToken,           // a token of an earlier call arrives
  kShortStall,           // a pause below the silence limit
  kLongStall,            // a pause above the silence limit; the lease may expire
  kFenceAcknowledged,    // the engine acknowledges the fence
  kClientDisconnects,    // the client disconnects
  kShutdownNotice,       // the engine announces its shutdown
  kTokenGap,             // a token is missing
  kEventCount
};
// `gannetcourse-lab explore` prints these names in its sequences of events. The names stay as they are.
const char* const kEventNames[kEventCount] = {"progress", "finish",      "break",      "link lost",
                                              "twice",    "late",        "short wait", "long wait",
                                              "ack",      "client goes", "leaves",     "gap"};

Settings simulationSettings() {
  return config::parseSettings(
             "<gannetcourse xmlns=\"urn:gannetcourse:settings:1\"><node name=\"n\" zone=\"z\"/>"
             "<listen grpc=\"127.0.0.1:0\"/><zones><zone name=\"z\"/></zones>"
             "<classes><class name=\"query\" aim=\"1s\" token-aim=\"50ms\"/></classes>"
             "<limits max-attempts=\"8\"/><fleet file=\"none\"/></gannetcourse>",
             "explore")
      .policy;
}

// The core with simulated engines and clients. Tracks which attempts may still run at the engines.
class Simulation {
 public:
  explicit Simulation(const FaultSearchOptions& options)
      : core_(simulationSettings(), {"n", Duration(0.05), false, options.recovery}),
        lease_(options.engineLease) {
    EngineListUpdate list;
    for (std::uint32_t id = 1; id <= 6; ++id) {
      EngineEntry e;
      e.id = {id};
      e.role = id <= 2 ? Role::kPrefill : Role::kDecode;
      e.memoryTokens = 200000;
      list.entries.push_back(e);
    }
    core_.onEngineListUpdate(currentTime(), list);
    processCommands();
    submitRequest(kBackgroundRequest);
    for (int i = 1; i <= options.streams; ++i) submitRequest(static_cast<RequestKey>(i));
  }

  // Applies the event to the stream. False if the event is impossible in the stream's current state.
  bool apply(Event event, RequestKey key) {
    SimulatedRequest& request = requests_[key];
    const bool streaming = request.call != 0 && request.isDecode && request.started;
    if (event == kProgress) return request.call != 0 && completeNextStep(key);
    if (event == kFinish)
      return streaming && endCall(request, Outcome::kOk, recovery::AttemptEnd::kConfirmed);
    if (event == kConnectionClosed)
      return request.call != 0 && endCall(request, Outcome::kReset, recovery::AttemptEnd::kConfirmed);
    if (event == kConnectionAbandoned)
      return streaming && endCall(request, Outcome::kReset, recovery::AttemptEnd::kAbandoned);
    if (event == kDuplicateToken) return streaming && sendToken(request.call, request.nextIndex - 1);
    if (event == kTokenGap) return streaming && sendToken(request.call, request.nextIndex + 1);
    if (event == kStaleToken)
      return request.lastCall != 0 && request.lastCall != request.call &&
             sendToken(request.lastCall, request.nextIndex);
    if (event == kShortStall) return advanceTime(0.3);
    if (event == kLongStall) return advanceTime(1.8);
    if (event == kFenceAcknowledged) return acknowledgeFence(request, key);
    if (event == kClientDisconnects)
      return !request.answered && !request.disconnected && disconnectClient(request, key);
    if (!streaming) return false;
    core_.onEngineShutdownNotice(currentTime(), request.engine, currentTime() + Duration(0.5));
    return processCommands();
  }

  // Advances the time past all deadlines: each request must then have had exactly one final response, and the
  // core may have no pending obligations.
  void finishAndCheck() {
    core_.onClientDisconnected(currentTime(), kBackgroundRequest);
    processCommands();
    advanceTime(kRequestTimeout + 5);
    for (const auto& [key, request] : requests_) {
      if (!request.answered && !request.disconnected && key != kBackgroundRequest)
        recordViolation("no final response");
    }
    if (core_.pendingObligations() != 0) recordViolation("the core still has pending obligations");
  }

  const std::string& violation() const { return violation_; }

 private:
  struct SimulatedRequest {
    CallKey call = 0, lastCall = 0;
    bool isDecode = false, started = false, answered = false, disconnected = false;
    EngineId engine;
    int attempt = -1;
    std::uint32_t nextIndex = 0;         // index of the next token that its client should receive
    std::map<int, double> runningUntil;  // attempt -> until when its stream may run at an engine
    std::optional<int> fence;            // the last attempt that an unacknowledged fence covers
  };

  Instant currentTime() const { return Instant(Duration(now_)); }
  void recordViolation(const std::string& text) {
    if (violation_.empty()) violation_ = text;
  }

  void submitRequest(RequestKey key) {
    router::NewRequest newRequest;
    newRequest.key = key;
    newRequest.timeUntilDeadline = Duration(key == kBackgroundRequest ? 1000 : kRequestTimeout);
    auto payload = std::make_shared<router::RequestPayload>();
    payload->promptTokens = 300;
    payload->maxOutputTokens = 10000;
    newRequest.payload = payload;
    core_.onRequest(currentTime(), std::move(newRequest));
    processCommands();
    for (int i = 0; i < 2 && requests_[key].call != 0; ++i) completeNextStep(key);
  }

  bool completeNextStep(RequestKey key) {
    SimulatedRequest& request = requests_[key];
    if (!request.isDecode) {
      const CallKey call = request.call;
      closeCall(request);
      core_.onPrefillEnded(currentTime(), call, "state", 0, {});
      return processCommands();
    }
    return sendToken(request.call, request.nextIndex);
  }

  bool sendToken(CallKey call, std::uint32_t index) {
    for (auto& [key, request] : requests_) {
      if (request.call != call || request.started) continue;
      request.started = true;
      request.runningUntil[request.attempt] = 1e9;
    }
    core_.onToken(currentTime(), call, index, std::to_string(index));
    return processCommands();
  }

  bool endCall(SimulatedRequest& request, Outcome outcome, recovery::AttemptEnd attemptEnd) {
    const CallKey call = request.call;
    if (attemptEnd == recovery::AttemptEnd::kConfirmed) {
      request.runningUntil.erase(request.attempt);
    } else if (request.started) {
      request.runningUntil[request.attempt] = now_ + lease_;
    }
    closeCall(request);
    core_.onCallEnded(currentTime(), call, outcome, 0, {}, "ended", attemptEnd);
    return processCommands();
  }

  bool acknowledgeFence(SimulatedRequest& request, RequestKey key) {
    if (!request.fence) return false;
    const int attempt = *request.fence;
    request.fence.reset();
    std::erase_if(request.runningUntil, [attempt](const auto& r) { return r.first <= attempt; });
    core_.onAttemptFenced(currentTime(), key, attempt);
    return processCommands();
  }

  bool disconnectClient(SimulatedRequest& request, RequestKey key) {
    request.disconnected = true;
    core_.onClientDisconnected(currentTime(), key);
    return processCommands();
  }

  bool advanceTime(double seconds) {
    const double end = now_ + seconds;
    while (now_ < end) {
      now_ = std::min(end, now_ + 0.1);
      const SimulatedRequest& other = requests_[kBackgroundRequest];
      if (other.call != 0 && other.isDecode) sendToken(other.call, other.nextIndex);
      core_.advance(currentTime());
      processCommands();
    }
    return true;
  }

  void closeCall(SimulatedRequest& request) {
    request.lastCall = std::exchange(request.call, 0);
    request.started = false;
  }

  bool processCommands() {
    for (const router::Command& command : core_.takeCommands()) {
      if (const auto* c = std::get_if<router::StartPrefill>(&command))
        start(c->request, c->call, c->engine, c->attempt, false);
      if (const auto* c = std::get_if<router::StartDecode>(&command))
        start(c->request, c->call, c->engine, c->attempt, true);
      if (const auto* c = std::get_if<router::CancelCall>(&command)) onCallCancelled(c->call);
      if (const auto* c = std::get_if<router::SendToken>(&command)) onTokenDelivered(*c);
      if (const auto* c = std::get_if<router::FenceAttempt>(&command))
        requests_[c->request].fence = c->attempt;
      if (const auto* c = std::get_if<router::FinalResponse>(&command))
        onFinalResponse(requests_[c->request]);
    }
    return true;
  }

  void start(RequestKey key, CallKey call, EngineId engine, int attempt, bool isDecode) {
    SimulatedRequest& request = requests_[key];
    if (request.call != 0) recordViolation("two calls are open at the same time");
    if (request.answered || request.disconnected)
      recordViolation("a call was started after the request ended");
    if (attempt <= request.attempt) recordViolation("an attempt number is not above the previous one");
    for (const auto& [earlier, until] : request.runningUntil) {
      if (until > now_ + 1e-9) recordViolation("attempt " + std::to_string(earlier) + " may still run");
    }
    request.call = call;
    request.engine = engine;
    request.attempt = attempt;
    request.isDecode = isDecode;
    request.started = false;
  }

  void onCallCancelled(CallKey call) {
    for (auto& [key, request] : requests_) {
      if (request.call != call) continue;
      if (request.started) request.runningUntil[request.attempt] = now_ + lease_;
      closeCall(request);
    }
  }

  void onTokenDelivered(const router::SendToken& token) {
    SimulatedRequest& request = requests_[token.request];
    if (request.answered || request.disconnected) recordViolation("a token was sent after the request ended");
    if (token.index != request.nextIndex || token.text != std::to_string(token.index))
      recordViolation("a token with a wrong index or text was sent");
    ++request.nextIndex;
  }

  void onFinalResponse(SimulatedRequest& request) {
    if (std::exchange(request.answered, true)) recordViolation("a second final response was sent");
    if (request.disconnected) recordViolation("a final response was sent to a client that had disconnected");
  }

  router::Core core_;
  double lease_;
  double now_ = 1;
  std::map<RequestKey, SimulatedRequest> requests_;
  std::string violation_;
};

class ExhaustiveSearch {
 public:
  explicit ExhaustiveSearch(const FaultSearchOptions& options) : options_(options) {}

  FaultSearchResult run() {
    searchFrom();
    return std::move(result_);
  }

 private:
  // Runs the current path, then recursively every path that is longer by one event.
  void searchFrom() {
    Simulation simulation(options_);
    for (const Event event : path_) {
      ++result_.steps;
      if (!simulation.apply(event, 1)) return;  // impossible in this state
    }
    ++result_.paths;
    simulation.finishAndCheck();
    if (!simulation.violation().empty())
      return recordViolation(simulation.violation());  // longer paths are skipped
    if (static_cast<int>(path_.size()) == options_.depth) return;
    for (int event = 0; event < kEventCount; ++event) {
      path_.push_back(static_cast<Event>(event));
      searchFrom();
      path_.pop_back();
    }
  }

  void recordViolation(const std::string& text) {
    if (result_.violations.size() >= kMaxViolations) return;
    std::string events;
    for (const Event event : path_) events += (events.empty() ? "" : ", ") + std::string(kEventNames[event]);
    result_.violations.push_back(events + ": " + text);
  }

  const FaultSearchOptions& options_;
  std::vector<Event> path_;
  FaultSearchResult result_;
};

// Runs one random order of events, given by the seed, over several streams. Returns the events and the
// violation, or an empty text.
std::string runRandomOrder(const FaultSearchOptions& options, std::uint64_t seed, FaultSearchResult& result) {
  std::mt19937_64 random(seed);
  Simulation simulation(options);
  std::string path;
  for (int i = 0; i < options.depth && simulation.violation().empty(); ++i) {
    const auto event = static_cast<Event>(std::uniform_int_distribution<int>(0, kEventCount - 1)(random));
    const int stream = std::uniform_int_distribution<int>(1, options.streams)(random);
    if (!simulation.apply(event, static_cast<RequestKey>(stream))) continue;
    ++result.steps;
    path += std::to_string(stream) + " " + kEventNames[event] + ", ";
  }
  simulation.finishAndCheck();
  return simulation.violation().empty() ? std::string() : path + "then: " + simulation.violation();
}

}  // namespace

FaultSearchResult searchRandomly(const FaultSearchOptions& options, std::uint64_t firstSeed,
                                 std::uint64_t count) {
  FaultSearchResult result;
  for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
    const std::string violation = runRandomOrder(options, seed, result);
    ++result.paths;
    if (!violation.empty() && result.violations.size() < kMaxViolations)
      result.violations.push_back("seed " + std::to_string(seed) + ": " + violation);
  }
  return result;
}

FaultSearchResult searchAllOrders(const FaultSearchOptions& options) {
  return ExhaustiveSearch(options).run();
}

}  // namespace gannetcourse::lab
