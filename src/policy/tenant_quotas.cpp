#include "tenant_quotas.h"

#include <algorithm>
#include <cmath>

#include "tuning.h"

namespace gannetcourse::policy {

void TenantQuotas::applySettings(const Settings& settings, Instant now) {
  quotas_.clear();
  for (const TenantSettings& tenant : settings.tenants) {
    quotas_.push_back(tenant.quotaPerSecond / settings.routerCount);
  }
  for (std::size_t i = buckets_.size(); i < quotas_.size(); ++i) {
    buckets_.push_back({capacityFor(quotas_[i]), now});
  }
}

bool TenantQuotas::consume(const RequestArrived& request, Instant now) {
  if (!request.tenant || *request.tenant >= quotas_.size() || quotas_[*request.tenant] <= 0) return true;
  const double quota = quotas_[*request.tenant];
  Bucket& bucket = buckets_[*request.tenant];
  const Duration sinceFilled = now - bucket.filledAt;
  bucket.requests = std::min(capacityFor(quota), bucket.requests + quota * sinceFilled.count());
  bucket.filledAt = now;
  if (bucket.requests < 1) return false;
  bucket.requests -= 1;
  return true;
}

// Largest burst of a tenant, in requests: its quota for kQuotaBurst plus kQuotaDeviations standard deviations
// of a Poisson count. With hundreds of routers, a router's part of the quota may be one request in ten
// seconds. The deviations and the added 1 keep two requests that arrive together within the quota even then.
double TenantQuotas::capacityFor(double quota) {
  const double burst = kQuotaBurst.count() * quota;
  return burst + kQuotaDeviations * std::sqrt(burst) + 1;
}

}  // namespace gannetcourse::policy
