#include "router/attempt_tracker.h"

#include <algorithm>
#include <utility>

#include "router/record_text.h"

namespace gannetcourse::router {

CallKey AttemptTracker::open(Request& request, const StartAttempt& attempt, CallKind kind, Duration timeout) {
  const CallKey key = ++lastCall_;
  const TimerQueue::Handle timer =
      context_.timers.schedule(context_.now + timeout, Timer{TimerKind::kCallTimeout, key, {}});
  calls_.emplace(key, Call{&request, request.nextAttempt, attempt.engine, kind, context_.now, timer});
  request.callInFlight = key;
  ++request.attemptCount;
  ++request.nextAttempt;
  ++context_.counters.attempts;
  context_.guard.onAttemptStarted(context_.now, request.key, attempt.engine, kind);
  return key;
}

void AttemptTracker::start(Request& request, const StartAttempt& attempt, CallKind kind) {
  const Duration remaining = context_.timeUntilResponse(request);
  const bool hasTimeout = attempt.timeout.count() > 0;
  const Duration timeout = hasTimeout ? std::min(attempt.timeout, remaining) : remaining;
  const int number = request.nextAttempt;
  const CallKey key = open(request, attempt, kind, timeout);
  if (kind == CallKind::kPrefill) {
    context_.emit(StartPrefill{key, request.key, request.id, number, attempt.engine, remaining, timeout,
                               request.payload});
    if (log_.isEnabled())
      log_.attempt(request, RecordKind::kPrefillStarted, attempt.engine, number,
                   describePrefillExpectation(attempt));
    return;
  }
  if (request.reservedEngine != attempt.engine) releaser_.releaseReservation(request);
  context_.emit(StartDecode{key, request.key, request.id, number, attempt.engine, request.stateEngine,
                            request.stateEngine ? request.stateHandle : "", remaining, timeout,
                            request.payload});
  if (log_.isEnabled())
    log_.attempt(request, RecordKind::kDecodeStarted, attempt.engine, number,
                 describeDecodeExpectation(attempt));
}

Call* AttemptTracker::find(CallKey key) {
  const auto it = calls_.find(key);
  return it == calls_.end() ? nullptr : &it->second;
}

std::optional<AttemptEnded> AttemptTracker::onTimeout(CallKey key) {
  Call* const call = find(key);
  if (call == nullptr) return std::nullopt;
  call->timeout.reset();
  return cancel(*call->request, Outcome::kTimeout, "timed out");
}

Call AttemptTracker::close(CallKey key, Outcome outcome) {
  Call call = calls_.extract(key).mapped();
  context_.guard.onAttemptEnded(context_.now, call.request->key, outcome);
  if (mayHaveExecuted(call.kind, outcome)) recordExecution(call);
  context_.timers.cancel(call.timeout);
  call.request->callInFlight = 0;
  requests_.touch(*call.request);
  return call;
}

void AttemptTracker::recordExecution(const Call& call) {
  const NewRequest& arrival = call.request->arrival;
  const bool isIdempotent =
      context_.settings.classes.at(arrival.classIndex).idempotency == Idempotency::kIdempotent;
  if (!isIdempotent && !arrival.id.empty())
    context_.executions.record(context_.now, arrival.id, call.startedAt);
}

std::optional<AttemptEnded> AttemptTracker::cancel(Request& request, Outcome outcome, const char* reason) {
  const CallKey key = request.callInFlight;
  if (key == 0) return std::nullopt;
  context_.emit(CancelCall{key});
  const Call call = close(key, outcome);
  log_.attempt(request, RecordKind::kCallCancelled, call.engine, call.attempt, reason);
  // The engine may already have completed the prefill or received the decode call: its response may be in
  // flight.
  if (call.kind == CallKind::kPrefill) {
    releaser_.orphanedStates().addPrefill(context_.now, {request.id, call.attempt, call.engine});
  } else if (request.stateEngine) {
    releaser_.orphanedStates().addDecode(context_.now, {request.id, call.attempt, call.engine});
  }
  return attemptEndedEvent(call, outcome, context_.now);
}

}  // namespace gannetcourse::router
