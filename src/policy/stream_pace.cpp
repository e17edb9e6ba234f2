#include "stream_pace.h"

#include <algorithm>
#include <utility>

#include "tuning.h"

namespace gannetcourse::policy {

double StreamPace::relativeLength(const Engine& engine) const {
  const PerformanceRecord& record = engine.process.performance;
  return (record.streamedLengths.get(context_.now(), kPaceWindow) + kPacePrior) /
         (record.completedStreams.get(context_.now(), kPaceWindow) + kPacePrior);
}

Duration StreamPace::usualLength() const {
  Duration longest{0};
  for (const Duration typical : typicalLengths_) longest = std::max(longest, typical);
  return longest > Duration(0) ? longest : kStreamLengthPrior;
}

// All routers are assumed to have as many streams there as this one.
Duration StreamPace::timeUntilStreamEnds(const Engine& engine) const {
  return usualLength() / std::max(1, engine.attempts.streaming * context_.settings().routerCount);
}

void StreamPace::update() {
  std::vector<double> lengths;
  for (const auto& [id, engine] : registry_.engines()) {
    if (engine.canDecode() && engine.isServing()) lengths.push_back(relativeLength(engine));
  }
  if (!lengths.empty()) median_ = std::max(1.0, medianOf(std::move(lengths)));
}

void StreamPace::recordStreaming(Engine& engine, const Request& request) {
  const Duration typical = typicalLengths_[request.arrival.classIndex];
  if (typical <= Duration(0)) return;
  engine.process.performance.streamedLengths.add(kHousekeepingPeriod / typical, context_.now(), kPaceWindow);
}

// Equal steps up and down make the typical length follow the median, so that a few slow engines do not raise
// it.
void StreamPace::recordCompleted(Engine& engine, const Request& request) {
  Duration& typical = typicalLengths_[request.arrival.classIndex];
  const Duration length = context_.now() - request.streamStartedAt;
  if (typical <= Duration(0)) {
    typical = length;
  } else {
    typical = typical * (1 + (length < typical ? -kPaceStep : kPaceStep));
  }
  engine.process.performance.completedStreams.add(1, context_.now(), kPaceWindow);
}

}  // namespace gannetcourse::policy
