// The choice of a decode engine: least transfer time and wait. It is made when the prefill has ended.
#pragma once

#include <map>
#include <utility>

#include "cost_model.h"
#include "engine_eligibility.h"
#include "stream_pace.h"

namespace gannetcourse::policy {

/// The least cost of a decode engine in each cell, in each zone and anywhere, transfer left out: so that
/// ranking the prefill engines takes one pass over them and one over the decode engines.
using LeastDecodeCosts = std::map<std::pair<LinkKind, std::uint32_t>, Duration>;

/// Holds no state: the selection follows from the modules below.
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

  /// The engine for a state that waits at `from`; null where none is eligible.
  Engine* select(const Request& request, const Engine& from, HealthRule rule);

  /// Expected wait for a first token, raised for engines that are to be avoided.
  Duration waitCost(const Engine& engine, const Request& request) const;
  /// Over healthy engines, or over all where none is healthy.
  LeastDecodeCosts leastCosts(const Request& request) const;
  /// The cheapest way on from a prefill at `from`, transfer included.
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
