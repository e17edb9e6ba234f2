#include "router/request_completion.h"

#include <cstdint>
#include <optional>

namespace gannetcourse::router {
namespace {

constexpr const char* kDeadlineReason = "time is up";

std::uint64_t& counterOf(Counters& counters, FinalStatus status) {
  switch (status) {
    case FinalStatus::kServed:
      return counters.served;
    case FinalStatus::kRejected:
      return counters.rejected;
    case FinalStatus::kFailed:
      return counters.failed;
    case FinalStatus::kDeadlineExceeded:
      break;
  }
  return counters.deadlineExceeded;
}

RecordKind recordKindOf(FinalStatus status) {
  switch (status) {
    case FinalStatus::kServed:
      return RecordKind::kServed;
    case FinalStatus::kRejected:
      return RecordKind::kRejected;
    case FinalStatus::kFailed:
      return RecordKind::kFailed;
    case FinalStatus::kDeadlineExceeded:
      break;
  }
  return RecordKind::kDeadlineExceeded;
}

}  // namespace

void RequestCompletion::respond(Request& request, FinalStatus status, const std::string& reason,
                                Duration retryAfter) {
  request.isCompleted = true;
  // Not checked once a token was sent: then the first token is the response that has to be in time.
  if (request.nextTokenIndex == 0)
    log_.violation(request, context_.guard.onFinalResponse(context_.now, request.key, request.deadline));
  requests_.touch(request);
  ++counterOf(context_.counters, status);
  log_.request(request, recordKindOf(status), reason);
  context_.emit(FinalResponse{request.key, status, retryAfter, reason});
}

void RequestCompletion::cancelCall(Request& request, Outcome outcome, const char* reason) {
  const std::optional<AttemptEnded> ended = attempts_.cancel(request, outcome, reason);
  if (ended) policy_.feed(*ended);
}

void RequestCompletion::abort(Request& request, FinalStatus status, Outcome outcome, const char* reason) {
  const RequestId policyId{request.policyId};
  respond(request, status, reason);
  cancelCall(request, outcome, reason);
  policy_.feed(ClientDisconnected{policyId});
}

void RequestCompletion::onClientDisconnected(Request& request) {
  const RequestId policyId{request.policyId};
  ++context_.counters.clientsDisconnected;
  request.isCompleted = true;
  requests_.touch(request);
  log_.request(request, RecordKind::kClientDisconnected);
  cancelCall(request, Outcome::kCancelled, "client disconnected");
  policy_.feed(ClientDisconnected{policyId});
}

void RequestCompletion::endStreamAtDeadline(Request& request) {
  respond(request, FinalStatus::kDeadlineExceeded, kDeadlineReason);
  cancelCall(request, Outcome::kCancelled, kDeadlineReason);
}

void RequestCompletion::onTimeout(Request& request) {
  request.timeout.reset();
  if (request.isCompleted) return;
  if (request.isStreaming) return endStreamAtDeadline(request);
  if (!request.awaitsContinuation) ++context_.counters.actionsBlocked;
  // A request without any attempt is rejected instead of failed: the client can safely retry it.
  const bool wasAttempted = request.attemptCount > 0;
  abort(request, wasAttempted ? FinalStatus::kDeadlineExceeded : FinalStatus::kRejected, Outcome::kTimeout,
        kDeadlineReason);
}

}  // namespace gannetcourse::router
