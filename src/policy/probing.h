// Sends probes, which ask engines for their load report, within a budget.
#pragma once

#include "decision_context.h"
#include "engine_registry.h"
#include "load_score.h"
#include "tuning.h"

namespace gannetcourse::policy {

/// Owns the budgets of probes, to which each request adds: one for decode engines, and one for the queues of
/// prefill engines. The prefill engine selected for a request and the decode engine expected after the
/// prefill may be probed whenever the budget covers a probe. Other decode engines are probed only while their
/// budget is at least half of its maximum.
class Probing {
 public:
  Probing(DecisionContext& context, EngineRegistry& registry, const LoadScores& loads)
      : context_(context), registry_(registry), loads_(loads) {}

  /// A request has arrived: adds to the budgets.
  void onRequest();
  /// Probes decode engines while their budget is at least half of kMaxSavedProbes.
  void probeDecodeEngines();
  /// Probes the engine, which is likely to get a decode soon, if that is allowed now.
  void probeDecodeEngine(Engine& engine);

  /// Returns whether the request has to wait for a probe of the prefill engine's queue before its prefill is
  /// started, and sends the probe if needed. Probes are needed because, with many routers, most of an
  /// engine's queue comes from other routers.
  bool awaitsQueueProbe(Request& request, Engine& engine);

 private:
  bool canProbe(const Engine& engine, double budget) const;
  void probe(Engine& engine, double& budget);

  DecisionContext& context_;
  EngineRegistry& registry_;
  const LoadScores& loads_;
  double decodeProbes_ = 1;               // that may be sent now
  double queueProbes_ = kMaxQueueProbes;  // that may be sent now
};

}  // namespace gannetcourse::policy
