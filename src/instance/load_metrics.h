// The metrics of load reports by their names on the platform's wires.
#pragma once

#include <string>

#include "gannetcourse/policy.h"

namespace gannetcourse::instance {

/// Whether a load report may have a metric of this name.
bool isLoadMetric(const std::string& name);

/// Sets the metric in the report, in the report's own unit. Unknown names are ignored.
void setLoadMetric(LoadReport& load, const std::string& name, double value);

}  // namespace gannetcourse::instance
