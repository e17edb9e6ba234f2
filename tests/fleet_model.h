// Many modules that know nothing of each other, and the engines that they share, in virtual time.
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
  int nodes = 30;
  double perNode = 0;         // requests a second; 0: as many as keep the engines at `load`
  double load = 0.6;          // of what warm engines can do
  double uneven = 3;          // the busiest node's traffic against the mean
  double burst = 1;           // factor on all traffic from the start of the cold ones on
  int engines = 12;           // of each role
  int cold = 3;               // of each role, started anew at once
  bool nodesRestart = false;  // nine in ten processes start anew at the same moment
  double capacity = 6;        // requests a second of a warm engine
  double slower = 1;          // factor on aims, deadlines and what work takes
  double longer = 1;          // factor on prompts and what is kept of them
  double promptSpread = 0;    // deviation of the logarithm of prompts; 0: all are alike
  int sessions = 0;           // that requests come from, again and again; 0: each comes from a new one
  bool readersQueue = false;  // a reader reads one prompt after another, as fast as its capacity says
  std::uint64_t seed = 1;
};

class Fleet {
 public:
  explicit Fleet(const FleetPlan& plan) : plan_(plan), random_(plan.seed) {
    settings_ = twoStageSettings();
    settings_.routerCount = plan.nodes;
    settings_.slowStartWindow = Duration(3);
    settings_.classes[0].ttftObjective *= plan.slower;
    for (int i = 0; i < 2 * plan.engines; ++i) {
      entries_.push_back(server(static_cast<std::uint32_t>(100 + i),
                                i % 2 == 0 ? Role::kPrefill : Role::kDecode,
                                static_cast<std::uint32_t>(i / 6)));
    }
    for (int n = 0; n < plan.nodes; ++n) {
      startNode(n);
      // From half a mean up to `uneven` times it, few of the busy ones.
      const double place = (n + 0.5) / plan.nodes;
      weights_.push_back(0.5 + (plan.uneven - 0.5) * std::pow(place, 2 * plan.uneven - 2));
    }
    double sum = 0;
    for (const double w : weights_) sum += w;
    const double all =
        plan.perNode > 0 ? plan.perNode * plan.nodes : plan.load * plan.capacity * plan.engines;
    for (int n = 0; n < plan.nodes; ++n) {
      rates_.push_back(all * weights_[static_cast<std::size_t>(n)] / sum);
      nextArrival(n);
    }
  }

  void run(double until) {
    while (!queue_.empty() && queue_.top().at <= until) {
      const Due due = queue_.top();
      queue_.pop();
      now_ = due.at;
      due.what();
    }
    now_ = until;
  }

  // The cold ones start: empty processes, told to all nodes within half a second.
  void startCold() {
    coldFrom_ = now_;
    for (int i = 0; i < 2 * plan_.cold; ++i) {
      entries_[static_cast<std::size_t>(i)].startedAt = Instant(Duration(now_));
    }
    for (int n = 0; n < plan_.nodes; ++n) {
      if (plan_.nodesRestart && n % 10 != 0) {
        startNode(n);
        continue;
      }
      const double late = std::uniform_real_distribution<double>(0, 0.5)(random_);
      after(late, [this, n] { feed(n, EngineListUpdate{EngineListUpdate::Scope::kSnapshot, entries_}); });
    }
    burst_ = plan_.burst;
  }

