#include "slow_start.h"

#include <algorithm>

#include "tuning.h"

namespace gannetcourse::policy {

void SlowStart::onProcessStarted(Engine& engine, Instant startedAt, bool listIsCurrent) {
  const Instant now = context_.now();
  const Instant earliest = now - context_.settings().slowStartDuration;
  const bool plausible = startedAt <= now && (!listIsCurrent || startedAt >= earliest);
  SlowStartRecord& record = engine.slowStart;
  record.since = std::max(record.since, plausible ? startedAt : now);
  record.seenAt = now;
  record.phase = context_.randomUnit();
}

void SlowStart::onContactRegained(Engine& engine) {
  engine.slowStart.since = std::max(engine.slowStart.since, context_.now());
}

void SlowStart::recordAttempt(Engine& engine, const Request& request) {
  const Instant oldest = context_.now() - context_.settings().slowStartDuration;
  std::deque<SlowStartRecord::Start>& attempts = engine.slowStart.attempts;
  attempts.push_back({context_.now(), prompts_.weightOf(request)});
  while (attempts.front().at < oldest) attempts.pop_front();
}

// Weighted requests that this router may start per slowStartWindow. The router's own peak rate at the role's
// engines is taken as its share of an engine's capacity. All routers together then start no more than a fully
// started engine has served before.
double SlowStart::budgetOf(const Engine& engine, Duration age) const {
  const Settings& settings = context_.settings();
  const double initial = settings.slowStartInitialCapacity;
  const double capacity = initial + (1 - initial) / 2 * std::min(1.0, age / settings.slowStartDuration);
  const double known = settings.slowStartOverloadFactor * capacity * aggregates_.of(engine).peakRate *
                       settings.slowStartWindow.count();
  return std::max(known, std::min(1.0, kUnknownCapacityRequests / settings.routerCount));
}

bool SlowStart::isWithinBudget(const Engine& engine, const Request& request) const {
  const SlowStartRecord& record = engine.slowStart;
  const Settings& settings = context_.settings();
  const Instant now = context_.now();
  const Duration age = std::max(Duration(0), now - record.since);
  if (age >= settings.slowStartDuration + settings.slowStartWindow) return true;
  const double budget = budgetOf(engine, age);
  const double weight = prompts_.weightOf(request);
  // If the budget of a window does not cover the request, one request may be started per longer span, and the
  // first only after a random part of the span. Otherwise all routers would send their first request to a new
  // engine at the same time, either when it is listed or one window later.
  const Duration span = settings.slowStartWindow * std::max(1.0, weight / budget);
  if (budget < weight && now - record.seenAt < record.phase * span) return false;
  double spent = 0;
  for (const SlowStartRecord::Start& start : record.attempts) {
    if (start.at > now - span) spent += start.weight;
  }
  return spent + weight <= std::max(budget, weight);
}

}  // namespace gannetcourse::policy
