// The checks that keep a node from being set up to break one of the five rules.
#pragma once

#include <vector>

#include "config/settings.h"

namespace gannetcourse::config {

/// Appends a fault for each setting that would let a node break a rule, whatever the decision module would
/// make of it. `root` is the document that `settings` were read from.
void checkRules(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults);

}  // namespace gannetcourse::config