  // The most that any cold engine got in a window, against what the settings let it bear then: over 1 it
  // falls.
  double worst() const {
    double worst = 0;
    for (int i = 0; i < 2 * plan_.cold; ++i) {
      const auto it = sends_.find(entries_[static_cast<std::size_t>(i)].id);
      if (it == sends_.end()) continue;
      const std::deque<double>& at = it->second;
      const double window = settings_.slowStartWindow.count();
      for (std::size_t from = 0, to = 0; to < at.size(); ++to) {
        while (at[to] - at[from] > window) ++from;
        const double age = at[from] - coldFrom_;
        if (age < 0 || age > settings_.slowStartDuration.count()) continue;
        const double able = settings_.slowStartInitialCapacity + (1 - settings_.slowStartInitialCapacity) *
                                                                     age /
                                                                     settings_.slowStartDuration.count();
        const double n = settings_.slowStartOverloadFactor * able * plan_.capacity * window;
        worst = std::max(worst, static_cast<double>(to - from + 1) / (n + 2 * std::sqrt(n) + 2));
      }
    }
    return worst;
  }
  // From now on this many engines of a role say nothing to what they are sent; 0 = all speak again.
  void silence(Role role, int count) {
    silent_.clear();
    for (const EngineEntry& e : entries_) {
      if (e.role == role && count-- > 0) silent_.insert(e.id);
    }
  }
  // Requests that have their answer, in the order of their answers.
  struct Ended {
    int node = 0;
    double askedAt = 0, prompt = 0;
    std::uint64_t session = 0;
    bool served = false;
  };
  const std::vector<Ended>& ended() const { return ended_; }
  std::size_t served() const { return served_; }
  std::size_t refused() const { return refused_; }
  double slowestAnswer() const { return slowestAnswer_; }  // first token, refusal or failure
  std::size_t openFor(double seconds) const {
    return static_cast<std::size_t>(std::count_if(
        asked_.begin(), asked_.end(), [&](const auto& a) { return now_ - a.second.askedAt > seconds; }));
  }
  std::size_t sentToCold() const {
    std::size_t sum = 0;
    for (int i = 0; i < 2 * plan_.cold; ++i) {
      const auto it = sends_.find(entries_[static_cast<std::size_t>(i)].id);
      if (it == sends_.end()) continue;
      for (const double at : it->second) sum += at >= coldFrom_ && at < coldFrom_ + 20;
    }
    return sum;
  }

 private:
  struct Due {
    double at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Due& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };
  struct Node {
    std::unique_ptr<Policy> policy;
    int life = 0;
  };

  void after(double delay, std::function<void()> what) {
    queue_.push({now_ + delay, ++order_, std::move(what)});
  }

  void startNode(int n) {
    const auto at = static_cast<std::size_t>(n);
    if (nodes_.size() <= at) nodes_.resize(at + 1);
    Settings mine = settings_;
    mine.seed = plan_.seed * 1000 + at * 7 + static_cast<std::uint64_t>(nodes_[at].life) * 104729;
    nodes_[at].policy = std::make_unique<Policy>(mine);
    ++nodes_[at].life;
    feed(n, EngineListUpdate{EngineListUpdate::Scope::kSnapshot, entries_});
  }

