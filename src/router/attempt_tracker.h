// Tracks the calls to engines that are in flight, at most one for each request.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "gannetcourse/router.h"
#include "router/core_context.h"
#include "router/record_log.h"
#include "router/request_table.h"
#include "router/state_releaser.h"

namespace gannetcourse::router {

/// Owns the calls in flight: starts, times out, cancels and closes calls. Events of a call that has already
/// ended are ignored, because the key of the call is no longer found.
class AttemptTracker {
 public:
  AttemptTracker(CoreContext& context, RecordLog& log, RequestTable& requests, StateReleaser& releaser)
      : context_(context), log_(log), requests_(requests), releaser_(releaser) {}

  /// Starts a call for the request. The request must have no call in flight.
  void start(Request& request, const StartAttempt& attempt, CallKind kind);

  /// The call in flight with this key, or null if it has ended. Valid until the call is closed.
  Call* find(CallKey key);

  /// Cancels the call's time-out at the first token: from then on only the request's deadline limits the
  /// stream.
  void cancelTimeout(Call& call) { context_.timers.cancel(call.timeout); }
  /// Cancels a call whose time-out has fired and returns the event for the policy; absent if the call has
  /// ended.
  std::optional<AttemptEnded> onTimeout(CallKey key);

  /// Removes a call that its engine has ended and returns it. The call must be in flight.
  Call close(CallKey key, Outcome outcome);

  /// Cancels the request's call and returns the event for the policy; absent if no call is in flight. A state
  /// that the attempt may leave at its engine is released as an orphaned state.
  std::optional<AttemptEnded> cancel(Request& request, Outcome outcome, const char* reason);

 private:
  CallKey open(Request& request, const StartAttempt& attempt, CallKind kind, Duration timeout);
  void recordExecution(const Call& call);

  CoreContext& context_;
  RecordLog& log_;
  RequestTable& requests_;
  StateReleaser& releaser_;
  std::unordered_map<CallKey, Call> calls_;
  CallKey lastCall_ = 0;
};

}  // namespace gannetcourse::router
