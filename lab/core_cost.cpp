#include "core_cost.h"

#include <time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gannetcourse/router.h"

namespace gannetcourse::lab {
namespace {

constexpr double kRequestInterval = 0.0002;  // seconds of simulated time between two requests
constexpr double kPromptTokens = 200;
constexpr int kSessions = 997;

double threadCpu() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec);
}

std::uint64_t sessionKeyOf(int request) { return static_cast<std::uint64_t>(request % kSessions) + 1; }

EngineListUpdate makeEngineList(int prefillEngines, int decodeEngines) {
  EngineListUpdate list{EngineListUpdate::Scope::kSnapshot, {}};
  for (int i = 1; i <= prefillEngines + decodeEngines; ++i) {
    EngineEntry entry;
    entry.id = {static_cast<std::uint32_t>(i)};
    entry.role = i <= prefillEngines ? Role::kPrefill : Role::kDecode;
    entry.memoryTokens = 4e8;
    list.entries.push_back(entry);
  }
  return list;
}

class CoreRun {
 public:
  CoreRun(const Settings& settings, int tokens)
      : core_(settings, {"bench", Duration(0.06), false, {}}), tokens_(tokens) {
    auto payload = std::make_shared<router::RequestPayload>();
    payload->promptTokens = static_cast<std::uint32_t>(kPromptTokens);
    payload_ = std::move(payload);
  }

  void start(const EngineListUpdate& list) {
    core_.onEngineListUpdate(now_, list);
    core_.takeCommands();
  }

  void runRequest(int number) {
    now_ += Duration(kRequestInterval);
    core_.advance(now_);
    router::NewRequest request;
    request.key = static_cast<router::RequestKey>(number);
    request.timeUntilDeadline = Duration(30);
    request.sessionKey = sessionKeyOf(number);
    request.payload = payload_;
    core_.onRequest(now_, std::move(request));
    while (answerCommands()) {
    }
  }

 private:
  // Answers the pending commands of the core as an engine would. Returns whether any command needed an
  // answer.
  bool answerCommands() {
    bool answered = false;
    for (const router::Command& command : core_.takeCommands()) {
      if (const auto* prefill = std::get_if<router::StartPrefill>(&command)) {
        core_.onPrefillEnded(now_, prefill->call, "s", 0, {});
        answered = true;
      } else if (const auto* decode = std::get_if<router::StartDecode>(&command)) {
        for (int i = 0; i < tokens_; ++i)
          core_.onToken(now_, decode->call, static_cast<std::uint32_t>(i), "reading ");
        core_.onCallEnded(now_, decode->call, Outcome::kOk, 0, {}, {});
        answered = true;
      }
    }
    return answered;
  }

  router::Core core_;
  int tokens_;
  std::shared_ptr<const router::RequestPayload> payload_;
  Instant now_{Duration(1)};
};

class PolicyRun {
 public:
  explicit PolicyRun(const Settings& settings) : policy_(settings) {}

  void start(const EngineListUpdate& list) { policy_.handle(now_, list, actions_); }

  void runRequest(int number) {
    now_ += Duration(kRequestInterval);
    takeActions();
    fireTimers();
    RequestArrived request;
    request.id = {"bench-" + std::to_string(number)};
    request.timeUntilDeadline = Duration(29.9);
    request.sessionKey = sessionKeyOf(number);
    request.promptTokens = kPromptTokens;
    policy_.handle(now_, request, actions_);
    const auto prefill = takeActions();
    if (!prefill) return;
    policy_.handle(
        now_, AttemptEnded{request.id, 0, prefill->engine, Outcome::kPrefilled, false, 0, Duration(0), {}},
        actions_);
    const auto decode = takeActions();
    if (!decode) return;
    policy_.handle(now_, StreamStarted{request.id, 1, decode->engine, Duration(0)}, actions_);
    policy_.handle(now_, AttemptEnded{request.id, 1, decode->engine, Outcome::kOk, true, 0, Duration(0), {}},
                   actions_);
  }

 private:
  // Takes the decision module's actions: stores the timers that it sets, and returns the last attempt that it
  // starts, if any.
  std::optional<StartAttempt> takeActions() {
    std::optional<StartAttempt> started;
    for (const Action& action : actions_) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.emplace(timer->at, timer->timer);
      if (const auto* attempt = std::get_if<StartAttempt>(&action)) started = *attempt;
    }
    actions_.clear();
    return started;
  }

  void fireTimers() {
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      const TimerId timer = timers_.begin()->second;
      timers_.erase(timers_.begin());
      policy_.handle(now_, TimerFired{timer}, actions_);
      takeActions();
    }
  }

  Policy policy_;
  std::vector<Action> actions_;
  std::multimap<Instant, TimerId> timers_;
  Instant now_{Duration(1)};
};

template <class Run>
double cpuPerRequest(Run& run, const EngineListUpdate& list, int requests) {
  run.start(list);
  const double before = threadCpu();
  for (int number = 1; number <= requests; ++number) run.runRequest(number);
  return (threadCpu() - before) / requests;
}

}  // namespace

CoreCost measureCoreCost(const Settings& settings, int prefillEngines, int decodeEngines, int requests,
                         int tokens) {
  const EngineListUpdate list = makeEngineList(prefillEngines, decodeEngines);
  CoreRun core(settings, tokens);
  PolicyRun policy(settings);
  CoreCost cost;
  cost.core = cpuPerRequest(core, list, requests);
  cost.module = cpuPerRequest(policy, list, requests);
  return cost;
}

}  // namespace gannetcourse::lab
