#include "config/reload.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::config {
namespace {

// Whether requests of one may be finished under the other; what only the checks of new ones read may differ.
bool sameRules(ClassSettings a, const ClassSettings& b) {
  a.inService = b.inService;
  return a == b;
}

void carryClasses(const NodeSettings& running, NodeSettings& fresh) {
  std::vector<ClassSettings> classes = running.policy.classes;
  std::vector<ClassLimits> limits = running.classes;
  for (ClassSettings& c : classes) c.inService = false;
  for (std::size_t i = 0; i < fresh.classes.size(); ++i) {
    std::size_t at = 0;
    while (at < classes.size() && (classes[at].inService || limits[at].name != fresh.classes[i].name ||
                                   !sameRules(classes[at], fresh.policy.classes[i])))
      ++at;
    if (at == classes.size()) {
      classes.emplace_back();
      limits.emplace_back();
    }
    classes[at] = fresh.policy.classes[i];
    limits[at] = fresh.classes[i];
  }
  fresh.policy.classes = std::move(classes);
  fresh.classes = std::move(limits);
}

void carryTenants(const NodeSettings& running, NodeSettings& fresh) {
  std::vector<TenantSettings> tenants = running.policy.tenants;
  std::vector<std::string> names = running.tenants;
  for (TenantSettings& t : tenants) t.inService = false;
  for (std::size_t i = 0; i < fresh.tenants.size(); ++i) {
    const auto at =
        static_cast<std::size_t>(std::find(names.begin(), names.end(), fresh.tenants[i]) - names.begin());
    if (at == names.size()) {
      names.push_back(fresh.tenants[i]);
      tenants.emplace_back();
    }
    tenants[at] = fresh.policy.tenants[i];
  }
  fresh.policy.tenants = std::move(tenants);
  fresh.tenants = std::move(names);
}

}  // namespace

NodeSettings mergeForReload(const NodeSettings& running, NodeSettings fresh) {
  carryClasses(running, fresh);
  carryTenants(running, fresh);
  std::vector<std::string> zones = running.zones;
  for (const std::string& zone : fresh.zones) {
    if (std::find(zones.begin(), zones.end(), zone) == zones.end()) zones.push_back(zone);
  }
  fresh.zones = std::move(zones);
  fresh.policy.zone = running.policy.zone;  // a running node stays where it is
  fresh.policy.seed = running.policy.seed;
  return fresh;
}

std::optional<std::size_t> findClassInService(const NodeSettings& settings, std::string_view name) {
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    if (settings.policy.classes[i].inService && settings.classes[i].name == name) return i;
  }
  return std::nullopt;
}

std::optional<std::size_t> findTenantInService(const NodeSettings& settings, std::string_view name) {
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    if (settings.policy.tenants[i].inService && settings.tenants[i] == name) return i;
  }
  return std::nullopt;
}

}  // namespace gannetcourse::config
