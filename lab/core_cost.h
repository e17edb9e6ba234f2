// Measures the CPU time of the router's core, without a network.
#pragma once

#include "gannetcourse/policy.h"

namespace gannetcourse::lab {

/// CPU seconds per request.
struct CoreCost {
  double core = 0;    ///< The core, including the decision module.
  double module = 0;  ///< The decision module alone, with the same events.
};

/// Runs `requests` requests of `tokens` output tokens each through a core, then through a decision module.
CoreCost measureCoreCost(const Settings& settings, int prefillEngines, int decodeEngines, int requests,
                         int tokens);

}  // namespace gannetcourse::lab
