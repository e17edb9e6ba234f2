#include "retry_safety.h"

#include "tuning.h"

namespace gannetcourse::policy {

bool RetrySafety::isProvenNotRun(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kStateLost ||
         outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

void RetrySafety::recordPossibleRun(Request& request, const EngineEntry& engine) {
  if (request.mayHaveRun) return;
  request.mayHaveRun = true;
  request.firstRunAt = request.attemptStartedAt;
  request.firstRunOn = engine;
}

// Engines drop a duplicate only if it is sent within dedupWindow. Establishing the connection and a stall of
// the machine may delay the sending, so the latest possible sending time is compared with the window. The
// scope applies to prefill attempts as well.
bool RetrySafety::isAllowedOn(const Engine& engine, const Request& request) const {
  const ClassSettings& c = context_.classOf(request);
  if (!request.mayHaveRun || c.idempotency == Idempotency::kIdempotent) return true;
  if (c.idempotency == Idempotency::kAtMostOnce) return false;
  const Instant latestSendAt = context_.now() + context_.settings().connectTimeout + kSendDelayAllowance;
  if (latestSendAt > request.firstRunAt + c.dedupWindow) return false;
  if (c.dedupScope == DedupScope::kZone) return engine.entry.zone == request.firstRunOn.zone;
  return c.dedupScope == DedupScope::kAll || engine.entry.cell == request.firstRunOn.cell;
}

bool RetrySafety::canRetryAfterAttempt(const Request& request) const {
  const Idempotency idempotency = context_.classOf(request).idempotency;
  if (request.attemptHasEffect() && idempotency == Idempotency::kAtMostOnce) return false;
  const int attemptsNeeded = request.stage == RequestStage::kPrefilling ? 2 : 1;  // prefill and decode
  return request.attemptCount + attemptsNeeded <= context_.settings().maxAttempts;
}

// Any attempt in flight counts as possibly run, also a prefill: only its outcome proves whether it has run.
bool RetrySafety::canReject(const Request& request) const {
  const ClassSettings& c = context_.classOf(request);
  if (!request.mayHaveRun && !request.attemptInFlight) return true;
  if (c.idempotency == Idempotency::kIdempotent) return true;
  return c.idempotency == Idempotency::kIdempotencyKey && c.dedupScope == DedupScope::kAll;
}

}  // namespace gannetcourse::policy
