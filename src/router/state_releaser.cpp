#include "router/state_releaser.h"

#include <utility>

namespace gannetcourse::router {

void StateReleaser::sendStateRelease(const Request& request, std::string reason) {
  log_.violation(request, context_.guard.onStateReleased(context_.now, request.key), request.stateEngine,
                 request.stateAttempt);
  context_.emit(ReleaseState{request.id, request.stateAttempt, *request.stateEngine});
  log_.attempt(request, RecordKind::kStateReleased, request.stateEngine, request.stateAttempt,
               std::move(reason));
}

void StateReleaser::releaseState(Request& request) {
  if (!request.stateEngine) return;
  sendStateRelease(request, "no attempt is in flight");
  request.stateEngine.reset();
}

void StateReleaser::releaseReservation(Request& request) {
  if (!request.reservedEngine) return;
  context_.emit(ReleaseState{request.id, request.nextAttempt, *request.reservedEngine});
  request.reservedEngine.reset();
}

bool StateReleaser::isBusy(const std::string& requestId) const {
  const Request* const request = requests_.findById(requestId);
  return request != nullptr && (request->callInFlight != 0 || request->stateEngine.has_value());
}

void StateReleaser::releaseOrphanedStates() {
  const auto busy = [this](const std::string& requestId) { return isBusy(requestId); };
  for (const OrphanedStates::Attempt& attempt : orphanedStates_.takeDue(context_.now, busy)) {
    context_.emit(ReleaseState{attempt.id, attempt.number, attempt.engine});
    log_.orphanedState(attempt.id, attempt.engine, attempt.number);
  }
  scheduleTimer();
}

void StateReleaser::scheduleTimer() {
  const std::optional<Instant> due = orphanedStates_.nextDue();
  if (due && timer_ && (*timer_)->first == *due) return;
  context_.timers.cancel(timer_);
  if (due) timer_ = context_.timers.schedule(*due, Timer{TimerKind::kOrphanedStates, 0, {}});
}

}  // namespace gannetcourse::router
