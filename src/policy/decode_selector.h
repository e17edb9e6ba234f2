// Selection of a decode engine by least transfer time plus wait, made once the prefill has ended.
#pragma once

#include <map>
#include <utility>

#include "cost_model.h"
#include "engine_eligibility.h"
#include "stream_pace.h"

namespace gannetcourse::policy {

/// The least cost of a decode engine, without transfer, per cell, per zone and overall. This table avoids
/// computing the cost of each pair of a prefill and a decode engine when prefill engines are compared.
using LeastDecodeCosts = std::map<std::pair<LinkKind, std::uint32_t>, Duration>;

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

  /// Expected wait for a first token, plus penalties for full, queueing, slow or failing engines.
  Duration waitCost(const Engine& engine, const Request& request) const;
  /// The least costs over healthy engines, or over all engines if no healthy one is eligible.
  LeastDecodeCosts leastCosts(const Request& request) const;
  /// The least cost of a decode after a prefill at `from`, including the transfer of the state.
  Duration costAfterPrefill(const Engine& from, const Request& request, const LeastDecodeCosts& least) const;

 private:
  LeastDecodeCosts leastCosts(const Request& request, HealthRule rule) const;
  Duration cost(const Engine& engine, const Request& request) const;
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
