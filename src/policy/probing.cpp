#include "probing.h"

#include <algorithm>

#include "tuning.h"

namespace gannetcourse::policy {

void Probing::onRequest() {
  decodeProbes_ = std::min(kMaxSavedProbes, decodeProbes_ + kProbesPerRequest);
  if (loads_.enginesReportQueues())
    queueProbes_ = std::min(kMaxSavedProbes, queueProbes_ + kProbesPerRequest);
}

void Probing::probeDecodeEngines() {
  for (auto& [id, engine] : registry_.engines()) {
    if (decodeProbes_ >= kMaxSavedProbes / 2 && engine.canDecode()) probeDecodeEngine(engine);
  }
}

void Probing::probeDecodeEngine(Engine& engine) {
  if (canProbe(engine, decodeProbes_)) probe(engine, decodeProbes_);
}

bool Probing::canProbe(const Engine& engine, double budget) const {
  const Settings& settings = context_.settings();
  return settings.probesAllowed && settings.loadReportSource != LoadReportSource::kNone && budget >= 1 &&
         engine.isServing() && context_.now() >= engine.nextProbeAt;
}

void Probing::probe(Engine& engine, double& budget) {
  budget -= 1;
  engine.nextProbeAt = context_.now() + kProbeInterval;
  context_.emit(Probe{engine.entry.id});
}

bool Probing::awaitsQueueProbe(Request& request, Engine& engine) {
  const Instant now = context_.now();
  if (loads_.isQueueCurrent(engine)) return false;
  if (request.probedEngine == engine.entry.id && now < request.probeWaitUntil) return true;
  if (loads_.meanReportedQueue() < kMinReportedQueue) return false;
  if (request.queueProbes >= kMaxQueueProbes || !canProbe(engine, queueProbes_)) return false;
  probe(engine, queueProbes_);
  ++request.queueProbes;
  request.probedEngine = engine.entry.id;
  request.probeWaitUntil = now + kQueueProbeWait;
  return true;
}

}  // namespace gannetcourse::policy
