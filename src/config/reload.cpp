#include "config/reload.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::config {
namespace {

// Whether requests of one may be finished under the other; ClassLimits may differ, as only the checks of new
// requests read them.
bool haveSameObjectives(ClassSettings a, const ClassSettings& b) {
  a.inService = b.inService;
  return a == b;
}

std::size_t indexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

// Two classes of one name never take the same index: the first to come has put it in service.
void mergeClasses(const NodeSettings& running, NodeSettings& fresh) {
  std::vector<ClassSettings> classes = running.policy.classes;
  std::vector<ClassLimits> limits = running.classes;
  for (ClassSettings& settings : classes) settings.inService = false;
  for (std::size_t i = 0; i < fresh.classes.size(); ++i) {
    std::size_t index = 0;
    const auto isEarlier = [&](std::size_t at) {
      return !classes[at].inService && limits[at].name == fresh.classes[i].name &&
             haveSameObjectives(classes[at], fresh.policy.classes[i]);
    };
    while (index < classes.size() && !isEarlier(index)) ++index;
    if (index == classes.size()) {
      classes.emplace_back();
      limits.emplace_back();
    }
    classes[index] = fresh.policy.classes[i];
    limits[index] = fresh.classes[i];
  }
  fresh.policy.classes = std::move(classes);
  fresh.classes = std::move(limits);
}

void mergeTenants(const NodeSettings& running, NodeSettings& fresh) {
  std::vector<TenantSettings> tenants = running.policy.tenants;
  std::vector<std::string> names = running.tenants;
  for (TenantSettings& tenant : tenants) tenant.inService = false;
  for (std::size_t i = 0; i < fresh.tenants.size(); ++i) {
    const std::size_t index = indexOf(names, fresh.tenants[i]);
    if (index == names.size()) {
      names.push_back(fresh.tenants[i]);
      tenants.emplace_back();
    }
    tenants[index] = fresh.policy.tenants[i];
  }
  fresh.policy.tenants = std::move(tenants);
  fresh.tenants = std::move(names);
}

void mergeZones(const NodeSettings& running, NodeSettings& fresh) {
  std::vector<std::string> zones = running.zones;
  for (const std::string& zone : fresh.zones) {
    if (indexOf(zones, zone) == zones.size()) zones.push_back(zone);
  }
  fresh.zones = std::move(zones);
  fresh.policy.zone = running.policy.zone;  // a running node's own zone is fixed
}

}  // namespace

NodeSettings mergeForReload(const NodeSettings& running, NodeSettings fresh) {
  mergeClasses(running, fresh);
  mergeTenants(running, fresh);
  mergeZones(running, fresh);
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
