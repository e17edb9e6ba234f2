// What a change of settings may not touch, and what of the settings concerns the recovery module.
#pragma once

#include "gannetcourse/policy.h"
#include "gannetcourse/recovery.h"

namespace gannetcourse::router {

/// Open requests are finished under their class, so the index of a class or tenant may not get another
/// meaning. Throws IncompatibleSettings where `updated` drops a class or tenant of `current`, or where a
/// class has another idempotency or another deduplication.
void requireCompatible(const Settings& current, const Settings& updated);

/// `limits` with the classes and the number of attempts of `settings`.
recovery::Limits recoveryLimits(const Settings& settings, recovery::Limits limits);

}  // namespace gannetcourse::router
