#include "fault_injector.h"

#include <algorithm>

namespace gannetcourse::lab {

FaultInjector::FaultInjector(Testbed& testbed, const Scenario& scenario, Engines& engines,
                             FakeRegistry& registry, Clients& clients)
    : testbed_(testbed), scenario_(scenario), engines_(engines), registry_(registry), clients_(clients) {}

void FaultInjector::schedule() {
  for (const Fault& fault : scenario_.faults) runAfter(fault.startsAt, [this, &fault] { inject(fault); });
}

void FaultInjector::runAfter(double seconds, std::function<void()> task) {
  testbed_.loop.runAfter(Duration(seconds), std::move(task));
}

void FaultInjector::undoAfter(const Fault& fault, std::function<void()> undo) {
  runAfter(fault.duration, std::move(undo));
}

FaultInjector::Picked FaultInjector::pickEngines(const Fault& fault) {
  Picked candidates;
  for (const auto& engine : engines_) {
    if (!engine->isDown() && (!fault.role || engine->spec().role == *fault.role))
      candidates.push_back(engine.get());
  }
  std::shuffle(candidates.begin(), candidates.end(), testbed_.random);
  const auto count = static_cast<std::size_t>(
      std::max(1.0, fault.engineShare * static_cast<double>(candidates.size()) + 0.5));
  candidates.resize(std::min(candidates.size(), count));
  return candidates;
}

void FaultInjector::inject(const Fault& fault) {
  if (onProgress) onProgress("fault: " + fault.describe());
  const std::string& kind = fault.kind;
  if (kind == "burst" || kind == "heavy_tail" || kind == "retry_abuse") return applyToClients(fault);
  if (kind == "origin_slow" || kind == "zone_cut" || kind == "registry_gone" || kind == "report_late")
    return applyToFleet(fault);
  applyToEngines(fault);
}

void FaultInjector::applyToClients(const Fault& fault) {
  if (fault.kind == "burst") {
    clients_.rateFactor = fault.size.value_or(2);
    undoAfter(fault, [this] { clients_.rateFactor = 1; });
  } else if (fault.kind == "heavy_tail") {
    for (std::size_t i = 0; i < scenario_.classes.size(); ++i) {
      if (scenario_.classes[i].name == fault.requestClass) clients_.heavyClass = i;
    }
    clients_.heavyFactor = fault.size.value_or(15);
    clients_.heavyShare = fault.extra.value_or(0.02);
    undoAfter(fault, [this] { clients_.heavyShare = 0; });
  } else {
    clients_.abusiveTenant = fault.tenant;
    clients_.abuseRetries = static_cast<std::uint32_t>(fault.size.value_or(10));
    clients_.abuserTimeoutShare = fault.extra.value_or(0.4);
    undoAfter(fault, [this] { clients_.abusiveTenant.reset(); });
  }
}

void FaultInjector::applyToFleet(const Fault& fault) {
  if (fault.kind == "origin_slow") {
    testbed_.crossCellSlowdown = fault.size.value_or(4);
    undoAfter(fault, [this] { testbed_.crossCellSlowdown = 1; });
  } else if (fault.kind == "zone_cut") {
    testbed_.isolatedZone = scenario_.zones.back();
    for (const auto& engine : engines_) engine->applyZoneIsolation();
    undoAfter(fault, [this] {
      testbed_.isolatedZone.reset();
      for (const auto& engine : engines_) engine->applyZoneIsolation();
    });
  } else if (fault.kind == "registry_gone") {
    registry_.setDown(true);
    undoAfter(fault, [this] { registry_.setDown(false); });
  } else {
    for (const auto& engine : engines_) engine->model().extraReportDelay = fault.size.value_or(2);
    undoAfter(fault, [this] {
      for (const auto& engine : engines_) engine->model().extraReportDelay = 0;
    });
  }
}

void FaultInjector::applyToEngines(const Fault& fault) {
  const Picked picked = pickEngines(fault);
  if (fault.kind == "crash" || fault.kind == "vanish") {
    for (FakeEngine* const engine : picked) takeDown(*engine, fault.duration, fault.kind == "vanish");
  } else if (fault.kind == "ageing") {
    slowDownThenCrash(picked, fault);
  } else if (fault.kind == "pauses") {
    pauseRepeatedly(picked, fault.size.value_or(0.3), fault.extra.value_or(1.5),
                    testbed_.now() + fault.duration);
  } else if (fault.kind == "hang" || fault.kind == "slow") {
    const double speed = fault.kind == "hang" ? 0 : 1 / fault.size.value_or(5);
    applyForDuration(
        fault, picked, [speed](FakeEngine& e) { e.model().speed = speed; },
        [](FakeEngine& e) { e.model().speed = 1; });
  } else if (!applyToCalls(fault, picked)) {
    preempt(picked, fault);
  }
}

void FaultInjector::applyForDuration(const Fault& fault, const Picked& picked,
                                     const std::function<void(FakeEngine&)>& begin,
                                     std::function<void(FakeEngine&)> end) {
  for (FakeEngine* const engine : picked) begin(*engine);
  undoAfter(fault, [picked, end = std::move(end)] {
    for (FakeEngine* const engine : picked) end(*engine);
  });
}

bool FaultInjector::applyToCalls(const Fault& fault, const Picked& picked) {
  const auto apply = [&](const std::function<void(CallFaults&)>& begin, void (*end)(CallFaults&)) {
    applyForDuration(
        fault, picked, [&begin](FakeEngine& e) { begin(e.callFaults); },
        [end](FakeEngine& e) { end(e.callFaults); });
    return true;
  };
  if (fault.kind == "fast_errors")
    return apply([&](CallFaults& calls) { calls.errorShare = fault.size.value_or(0.7); },
                 [](CallFaults& calls) { calls.errorShare = 0; });
  if (fault.kind == "repeat_tokens")
    return apply([&](CallFaults& calls) { calls.repeatShare = fault.size.value_or(0.2); },
                 [](CallFaults& calls) { calls.repeatShare = 0; });
  if (fault.kind == "cut_at_end")
    return apply([&](CallFaults& calls) { calls.resetAtEndShare = fault.size.value_or(0.3); },
                 [](CallFaults& calls) { calls.resetAtEndShare = 0; });
  if (fault.kind == "class_fail")
    return apply([&](CallFaults& calls) { failClass(fault, calls); },
                 [](CallFaults& calls) { calls.failingClass.reset(); });
  if (fault.kind == "throttle")
    return apply([&](CallFaults& calls) { throttle(fault, calls); },
                 [](CallFaults& calls) {
                   calls.throttledTenant.reset();
                   calls.throttledClass.reset();
                 });
  return false;
}

void FaultInjector::failClass(const Fault& fault, CallFaults& calls) {
  calls.failingClass = fault.requestClass;
  calls.failingShare = fault.size.value_or(0.8);
  calls.failByError = fault.variant == "error";
}

void FaultInjector::throttle(const Fault& fault, CallFaults& calls) const {
  const bool byClass = fault.variant == "class" || scenario_.tenants.empty();
  if (byClass) {
    calls.throttledClass = fault.requestClass;
  } else {
    calls.throttledTenant = fault.tenant;
  }
  const double evenRate = scenario_.requestsPerSecond / static_cast<double>(engines_.size());
  calls.throttleRate = fault.size.value_or(0.15) * evenRate;
  calls.throttleDelay = fault.extra.value_or(0.2) * scenario_.classes.front().ttftObjective;
}

// Takes the engine down for `seconds`, then restarts it in slow start. The registry is updated some time
// after the failure and some time after the restart.
void FaultInjector::takeDown(FakeEngine& engine, double seconds, bool silently) {
  FakeEngine* const e = &engine;
  if (silently) {
    e->setSilent(true);
  } else {
    e->crash();
  }
  const std::uint32_t id = e->spec().id;
  const double registryDelay =
      silently ? 4 * scenario_.registryDelay
               : scenario_.registryDelay;  // a silent engine is detected later than a crash
  if (seconds > registryDelay) runAfter(registryDelay, [this, id] { registry_.remove(id); });
  runAfter(seconds, [this, e] {
    e->restart();
    runAfter(scenario_.registryDelay / 2, [this, e] {
      if (!e->isDown()) registry_.set(*e, v1::EngineEntry::SERVING);
    });
  });
}

// The engines become slower in 20 steps, then crash.
void FaultInjector::slowDownThenCrash(const Picked& picked, const Fault& fault) {
  constexpr int kSteps = 20;
  for (int i = 1; i <= kSteps; ++i) {
    runAfter(fault.duration * i / kSteps,
             [picked, slowdown = 1 + (fault.size.value_or(10) - 1) * i / kSteps] {
               for (FakeEngine* const engine : picked) engine->model().speed = 1 / slowdown;
             });
  }
  undoAfter(fault, [this, picked, downTime = fault.extra.value_or(2)] {
    for (FakeEngine* const engine : picked) {
      engine->model().speed = 1;
      takeDown(*engine, downTime, false);
    }
  });
}

void FaultInjector::pauseRepeatedly(const Picked& picked, double pause, double every, double end) {
  if (testbed_.now() >= end) return;
  for (FakeEngine* const engine : picked) engine->model().speed = 0;
  runAfter(pause, [picked] {
    for (FakeEngine* const engine : picked) engine->model().speed = 1;
  });
  runAfter(every, [=, this] { pauseRepeatedly(picked, pause, every, end); });
}

// Replaces engines in waves. The engines of a wave are listed as draining, crash when the notice time is
// over, and are replaced by new engines some seconds later.
void FaultInjector::preempt(const Picked& picked, const Fault& fault) {
  for (std::size_t i = 0; i < picked.size(); ++i) {
    FakeEngine* const engine = picked[i];
    const double waveStart = fault.duration / 2 * static_cast<double>(i % fault.waves) / fault.waves;
    runAfter(waveStart, [this, engine, noticeTime = fault.size.value_or(1.5)] {
      const std::int64_t unixMs = net::unixMillis() + static_cast<std::int64_t>(noticeTime * 1000);
      if (!engine->isDown()) registry_.set(*engine, v1::EngineEntry::DRAINING, unixMs);
    });
    runAfter(waveStart + fault.size.value_or(1.5),
             [this, engine, after = fault.extra.value_or(4)] { replace(*engine, after); });
  }
}

void FaultInjector::replace(FakeEngine& oldEngine, double after) {
  oldEngine.crash();
  const EngineSpec oldSpec = oldEngine.spec();
  runAfter(scenario_.registryDelay, [this, id = oldSpec.id] { registry_.remove(id); });
  runAfter(after, [this, oldSpec] {
    EngineSpec spec = oldSpec;
    spec.id = nextEngineId_++;
    engines_.push_back(std::make_unique<FakeEngine>(testbed_, spec));
    FakeEngine* const replacement = engines_.back().get();
    replacement->restart();
    runAfter(scenario_.registryDelay / 2,
             [this, replacement] { registry_.set(*replacement, v1::EngineEntry::SERVING); });
  });
}

}  // namespace gannetcourse::lab
