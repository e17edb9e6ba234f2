#include "config/reload.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::config {
namespace {

// Whether a request accepted under one class can be finished under the other. ClassLimits are not compared:
// they apply only when a request is accepted.
bool areEqualIgnoringInService(ClassSettings a, const ClassSettings& b) {
  a.inService = b.inService;
  return a == b;
}

std::size_t indexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

// Keeps the index of each class whose settings are unchanged and appends the others. A match takes the index
// into service, so that no later class is merged into the same index.
void mergeClasses(const NodeSettings& running, NodeSettings& updated) {
  std::vector<ClassSettings> classes = running.policy.classes;
  std::vector<ClassLimits> limits = running.classes;
  for (ClassSettings& settings : classes) settings.inService = false;
  for (std::size_t i = 0; i < updated.classes.size(); ++i) {
    std::size_t index = 0;
    const auto canReuseIndex = [&](std::size_t at) {
      return !classes[at].inService && limits[at].name == updated.classes[i].name &&
             areEqualIgnoringInService(classes[at], updated.policy.classes[i]);
    };
    while (index < classes.size() && !canReuseIndex(index)) ++index;
    if (index == classes.size()) {
      classes.emplace_back();
      limits.emplace_back();
    }
    classes[index] = updated.policy.classes[i];
    limits[index] = updated.classes[i];
  }
  updated.policy.classes = std::move(classes);
  updated.classes = std::move(limits);
}

void mergeTenants(const NodeSettings& running, NodeSettings& updated) {
  std::vector<TenantSettings> tenants = running.policy.tenants;
  std::vector<std::string> names = running.tenants;
  for (TenantSettings& tenant : tenants) tenant.inService = false;
  for (std::size_t i = 0; i < updated.tenants.size(); ++i) {
    const std::size_t index = indexOf(names, updated.tenants[i]);
    if (index == names.size()) {
      names.push_back(updated.tenants[i]);
      tenants.emplace_back();
    }
    tenants[index] = updated.policy.tenants[i];
  }
  updated.policy.tenants = std::move(tenants);
  updated.tenants = std::move(names);
}

void mergeZones(const NodeSettings& running, NodeSettings& updated) {
  std::vector<std::string> zones = running.zones;
  for (const std::string& zone : updated.zones) {
    if (indexOf(zones, zone) == zones.size()) zones.push_back(zone);
  }
  updated.zones = std::move(zones);
  updated.policy.zone = running.policy.zone;  // a node's own zone changes only with a restart
}

}  // namespace

NodeSettings mergeForReload(const NodeSettings& running, NodeSettings updated) {
  mergeClasses(running, updated);
  mergeTenants(running, updated);
  mergeZones(running, updated);
  updated.policy.seed = running.policy.seed;
  return updated;
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
