// Fair shares: a token bucket for each tenant, filled at this node's part of its quota.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

#include "gannetcourse/policy.h"
#include "tuning.h"

namespace gannetcourse {

class FairShares {
 public:
  // Tenants that are new in the settings begin with a full bucket, the others keep theirs.
  void takeSettings(const Settings& settings, double now) {
    quotas_.clear();
    for (const TenantSettings& tenant : settings.tenants)
      quotas_.push_back(tenant.quotaPerSecond / settings.routerCount);
    for (std::size_t i = buckets_.size(); i < quotas_.size(); ++i)
      buckets_.push_back({depth(quotas_[i]), now});
  }

  // Takes one request out of its tenant's bucket; whether it was within the tenant's share.
  bool admit(const RequestArrived& request, double now) {
    if (!request.tenant || *request.tenant >= quotas_.size() || quotas_[*request.tenant] <= 0) return true;
    const double quota = quotas_[*request.tenant];
    Bucket& bucket = buckets_[*request.tenant];
    bucket.requests = std::min(depth(quota), bucket.requests + quota * (now - bucket.filledAt));
    bucket.filledAt = now;
    if (bucket.requests < 1) return false;
    bucket.requests -= 1;
    return true;
  }

 private:
  struct Bucket {
    double requests, filledAt;
  };

  // What a tenant may ask of this node at once: its part of some seconds, and what chance may add to it. With
  // hundreds of nodes a node's part is a request in ten seconds, and two that came together looked beyond it.
  static double depth(double quota) {
    return kShareSpan * quota + kShareChance * std::sqrt(kShareSpan * quota) + 1;
  }

  std::vector<double> quotas_;   // requests a second, of this node
  std::vector<Bucket> buckets_;  // also of tenants that the settings no longer name
};

}  // namespace gannetcourse
