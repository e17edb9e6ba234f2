#include "router/policy_actions.h"

#include <optional>

namespace gannetcourse::router {

Request* PolicyActions::findOpen(const RequestId& id) {
  Request* const request = components_.requests.findByPolicyId(id);
  return request == nullptr || request->isCompleted ? nullptr : request;
}

bool PolicyActions::canStart(const Request& request) const {
  const CoreContext& context = components_.context;
  return !request.isCompleted && request.attemptCount < context.settings.maxAttempts &&
         context.now < request.deadline;
}

void PolicyActions::operator()(const StartAttempt& action) {
  Request* const request = components_.requests.findByPolicyId(action.id);
  if (request == nullptr) return reportBlockedAttempt(action, nullptr);
  CoreContext& context = components_.context;
  const std::optional<Violation> violation =
      context.guard.checkAttempt(context.now, request->key, action.engine);
  components_.log.violation(*request, violation, action.engine, nextPolicyAttempt(*request));
  const std::optional<Role> role = components_.roles.roleOf(action.engine);
  if (violation || !role || !canStart(*request)) return reportBlockedAttempt(action, request);
  const CallKind kind = *role == Role::kPrefill ? CallKind::kPrefill : CallKind::kDecode;
  if (kind == CallKind::kPrefill && request->continuations == 0)
    components_.continuation.onPrefillStarted(request->payload->promptTokens);
  components_.attempts.start(*request, action, kind);
}

// Reports the attempt to the policy as not sent. `request` is null if the action names an unknown request.
void PolicyActions::reportBlockedAttempt(const StartAttempt& action, const Request* request) {
  ++components_.context.counters.actionsBlocked;
  AttemptEnded ended;
  ended.id = action.id;
  ended.attempt = request == nullptr ? 0 : nextPolicyAttempt(*request);
  ended.engine = action.engine;
  ended.outcome = Outcome::kNotSent;
  ended.requestFinished = request == nullptr || request->isCompleted;
  components_.policy.feed(ended);
}

void PolicyActions::operator()(const Reserve& action) {
  Request* const request = findOpen(action.id);
  if (request == nullptr) return;
  components_.releaser.releaseReservation(*request);
  request->reservedEngine = action.engine;
  components_.context.emit(ReserveCapacity{request->key, request->id, request->nextAttempt, action.engine,
                                           request->payload->promptTokens});
  components_.log.attempt(*request, RecordKind::kCapacityRequested, action.engine, -1);
}

void PolicyActions::operator()(const Release& action) {
  Request* const request = components_.requests.findByPolicyId(action.id);
  if (request == nullptr || request->isStreaming) return;
  const bool callInFlight = request->callInFlight != 0;
  if (!callInFlight) {
    components_.releaser.releaseState(*request);
    components_.releaser.releaseReservation(*request);
    components_.requests.touch(*request);
  } else if (request->stateEngine) {
    // If the decode call has already reached its engine, this release has no effect. The state is therefore
    // released again after the decode call has ended.
    components_.releaser.sendStateRelease(*request, "its decode call has no response yet");
  }
}

void PolicyActions::operator()(const RejectRequest& action) {
  Request* const request = findOpen(action.id);
  if (request == nullptr) return;
  // A request with a continuation fails instead. A rejection would mean that the request was not executed,
  // but the client has already received part of the answer.
  if (request->continuations > 0)
    return components_.completion.respond(*request, FinalStatus::kFailed,
                                          "no engine for its continuation in time");
  const std::optional<Violation> violation = components_.context.guard.checkRejection(request->key);
  if (violation) {
    components_.log.violation(*request, violation);
    return components_.completion.respond(*request, FinalStatus::kFailed, "failed");
  }
  components_.completion.respond(*request, FinalStatus::kRejected, "refused; safe to try again",
                                 action.retryAfter);
}

void PolicyActions::operator()(const FailRequest& action) {
  Request* const request = findOpen(action.id);
  if (request == nullptr) return;
  const bool isContinuation = request->continuations > 0;
  components_.completion.respond(*request, FinalStatus::kFailed,
                                 isContinuation ? "its continuation failed" : "failed");
}

void PolicyActions::operator()(const CancelAttempt& action) {
  Request* const request = components_.requests.findByPolicyId(action.id);
  if (request == nullptr || request->isStreaming) return;
  const Call* const call = components_.attempts.find(request->callInFlight);
  if (call == nullptr || policyAttempt(*call) != action.attempt) return;
  const std::optional<AttemptEnded> ended =
      components_.attempts.cancel(*request, Outcome::kCancelled, "cancelled by the policy");
  if (ended) components_.policy.feed(*ended);
}

void PolicyActions::operator()(const Probe& action) { components_.context.emit(ProbeEngine{action.engine}); }

void PolicyActions::operator()(const SubscribeToEngineList&) { components_.context.emit(Subscribe{}); }

void PolicyActions::operator()(const FetchEngineList&) { components_.context.emit(Fetch{}); }

void PolicyActions::operator()(const SetTimer& action) {
  components_.context.timers.schedule(action.at, Timer{TimerKind::kPolicy, 0, action.timer.value});
}

void PolicyActions::operator()(const Log& action) {
  components_.log.router(RecordKind::kPolicyNote, action.text);
}

}  // namespace gannetcourse::router
