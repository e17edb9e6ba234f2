// Converts a schema-valid settings document to NodeSettings.
#pragma once

#include <vector>

#include "config/settings.h"

namespace gannetcourse::config {

/// Reads the settings below `root` and appends to `faults` what the schema cannot check: unknown zones,
/// classes or tenants that are defined more than once, values below a minimum, settings that exclude each
/// other. The result is valid only if no fault was appended.
NodeSettings readSettings(const Element& root, std::vector<Fault>& faults);

}  // namespace gannetcourse::config
