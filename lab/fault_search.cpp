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

constexpr std::size_t kMostFaults = 20;
constexpr RequestKey kOther = 1000;  // goes on all the time
constexpr double kTimeLeft = 9;

enum Step {
  kProgress,    // the read ends, or a token comes
  kFinish,      // the decode engine ends well
  kBreak,       // the engine, reading or writing, closes its connection
  kLinkLost,    // the node abandons the connection; the engine continues
  kTwice,       // the last token once more
  kLate,        // a token of a call that is over
  kShortWait,   // a stall that is no silence
  kLongWait,    // silence, or the lease runs out
  kAck,         // the engine answers the fence
  kClientGoes,  // the client leaves
  kLeaves,      // the engine announces its shutdown
  kGap,         // a token is missing
  kSteps
};
const char* const kNames[kSteps] = {"progress",   "finish",    "break", "link lost",   "twice",  "late",
                                    "short wait", "long wait", "ack",   "client goes", "leaves", "gap"};

Settings settingsOfWorld() {
  return config::parseSettings(
             "<gannetcourse xmlns=\"urn:gannetcourse:settings:1\"><node name=\"n\" zone=\"z\"/>"
             "<listen grpc=\"127.0.0.1:0\"/><zones><zone name=\"z\"/></zones>"
             "<classes><class name=\"query\" aim=\"1s\" token-aim=\"50ms\"/></classes>"
             "<limits max-attempts=\"8\"/><fleet file=\"none\"/></gannetcourse>",
             "explore")
      .policy;
}

// One request among engines whose truth is known.
class World {
 public:
  explicit World(const FaultSearchOptions& options)
      : core_(settingsOfWorld(), {"n", Duration(0.05), false, options.recovery}),
        lease_(options.engineLease) {
    EngineListUpdate list;
    for (std::uint32_t id = 1; id <= 6; ++id) {
      EngineEntry e;
      e.id = {id};
      e.role = id <= 2 ? Role::kPrefill : Role::kDecode;
      e.memoryTokens = 200000;
      list.entries.push_back(e);
    }
    core_.onEngineListUpdate(at(), list);
    take();
    arrive(kOther);
    for (int i = 1; i <= options.streams; ++i) arrive(static_cast<RequestKey>(i));
  }

  // False where it cannot happen to that stream now.
  bool apply(Step step, RequestKey key) {
    SimulatedRequest& request = requests_[key];
    const bool streams = request.call != 0 && request.writes && request.started;
    if (step == kProgress) return request.call != 0 && progress(key);
    if (step == kFinish) return streams && end(request, Outcome::kOk, recovery::AttemptEnd::kConfirmed);
    if (step == kBreak)
      return request.call != 0 && end(request, Outcome::kReset, recovery::AttemptEnd::kConfirmed);
    if (step == kLinkLost) return streams && end(request, Outcome::kReset, recovery::AttemptEnd::kAbandoned);
    if (step == kTwice) return streams && say(request.call, request.next - 1);
    if (step == kGap) return streams && say(request.call, request.next + 1);
    if (step == kLate)
      return request.lastCall != 0 && request.lastCall != request.call && say(request.lastCall, request.next);
    if (step == kShortWait) return pass(0.3);
    if (step == kLongWait) return pass(1.8);
    if (step == kAck) return acknowledge(request, key);
    if (step == kClientGoes) return !request.answered && !request.gone && leave(request, key);
    if (!streams) return false;
    core_.onEngineShutdownNotice(at(), request.engine, at() + Duration(0.5));
    return take();
  }

  // Lets all time pass: each request must have its answer, once, and nothing may be owed.
  void settle() {
    core_.onClientDisconnected(at(), kOther);
    take();
    pass(kTimeLeft + 5);
    for (const auto& [key, request] : requests_) {
      if (!request.answered && !request.gone && key != kOther) fault("never answered");
    }
    if (core_.pendingObligations() != 0) fault("something is still owed");
  }

