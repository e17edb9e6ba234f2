#include "probing.h"

#include <algorithm>

#include "tuning.h"

namespace gannetcourse::policy {

void Probing::onRequest() {
  const double cost = context_.settings().probeCost;
  if (cost <= 0) return;
  const int probedRoles = loads_.enginesReportQueues() ? 2 : 1;  // decode engines, and prefill engines
  budget_ = std::min(kMaxSavedProbes, budget_ + kProbeBudget * probedRoles / cost);
}

void Probing::probeDecodeEngines() {
  for (auto& [id, engine] : registry_.engines()) {
    if (budget_ >= kMaxSavedProbes / 2 && engine.canDecode()) probe(engine);
  }
}

bool Probing::canProbe() const {
  const Settings& settings = context_.settings();
  return settings.probesAllowed && settings.loadReportSource != LoadReportSource::kNone &&
         (settings.probeCost <= 0 || budget_ >= 1);
}

void Probing::probe(Engine& engine) {
  if (!canProbe() || !engine.isServing() || context_.now() < engine.nextProbeAt) return;
  if (context_.settings().probeCost > 0) budget_ -= 1;
  engine.nextProbeAt = context_.now() + kProbeInterval;
  context_.emit(Probe{engine.entry.id});
}

bool Probing::awaitsQueueProbe(Request& request, Engine& engine) {
  const Instant now = context_.now();
  if (loads_.isQueueCurrent(engine)) return false;
  if (request.probedEngine == engine.entry.id && now < request.probeWaitUntil) return true;
  if (loads_.meanReportedQueue() < kMinReportedQueue) return false;
  if (request.queueProbes >= kMaxQueueProbes || !canProbe() || now < engine.nextProbeAt) return false;
  probe(engine);
  ++request.queueProbes;
  request.probedEngine = engine.entry.id;
  request.probeWaitUntil = now + kQueueProbeWait;
  return true;
}

}  // namespace gannetcourse::policy
