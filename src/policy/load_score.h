// Load reports of the engines, and the load score made of them and of this router's own attempts.
#pragma once

#include <optional>

#include "decision_context.h"
#include "engine_registry.h"
#include "tuning.h"

namespace gannetcourse::policy {

/// Owns each engine's reported load and score. The score is a smoothed mean of the indicators at hand with
/// equal weights, each brought to 0..1; an indicator that an engine does not report counts as the mean of its
/// role.
class LoadScores {
 public:
  LoadScores(const DecisionContext& context, EngineRegistry& registry)
      : context_(context), registry_(registry) {}

  /// Takes in a report, bounded; nothing where there is none or the engine is unknown.
  void recordReport(EngineId id, const std::optional<LoadReport>& report);
  /// To be called once each housekeeping period.
  void update();

  /// The last report if it is recent enough to be used, else an empty one.
  LoadReport freshReport(const Engine& engine) const;
  /// Whether the report is so recent that what it says of the queue still holds.
  bool isQueueCurrent(const Engine& engine) const;
  /// Whether any engine has reported a queue so far.
  bool enginesReportQueues() const { return enginesReportQueues_; }
  /// Mean queue that prefill engines reported lately, in requests.
  double meanReportedQueue() const { return reportedQueue_.get(context_.now(), 0, kLearning); }

 private:
  const DecisionContext& context_;
  EngineRegistry& registry_;
  DecayingMean<double> reportedQueue_;
  bool enginesReportQueues_ = false;
};

}  // namespace gannetcourse::policy
