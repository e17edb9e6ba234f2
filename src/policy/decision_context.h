// What every module of the policy may use: the settings, the time, random numbers and the list of actions.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "gannetcourse/policy.h"
#include "hashing.h"
#include "request.h"

namespace gannetcourse::policy {

/// Lives as long as the policy. Only the event dispatcher changes settings and time.
class DecisionContext {
 public:
  explicit DecisionContext(Settings settings) : random_(settings.seed) { applySettings(std::move(settings)); }

  /// Takes over new settings; the random numbers go on.
  void applySettings(Settings settings) {
    settings_ = std::move(settings);
    shortestObjective_ = Duration(1e9);
    for (const ClassSettings& c : settings_.classes) {
      if (c.inService) shortestObjective_ = std::min(shortestObjective_, c.ttftObjective);
    }
  }
  /// Actions are appended to `actions` until the next call.
  void beginEvent(Instant now, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
  }

  /// The settings in service.
  const Settings& settings() const { return settings_; }
  /// Time of the event at hand.
  Instant now() const { return now_; }
  /// The shortest time to first token objective of all classes in service.
  Duration shortestObjective() const { return shortestObjective_; }
  /// Settings of the request's class. Throws std::out_of_range for a class that the settings do not have.
  const ClassSettings& classOf(const Request& request) const {
    return settings_.classes.at(request.arrival.classIndex);
  }

  /// `action`: one of the types of Action.
  template <typename OneAction>
  void emit(OneAction&& action) {
    actions_->emplace_back(std::forward<OneAction>(action));
  }
  /// The next random number of [0, 1).
  double randomUnit() {
    random_ = hashCombine(random_, 1);
    return toUnitInterval(random_);
  }

 private:
  Settings settings_;
  std::uint64_t random_;
  Instant now_{};
  Duration shortestObjective_{1e9};
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace gannetcourse::policy
