// How long the streams of each decode engine last, against the typical length of their classes.
#pragma once

#include <cstddef>
#include <vector>

#include "decision_context.h"
#include "engine_registry.h"

namespace gannetcourse::policy {

/// Guards against decode engines that have slowed down or share their machine: their first tokens still come
/// in time. Running streams count as well as completed ones, and an engine is judged against the median of
/// all: to a router that has just started only short streams have ended, and all engines would look slow.
class StreamPace {
 public:
  StreamPace(const DecisionContext& context, const EngineRegistry& registry)
      : context_(context), registry_(registry) {}

  /// New classes start without a typical length.
  void applySettings() { typicalLengths_.resize(context_.settings().classes.size()); }
  /// Takes the median of all decode engines; to be called once each housekeeping period.
  void update();
  /// Counts one housekeeping period of a stream that runs.
  void recordStreaming(Engine& engine, const Request& request);
  /// A stream has ended well.
  void recordCompleted(Engine& engine, const Request& request);

  /// Length of the engine's streams against the median engine's; 1 = like most.
  double slowdown(const Engine& engine) const { return relativeLength(engine) / median_; }

 private:
  double relativeLength(const Engine& engine) const;

  const DecisionContext& context_;
  const EngineRegistry& registry_;
  std::vector<Duration> typicalLengths_;  // by class; 0 = not known
  double median_ = 1;
};

}  // namespace gannetcourse::policy
