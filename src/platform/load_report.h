// Load reports of engines in the form in which the platform's engines write them.
#pragma once

#include <optional>
#include <string_view>

#include "gannetcourse/policy.h"

namespace gannetcourse::platform {

/// Parses "TEXT a=1, b=2", metrics by their names in the settings; unknown names are ignored. Returns nothing
/// where any part is malformed.
std::optional<LoadReport> parseLoadReport(std::string_view text);

}  // namespace gannetcourse::platform