  const std::string& faultText() const { return fault_; }

 private:
  struct SimulatedRequest {
    CallKey call = 0, lastCall = 0;
    bool writes = false, started = false, answered = false, gone = false;
    EngineId engine;
    int attempt = -1;
    std::uint32_t next = 0;      // token that its client should get
    std::map<int, double> runs;  // attempts whose streams run at engines, until then
    std::optional<int> fence;    // the last attempt that was asked to end
  };

  Instant at() const { return Instant(Duration(now_)); }
  void fault(const std::string& what) {
    if (fault_.empty()) fault_ = what;
  }

  void arrive(RequestKey key) {
    router::NewRequest a;
    a.key = key;
    a.timeUntilDeadline = Duration(key == kOther ? 1000 : kTimeLeft);
    auto work = std::make_shared<router::RequestPayload>();
    work->promptTokens = 300;
    work->maxOutputTokens = 10000;
    a.payload = work;
    core_.onRequest(at(), std::move(a));
    take();
    for (int step = 0; step < 2 && requests_[key].call != 0; ++step) progress(key);
  }

  bool progress(RequestKey key) {
    SimulatedRequest& request = requests_[key];
    if (!request.writes) {
      const CallKey call = request.call;
      over(request);
      core_.onPrefillEnded(at(), call, "state", 0, {});
      return take();
    }
    return say(request.call, request.next);
  }

  bool say(CallKey call, std::uint32_t index) {
    for (auto& [key, request] : requests_) {
      if (request.call != call || request.started) continue;
      request.started = true;
      request.runs[request.attempt] = 1e9;
    }
    core_.onToken(at(), call, index, std::to_string(index));
    return take();
  }

  bool end(SimulatedRequest& request, Outcome outcome, recovery::AttemptEnd ending) {
    const CallKey call = request.call;
    if (ending == recovery::AttemptEnd::kConfirmed) {
      request.runs.erase(request.attempt);
    } else if (request.started) {
      request.runs[request.attempt] = now_ + lease_;
    }
    over(request);
    core_.onCallEnded(at(), call, outcome, 0, {}, "ended", ending);
    return take();
  }

  bool acknowledge(SimulatedRequest& request, RequestKey key) {
    if (!request.fence) return false;
    const int attempt = *request.fence;
    request.fence.reset();
    std::erase_if(request.runs, [attempt](const auto& r) { return r.first <= attempt; });
    core_.onAttemptFenced(at(), key, attempt);
    return take();
  }

  bool leave(SimulatedRequest& request, RequestKey key) {
    request.gone = true;
    core_.onClientDisconnected(at(), key);
    return take();
  }

  bool pass(double seconds) {
    const double end = now_ + seconds;
    while (now_ < end) {
      now_ = std::min(end, now_ + 0.1);
      const SimulatedRequest& other = requests_[kOther];
      if (other.call != 0 && other.writes) say(other.call, other.next);
      core_.advance(at());
      take();
    }
    return true;
  }

  void over(SimulatedRequest& request) {
    request.lastCall = std::exchange(request.call, 0);
    request.started = false;
  }

  bool take() {
    for (const router::Command& command : core_.takeCommands()) {
      if (const auto* c = std::get_if<router::StartPrefill>(&command))
        start(c->request, c->call, c->engine, c->attempt, false);
      if (const auto* c = std::get_if<router::StartDecode>(&command))
        start(c->request, c->call, c->engine, c->attempt, true);
      if (const auto* c = std::get_if<router::CancelCall>(&command)) calledOff(c->call);
      if (const auto* c = std::get_if<router::SendToken>(&command)) delivered(*c);
      if (const auto* c = std::get_if<router::FenceAttempt>(&command))
        requests_[c->request].fence = c->attempt;
      if (const auto* c = std::get_if<router::FinalResponse>(&command)) answered(requests_[c->request]);
    }
    return true;
  }

