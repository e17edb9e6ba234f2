// Many policies that know nothing of each other, and the engines that they share, in virtual time.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "harness.h"

namespace gannetcourse::test {

struct FleetPlan {
  int routers = 30;
  double requestsPerRouter = 0;      // requests a second; 0: as many as put the engines at `load`
  double load = 0.6;                 // share of what warm engines can do
  double imbalance = 3;              // the busiest router's traffic against the mean
  double burst = 1;                  // factor on all traffic from the restart on
  int engines = 12;                  // of each role
  int restarted = 3;                 // engines of each role that restart at once
  bool routersRestart = false;       // nine in ten routers restart at the same moment
  double capacity = 6;               // requests a second of a warm engine
  double timeScale = 1;              // factor on objectives, deadlines and what work takes
  double promptScale = 1;            // factor on prompts and what is cached of them
  double promptSpread = 0;           // deviation of the logarithm of prompts; 0: all are alike
  int sessions = 0;                  // that requests belong to; 0: each belongs to a new one
  bool prefillEnginesQueue = false;  // a prefill engine does one prompt after another, at its capacity
  std::uint64_t seed = 1;
};

class Fleet {
 public:
  explicit Fleet(const FleetPlan& plan) : plan_(plan), random_(plan.seed) {
    settings_ = twoStageSettings();
    settings_.routerCount = plan.routers;
    settings_.slowStartWindow = Duration(3);
    settings_.classes[0].ttftObjective *= plan.timeScale;
    for (int i = 0; i < 2 * plan.engines; ++i) {
      entries_.push_back(engineEntry(static_cast<std::uint32_t>(100 + i),
                                     i % 2 == 0 ? Role::kPrefill : Role::kDecode,
                                     static_cast<std::uint32_t>(i / 6)));
    }
    for (int n = 0; n < plan.routers; ++n) {
      startRouter(n);
      // From half the mean up to `imbalance` times it; few are busy.
      const double place = (n + 0.5) / plan.routers;
      weights_.push_back(0.5 + (plan.imbalance - 0.5) * std::pow(place, 2 * plan.imbalance - 2));
    }
    double sum = 0;
    for (const double w : weights_) sum += w;
    const double all = plan.requestsPerRouter > 0 ? plan.requestsPerRouter * plan.routers
                                                  : plan.load * plan.capacity * plan.engines;
    for (int n = 0; n < plan.routers; ++n) {
      rates_.push_back(all * weights_[static_cast<std::size_t>(n)] / sum);
      nextArrival(n);
    }
  }

  void run(double until) {
    while (!queue_.empty() && queue_.top().at <= until) {
      const Timer timer = queue_.top();
      queue_.pop();
      now_ = timer.at;
      timer.callback();
    }
    now_ = until;
  }

  // Some engines restart; all routers hear of it within half a second.
  void restartEngines() {
    restartedAt_ = now_;
    for (int i = 0; i < 2 * plan_.restarted; ++i) {
      entries_[static_cast<std::size_t>(i)].startedAt = Instant(Duration(now_));
    }
    for (int n = 0; n < plan_.routers; ++n) {
      if (plan_.routersRestart && n % 10 != 0) {
        startRouter(n);
        continue;
      }
      const double delay = std::uniform_real_distribution<double>(0, 0.5)(random_);
      after(delay, [this, n] { feed(n, EngineListUpdate{EngineListUpdate::Scope::kSnapshot, entries_}); });
    }
    burst_ = plan_.burst;
  }

