// Passes answers and ends of attempts to the modules that learn from them.
#pragma once

#include "cost_model.h"
#include "engine_health.h"
#include "prefix_affinity.h"
#include "prompt_statistics.h"
#include "role_aggregates.h"
#include "stream_pace.h"

namespace gannetcourse::policy {

/// Holds no state; modifies the modules that it refers to.
class OutcomeRecorder {
 public:
  OutcomeRecorder(EngineRegistry& registry, RoleAggregates& aggregates, const PromptStatistics& prompts,
                  CostModel& costs, StreamPace& pace, PrefixAffinity& affinity, EngineHealth& health)
      : registry_(registry),
        aggregates_(aggregates),
        prompts_(prompts),
        costs_(costs),
        pace_(pace),
        affinity_(affinity),
        health_(health) {}

  /// The first token was received. Must be called before the request's stage becomes kStreaming.
  void recordFirstToken(const Request& request, Engine& engine) { costs_.recordFirstToken(engine, request); }
  /// The attempt has started to stream. Must be called after the stage became kStreaming.
  void recordStreamStarted(const Request& request, Engine& engine);
  /// The attempt has ended. Must be called before the request's stage changes.
  void recordEnd(const Request& request, const AttemptEnded& end);

 private:
  void recordPrefillEnd(const Request& request, Engine& engine, const AttemptEnded& end);
  void recordFailure(const Request& request, Engine& engine, const AttemptEnded& end);

  EngineRegistry& registry_;
  RoleAggregates& aggregates_;
  const PromptStatistics& prompts_;
  CostModel& costs_;
  StreamPace& pace_;
  PrefixAffinity& affinity_;
  EngineHealth& health_;
};

}  // namespace gannetcourse::policy
