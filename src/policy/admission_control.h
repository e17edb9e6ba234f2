// Admission: whether a queued request may be started now, and when one that may not is shed.
#pragma once

#include "cost_model.h"
#include "prefill_selector.h"
#include "prompt_statistics.h"
#include "role_aggregates.h"
#include "tenant_quotas.h"

namespace gannetcourse::policy {

/// Owns the tenants' quotas. Long queues at prefill engines displace the text that they have cached and so
/// slow them further; waiting in the router costs no engine anything.
class AdmissionControl {
 public:
  AdmissionControl(const DecisionContext& context, const RoleAggregates& aggregates,
                   const PromptStatistics& prompts, const CostModel& costs)
      : context_(context), aggregates_(aggregates), prompts_(prompts), costs_(costs) {}

  /// To be called at the start and with new settings.
  void applySettings() { quotas_.applySettings(context_.settings(), context_.now()); }

  /// Counts a new request against its tenant's quota; whether it is over. Retries of clients count as over
  /// it.
  bool isOverQuota(const RequestArrived& request);
  /// Whether the request may be started by this plan, which has an engine.
  bool isAdmitted(const Request& request, const PrefillPlan& plan) const;
  /// Whether a request that was not admitted is to be shed: what cannot come in time is rejected early.
  bool isToBeShed(const Request& request) const;

 private:
  Duration headroom(const Request& request) const;
  Duration longPromptAllowance(const Request& request, const PrefillPlan& plan) const;
  bool hasNoQueue(const Engine& engine) const;

  const DecisionContext& context_;
  const RoleAggregates& aggregates_;
  const PromptStatistics& prompts_;
  const CostModel& costs_;
  TenantQuotas quotas_;
};

}  // namespace gannetcourse::policy
