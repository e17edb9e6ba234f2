// The token buckets of tenants, by themselves.
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

int requestsWithinQuota(TenantQuotas& quotas, std::size_t tenant, Instant now) {
  int within = 0;
  while (within < 1000 && quotas.consume(requestOf(tenant), now)) ++within;
  return within;
}

TEST(TenantQuotas, ABucketHoldsItsBurstAndChance) {
  TenantQuotas quotas;
  quotas.applySettings(settingsWith({{0.5, 8}}, 2), at(0));
  // This router's part is 4 a second: 16 in four seconds, three deviations of 4, and one.
  EXPECT_EQ(requestsWithinQuota(quotas, 0, at(0)), 29);
  EXPECT_EQ(requestsWithinQuota(quotas, 0, at(1)), 4) << "filled at 4 a second";
}

TEST(TenantQuotas, UnknownTenantsAndQuotasAreNotLimited) {
  TenantQuotas quotas;
  quotas.applySettings(settingsWith({{0.5, 0}}, 1), at(0));
  EXPECT_EQ(requestsWithinQuota(quotas, 0, at(0)), 1000);
  EXPECT_EQ(requestsWithinQuota(quotas, 5, at(0)), 1000);
  EXPECT_TRUE(quotas.consume(RequestArrived{}, at(0)));
}

TEST(TenantQuotas, NewSettingsKeepTheBucketsOfKnownTenants) {
  TenantQuotas quotas;
  quotas.applySettings(settingsWith({{0.5, 4}}, 1), at(0));
  EXPECT_EQ(requestsWithinQuota(quotas, 0, at(0)), 29);
  quotas.applySettings(settingsWith({{0.5, 4}, {0.5, 4}}, 1), at(0));
  EXPECT_EQ(requestsWithinQuota(quotas, 0, at(0)), 0);
  EXPECT_EQ(requestsWithinQuota(quotas, 1, at(0)), 29);
}

}  // namespace
}  // namespace gannetcourse::policy
