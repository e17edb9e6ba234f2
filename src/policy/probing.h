// Sends probes, which ask engines for their load report, within a budget.
#pragma once

#include "decision_context.h"
#include "engine_registry.h"
#include "load_score.h"

namespace gannetcourse::policy {

/// Owns the budget of probes, to which each request adds. The prefill engine selected for a request and the
/// decode engine expected after the prefill may be probed whenever the budget covers a probe. Other decode
/// engines are probed only while the budget is at least half of its maximum.
class Probing {
 public:
  Probing(DecisionContext& context, EngineRegistry& registry, const LoadScores& loads)
      : context_(context), registry_(registry), loads_(loads) {}

  /// A request has arrived: adds to the budget.
  void onRequest();
  /// Probes decode engines while the budget is at least half of kMaxSavedProbes.
  void probeDecodeEngines();
  /// Whether probes are allowed and the budget covers at least one.
  bool canProbe() const;
  /// Probes the engine if that is allowed now.
  void probe(Engine& engine);

  /// Returns whether the request has to wait for a probe of the prefill engine's queue before its prefill is
  /// started, and sends the probe if needed. Probes are needed because, with many routers, most of an
  /// engine's queue comes from other routers.
  bool awaitsQueueProbe(Request& request, Engine& engine);

 private:
  DecisionContext& context_;
  EngineRegistry& registry_;
  const LoadScores& loads_;
  double budget_ = 1;  // probes that may be sent now
};

}  // namespace gannetcourse::policy
