#include "router/policy_actions.h"

#include <optional>

namespace gannetcourse::router {

Request* PolicyActions::findOpen(const RequestId& id) {
  Request* const request = parts_.requests.findByPolicyId(id);
  return request == nullptr || request->isCompleted ? nullptr : request;
}

bool PolicyActions::canStart(const Request& request) const {
  const CoreContext& context = parts_.context;
  return !request.isCompleted && request.attemptCount < context.settings.maxAttempts &&
         context.now < request.deadline;
}

void PolicyActions::operator()(const StartAttempt& action) {
  Request* const request = parts_.requests.findByPolicyId(action.id);
  if (request == nullptr) return block(action, nullptr);
  CoreContext& context = parts_.context;
  const std::optional<Violation> violation =
      context.guard.checkAttempt(context.now, request->key, action.engine);
  parts_.log.violation(*request, violation, action.engine, nextPolicyAttempt(*request));
  const std::optional<Role> role = parts_.roles.roleOf(action.engine);
  if (violation || !role || !canStart(*request)) return block(action, request);
  const CallKind kind = *role == Role::kPrefill ? CallKind::kPrefill : CallKind::kDecode;
  if (kind == CallKind::kPrefill && request->continuations == 0)
    parts_.continuation.onPrefillStarted(request->payload->promptTokens);
  parts_.attempts.start(*request, action, kind);
}

// Reports the attempt to the policy as not sent. `request` is null where the action names none that is open.
void PolicyActions::block(const StartAttempt& action, const Request* request) {
  ++parts_.context.counters.actionsBlocked;
  AttemptEnded ended;
  ended.id = action.id;
  ended.attempt = request == nullptr ? 0 : nextPolicyAttempt(*request);
  ended.engine = action.engine;
  ended.outcome = Outcome::kNotSent;
  ended.requestFinished = request == nullptr || request->isCompleted;
  parts_.policy.feed(ended);
}

void PolicyActions::operator()(const Reserve& action) {
  Request* const request = findOpen(action.id);
  if (request == nullptr) return;
  parts_.releaser.releaseReservation(*request);
  request->reservedEngine = action.engine;
  parts_.context.emit(ReserveCapacity{request->key, request->id, request->nextAttempt, action.engine,
                                      request->payload->promptTokens});
  parts_.log.attempt(*request, RecordKind::kCapacityRequested, action.engine, -1);
}

void PolicyActions::operator()(const Release& action) {
  Request* const request = parts_.requests.findByPolicyId(action.id);
  if (request == nullptr || request->isStreaming) return;
  const bool callInFlight = request->callInFlight != 0;
  if (!callInFlight) {
    parts_.releaser.releaseState(*request);
    parts_.releaser.releaseReservation(*request);
    parts_.requests.touch(*request);
  } else if (request->stateEngine) {
    // An engine that the decode call has reached keeps its state: it is released once more when the call
    // ends.
    parts_.releaser.sendStateRelease(*request, "its decode call has no response yet");
  }
}

void PolicyActions::operator()(const RejectRequest& action) {
  Request* const request = findOpen(action.id);
  if (request == nullptr) return;
  // A client that has a part of the answer cannot be rejected any more.
  if (request->continuations > 0)
    return parts_.completion.respond(*request, FinalStatus::kFailed,
                                     "no engine for its continuation in time");
  const std::optional<Violation> violation = parts_.context.guard.checkRejection(request->key);
  if (violation) {
    parts_.log.violation(*request, violation);
    return parts_.completion.respond(*request, FinalStatus::kFailed, "failed");
  }
  parts_.completion.respond(*request, FinalStatus::kRejected, "refused; safe to try again",
                            action.retryAfter);
}

void PolicyActions::operator()(const FailRequest& action) {
  Request* const request = findOpen(action.id);
  if (request == nullptr) return;
  const bool isContinuation = request->continuations > 0;
  parts_.completion.respond(*request, FinalStatus::kFailed,
                            isContinuation ? "its continuation failed" : "failed");
}

void PolicyActions::operator()(const CancelAttempt& action) {
  Request* const request = parts_.requests.findByPolicyId(action.id);
  if (request == nullptr || request->isStreaming) return;
  const Call* const call = parts_.attempts.find(request->callInFlight);
  if (call == nullptr || policyAttempt(*call) != action.attempt) return;
  const std::optional<AttemptEnded> ended =
      parts_.attempts.cancel(*request, Outcome::kCancelled, "cancelled by the policy");
  if (ended) parts_.policy.feed(*ended);
}

void PolicyActions::operator()(const Probe& action) { parts_.context.emit(ProbeEngine{action.engine}); }

void PolicyActions::operator()(const SubscribeToEngineList&) { parts_.context.emit(Subscribe{}); }

void PolicyActions::operator()(const FetchEngineList&) { parts_.context.emit(Fetch{}); }

void PolicyActions::operator()(const SetTimer& action) {
  parts_.context.timers.schedule(action.at, Timer{TimerKind::kPolicy, 0, action.timer.value});
}

void PolicyActions::operator()(const Log& action) { parts_.log.router(RecordKind::kPolicyNote, action.text); }

}  // namespace gannetcourse::router
