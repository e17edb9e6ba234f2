// Slow start: limits the attempts at an engine that has just started or answers again after lost contact.
#pragma once

#include "decision_context.h"
#include "prompt_statistics.h"
#include "role_aggregates.h"

namespace gannetcourse::policy {

/// Owns the SlowStartRecord of each engine and computes how many requests this router may start at the
/// engine. All routers together must stay within the overload limits of the settings, without exchanging
/// information.
class SlowStart {
 public:
  SlowStart(DecisionContext& context, const RoleAggregates& aggregates, const PromptStatistics& prompts)
      : context_(context), aggregates_(aggregates), prompts_(prompts) {}

  /// The engine list shows a new process. `startedAt` comes from a wall clock, which may be wrong on either
  /// machine. It is replaced by the current time if it is in the future, or if `listIsCurrent` and an engine
  /// started then would have its full capacity by now. `listIsCurrent`: a list other than a cached one was
  /// received before, so the start is a recent change.
  void onProcessStarted(Engine& engine, Instant startedAt, bool listIsCurrent);
  /// The engine has answered again after lost contact.
  void onContactRegained(Engine& engine);
  /// An attempt was started at the engine.
  void recordAttempt(Engine& engine, const Request& request);

  /// Whether an attempt of the request would keep the engine within its budget; always true after its slow
  /// start.
  bool isWithinBudget(const Engine& engine, const Request& request) const;

 private:
  double budgetOf(const Engine& engine, Duration age) const;

  DecisionContext& context_;
  const RoleAggregates& aggregates_;
  const PromptStatistics& prompts_;
};

}  // namespace gannetcourse::policy