  void start(RequestKey key, CallKey call, EngineId engine, int attempt, bool writes) {
    SimulatedRequest& request = requests_[key];
    if (request.call != 0) fault("two calls out");
    if (request.answered || request.gone) fault("a call after the end");
    if (attempt <= request.attempt) fault("an attempt's number does not rise");
    for (const auto& [earlier, until] : request.runs) {
      if (until > now_ + 1e-9) fault("attempt " + std::to_string(earlier) + " may still run");
    }
    request.call = call;
    request.engine = engine;
    request.attempt = attempt;
    request.writes = writes;
    request.started = false;
  }

  void calledOff(CallKey call) {
    for (auto& [key, request] : requests_) {
      if (request.call != call) continue;
      if (request.started) request.runs[request.attempt] = now_ + lease_;
      over(request);
    }
  }

  void delivered(const router::SendToken& token) {
    SimulatedRequest& request = requests_[token.request];
    if (request.answered || request.gone) fault("a token after the end");
    if (token.index != request.next || token.text != std::to_string(token.index)) fault("a wrong token");
    ++request.next;
  }

  void answered(SimulatedRequest& request) {
    if (std::exchange(request.answered, true)) fault("a second answer");
    if (request.gone) fault("an answer to a client that left");
  }

  router::Core core_;
  double lease_;
  double now_ = 1;
  std::map<RequestKey, SimulatedRequest> requests_;
  std::string fault_;
};

class Explorer {
 public:
  explicit Explorer(const FaultSearchOptions& options) : options_(options) {}

  FaultSearchResult run() {
    extend();
    return std::move(result_);
  }

 private:
  // Plays the path that stands, then every way to go on.
  void extend() {
    World world(options_);
    for (const Step step : path_) {
      ++result_.steps;
      if (!world.apply(step, 1)) return;  // cannot happen here
    }
    ++result_.paths;
    world.settle();
    if (!world.faultText().empty()) return note(world.faultText());  // and all longer ones
    if (static_cast<int>(path_.size()) == options_.depth) return;
    for (int next = 0; next < kSteps; ++next) {
      path_.push_back(static_cast<Step>(next));
      extend();
      path_.pop_back();
    }
  }

  void note(const std::string& what) {
    if (result_.violations.size() >= kMostFaults) return;
    std::string text;
    for (const Step step : path_) text += (text.empty() ? "" : ", ") + std::string(kNames[step]);
    result_.violations.push_back(text + ": " + what);
  }

  const FaultSearchOptions& options_;
  std::vector<Step> path_;
  FaultSearchResult result_;
};

// One request of several streams, drawn from the seed.
std::string liveOnce(const FaultSearchOptions& options, std::uint64_t seed, FaultSearchResult& result) {
  std::mt19937_64 random(seed);
  World world(options);
  std::string path;
  for (int i = 0; i < options.depth && world.faultText().empty(); ++i) {
    const auto step = static_cast<Step>(std::uniform_int_distribution<int>(0, kSteps - 1)(random));
    const int stream = std::uniform_int_distribution<int>(1, options.streams)(random);
    if (!world.apply(step, static_cast<RequestKey>(stream))) continue;
    ++result.steps;
    path += std::to_string(stream) + " " + kNames[step] + ", ";
  }
  world.settle();
  return world.faultText().empty() ? std::string() : path + "then: " + world.faultText();
}

}  // namespace

FaultSearchResult searchRandomly(const FaultSearchOptions& options, std::uint64_t from, std::uint64_t count) {
  FaultSearchResult result;
  for (std::uint64_t seed = from; seed < from + count; ++seed) {
    const std::string fault = liveOnce(options, seed, result);
    ++result.paths;
    if (!fault.empty() && result.violations.size() < kMostFaults)
      result.violations.push_back("seed " + std::to_string(seed) + ": " + fault);
  }
  return result;
}

FaultSearchResult searchAllOrders(const FaultSearchOptions& options) { return Explorer(options).run(); }

}  // namespace gannetcourse::lab
