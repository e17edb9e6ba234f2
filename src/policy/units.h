// Units that values have where they cross from one module of the policy to another.
#pragma once

#include "gannetcourse/policy.h"

namespace gannetcourse::policy {

/// A number of tokens. Not an integer: expectations and decayed figures are counted in it as well.
using Tokens = double;

/// Before anything that happened.
inline constexpr Instant kLongAgo{Duration(-1e9)};

/// The instant half-way between two.
constexpr Instant midpoint(Instant a, Instant b) {
  return Instant((a.time_since_epoch() + b.time_since_epoch()) / 2);
}

}  // namespace gannetcourse::policy
