// Parses load reports in the text format of the platform's engines.
#pragma once

#include <optional>
#include <string_view>

#include "gannetcourse/policy.h"

namespace gannetcourse::platform {

/// Parses "TEXT a=1, b=2" into a load report. instance/load_metrics.cpp lists the known metric names; unknown
/// ones are ignored. Returns nothing if any part is malformed.
std::optional<LoadReport> parseLoadReport(std::string_view text);

}  // namespace gannetcourse::platform
