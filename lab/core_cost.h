// Measures the CPU time of the router's core, without a network.
#pragma once

#include "gannetcourse/policy.h"

namespace gannetcourse::lab {

/// CPU seconds per request.
struct CoreCost {
  double core = 0;    ///< The core, including the decision module.
  double module = 0;  ///< The decision module alone, without a core.
};

/// Measures both costs on the same thread. First runs `requests` requests of `tokens` output tokens each
/// through a core, which contains a decision module. Then passes the events of as many requests directly to a
/// decision module, without a core; it receives no events for single tokens.
CoreCost measureCoreCost(const Settings& settings, int prefillEngines, int decodeEngines, int requests,
                         int tokens);

}  // namespace gannetcourse::lab
