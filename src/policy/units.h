// Units of values passed between modules of the policy.
#pragma once

#include "gannetcourse/policy.h"

namespace gannetcourse::policy {

/// A number of tokens; fractional, because it also holds expected and decayed values.
using Tokens = double;

/// A time before all events.
inline constexpr Instant kLongAgo{Duration(-1e9)};

}  // namespace gannetcourse::policy
