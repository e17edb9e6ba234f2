#include "engine_health.h"

#include <algorithm>
#include <set>

#include "tuning.h"

namespace gannetcourse::policy {
namespace {

constexpr double kNoScoreYet = 1e9;

}  // namespace

double EngineHealth::level(const DecayingSum& score) const {
  return score.get(context_.now(), kFailureDecay);
}

void EngineHealth::increase(DecayingSum& score, double steps) {
  score.set(std::min(kMaxFailureScore, level(score) + steps * kFailureStep), context_.now());
}

double EngineHealth::failureScore(const Engine& engine, const Request& request) const {
  const HealthRecord& health = engine.process.health;
  double least = kNoScoreYet;
  for (const HealthKey& key : request.healthKeys) {
    const auto it = health.failureScores.find(key);
    least = std::min(least, it == health.failureScores.end() ? 0 : level(it->second));
  }
  return std::max({least, level(health.connectionFailures), level(health.cellSuspicion)});
}

bool EngineHealth::isHealthyFor(const Engine& engine, const Request& request) const {
  const double score = failureScore(engine, request);
  if (score >= kEjectionScore) return false;
  return score < kHalfOpenScore || engine.attempts.unanswered() <= 0;
}

Duration EngineHealth::penalty(const Engine& engine, const Request& request) const {
  const Duration late = std::max(Duration(0), engine.process.health.overdue);
  return Duration(failureScore(engine, request)) + late;
}

void EngineHealth::recordFailure(Engine& engine, const Request& request, Outcome outcome) {
  HealthRecord& health = engine.process.health;
  if (outcome == Outcome::kConnectFailed || outcome == Outcome::kReset) {
    suspectCellOf(engine);
    increase(health.connectionFailures, outcome == Outcome::kReset ? kResetSteps : kConnectFailedSteps);
    return;
  }
  const bool silent = outcome == Outcome::kTimeout;
  // A timeout does not count if more than half of the role's engines would then be ejected: a broken link or
  // overload is a likelier cause than a fault of each engine.
  if (silent && isHalfOfRoleEjected(engine.entry.role, request)) return;
  for (const HealthKey& key : request.healthKeys) {
    increase(health.failureScores[key], silent ? kSilenceSteps : kFailureSteps);
  }
}

void EngineHealth::recordSuccess(Engine& engine, const Request& request) {
  HealthRecord& health = engine.process.health;
  health.lastAnswer = context_.now();
  Instant& newest = health.newestAnsweredStart[request.arrival.classIndex];
  newest = std::max(newest, request.attemptStartedAt);
  for (const HealthKey& key : request.healthKeys) {
    DecayingSum& score = health.failureScores[key];
    score.set(kSuccessFactor * level(score), context_.now());
  }
  if (level(health.connectionFailures) >= kEjectionScore) slowStart_.onContactRegained(engine);
  health.connectionFailures = {};
  health.cellSuspicion = {};
}

// Of failed probes, only those that could not connect count: a probe without an answer may just be queued.
void EngineHealth::recordProbeConnectFailure(Engine& engine) {
  increase(engine.process.health.connectionFailures, kConnectFailedSteps);
}

void EngineHealth::recordOverdue(Engine& engine, Duration late) {
  Duration& overdue = engine.process.health.overdue;
  overdue = std::max(overdue, late);
}

void EngineHealth::clearOverdue() {
  for (auto& [id, engine] : registry_.engines()) engine.process.health.overdue = Duration(0);
}

bool EngineHealth::isSilentTo(const Engine& engine, const Request& request) {
  return engine.process.health.lastAnswer < request.attemptStartedAt;
}

bool EngineHealth::hasAnsweredLaterAttempt(const Engine& engine, const Request& request) {
  const auto& newest = engine.process.health.newestAnsweredStart;
  const auto it = newest.find(request.arrival.classIndex);
  return it != newest.end() && it->second > request.attemptStartedAt;
}

// Engines of a cell share power and network switch. When contact is lost to a second engine of a cell, its
// other engines become suspect: they are half-open until they answer, and are ejected if more contact is
// lost. Without this rule, the loss of a rack would be detected one engine at a time.
void EngineHealth::suspectCellOf(const Engine& lost) {
  const auto isNeighbour = [&lost](const Engine& engine) {
    return engine.entry.cell == lost.entry.cell && &engine != &lost;
  };
  const auto hasContact = [this](const Engine& engine) {
    return level(engine.process.health.connectionFailures) < kEjectionScore;
  };
  const auto& engines = registry_.engines();
  const bool isSecond = std::any_of(engines.begin(), engines.end(), [&](const auto& item) {
    return isNeighbour(item.second) && !hasContact(item.second);
  });
  if (!isSecond) return;
  std::set<Role> servedElsewhere;  // engines are suspected only if another cell can replace them
  for (const auto& [id, engine] : engines) {
    if (engine.entry.cell != lost.entry.cell && engine.isServing() && hasContact(engine)) {
      servedElsewhere.insert(engine.entry.role);
    }
  }
  for (auto& [id, engine] : registry_.engines()) {
    HealthRecord& health = engine.process.health;
    const bool quiet = health.lastAnswer < context_.now() - kCellSuspicionMinSilence;
    if (isNeighbour(engine) && quiet && servedElsewhere.count(engine.entry.role) > 0) {
      increase(health.cellSuspicion, kCellSuspicionSteps);
    }
  }
}

bool EngineHealth::isHalfOfRoleEjected(Role role, const Request& request) const {
  int ejected = 1;  // counts the engine that has just failed
  int all = 0;
  for (const auto& [id, engine] : registry_.engines()) {
    if (engine.entry.role != role || !engine.isServing()) continue;
    ++all;
    if (failureScore(engine, request) >= kEjectionScore) ++ejected;
  }
  return 2 * ejected > all;
}

}  // namespace gannetcourse::policy
