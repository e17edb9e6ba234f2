#include "instance/load_metrics.h"

#include <array>
#include <optional>

namespace gannetcourse::instance {
namespace {

constexpr double kTokensPerThousand = 1000;

struct LoadMetric {
  const char* name;
  std::optional<double> LoadReport::*field;
  double scale;  // factor from the unit in the message to the unit in LoadReport
};

// The metric names in the messages of the platform's simulator and in the load reports of its engines.
constexpr std::array<LoadMetric, 8> kLoadMetrics{
    {{"concurrent", &LoadReport::requestsInFlight, 1},
     {"inflight", &LoadReport::requestsInFlight, 1},
     {"depth", &LoadReport::requestsQueued, 1},
     {"queue", &LoadReport::requestsQueued, 1},
     {"load_share", &LoadReport::slotUtilization, 1},
     {"util", &LoadReport::slotUtilization, 1},
     {"x0", &LoadReport::memoryUtilization, 1},
     {"x1", &LoadReport::queuedPrefillTokens, kTokensPerThousand}}};

const LoadMetric* findLoadMetric(const std::string& name) {
  for (const LoadMetric& metric : kLoadMetrics) {
    if (name == metric.name) return &metric;
  }
  return nullptr;
}

}  // namespace

bool isLoadMetric(const std::string& name) { return findLoadMetric(name) != nullptr; }

void setLoadMetric(LoadReport& load, const std::string& name, double value) {
  const LoadMetric* const metric = findLoadMetric(name);
  if (metric != nullptr) load.*(metric->field) = value * metric->scale;
}

}  // namespace gannetcourse::instance
