// Compares two settings: describes the differences for the log, and finds those that need a restart.
#pragma once

#include <string>
#include <vector>

#include "config/settings.h"

namespace gannetcourse::config {

/// Returns one line for each setting that differs, such as "limits max-attempts: 4 -> 6".
std::vector<std::string> describeDifferences(const NodeSettings& before, const NodeSettings& after);

/// The name of the first differing setting that only a restart can apply; empty if there is none.
std::string firstRestartOnlyDifference(const NodeSettings& before, const NodeSettings& after);

}  // namespace gannetcourse::config
