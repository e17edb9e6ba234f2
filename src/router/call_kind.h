// The kinds of calls to engines.
#pragma once

#include "gannetcourse/policy.h"

namespace gannetcourse::router {

/// Whether a call runs the prefill or the decode of its request. A decode call for a request without a
/// prefilled state includes the prefill.
enum class CallKind { kPrefill, kDecode };

/// Whether a call that ended like this may have executed its request. The policy has the same rule in
/// RetrySafety; the core repeats the rule to stay independent of the policy.
inline bool mayHaveExecuted(CallKind kind, Outcome outcome) {
  return kind == CallKind::kDecode && outcome != Outcome::kRejected && outcome != Outcome::kStateLost &&
         outcome != Outcome::kConnectFailed && outcome != Outcome::kNotSent;
}

}  // namespace gannetcourse::router
