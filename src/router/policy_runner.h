// Passes events to the policy and executes its actions, one event at a time. An event that is raised while an
// action is executed is queued until all actions of the current event have been executed.
#pragma once

#include <deque>
#include <functional>
#include <utility>

#include "gannetcourse/policy.h"
#include "router/core_context.h"

namespace gannetcourse::router {

/// Owns the policy and its queue of events.
class PolicyRunner {
 public:
  /// `execute` carries out one action; it may call feed().
  PolicyRunner(CoreContext& context, std::function<void(const Action&)> execute)
      : context_(context), execute_(std::move(execute)), policy_(context.settings) {}

  /// Processes the event and all events that are raised meanwhile, then returns. If called while an action is
  /// executed, only queues the event.
  void feed(Event event);

 private:
  CoreContext& context_;
  std::function<void(const Action&)> execute_;
  Policy policy_;
  std::deque<Event> events_;
  bool isRunning_ = false;
};

}  // namespace gannetcourse::router
