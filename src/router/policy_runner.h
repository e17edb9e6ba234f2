// Feeds events to the policy and has its actions executed, one event after the other: what an action brings
// about is fed once the actions of the event before are done.
#pragma once

#include <deque>
#include <functional>
#include <utility>

#include "gannetcourse/policy.h"
#include "router/core_context.h"

namespace gannetcourse::router {

/// Owns the policy.
class PolicyRunner {
 public:
  /// `execute` may call feed().
  PolicyRunner(CoreContext& context, std::function<void(const Action&)> execute)
      : context_(context), execute_(std::move(execute)), policy_(context.settings) {}

  /// Returns once nothing is left to do, unless it is called while an action is executed: then the event
  /// waits.
  void feed(Event event);

 private:
  CoreContext& context_;
  std::function<void(const Action&)> execute_;
  Policy policy_;
  std::deque<Event> events_;
  bool isRunning_ = false;
};

}  // namespace gannetcourse::router
