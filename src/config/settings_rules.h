// Checks of a node's settings against the five rules.
#pragma once

#include <vector>

#include "config/settings.h"

namespace gannetcourse::config {

/// Appends a fault for each setting with which a node could break a rule, whatever the decision module
/// decides. `root` is the root of the document that `settings` were read from; faults refer to its lines.
void checkRules(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults);

}  // namespace gannetcourse::config
