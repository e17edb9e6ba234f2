#include "router/invariant_guard.h"

#include <utility>

namespace gannetcourse::router {
namespace {

// A response that is late by no more than this is of little use to its client but does not count as a
// violation.
const Duration kLateResponseTolerance{0.5};

// Only an engine's response proves that an attempt has reached the engine and renewed the state lease.
bool certainlyArrived(Outcome outcome) { return outcome == Outcome::kRejected || outcome == Outcome::kError; }

bool isSafeToRetryAnywhere(const ClassSettings& classSettings) {
  if (classSettings.idempotency == Idempotency::kIdempotent) return true;
  return classSettings.idempotency == Idempotency::kIdempotencyKey &&
         classSettings.dedupScope == DedupScope::kAll;
}

}  // namespace

void InvariantGuard::updateSettings(const Settings& settings) {
  classes_ = settings.classes;
  stateLeaseLimit_ = settings.stateLeaseLimit;
}

void InvariantGuard::onEngineListUpdate(const EngineListUpdate& update) {
  if (update.scope == EngineListUpdate::Scope::kFetchFailed) return;
  if (update.scope != EngineListUpdate::Scope::kDelta) engines_.clear();
  for (const EngineEntry& entry : update.entries) {
    if (entry.state == EngineEntry::State::kRemoved) {
      engines_.erase(entry.id);
    } else {
      engines_[entry.id] = entry;
    }
  }
}

void InvariantGuard::onRequestAccepted(RequestKey request, std::size_t classIndex) {
  requests_[request].classIndex = classIndex;
}

void InvariantGuard::onAttemptStarted(Instant now, RequestKey request, EngineId engine, CallKind kind) {
  TrackedRequest* const tracked = find(request);
  if (tracked != nullptr) tracked->attemptInFlight = Attempt{engine, kind, now};
}

void InvariantGuard::onAttemptEnded(Instant now, RequestKey request, Outcome outcome) {
  TrackedRequest* const tracked = find(request);
  if (tracked == nullptr || !tracked->attemptInFlight) return;
  const Attempt attempt = *std::exchange(tracked->attemptInFlight, std::nullopt);
  if (mayHaveExecuted(attempt.kind, outcome) && !tracked->firstExecution) {
    const auto listed = engines_.find(attempt.engine);
    EngineEntry unlisted;
    unlisted.id = attempt.engine;
    tracked->firstExecution =
        Execution{attempt.startedAt, listed == engines_.end() ? unlisted : listed->second};
  }
  if (tracked->stateLeasedSince && certainlyArrived(outcome)) tracked->stateLeasedSince = now;
}

void InvariantGuard::onStateLeased(Instant now, RequestKey request) {
  TrackedRequest* const tracked = find(request);
  if (tracked != nullptr) tracked->stateLeasedSince = now;
}

void InvariantGuard::onStateTransferred(RequestKey request) {
  TrackedRequest* const tracked = find(request);
  if (tracked != nullptr) tracked->stateLeasedSince.reset();
}

std::optional<Violation> InvariantGuard::onStateReleased(Instant now, RequestKey request) {
  TrackedRequest* const tracked = find(request);
  if (tracked == nullptr || !tracked->stateLeasedSince) return std::nullopt;
  const Duration leasedFor = now - *std::exchange(tracked->stateLeasedSince, std::nullopt);
  if (stateLeaseLimit_.count() <= 0 || leasedFor <= stateLeaseLimit_) return std::nullopt;
  return count(Violation::kStateLeaseExpired);
}

std::optional<Violation> InvariantGuard::onFinalResponse(Instant now, RequestKey request, Instant deadline) {
  TrackedRequest* const tracked = find(request);
  if (tracked == nullptr) return std::nullopt;
  std::optional<Violation> violation;
  if (std::exchange(tracked->hasResponse, true)) violation = count(Violation::kSecondResponse);
  if (now > deadline + kLateResponseTolerance) violation = count(Violation::kLateResponse);
  return violation;
}

std::optional<Violation> InvariantGuard::checkAttempt(Instant now, RequestKey request, EngineId engine) {
  const TrackedRequest* const tracked = find(request);
  if (tracked == nullptr) return std::nullopt;
  const std::optional<Violation> violation = violationOfAttempt(now, *tracked, engine);
  if (violation) count(*violation);
  return violation;
}

std::optional<Violation> InvariantGuard::violationOfAttempt(Instant now, const TrackedRequest& request,
                                                            EngineId engine) const {
  if (request.hasResponse) return Violation::kAttemptAfterResponse;
  if (request.attemptInFlight) return Violation::kConcurrentAttempts;
  const auto entry = engines_.find(engine);
  if (entry == engines_.end() || entry->second.state != EngineEntry::State::kServing)
    return Violation::kAttemptToDrainingEngine;
  if (request.firstExecution && !isSafeToRepeat(now, request, entry->second))
    return Violation::kDuplicateEffect;
  return std::nullopt;
}

// Whether a further attempt at `engine` has no second effect: the request's class is idempotent, or the
// engine shares the record of idempotency keys with the engine of the first execution and drops the
// duplicate.
bool InvariantGuard::isSafeToRepeat(Instant now, const TrackedRequest& request,
                                    const EngineEntry& engine) const {
  const ClassSettings& classSettings = classOf(request);
  if (classSettings.idempotency == Idempotency::kIdempotent) return true;
  if (classSettings.idempotency == Idempotency::kAtMostOnce) return false;
  if (now > request.firstExecution->startedAt + classSettings.dedupWindow) return false;
  if (classSettings.dedupScope == DedupScope::kAll) return true;
  const EngineEntry& first = request.firstExecution->engine;
  return classSettings.dedupScope == DedupScope::kZone ? engine.zone == first.zone
                                                       : engine.cell == first.cell;
}

std::optional<Violation> InvariantGuard::checkRejection(RequestKey request) {
  const TrackedRequest* const tracked = find(request);
  if (tracked == nullptr) return std::nullopt;
  const bool decodeInFlight = tracked->attemptInFlight && tracked->attemptInFlight->kind == CallKind::kDecode;
  const bool isPossiblyExecuted = tracked->firstExecution || decodeInFlight;
  if (!isPossiblyExecuted || isSafeToRetryAnywhere(classOf(*tracked))) return std::nullopt;
  return count(Violation::kRejectedAfterStart);
}

InvariantGuard::TrackedRequest* InvariantGuard::find(RequestKey request) {
  const auto it = requests_.find(request);
  return it == requests_.end() ? nullptr : &it->second;
}

Violation InvariantGuard::count(Violation violation) {
  ++violations_[static_cast<std::size_t>(violation)];
  return violation;
}

}  // namespace gannetcourse::router
