#include "router/places.h"

#include <cstddef>
#include <stdexcept>

namespace gannetcourse::router {

void checkPlaces(const Settings& before, const Settings& fresh) {
  bool kept = fresh.classes.size() >= before.classes.size() && fresh.tenants.size() >= before.tenants.size();
  for (std::size_t i = 0; kept && i < before.classes.size(); ++i) {
    const ClassSettings &was = before.classes[i], &is = fresh.classes[i];
    kept = was.idempotency == is.idempotency && was.dedupScope == is.dedupScope &&
           was.dedupWindow == is.dedupWindow;
  }
  if (!kept) throw std::invalid_argument("rule 2 (no effect twice): a class or tenant lost its place");
}

recovery::Limits limitsOf(const Settings& settings, recovery::Limits limits) {
  limits.maxAttempts = settings.maxAttempts;
  limits.idempotency.clear();
  limits.priorityWeights.clear();
  for (const ClassSettings& c : settings.classes) {
    limits.idempotency.push_back(c.idempotency);
    limits.priorityWeights.push_back(c.priorityWeight);
  }
  return limits;
}

}  // namespace gannetcourse::router
