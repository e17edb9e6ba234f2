// Admission control: decides whether a queued request is started now, stays queued or is rejected.
#pragma once

#include <map>

#include "cost_model.h"
#include "demand_history.h"
#include "prefill_selector.h"
#include "service_rate.h"
#include "tenant_quotas.h"

namespace gannetcourse::policy {

/// Owns the tenants' quotas and the history of demand. Requests that are not admitted wait in the router's
/// queue instead of a prefill engine's queue: there they can still be put in another order, or be given up
/// before an engine has worked for them.
class AdmissionControl {
 public:
  AdmissionControl(const DecisionContext& context, const CostModel& costs, const ServiceRate& rate)
      : context_(context), costs_(costs), rate_(rate), demand_(context) {}

  /// Must be called at the start and whenever the settings change.
  void applySettings() { quotas_.applySettings(context_.settings(), context_.now()); }

  /// Counts a new request against its tenant's quota. Returns whether it is over quota.
  bool isOverQuota(const RequestArrived& request) { return !quotas_.consume(request, context_.now()); }
  /// Counts a new request, whose prefill work must be known, as demand.
  void recordArrival(const Request& request) { demand_.record(request.flow(), request.prefillWork); }
  /// Must be called once per housekeeping period with whether no request waits.
  void recordQueue(bool isEmpty);

  /// Whether the engine of the plan may get another request now.
  bool isAdmitted(const PrefillPlan& plan) const;
  /// Whether the plan's first token is expected before the client's deadline.
  bool isInTime(const Request& request, const PrefillPlan& plan) const;
  /// The latest start at which a plan of this kind is in time, if the engine has no queue then.
  Instant latestStart(const Request& request, const PrefillPlan& plan) const;
  /// Whether a queued request can wait for the current engine list and then still be started twice in time
  /// behind `workAhead`, since its first attempt may fail.
  bool canAwaitEngineList(const Request& request, Duration workAhead) const;
  /// Whether the request can be expected to be in time if it waits behind `workAhead`, the prefill work that
  /// goes before it.
  bool canWaitBehind(const Request& request, Duration workAhead) const;

 private:
  bool isOverloaded(const FlowKey& flow, Duration span) const;

  const DecisionContext& context_;
  const CostModel& costs_;
  const ServiceRate& rate_;
  DemandHistory demand_;
  Instant queueEmptySince_ = kLongAgo;  // valid if the queue was empty when last seen
  bool queueWasEmpty_ = true;
  Instant caughtUpAt_ = kLongAgo;  // when all work that had come in until then was last done
  TenantQuotas quotas_;
};

}  // namespace gannetcourse::policy
