// Maps the metric names in the platform's messages to the fields of LoadReport.
#pragma once

#include <string>

#include "gannetcourse/policy.h"

namespace gannetcourse::instance {

/// Whether `name` is a known load metric.
bool isLoadMetric(const std::string& name);

/// Sets the metric `name` in the report, converted to the report's unit. Ignores unknown names.
void setLoadMetric(LoadReport& load, const std::string& name, double value);

}  // namespace gannetcourse::instance
