// Quotas of tenants: a token bucket for each, filled at this router's part of the tenant's quota.
#pragma once

#include <cstddef>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::policy {

/// Owns the buckets of all tenants, numbered as in the settings.
class TenantQuotas {
 public:
  /// Tenants that are new in the settings begin with a full bucket, the others keep theirs.
  void applySettings(const Settings& settings, Instant now);

  /// Takes one request out of its tenant's bucket; whether it was within the quota. Requests without a tenant
  /// or quota always are.
  bool consume(const RequestArrived& request, Instant now);

 private:
  struct Bucket {
    double requests;
    Instant filledAt;
  };
  static double capacityFor(double quota);

  std::vector<double> quotas_;   // requests a second, of this router
  std::vector<Bucket> buckets_;  // also of tenants that the settings no longer name
};

}  // namespace gannetcourse::policy
