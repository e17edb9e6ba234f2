// The calls to engines that are in flight, at most one for each request.
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

/// Starts, times out, cancels and closes calls. What a call says after its end finds no call here and is
/// ignored.
class AttemptTracker {
 public:
  AttemptTracker(CoreContext& context, RecordLog& log, RequestTable& requests, StateReleaser& releaser)
      : context_(context), log_(log), requests_(requests), releaser_(releaser) {}

  /// Starts a call for the request, which must have none in flight.
  void start(Request& request, const StartAttempt& attempt, CallKind kind);

  /// Null where the call is over; valid until the call is closed.
  Call* find(CallKey key);

  /// The client waits for nothing but the stream's own deadline any more.
  void stopTimeout(Call& call) { context_.timers.cancel(call.timeout); }
  /// The call's time-out has fired: cancels it. Absent where the call is over.
  std::optional<AttemptEnded> onTimeout(CallKey key);

  /// The engine has ended the call, which must be in flight.
  Call close(CallKey key, Outcome outcome);

  /// Ends the request's call from this side and returns the event for the policy; absent where none is in
  /// flight. What it may leave at its engine is released as an orphaned state.
  std::optional<AttemptEnded> cancel(Request& request, Outcome outcome, const char* reason);

 private:
  CallKey open(Request& request, const StartAttempt& attempt, CallKind kind, Duration timeout);

  CoreContext& context_;
  RecordLog& log_;
  RequestTable& requests_;
  StateReleaser& releaser_;
  std::unordered_map<CallKey, Call> calls_;
  CallKey lastCall_ = 0;
};

}  // namespace gannetcourse::router
