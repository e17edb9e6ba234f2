// Load reports of the engines, and the load score computed from them and from this router's own attempts.
#pragma once

#include <optional>

#include "decision_context.h"
#include "engine_registry.h"
#include "tuning.h"

namespace gannetcourse::policy {

/// Owns the ReportedLoad of each engine. The score is the smoothed mean of the available indicators with
/// equal weights, each normalized to 0..1; an indicator that an engine does not report counts as the mean of
/// its role.
class LoadScores {
 public:
  LoadScores(const DecisionContext& context, EngineRegistry& registry)
      : context_(context), registry_(registry) {}

  /// Stores a report, with its figures clamped. No effect without a report or if the engine is unknown.
  void recordReport(EngineId id, const std::optional<LoadReport>& report);
  /// Updates the scores. Must be called once per housekeeping period.
  void update();

  /// The last report if it is newer than kReportMaxAge, else an empty one.
  LoadReport freshReport(const Engine& engine) const;
  /// Whether the last report is newer than kReportLag, so that its queue length is still current.
  bool isQueueCurrent(const Engine& engine) const;
  /// Whether any engine has ever reported its queue.
  bool enginesReportQueues() const { return enginesReportQueues_; }
  /// Recent mean of the queues reported by prefill engines, in requests.
  double meanReportedQueue() const { return reportedQueue_.get(context_.now(), 0, kLearning); }

 private:
  const DecisionContext& context_;
  EngineRegistry& registry_;
  DecayingMean<double> reportedQueue_;
  bool enginesReportQueues_ = false;
};

}  // namespace gannetcourse::policy
