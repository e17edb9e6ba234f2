// Unit tests of the tenants' token buckets.
#include "policy/tenant_quotas.h"

#include <gtest/gtest.h>

namespace gannetcourse::policy {
namespace {

Instant at(double seconds) { return Instant(Duration(seconds)); }

Settings settingsWith(std::vector<TenantSettings> tenants, int routers) {
  Settings settings;
  settings.tenants = std::move(tenants);
  settings.routerCount = routers;
  return settings;
}

RequestArrived requestOf(std::size_t tenant) {
  RequestArrived request;
  request.tenant = tenant;
  return request;
}

// Consumes the quota until it is exhausted; returns the number of requests, at most 1000.
int consumeQuota(TenantQuotas& quotas, std::size_t tenant, Instant now) {
  int consumed = 0;
  while (consumed < 1000 && quotas.consume(requestOf(tenant), now)) ++consumed;
  return consumed;
}

TEST(TenantQuotas, BucketHoldsTheBurstAndThreeDeviations) {
  TenantQuotas quotas;
  quotas.applySettings(settingsWith({{0.5, 8}}, 2), at(0));
  // This router's share is 4 per second. The bucket holds 16 for 4 s, three standard deviations of 4, and 1.
  EXPECT_EQ(consumeQuota(quotas, 0, at(0)), 29);
  EXPECT_EQ(consumeQuota(quotas, 0, at(1)), 4) << "it is refilled at 4 per second";
}

TEST(TenantQuotas, DoesNotLimitUnknownTenantsOrTenantsWithoutQuota) {
  TenantQuotas quotas;
  quotas.applySettings(settingsWith({{0.5, 0}}, 1), at(0));
  EXPECT_EQ(consumeQuota(quotas, 0, at(0)), 1000);
  EXPECT_EQ(consumeQuota(quotas, 5, at(0)), 1000);
  EXPECT_TRUE(quotas.consume(RequestArrived{}, at(0)));
}

TEST(TenantQuotas, KeepsTheBucketsOfKnownTenantsWhenSettingsChange) {
  TenantQuotas quotas;
  quotas.applySettings(settingsWith({{0.5, 4}}, 1), at(0));
  EXPECT_EQ(consumeQuota(quotas, 0, at(0)), 29);
  quotas.applySettings(settingsWith({{0.5, 4}, {0.5, 4}}, 1), at(0));
  EXPECT_EQ(consumeQuota(quotas, 0, at(0)), 0);
  EXPECT_EQ(consumeQuota(quotas, 1, at(0)), 29);
}

}  // namespace
}  // namespace gannetcourse::policy
