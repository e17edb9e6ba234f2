// Durations of each decode engine's streams, relative to the typical duration in their classes.
#pragma once

#include <cstddef>
#include <vector>

#include "decision_context.h"
#include "engine_registry.h"

namespace gannetcourse::policy {

/// Owns the typical stream lengths and the stream sums of each engine's PerformanceRecord. Detects decode
/// engines that have slowed down or share their machine, which the time to the first token does not show.
///
/// Running streams count as well as completed ones. Shortly after a router's start only short streams have
/// completed, so all engines would look slow compared with the typical length. Each engine is therefore
/// compared with the median engine.
class StreamPace {
 public:
  StreamPace(const DecisionContext& context, const EngineRegistry& registry)
      : context_(context), registry_(registry) {}

  /// Adapts to the classes of the settings; new classes start without a typical length.
  void applySettings() { typicalLengths_.resize(context_.settings().classes.size()); }
  /// Updates the median of all decode engines. Must be called once per housekeeping period.
  void update();
  /// Counts one housekeeping period of a running stream.
  void recordStreaming(Engine& engine, const Request& request);
  /// A stream has completed successfully.
  void recordCompleted(Engine& engine, const Request& request);

  /// How much longer the engine's streams last than those of the median engine, as a ratio; 1 = equally long.
  double slowdown(const Engine& engine) const { return relativeLength(engine) / median_; }
  /// The typical length of a stream, of the class with the longest ones.
  Duration usualLength() const;
  /// Expected time until one of the engine's streams ends, which frees a slot and memory.
  Duration timeUntilStreamEnds(const Engine& engine) const;

 private:
  double relativeLength(const Engine& engine) const;

  const DecisionContext& context_;
  const EngineRegistry& registry_;
  std::vector<Duration> typicalLengths_;  // by class; 0 = not known
  double median_ = 1;                     // of relativeLength() over the decode engines, at least 1
};

}  // namespace gannetcourse::policy
