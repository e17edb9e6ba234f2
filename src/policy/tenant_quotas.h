// Quotas of tenants: one token bucket per tenant, refilled at this router's part of the tenant's quota.
#pragma once

#include <cstddef>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::policy {

/// Owns the buckets of all tenants, indexed as in Settings::tenants.
class TenantQuotas {
 public:
  /// Takes over the quotas. New tenants start with a full bucket; existing tenants keep theirs.
  void applySettings(const Settings& settings, Instant now);

  /// Takes one request from its tenant's bucket. Returns whether it was within the quota; requests without a
  /// tenant or quota always are.
  bool consume(const RequestArrived& request, Instant now);

 private:
  struct Bucket {
    double requests;
    Instant filledAt;
  };
  static double capacityFor(double quota);

  std::vector<double> quotas_;   // requests per second at this router
  std::vector<Bucket> buckets_;  // also of tenants that the settings no longer contain
};

}  // namespace gannetcourse::policy
