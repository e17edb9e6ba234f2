#include "attempt_manager.h"

#include <algorithm>

#include "tuning.h"

namespace gannetcourse::policy {

void AttemptManager::startPrefill(Request& request, const PrefillPlan& plan) {
  Engine& engine = *plan.engine;
  request.prefillWork = plan.prefillWork;
  request.queuedPrefillTokens = request.arrival.promptTokens - plan.cachedTokens + kPrefillFixedTokens;
  request.combinedPrefillAndDecode = plan.combinedPrefillAndDecode;
  engine.attempts.queuedPrefillTokens += request.queuedPrefillTokens;
  engine.attempts.prefilling += 1;
  request.stage = RequestStage::kPrefilling;
  const Duration wait = plan.combinedPrefillAndDecode ? costs_.firstTokenWait(engine) : Duration(0);
  start(request, engine, plan.queueWait + plan.prefillWork + wait, plan.timeToFirstToken());
}

void AttemptManager::startDecode(Request& request, Engine& engine, Engine& from) {
  request.stage = RequestStage::kDecoding;
  request.combinedPrefillAndDecode = false;
  engine.attempts.awaitingFirstToken += 1;
  from.attempts.sendingState += 1;
  const Duration transfer =
      costs_.transferTime(from, linkBetween(from, engine), request.arrival.promptTokens);
  const Duration expected = transfer + costs_.firstTokenWait(engine);
  start(request, engine, expected, expected);
}

void AttemptManager::start(Request& request, Engine& engine, Duration expectedDuration,
                           Duration timeForAnother) {
  const Instant now = context_.now();
  request.engine = engine.entry.id;
  request.attemptInFlight = true;
  request.attemptStartedAt = now;
  request.expectedDuration = expectedDuration;
  request.timeForAnother = timeForAnother;
  request.cancelRequested = false;
  request.laterAttemptAnswered = false;
  ++request.attemptCount;
  if (request.attemptHasEffect()) {
    engine.attempts.decodeTokens += request.memoryNeeded;
    engine.process.recentTokens.add(request.memoryNeeded, now, kReportLag);
  }
  slowStart_.recordAttempt(engine, request);
  const Tokens expectedCached =
      request.stage == RequestStage::kPrefilling
          ? request.arrival.promptTokens + kPrefillFixedTokens - request.queuedPrefillTokens
          : 0;
  context_.emit(StartAttempt{request.arrival.id, engine.entry.id, timeoutOf(request), expectedDuration,
                             expectedCached});
}

// An attempt may take all the time that the client has left: if it is late and another could follow,
// checkForSilence() cancels it. Where attempts cannot be cancelled, the timeout has to end it then.
Duration AttemptManager::timeoutOf(const Request& request) const {
  const Duration left = request.deadline - context_.now();
  const bool cancelledWhenLate = context_.settings().cancelAllowed;
  if (cancelledWhenLate || !retrySafety_.canRetryAfterAttempt(request)) return left;
  return std::min(left, silenceTimeout(request));
}

// How long an attempt may take before it is late: the time in which it is sent for certain, and a multiple of
// what such attempts take. The limit grows with the typical duration, because under overload all attempts
// take long and cancelling them would not help.
Duration AttemptManager::silenceTimeout(const Request& request) const {
  const Duration typical = std::max(request.expectedDuration, costs_.typicalDuration(request));
  const Duration sending = context_.settings().connectTimeout + kSendDelayAllowance;
  return (sending + kTimeoutFactor * (typical + costs_.usualDelay(request))) * (1 + request.timeouts);
}

bool AttemptManager::isTimeForAnother(const Request& request, Instant at) const {
  return retrySafety_.canRetryAfterAttempt(request) && at + request.timeForAnother < request.deadline;
}

void AttemptManager::onStreamStarted(Request& request, Engine& engine) {
  endStateTransfer(request);
  engine.attempts.queuedPrefillTokens -= request.queuedPrefillTokens;
  request.queuedPrefillTokens = 0;
  if (request.stage == RequestStage::kPrefilling) {
    engine.attempts.prefilling -= 1;
  } else {
    engine.attempts.awaitingFirstToken -= 1;
  }
  engine.attempts.streaming += 1;
  request.stage = RequestStage::kStreaming;
  request.streamStartedAt = context_.now();
}

void AttemptManager::onEnded(Request& request) {
  Engine& engine = registry_.findOrCreate(request.engine);
  EngineAttempts& attempts = engine.attempts;
  const bool streaming = request.stage == RequestStage::kStreaming;
  if (streaming) attempts.streaming -= 1;
  if (request.stage == RequestStage::kPrefilling) attempts.prefilling -= 1;
  if (request.stage == RequestStage::kDecoding) attempts.awaitingFirstToken -= 1;
  if (request.attemptHasEffect() || streaming) attempts.decodeTokens -= request.memoryNeeded;
  attempts.queuedPrefillTokens -= request.queuedPrefillTokens;
  endStateTransfer(request);
  request.queuedPrefillTokens = 0;
  request.attemptInFlight = false;
}

void AttemptManager::endStateTransfer(const Request& request) {
  if (request.stage != RequestStage::kDecoding) return;
  registry_.findOrCreate(request.prefillEngine).attempts.sendingState -= 1;
}

// Guards against engines that do not answer because of a hang, a stall or a cut link. A silent engine is
// avoided from half of the attempt's silence timeout on. After the silence timeout the attempt is cancelled
// if another attempt could follow and be in time; otherwise the answer may still come. An attempt at an
// engine that is not silent is cancelled only if the engine has answered later attempts of the same class:
// the attempt is then assumed to be lost on the network.
void AttemptManager::checkForSilence(Request& request) {
  Engine& engine = registry_.findOrCreate(request.engine);
  const bool silent = EngineHealth::isSilentTo(engine, request);
  const Duration limit = silenceTimeout(request);
  const Duration late = context_.now() - request.attemptStartedAt - limit;
  if (silent) health_.recordOverdue(engine, late + limit / 2);
  request.laterAttemptAnswered = !silent && EngineHealth::hasAnsweredLaterAttempt(engine, request);
  if (late <= Duration(0) || (!silent && !request.laterAttemptAnswered)) return;
  if (request.cancelRequested || !context_.settings().cancelAllowed) return;
  if (!isTimeForAnother(request, context_.now())) return;
  request.cancelRequested = true;
  cancel(request);
}

void AttemptManager::cancel(Request& request) {
  context_.emit(CancelAttempt{request.arrival.id, request.newestAttempt()});
}

}  // namespace gannetcourse::policy
