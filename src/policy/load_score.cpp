#include "load_score.h"

#include <array>
#include <map>

#include "load_report_bounds.h"

namespace gannetcourse::policy {
namespace {

// The first kCounts indicators are counts, which have to be normalized; the others are shares.
constexpr std::size_t kCounts = 3;
constexpr std::size_t kIndicators = 5;
constexpr double kCountAtMean = 0.5;
using Indicators = std::array<std::optional<double>, kIndicators>;

struct IndicatorTotal {
  double sum = 0;
  double engines = 0;
};

double normalized(std::size_t indicator, double value, double mean) {
  if (indicator >= kCounts) return value;
  return mean > 0 ? value / (value + mean) : kCountAtMean;
}

Indicators indicatorsOf(const Engine& engine, const LoadReport& report) {
  return {engine.attempts.unanswered(), engine.attempts.streaming, engine.attempts.sendingState,
          report.memoryUtilization, report.slotUtilization};
}

}  // namespace

void LoadScores::recordReport(EngineId id, const std::optional<LoadReport>& report) {
  Engine* const engine = registry_.find(id);
  if (engine == nullptr || !report) return;
  ReportedLoad& load = engine->process.load;
  load.report = bounded(*report);
  if (report->requestsQueued) enginesReportQueues_ = true;
  if (engine->isPrefill() && report->requestsQueued) {
    reportedQueue_.add(*load.report.requestsQueued, context_.now(), kLearning);
  }
  load.receivedAt = context_.now();
}

LoadReport LoadScores::freshReport(const Engine& engine) const {
  const ReportedLoad& load = engine.process.load;
  return context_.now() - load.receivedAt < kReportMaxAge ? load.report : LoadReport{};
}

bool LoadScores::isQueueCurrent(const Engine& engine) const {
  return context_.now() - engine.process.load.receivedAt < kReportLag;
}

void LoadScores::update() {
  std::map<Role, std::array<IndicatorTotal, kIndicators>> totals;
  for (const auto& [id, engine] : registry_.engines()) {
    if (!engine.isServing()) continue;
    const Indicators known = indicatorsOf(engine, freshReport(engine));
    for (std::size_t i = 0; i < kIndicators; ++i) {
      if (!known[i]) continue;
      totals[engine.entry.role][i].sum += *known[i];
      totals[engine.entry.role][i].engines += 1;
    }
  }
  for (auto& [id, engine] : registry_.engines()) {
    const Indicators known = indicatorsOf(engine, freshReport(engine));
    double sum = 0;
    double terms = 0;
    for (std::size_t i = 0; i < kIndicators; ++i) {
      const IndicatorTotal& total = totals[engine.entry.role][i];
      if (total.engines == 0) continue;
      const double mean = total.sum / total.engines;
      sum += normalized(i, known[i].value_or(mean), mean);
      terms += 1;
    }
    double& score = engine.process.load.score;
    if (terms > 0) score += (sum / terms - score) * kHousekeepingPeriod / kLoadScoreWindow;
  }
}

}  // namespace gannetcourse::policy
