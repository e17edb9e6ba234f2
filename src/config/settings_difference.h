// What differs between two settings, for the log of a reload, and what a running node cannot change.
#pragma once

#include <string>
#include <vector>

#include "config/settings.h"

namespace gannetcourse::config {

/// One line for each setting that differs: "limits max-attempts: 4 -> 6".
std::vector<std::string> describeDifferences(const NodeSettings& before, const NodeSettings& after);

/// The first setting that differs and that only a restart can change; empty where there is none.
std::string firstRestartOnlyDifference(const NodeSettings& before, const NodeSettings& after);

}  // namespace gannetcourse::config
