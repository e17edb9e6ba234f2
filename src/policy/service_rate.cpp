#include "service_rate.h"

#include <algorithm>

#include "tuning.h"

namespace gannetcourse::policy {

void ServiceRate::recordStarted(Duration prefillWork) {
  if (isWaiting_) started_.add(prefillWork.count(), context_.now(), kServiceRateWindow);
}

void ServiceRate::recordQueue(bool isEmpty) {
  isWaiting_ = !isEmpty;
  if (isWaiting_) waited_.add(kHousekeepingPeriod.count(), context_.now(), kServiceRateWindow);
}

// The prior is that each engine does one second of work per second, in equal parts for all routers.
double ServiceRate::get() const {
  const Instant now = context_.now();
  const double engines = aggregates_.of(Role::kPrefill).serving + aggregates_.of(Role::kMixed).serving;
  const double prior = std::max(1.0, engines) / context_.settings().routerCount;
  const double priorWork = kServiceRatePriorRequests * costs_.usualPrefillWork().count();
  return (started_.get(now, kServiceRateWindow) + priorWork) /
         (waited_.get(now, kServiceRateWindow) + priorWork / prior);
}

}  // namespace gannetcourse::policy
