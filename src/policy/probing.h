// Probes: requests for an engine's load report, within a budget.
#pragma once

#include "decision_context.h"
#include "engine_registry.h"
#include "load_score.h"

namespace gannetcourse::policy {

/// Owns the budget. What probes may cost is saved up by the request; it goes first to the prefill engines
/// that requests are about to go to and to the decode engines after them, and what is left to any decode
/// engine.
class Probing {
 public:
  Probing(DecisionContext& context, EngineRegistry& registry, const LoadScores& loads)
      : context_(context), registry_(registry), loads_(loads) {}

  /// A request has arrived and adds to the budget.
  void onRequest();
  /// Spends what is left of a well-filled budget.
  void probeDecodeEngines();
  /// Whether probes are allowed and the budget has one.
  bool canProbe() const;
  /// Probes the engine, unless that is not allowed now.
  void probe(Engine& engine);

  /// Whether the request should wait for a probe of the prefill engine's queue before it is sent there; sends
  /// the probe. With many routers most of an engine's queue is others'.
  bool awaitsQueueProbe(Request& request, Engine& engine);

 private:
  DecisionContext& context_;
  EngineRegistry& registry_;
  const LoadScores& loads_;
  double budget_ = 1;  // probes that may be sent now
};

}  // namespace gannetcourse::policy
