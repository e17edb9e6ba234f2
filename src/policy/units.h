// Units of values passed between modules of the policy.
#pragma once

#include "gannetcourse/policy.h"

namespace gannetcourse::policy {

/// A number of tokens; fractional, because it also holds expected and decayed values.
using Tokens = double;

/// A time before all events.
inline constexpr Instant kLongAgo{Duration(-1e9)};

/// The instant halfway between two.
constexpr Instant midpoint(Instant a, Instant b) {
  return Instant((a.time_since_epoch() + b.time_since_epoch()) / 2);
}

}  // namespace gannetcourse::policy
