// Checks whether new settings can replace the current ones, and derives the recovery limits from settings.
#pragma once

#include "gannetcourse/policy.h"
#include "gannetcourse/recovery.h"

namespace gannetcourse::router {

/// Throws IncompatibleSettings if `updated` has fewer classes or tenants than `current`, or changes the
/// idempotency or deduplication of a class. Open requests refer to their class and tenant by index, so an
/// index must keep its meaning.
void requireCompatible(const Settings& current, const Settings& updated);

/// Returns `limits` with idempotency, priority weights and maxAttempts taken from `settings`.
recovery::Limits recoveryLimits(const Settings& settings, recovery::Limits limits);

}  // namespace gannetcourse::router
