#include "router/invariant_guard.h"

#include <utility>

namespace gannetcourse::router {
namespace {

// A response that is late by less only loses its value.
const Duration kLateResponseTolerance{0.5};

// Told apart here as well as in the policy (RetrySafety): the guard checks it independently.
bool certainlyNotExecuted(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kStateLost ||
         outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

// Only an engine's response shows that an attempt has arrived and renewed the lease of its state.
bool certainlyArrived(Outcome outcome) { return outcome == Outcome::kRejected || outcome == Outcome::kError; }

bool isHarmlessToRepeatAnywhere(const ClassSettings& classSettings) {
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
  WatchedRequest* const watched = find(request);
  if (watched != nullptr) watched->attemptInFlight = Attempt{engine, kind, now};
}

void InvariantGuard::onAttemptEnded(Instant now, RequestKey request, Outcome outcome) {
  WatchedRequest* const watched = find(request);
  if (watched == nullptr || !watched->attemptInFlight) return;
  const Attempt attempt = *std::exchange(watched->attemptInFlight, std::nullopt);
  const bool mayHaveExecuted = attempt.kind == CallKind::kDecode && !certainlyNotExecuted(outcome);
  if (mayHaveExecuted && !watched->firstExecution) {
    const auto listed = engines_.find(attempt.engine);
    EngineEntry unlisted;
    unlisted.id = attempt.engine;
    watched->firstExecution =
        Execution{attempt.startedAt, listed == engines_.end() ? unlisted : listed->second};
  }
  if (watched->stateLeasedSince && certainlyArrived(outcome)) watched->stateLeasedSince = now;
}

void InvariantGuard::onStateLeased(Instant now, RequestKey request) {
  WatchedRequest* const watched = find(request);
  if (watched != nullptr) watched->stateLeasedSince = now;
}

void InvariantGuard::onStateTransferred(RequestKey request) {
  WatchedRequest* const watched = find(request);
  if (watched != nullptr) watched->stateLeasedSince.reset();
}

std::optional<Violation> InvariantGuard::onStateReleased(Instant now, RequestKey request) {
  WatchedRequest* const watched = find(request);
  if (watched == nullptr || !watched->stateLeasedSince) return std::nullopt;
  const Duration leasedFor = now - *std::exchange(watched->stateLeasedSince, std::nullopt);
  if (stateLeaseLimit_.count() <= 0 || leasedFor <= stateLeaseLimit_) return std::nullopt;
  return count(Violation::kStateLeaseExpired);
}

std::optional<Violation> InvariantGuard::onFinalResponse(Instant now, RequestKey request, Instant deadline) {
  WatchedRequest* const watched = find(request);
  if (watched == nullptr) return std::nullopt;
  std::optional<Violation> violation;
  if (std::exchange(watched->hasResponse, true)) violation = count(Violation::kSecondResponse);
  if (now > deadline + kLateResponseTolerance) violation = count(Violation::kLateResponse);
  return violation;
}

std::optional<Violation> InvariantGuard::checkAttempt(Instant now, RequestKey request, EngineId engine) {
  const WatchedRequest* const watched = find(request);
  if (watched == nullptr) return std::nullopt;
  const std::optional<Violation> violation = violationOfAttempt(now, *watched, engine);
  if (violation) count(*violation);
  return violation;
}

std::optional<Violation> InvariantGuard::violationOfAttempt(Instant now, const WatchedRequest& request,
                                                            EngineId engine) const {
  if (request.hasResponse) return Violation::kAttemptAfterResponse;
  if (request.attemptInFlight) return Violation::kConcurrentAttempts;
  const auto entry = engines_.find(engine);
  if (entry == engines_.end() || entry->second.state != EngineEntry::State::kServing)
    return Violation::kAttemptToDrainingEngine;
  if (request.firstExecution && !isRepeatWithoutEffect(now, request, entry->second))
    return Violation::kDuplicateEffect;
  return std::nullopt;
}

// Whether a further attempt there has no second effect: its class is idempotent, or the engines that share
// the first one's record of idempotency keys drop it.
bool InvariantGuard::isRepeatWithoutEffect(Instant now, const WatchedRequest& request,
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
  const WatchedRequest* const watched = find(request);
  if (watched == nullptr) return std::nullopt;
  const bool decodeInFlight = watched->attemptInFlight && watched->attemptInFlight->kind == CallKind::kDecode;
  const bool mayHaveExecuted = watched->firstExecution || decodeInFlight;
  if (!mayHaveExecuted || isHarmlessToRepeatAnywhere(classOf(*watched))) return std::nullopt;
  return count(Violation::kRejectedAfterStart);
}

InvariantGuard::WatchedRequest* InvariantGuard::find(RequestKey request) {
  const auto it = requests_.find(request);
  return it == requests_.end() ? nullptr : &it->second;
}

Violation InvariantGuard::count(Violation violation) {
  ++violations_[static_cast<std::size_t>(violation)];
  return violation;
}

}  // namespace gannetcourse::router
