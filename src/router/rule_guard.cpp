#include "router/rule_guard.h"

#include <utility>

namespace gannetcourse::router {
namespace {

const Duration kLateBy{0.5};  // an answer that is late by less only earns nothing

bool neverRan(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kStateLost ||
         outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

// Only an engine's answer shows that a send has arrived: no other stops the time of what is held.
bool arrived(Outcome outcome) { return outcome == Outcome::kRejected || outcome == Outcome::kError; }

}  // namespace

const char* nameOf(Violation violation) {
  switch (violation) {
    case Violation::kSecondResponse:
      return "second_answer";
    case Violation::kLateResponse:
      return "late_answer";
    case Violation::kAttemptAfterResponse:
      return "sent_after_answer";
    case Violation::kConcurrentAttempts:
      return "overlap";
    case Violation::kDuplicateEffect:
      return "repeat";
    case Violation::kRejectedAfterStart:
      return "refused_after_run";
    case Violation::kAttemptToDrainingEngine:
      return "sent_to_stopped";
    case Violation::kStateLeaseExpired:
      return "pinned";
    case Violation::kCount:
      break;
  }
  return "";
}

std::uint64_t total(const ViolationCounts& counts) {
  std::uint64_t sum = 0;
  for (const std::uint64_t count : counts) sum += count;
  return sum;
}

std::string textOf(const ViolationCounts& counts) {
  std::string text = std::to_string(total(counts));
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0)
      text += std::string(",") + nameOf(static_cast<Violation>(i)) + ":" + std::to_string(counts[i]);
  }
  return text;
}

void RuleGuard::takeSettings(const Settings& settings) {
  classes_ = settings.classes;
  pinLimit_ = settings.stateLeaseLimit;
}

void RuleGuard::takeList(const EngineListUpdate& list) {
  if (list.scope == EngineListUpdate::Scope::kFetchFailed) return;
  if (list.scope != EngineListUpdate::Scope::kDelta) engines_.clear();
  for (const EngineEntry& entry : list.entries) {
    if (entry.state == EngineEntry::State::kRemoved) {
      engines_.erase(entry.id);
    } else {
      engines_[entry.id] = entry;
    }
  }
}

void RuleGuard::taken(RequestKey request, std::size_t classIndex) {
  requests_[request].classIndex = classIndex;
}

void RuleGuard::sent(Instant now, RequestKey request, EngineId engine, bool reads) {
  Watched* const watched = find(request);
  if (watched != nullptr) watched->out = Attempt{engine, reads, now};
}

void RuleGuard::ended(Instant now, RequestKey request, Outcome outcome) {
  Watched* const watched = find(request);
  if (watched == nullptr || !watched->out) return;
  const Attempt attempt = *std::exchange(watched->out, std::nullopt);
  if (!attempt.reads && !neverRan(outcome) && !watched->run) {
    const auto engine = engines_.find(attempt.engine);
    EngineEntry entry;
    entry.id = attempt.engine;
    watched->run = Run{attempt.sentAt, engine == engines_.end() ? entry : engine->second};
  }
  if (watched->heldSince && arrived(outcome)) watched->heldSince = now;
}

void RuleGuard::stateHeld(Instant now, RequestKey request) {
  Watched* const watched = find(request);
  if (watched != nullptr) watched->heldSince = now;
}

void RuleGuard::stateTaken(RequestKey request) {
  Watched* const watched = find(request);
  if (watched != nullptr) watched->heldSince.reset();
}

std::optional<Violation> RuleGuard::stateFreed(Instant now, RequestKey request) {
  Watched* const watched = find(request);
  if (watched == nullptr || !watched->heldSince) return std::nullopt;
  const Duration held = now - *std::exchange(watched->heldSince, std::nullopt);
  if (pinLimit_.count() <= 0 || held <= pinLimit_) return std::nullopt;
  return count(Violation::kStateLeaseExpired);
}

std::optional<Violation> RuleGuard::answered(Instant now, RequestKey request, Instant due) {
  Watched* const watched = find(request);
  if (watched == nullptr) return std::nullopt;
  std::optional<Violation> rule;
  if (std::exchange(watched->isAnswered, true)) rule = count(Violation::kSecondResponse);
  if (now > due + kLateBy) rule = count(Violation::kLateResponse);
  return rule;
}

std::optional<Violation> RuleGuard::checkSend(Instant now, RequestKey request, EngineId engine) {
  const Watched* const watched = find(request);
  if (watched == nullptr) return std::nullopt;
  const std::optional<Violation> rule = ruleAgainstSend(now, *watched, engine);
  if (rule) count(*rule);
  return rule;
}

std::optional<Violation> RuleGuard::ruleAgainstSend(Instant now, const Watched& request,
                                                    EngineId engine) const {
  if (request.isAnswered) return Violation::kAttemptAfterResponse;
  if (request.out) return Violation::kConcurrentAttempts;
  const auto entry = engines_.find(engine);
  if (entry == engines_.end() || entry->second.state != EngineEntry::State::kServing)
    return Violation::kAttemptToDrainingEngine;
  if (request.run && !repeatsAreDropped(now, request, entry->second)) return Violation::kDuplicateEffect;
  return std::nullopt;
}

// Whether a further attempt there has no second effect.
bool RuleGuard::repeatsAreDropped(Instant now, const Watched& request, const EngineEntry& engine) const {
  const ClassSettings& c = classOf(request);
  if (c.idempotency == Idempotency::kIdempotent) return true;
  if (c.idempotency == Idempotency::kAtMostOnce || now > request.run->sentAt + c.dedupWindow) return false;
  if (c.dedupScope == DedupScope::kAll) return true;
  const EngineEntry& first = request.run->engine;
  return c.dedupScope == DedupScope::kZone ? engine.zone == first.zone : engine.cell == first.cell;
}

std::optional<Violation> RuleGuard::checkRefusal(RequestKey request) {
  const Watched* const watched = find(request);
  if (watched == nullptr) return std::nullopt;
  const ClassSettings& c = classOf(*watched);
  const bool harmless = c.idempotency == Idempotency::kIdempotent ||
                        (c.idempotency == Idempotency::kIdempotencyKey && c.dedupScope == DedupScope::kAll);
  const bool mayHaveRun = watched->run || (watched->out && !watched->out->reads);
  if (harmless || !mayHaveRun) return std::nullopt;
  return count(Violation::kRejectedAfterStart);
}

RuleGuard::Watched* RuleGuard::find(RequestKey request) {
  const auto it = requests_.find(request);
  return it == requests_.end() ? nullptr : &it->second;
}

Violation RuleGuard::count(Violation violation) {
  ++violations_[static_cast<std::size_t>(violation)];
  return violation;
}

}  // namespace gannetcourse::router
