// The context shared by all modules of the policy: settings, time, random numbers and the list of actions.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "gannetcourse/policy.h"
#include "hashing.h"
#include "request.h"

namespace gannetcourse::policy {

/// Owns the settings and the random number state; lives as long as the policy. Only Policy::Impl changes the
/// settings and the time.
class DecisionContext {
 public:
  explicit DecisionContext(Settings settings) : random_(settings.seed) { applySettings(std::move(settings)); }

  /// Replaces the settings. The sequence of random numbers continues, whatever the new seed.
  void applySettings(Settings settings) { settings_ = std::move(settings); }
  /// Starts the handling of an event: actions are appended to `actions` until the next call.
  void beginEvent(Instant now, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
  }

  const Settings& settings() const { return settings_; }
  /// Time of the event being handled.
  Instant now() const { return now_; }
  /// Settings of the request's class. Throws std::out_of_range if the settings have no such class.
  const ClassSettings& classOf(const Request& request) const {
    return settings_.classes.at(request.arrival.classIndex);
  }

  /// The priority weight of the flow's class, above 0: a class without weight is served last, but is served.
  double weightOf(const FlowKey& flow) const {
    constexpr double kLeastWeight = 1e-3;
    return std::max(kLeastWeight, settings_.classes.at(flow.classIndex).priorityWeight);
  }

  /// Appends an action; OneAction is one of the alternatives of Action.
  template <typename OneAction>
  void emit(OneAction&& action) {
    actions_->emplace_back(std::forward<OneAction>(action));
  }
  /// The next random number in [0, 1).
  double randomUnit() {
    random_ = hashCombine(random_, 1);
    return toUnitInterval(random_);
  }

 private:
  Settings settings_;
  std::uint64_t random_;
  Instant now_{};
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace gannetcourse::policy