  // The most that any restarted engine got in a window, against what it bears by the settings: over 1 it
  // fails.
  double worstOverload() const {
    double worstOverload = 0;
    for (int i = 0; i < 2 * plan_.restarted; ++i) {
      const auto it = starts_.find(entries_[static_cast<std::size_t>(i)].id);
      if (it == starts_.end()) continue;
      const std::deque<double>& at = it->second;
      const double window = settings_.slowStartWindow.count();
      for (std::size_t from = 0, to = 0; to < at.size(); ++to) {
        while (at[to] - at[from] > window) ++from;
        const double age = at[from] - restartedAt_;
        if (age < 0 || age > settings_.slowStartDuration.count()) continue;
        const double capacity =
            settings_.slowStartInitialCapacity +
            (1 - settings_.slowStartInitialCapacity) * age / settings_.slowStartDuration.count();
        const double n = settings_.slowStartOverloadFactor * capacity * plan_.capacity * window;
        worstOverload =
            std::max(worstOverload, static_cast<double>(to - from + 1) / (n + 2 * std::sqrt(n) + 2));
      }
    }
    return worstOverload;
  }
  // From now on this many engines of a role answer nothing; 0 = all answer again.
  void silenceEngines(Role role, int count) {
    silent_.clear();
    for (const EngineEntry& e : entries_) {
      if (e.role == role && count-- > 0) silent_.insert(e.id);
    }
  }
  // Requests with their final response, in the order of the responses.
  struct Ended {
    int router = 0;
    double arrivedAt = 0, prompt = 0;
    std::uint64_t session = 0;
    bool served = false;
  };
  const std::vector<Ended>& ended() const { return ended_; }
  std::size_t served() const { return served_; }
  std::size_t rejected() const { return rejected_; }
  double slowestResponse() const { return slowestResponse_; }  // first token, rejection or failure
  std::size_t openFor(double seconds) const {
    return static_cast<std::size_t>(std::count_if(
        open_.begin(), open_.end(), [&](const auto& a) { return now_ - a.second.arrivedAt > seconds; }));
  }
  std::size_t attemptsAtRestarted() const {
    std::size_t sum = 0;
    for (int i = 0; i < 2 * plan_.restarted; ++i) {
      const auto it = starts_.find(entries_[static_cast<std::size_t>(i)].id);
      if (it == starts_.end()) continue;
      for (const double at : it->second) sum += at >= restartedAt_ && at < restartedAt_ + 20;
    }
    return sum;
  }

 private:
  struct Timer {
    double at;
    std::uint64_t order;
    std::function<void()> callback;
    bool operator<(const Timer& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };
  struct Router {
    std::unique_ptr<Policy> policy;
    int incarnation = 0;
  };

  void after(double delay, std::function<void()> callback) {
    queue_.push({now_ + delay, ++order_, std::move(callback)});
  }

  void startRouter(int n) {
    const auto at = static_cast<std::size_t>(n);
    if (routers_.size() <= at) routers_.resize(at + 1);
    Settings mine = settings_;
    mine.seed = plan_.seed * 1000 + at * 7 + static_cast<std::uint64_t>(routers_[at].incarnation) * 104729;
    routers_[at].policy = std::make_unique<Policy>(mine);
    ++routers_[at].incarnation;
    feed(n, EngineListUpdate{EngineListUpdate::Scope::kSnapshot, entries_});
  }

  void nextArrival(int n) {
    const double rate = rates_[static_cast<std::size_t>(n)] * burst_;
    after(std::exponential_distribution<double>(rate)(random_), [this, n] {
      RequestArrived arrival;
      arrival.id.value = "q" + std::to_string(++requests_);
      arrival.timeUntilDeadline = Duration(4 * plan_.timeScale);
      arrival.sessionKey =
          plan_.sessions > 0 ? 1 + random_() % static_cast<unsigned>(plan_.sessions) : random_();
      arrival.prefixKey = 1 + random_() % 12;
      arrival.prefixTokens = kSharedPrefix * plan_.promptScale;
      arrival.promptTokens = kPrompt * plan_.promptScale * promptFactor();
      arrival.maxOutputTokens = 100;
      open_[arrival.id.value] = {n, now_, arrival.promptTokens, arrival.sessionKey, false};
      feed(n, arrival);
      nextArrival(n);
    });
  }

  // Log-normal with a mean of 1.
  double promptFactor() {
    if (plan_.promptSpread <= 0) return 1;
    return std::lognormal_distribution<double>(-plan_.promptSpread * plan_.promptSpread / 2,
                                               plan_.promptSpread)(random_);
  }

  void feed(int n, const Event& event) {
    Router& router = routers_[static_cast<std::size_t>(n)];
    std::vector<Action> actions;
    router.policy->handle(Instant(Duration(now_)), event, actions);
    for (const Action& action : actions) {
      if (const auto* const start = std::get_if<StartAttempt>(&action)) startAttempt(n, *start);
      if (const auto* const cancel = std::get_if<CancelAttempt>(&action))
        end(n, cancel->id, cancel->attempt, Outcome::kCancelled);
      if (const auto* const rejected = std::get_if<RejectRequest>(&action)) respond(rejected->id, false);
      if (const auto* const failed = std::get_if<FailRequest>(&action)) respond(failed->id, false);
      if (const auto* const timer = std::get_if<SetTimer>(&action)) {
        later(n, std::max(0.0, timer->at.time_since_epoch().count() - now_),
              [this, n, token = timer->timer] { feed(n, TimerFired{token}); });
      }
    }
  }

