// The rate at which prefill engines take this router's requests while some wait.
#pragma once

#include "cost_model.h"
#include "decaying_statistics.h"
#include "decision_context.h"
#include "role_aggregates.h"

namespace gannetcourse::policy {

/// Learns the rate from the requests that are started while others wait.
class ServiceRate {
 public:
  ServiceRate(const DecisionContext& context, const RoleAggregates& aggregates, const CostModel& costs)
      : context_(context), aggregates_(aggregates), costs_(costs) {}

  /// Must be called once per housekeeping period with whether no request waits.
  void recordQueue(bool isEmpty);
  /// A request was started.
  void recordStarted(Duration prefillWork);
  /// Prefill work in seconds that engines take from this router per second while requests wait; above 0.
  double get() const;

 private:
  const DecisionContext& context_;
  const RoleAggregates& aggregates_;
  const CostModel& costs_;
  bool isWaiting_ = false;  // whether a request waited in the last housekeeping period
  DecayingSum started_;     // prefill work while requests waited, in seconds
  DecayingSum waited_;      // time during which requests waited, in seconds
};

}  // namespace gannetcourse::policy
