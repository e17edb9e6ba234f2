// Slow start: an engine that has just started, or is back after lost contact, gets few attempts at first.
#pragma once

#include "decision_context.h"
#include "prompt_statistics.h"
#include "role_aggregates.h"

namespace gannetcourse::policy {

/// The budget of all warming engines, for this router. The routers together must stay within what the
/// settings say that an engine bears, without hearing of each other.
class SlowStart {
 public:
  SlowStart(DecisionContext& context, const RoleAggregates& aggregates, const PromptStatistics& prompts)
      : context_(context), aggregates_(aggregates), prompts_(prompts) {}

  /// The engine list shows a new process. `startedAt` is by the wall clock, which may have been stepped here
  /// or where it was written: a start in the future is not believed, and one that is reported as a change
  /// (`listIsCurrent`: an earlier list was no cached one) must be recent.
  void onProcessStarted(Engine& engine, Instant startedAt, bool listIsCurrent);
  /// The engine answers again after its contact was lost.
  void onContactRegained(Engine& engine);
  /// An attempt is started there.
  void recordAttempt(Engine& engine, const Request& request);

  /// Whether an attempt of the request keeps the engine within its budget; always so for a warm engine.
  bool isWithinBudget(const Engine& engine, const Request& request) const;

 private:
  double budgetOf(const Engine& engine, Duration age) const;

  DecisionContext& context_;
  const RoleAggregates& aggregates_;
  const PromptStatistics& prompts_;
};

}  // namespace gannetcourse::policy
