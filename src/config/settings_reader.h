// Turns a schema-valid settings document into NodeSettings.
#pragma once

#include <vector>

#include "config/settings.h"

namespace gannetcourse::config {

/// Reads the settings below `root` and appends to `faults` what the schema cannot express: unknown names,
/// names that stand twice, settings that exclude each other. The result is usable only without faults.
NodeSettings readSettings(const Element& root, std::vector<Fault>& faults);

}  // namespace gannetcourse::config
