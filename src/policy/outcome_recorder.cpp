#include "outcome_recorder.h"

namespace gannetcourse::policy {

void OutcomeRecorder::recordStreamStarted(const Request& request, Engine& engine) {
  aggregates_.recordServed(engine, prompts_.weightOf(request));
  health_.recordSuccess(engine, request);
}

void OutcomeRecorder::recordEnd(const Request& request, const AttemptEnded& end) {
  Engine* const engine = registry_.find(end.engine);
  if (engine == nullptr) return;
  if (end.outcome == Outcome::kPrefilled) {
    recordPrefillEnd(request, *engine, end);
  } else if (end.outcome == Outcome::kOk) {
    health_.recordSuccess(*engine, request);
    if (request.stage == RequestStage::kStreaming) pace_.recordCompleted(*engine, request);
  } else {
    recordFailure(request, *engine, end);
  }
}

void OutcomeRecorder::recordPrefillEnd(const Request& request, Engine& engine, const AttemptEnded& end) {
  costs_.recordPrefill(engine, request, end.elapsed, end.cachedTokens);
  aggregates_.recordServed(engine, prompts_.weightOf(request));
  affinity_.recordPrefillEnded(engine, request.arrival);
  health_.recordSuccess(engine, request);
}

void OutcomeRecorder::recordFailure(const Request& request, Engine& engine, const AttemptEnded& end) {
  if (end.outcome == Outcome::kCancelled || end.outcome == Outcome::kTimeout) {
    costs_.recordUnfinishedPrefill(engine, request, end.elapsed);
  }
  const bool silent = request.cancelRequested || end.outcome == Outcome::kTimeout;
  if (silent) {
    costs_.recordNoAnswer(request, end.elapsed);
    if (costs_.recordSlowTransfer(engine, request, end.elapsed)) return;
  }
  if (request.cancelRequested) {
    // If the engine has answered later attempts, this attempt was probably lost on the network.
    if (!request.laterAttemptAnswered) health_.recordFailure(engine, request, Outcome::kTimeout);
    return;
  }
  const bool endedByRouter = end.outcome == Outcome::kCancelled || end.outcome == Outcome::kNotSent;
  if (endedByRouter || end.outcome == Outcome::kStateLost) return;
  health_.recordFailure(engine, request, end.outcome);
}

}  // namespace gannetcourse::policy
