#include "router/settings_compatibility.h"

#include <cstddef>

#include "gannetcourse/router.h"

namespace gannetcourse::router {
namespace {

bool hasSameEffectGuarantees(const ClassSettings& a, const ClassSettings& b) {
  return a.idempotency == b.idempotency && a.dedupScope == b.dedupScope && a.dedupWindow == b.dedupWindow;
}

bool isCompatible(const Settings& current, const Settings& updated) {
  if (updated.classes.size() < current.classes.size()) return false;
  if (updated.tenants.size() < current.tenants.size()) return false;
  for (std::size_t i = 0; i < current.classes.size(); ++i) {
    if (!hasSameEffectGuarantees(current.classes[i], updated.classes[i])) return false;
  }
  return true;
}

}  // namespace

void requireCompatible(const Settings& current, const Settings& updated) {
  if (!isCompatible(current, updated))
    throw IncompatibleSettings(
        "rule 2 (no effect twice): the new settings must keep all classes and tenants, and the idempotency "
        "and deduplication of each class");
}

recovery::Limits recoveryLimits(const Settings& settings, recovery::Limits limits) {
  limits.maxAttempts = settings.maxAttempts;
  limits.idempotency.clear();
  limits.priorityWeights.clear();
  for (const ClassSettings& classSettings : settings.classes) {
    limits.idempotency.push_back(classSettings.idempotency);
    limits.priorityWeights.push_back(classSettings.priorityWeight);
  }
  return limits;
}

}  // namespace gannetcourse::router
