// Selection of a decode engine by least transfer time plus wait, made once the prefill has ended.
#pragma once

#include <map>
#include <utility>

#include "cost_model.h"
#include "engine_eligibility.h"
#include "stream_pace.h"

namespace gannetcourse::policy {

/// What a decode is expected to take, and the cost by which engines are compared.
struct DecodeEstimate {
  Duration cost{0};  ///< `time`, plus penalties for full, queueing, slow or failing engines.
  Duration time{0};  ///< Expected time until the first token.
};

/// The cheapest decode engine, without transfer, per cell, per zone and overall. This table avoids computing
/// the cost of each pair of a prefill and a decode engine when prefill engines are compared.
using LeastDecodeCosts = std::map<std::pair<LinkKind, std::uint32_t>, DecodeEstimate>;

/// Selects decode engines. Holds no state of its own; all inputs come from the referenced modules.
class DecodeSelector {
 public:
  DecodeSelector(const DecisionContext& context, EngineRegistry& registry, const RoleAggregates& aggregates,
                 const LoadScores& loads, const CostModel& costs, const StreamPace& pace,
                 const EngineHealth& health, const EngineEligibility& eligibility)
      : context_(context),
        registry_(registry),
        aggregates_(aggregates),
        loads_(loads),
        costs_(costs),
        pace_(pace),
        health_(health),
        eligibility_(eligibility) {}

  /// The engine for a state kept by the prefill engine `from`; null if none is eligible.
  Engine* select(const Request& request, const Engine& from, HealthRule rule);

  /// The wait for a first token at the engine.
  DecodeEstimate waitAt(const Engine& engine, const Request& request) const;
  /// The least costs over healthy engines, or over all engines if no healthy one is eligible.
  LeastDecodeCosts leastCosts(const Request& request) const;
  /// The cheapest decode after a prefill at `from`, including the transfer of the state.
  DecodeEstimate afterPrefill(const Engine& from, const Request& request,
                              const LeastDecodeCosts& least) const;

 private:
  LeastDecodeCosts leastCosts(const Request& request, HealthRule rule) const;
  DecodeEstimate estimate(const Engine& engine, const Request& request) const;
  double memoryUtilization(const Engine& engine) const;

  const DecisionContext& context_;
  EngineRegistry& registry_;
  const RoleAggregates& aggregates_;
  const LoadScores& loads_;
  const CostModel& costs_;
  const StreamPace& pace_;
  const EngineHealth& health_;
  const EngineEligibility& eligibility_;
};

}  // namespace gannetcourse::policy