  void nextArrival(int n) {
    const double rate = rates_[static_cast<std::size_t>(n)] * burst_;
    after(std::exponential_distribution<double>(rate)(random_), [this, n] {
      RequestArrived ask;
      ask.id.value = "q" + std::to_string(++requests_);
      ask.timeUntilDeadline = Duration(4 * plan_.slower);
      ask.sessionKey = plan_.sessions > 0 ? 1 + random_() % static_cast<unsigned>(plan_.sessions) : random_();
      ask.prefixKey = 1 + random_() % 12;
      ask.prefixTokens = kShared * plan_.longer;
      ask.promptTokens = kPrompt * plan_.longer * promptFactor();
      ask.maxOutputTokens = 100;
      asked_[ask.id.value] = {n, now_, ask.promptTokens, ask.sessionKey, false};
      feed(n, ask);
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
    Node& node = nodes_[static_cast<std::size_t>(n)];
    std::vector<Action> actions;
    node.policy->handle(Instant(Duration(now_)), event, actions);
    for (const Action& action : actions) {
      if (const auto* const send = std::get_if<StartAttempt>(&action)) carryOut(n, *send);
      if (const auto* const cancel = std::get_if<CancelAttempt>(&action))
        end(n, cancel->id, cancel->attempt, Outcome::kCancelled);
      if (const auto* const refused = std::get_if<RejectRequest>(&action)) answer(refused->id, false);
      if (const auto* const failed = std::get_if<FailRequest>(&action)) answer(failed->id, false);
      if (const auto* const timer = std::get_if<SetTimer>(&action)) {
        later(n, std::max(0.0, timer->at.time_since_epoch().count() - now_),
              [this, n, token = timer->timer] { feed(n, TimerFired{token}); });
      }
    }
  }

  // Runs after a while, unless the node has started anew by then.
  void later(int n, double delay, std::function<void()> what) {
    after(delay, [this, n, life = nodes_[static_cast<std::size_t>(n)].life, what = std::move(what)] {
      if (nodes_[static_cast<std::size_t>(n)].life == life) what();
    });
  }

  void carryOut(int n, const StartAttempt& send) {
    sends_[send.engine].push_back(now_);
    const int attempt = attempts_[send.id.value]++;
    out_[{send.id.value, attempt}] = {send.engine, now_};
    later(n, send.timeout.count(), [=, this] { end(n, send.id, attempt, Outcome::kTimeout); });
    if (silent_.count(send.engine) > 0) return;
    if (send.engine.value % 2 == 0) {
      return later(n, readTime(send), [=, this] { end(n, send.id, attempt, Outcome::kPrefilled); });
    }
    later(n, 0.05 * plan_.slower, [=, this] {
      const auto it = out_.find({send.id.value, attempt});
      if (it == out_.end()) return;
      it->second.streams = true;  // its time-out is over
      feed(n, StreamStarted{send.id, attempt, send.engine, Duration(0.05 * plan_.slower)});
    });
    later(n, plan_.slower, [=, this] { end(n, send.id, attempt, Outcome::kOk); });
  }

  double readTime(const StartAttempt& send) {
    if (!plan_.readersQueue) return 0.08 * plan_.slower;
    const auto asked = asked_.find(send.id.value);
    const double prompt = asked == asked_.end() ? 0 : asked->second.prompt;
    const double fresh = std::max(0.0, prompt - kKept * plan_.longer);
    const double usual = (kPrompt - kKept) * plan_.longer;
    double& busyUntil = busyUntil_[send.engine];
    busyUntil = std::max(busyUntil, now_) + fresh / usual / plan_.capacity;
    return busyUntil - now_;
  }

  void end(int n, const RequestId& id, int attempt, Outcome outcome) {
    const auto it = out_.find({id.value, attempt});
    if (it == out_.end() || (outcome == Outcome::kTimeout && it->second.streams)) return;
    const Out out = it->second;
    out_.erase(it);
    if (outcome == Outcome::kOk) answer(id, true);
    const Duration took(now_ - out.sentAt);
    feed(n, AttemptEnded{
                id, attempt, out.server, outcome, outcome == Outcome::kOk, kKept * plan_.longer, took, {}});
  }

  void answer(const RequestId& id, bool served) {
    const auto it = asked_.find(id.value);
    if (it == asked_.end()) return;
    ++(served ? served_ : refused_);
    const double took = now_ - it->second.askedAt - (served ? plan_.slower : 0.0);
    slowestAnswer_ = std::max(slowestAnswer_, took);
    it->second.served = served;
    ended_.push_back(it->second);
    asked_.erase(it);
  }

  struct Out {
    EngineId server;
    double sentAt = 0;
    bool streams = false;
  };
  std::map<std::pair<std::string, int>, Out> out_;
  static constexpr double kPrompt = 1000, kShared = 400, kKept = 300;  // tokens: mean, shared, found kept
  std::map<std::string, Ended> asked_;                                 // open requests
  std::vector<Ended> ended_;
  std::map<EngineId, double> busyUntil_;  // of readers that queue
  std::set<EngineId> silent_;
  std::size_t served_ = 0, refused_ = 0;
  double slowestAnswer_ = 0;

  FleetPlan plan_;
  std::mt19937_64 random_;
  Settings settings_;
  std::vector<EngineEntry> entries_;
  std::vector<Node> nodes_;
  std::vector<double> weights_, rates_;
  std::priority_queue<Due> queue_;
  std::map<EngineId, std::deque<double>> sends_;
  std::map<std::string, int> attempts_;
  std::uint64_t order_ = 0, requests_ = 0;
  double now_ = 0, burst_ = 1, coldFrom_ = 0;
};

}  // namespace gannetcourse::test
