// What the modules learn from an attempt that answers or ends.
#pragma once

#include "cost_model.h"
#include "engine_health.h"
#include "prefix_affinity.h"
#include "prompt_statistics.h"
#include "role_aggregates.h"
#include "stream_pace.h"

namespace gannetcourse::policy {

/// Passes outcomes on to the modules that learn from them. Holds no state.
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

  /// The first token has come; to be called while the request is still at the stage before.
  void recordFirstToken(const Request& request, Engine& engine) { costs_.recordFirstToken(engine, request); }
  /// The attempt now streams.
  void recordStreamStarted(const Request& request, Engine& engine);
  /// The attempt has ended; to be called while the request is still at the stage that it ended in.
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
