#include "admission_control.h"

#include <algorithm>

#include "tuning.h"

namespace gannetcourse::policy {

// The engines have caught up once nothing has waited for so long that the engines' own queues, which are not
// seen from here, have got shorter too.
void AdmissionControl::recordQueue(bool isEmpty) {
  const Instant now = context_.now();
  if (isEmpty && !queueWasEmpty_) queueEmptySince_ = now;
  queueWasEmpty_ = isEmpty;
  if (isEmpty && now - queueEmptySince_ >= costs_.feedbackDelay()) caughtUpAt_ = now;
}

// An engine gets what keeps it busy until this router hears of it again. More would only wait there, where
// this router can no longer put it in another order or give it up.
bool AdmissionControl::isAdmitted(const PrefillPlan& plan) const {
  return plan.queueWait <= costs_.feedbackDelay();
}

bool AdmissionControl::isInTime(const Request& request, const PrefillPlan& plan) const {
  return context_.now() + plan.queueWait < latestStart(request, plan);
}

Instant AdmissionControl::latestStart(const Request& request, const PrefillPlan& plan) const {
  return request.deadline - plan.work() - costs_.prefillDelay();
}

bool AdmissionControl::canAwaitEngineList(const Request& request, Duration workAhead) const {
  const Duration attempt = request.deadline - request.latestStart;
  return context_.now() + workAhead / rate_.get() + attempt < request.latestStart;
}

// If more work has come in than engines can do, the queue does not get shorter, and whoever joins it only
// adds to the wait of all. Then a request is kept only as long as it may be started in one of the next
// passes.
bool AdmissionControl::canWaitBehind(const Request& request, Duration workAhead) const {
  const Duration wait = workAhead / rate_.get();
  const Duration left = request.latestStart - context_.now();
  if (wait >= left) return false;
  return wait <= costs_.feedbackDelay() || !isOverloaded(request.flow(), left);
}

// Whether the work that has come in for the flow, in a span as long as the time that a caller has left, was
// more than engines can do of it in such a span. What came in before the queue was last empty has been done.
// The flow's part of the engines is its share by weight, or what the other flows leave if that is more; flows
// over quota get what those within quota leave.
bool AdmissionControl::isOverloaded(const FlowKey& flow, Duration span) const {
  const Instant since = std::max(caughtUpAt_, context_.now() - span);
  Duration capacity = span * rate_.get();
  Duration demandOfOthers{0};
  double weights = context_.weightOf(flow);
  for (const FlowKey& other : demand_.flows()) {
    if (other == flow || (other.overQuota && !flow.overQuota)) continue;
    const Duration demand = demand_.since(other, since).work;
    if (other.overQuota != flow.overQuota) {
      capacity = std::max(Duration(0), capacity - demand);
    } else if (demand > Duration(0)) {
      demandOfOthers += demand;
      weights += context_.weightOf(other);
    }
  }
  const Duration share = capacity * (context_.weightOf(flow) / weights);
  const Demand demand = demand_.since(flow, since);
  return demand.work - demand.deviation > std::max(share, capacity - demandOfOthers);
}

}  // namespace gannetcourse::policy
