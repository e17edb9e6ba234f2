// The data that the components of a core share: the time, the settings, the commands for the host, counters
// and timers.
#pragma once

#include <utility>
#include <vector>

#include "gannetcourse/router.h"
#include "router/execution_history.h"
#include "router/invariant_guard.h"
#include "router/request.h"
#include "router/timer_queue.h"

namespace gannetcourse::router {

/// The data that the components of one core share. Owned by the core; the components hold references to this
/// object.
struct CoreContext {
  CoreContext(const Settings& initialSettings, Options coreOptions)
      : settings(initialSettings), options(std::move(coreOptions)), guard(initialSettings) {}

  template <class SomeCommand>
  void emit(SomeCommand command) {
    commands.emplace_back(std::move(command));
  }

  /// Time left until a response must be sent to reach the client before the request's deadline; negative if
  /// it is too late.
  Duration timeUntilResponse(const Request& request) const {
    return request.deadline - now - options.responseMargin;
  }
  Instant responseDeadline(const Request& request) const { return request.deadline - options.responseMargin; }

  Settings settings;
  Options options;
  Instant now{};
  std::vector<Command> commands;  ///< Commands that the host has not taken yet.
  Counters counters;
  TimerQueue timers;
  InvariantGuard guard;
  ExecutionHistory executions;  ///< Of requests whose id the host has specified.
};

}  // namespace gannetcourse::router
