// What the router's core costs without any wire.
#pragma once

#include "gannetcourse/policy.h"

namespace gannetcourse::lab {

/// CPU seconds for each request.
struct CoreCost {
  double core = 0;    ///< Of the core, the decision module included.
  double module = 0;  ///< Of the decision module alone, with the same events.
};

/// Feeds a core and then a decision module `requests` requests of `tokens` output tokens each.
CoreCost measureCoreCost(const Settings& settings, int prefillEngines, int decodeEngines, int requests,
                         int tokens);

}  // namespace gannetcourse::lab