  // Runs after a while, unless the router has restarted by then.
  void later(int n, double delay, std::function<void()> callback) {
    after(delay, [this, n, incarnation = routers_[static_cast<std::size_t>(n)].incarnation,
                  callback = std::move(callback)] {
      if (routers_[static_cast<std::size_t>(n)].incarnation == incarnation) callback();
    });
  }

  void startAttempt(int n, const StartAttempt& start) {
    starts_[start.engine].push_back(now_);
    const int attempt = attempts_[start.id.value]++;
    inFlight_[{start.id.value, attempt}] = {start.engine, now_};
    later(n, start.timeout.count(), [=, this] { end(n, start.id, attempt, Outcome::kTimeout); });
    if (silent_.count(start.engine) > 0) return;
    if (start.engine.value % 2 == 0) {
      return later(n, prefillTime(start), [=, this] { end(n, start.id, attempt, Outcome::kPrefilled); });
    }
    later(n, 0.05 * plan_.timeScale, [=, this] {
      const auto it = inFlight_.find({start.id.value, attempt});
      if (it == inFlight_.end()) return;
      it->second.streams = true;  // its timeout no longer applies
      feed(n, StreamStarted{start.id, attempt, start.engine, Duration(0.05 * plan_.timeScale)});
    });
    later(n, plan_.timeScale, [=, this] { end(n, start.id, attempt, Outcome::kOk); });
  }

  double prefillTime(const StartAttempt& start) {
    if (!plan_.prefillEnginesQueue) return 0.08 * plan_.timeScale;
    const auto opened = open_.find(start.id.value);
    const double prompt = opened == open_.end() ? 0 : opened->second.prompt;
    const double fresh = std::max(0.0, prompt - kCached * plan_.promptScale);
    const double typical = (kPrompt - kCached) * plan_.promptScale;
    double& busyUntil = busyUntil_[start.engine];
    busyUntil = std::max(busyUntil, now_) + fresh / typical / plan_.capacity;
    return busyUntil - now_;
  }

  void end(int n, const RequestId& id, int attempt, Outcome outcome) {
    const auto it = inFlight_.find({id.value, attempt});
    if (it == inFlight_.end() || (outcome == Outcome::kTimeout && it->second.streams)) return;
    const Attempt ended = it->second;
    inFlight_.erase(it);
    if (outcome == Outcome::kOk) respond(id, true);
    const Duration took(now_ - ended.startedAt);
    feed(n, AttemptEnded{id,
                         attempt,
                         ended.engine,
                         outcome,
                         outcome == Outcome::kOk,
                         kCached * plan_.promptScale,
                         took,
                         {}});
  }

  void respond(const RequestId& id, bool served) {
    const auto it = open_.find(id.value);
    if (it == open_.end()) return;
    ++(served ? served_ : rejected_);
    const double took = now_ - it->second.arrivedAt - (served ? plan_.timeScale : 0.0);
    slowestResponse_ = std::max(slowestResponse_, took);
    it->second.served = served;
    ended_.push_back(it->second);
    open_.erase(it);
  }

  struct Attempt {
    EngineId engine;
    double startedAt = 0;
    bool streams = false;
  };
  std::map<std::pair<std::string, int>, Attempt> inFlight_;
  static constexpr double kPrompt = 1000, kSharedPrefix = 400,
                          kCached = 300;  // tokens: mean, shared, found cached
  std::map<std::string, Ended> open_;
  std::vector<Ended> ended_;
  std::map<EngineId, double> busyUntil_;  // of prefill engines that queue
  std::set<EngineId> silent_;
  std::size_t served_ = 0, rejected_ = 0;
  double slowestResponse_ = 0;

  FleetPlan plan_;
  std::mt19937_64 random_;
  Settings settings_;
  std::vector<EngineEntry> entries_;
  std::vector<Router> routers_;
  std::vector<double> weights_, rates_;
  std::priority_queue<Timer> queue_;
  std::map<EngineId, std::deque<double>> starts_;
  std::map<std::string, int> attempts_;
  std::uint64_t order_ = 0, requests_ = 0;
  double now_ = 0, burst_ = 1, restartedAt_ = 0;
};

}  // namespace gannetcourse::test
