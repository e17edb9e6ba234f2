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

FaultInjector::Picked FaultInjector::pick(const Fault& fault) {
  Picked able;
  for (const auto& engine : engines_) {
    if (!engine->isDown() && (!fault.role || engine->spec().role == *fault.role))
      able.push_back(engine.get());
  }
  std::shuffle(able.begin(), able.end(), testbed_.random);
  const auto count =
      static_cast<std::size_t>(std::max(1.0, fault.engineShare * static_cast<double>(able.size()) + 0.5));
  able.resize(std::min(able.size(), count));
  return able;
}

void FaultInjector::inject(const Fault& fault) {
  if (onProgress) onProgress("trouble: " + fault.describe());
  const std::string& kind = fault.kind;
  if (kind == "burst" || kind == "heavy_tail" || kind == "retry_abuse") return onClients(fault);
  if (kind == "origin_slow" || kind == "zone_cut" || kind == "registry_gone" || kind == "report_late")
    return onFleet(fault);
  onEngines(fault);
}

void FaultInjector::onClients(const Fault& t) {
  if (t.kind == "burst") {
    clients_.rateFactor = t.size.value_or(2);
    undoAfter(t, [this] { clients_.rateFactor = 1; });
  } else if (t.kind == "heavy_tail") {
    for (std::size_t i = 0; i < scenario_.classes.size(); ++i) {
      if (scenario_.classes[i].name == t.requestClass) clients_.heavyClass = i;
    }
    clients_.heavyFactor = t.size.value_or(15);
    clients_.heavyShare = t.extra.value_or(0.02);
    undoAfter(t, [this] { clients_.heavyShare = 0; });
  } else {
    clients_.abuser = t.tenant;
    clients_.abuseRetries = static_cast<std::uint32_t>(t.size.value_or(10));
    clients_.abusePatience = t.extra.value_or(0.4);
    undoAfter(t, [this] { clients_.abuser.reset(); });
  }
}

void FaultInjector::onFleet(const Fault& t) {
  if (t.kind == "origin_slow") {
    testbed_.linkSlowdown = t.size.value_or(4);
    undoAfter(t, [this] { testbed_.linkSlowdown = 1; });
  } else if (t.kind == "zone_cut") {
    testbed_.cutZone = scenario_.zones.back();
    for (const auto& engine : engines_) engine->applyCut();
    undoAfter(t, [this] {
      testbed_.cutZone.reset();
      for (const auto& engine : engines_) engine->applyCut();
    });
  } else if (t.kind == "registry_gone") {
    registry_.setDown(true);
    undoAfter(t, [this] { registry_.setDown(false); });
  } else {
    for (const auto& engine : engines_) engine->model().extraDelay = t.size.value_or(2);
    undoAfter(t, [this] {
      for (const auto& engine : engines_) engine->model().extraDelay = 0;
    });
  }
}

void FaultInjector::onEngines(const Fault& fault) {
  const Picked picked = pick(fault);
  if (fault.kind == "crash" || fault.kind == "vanish") {
    for (FakeEngine* const engine : picked) takeDown(*engine, fault.duration, fault.kind == "vanish");
  } else if (fault.kind == "ageing") {
    slowDownThenCrash(picked, fault);
  } else if (fault.kind == "pauses") {
    pauseRepeatedly(picked, fault.size.value_or(0.3), fault.extra.value_or(1.5),
                    testbed_.now() + fault.duration);
  } else if (fault.kind == "hang" || fault.kind == "slow") {
    const double speed = fault.kind == "hang" ? 0 : 1 / fault.size.value_or(5);
    applyFor(
        fault, picked, [speed](FakeEngine& e) { e.model().speed = speed; },
        [](FakeEngine& e) { e.model().speed = 1; });
  } else if (!onCalls(fault, picked)) {
    preempt(picked, fault);
  }
}

void FaultInjector::applyFor(const Fault& fault, const Picked& picked,
                             const std::function<void(FakeEngine&)>& begin,
                             std::function<void(FakeEngine&)> end) {
  for (FakeEngine* const engine : picked) begin(*engine);
  undoAfter(fault, [picked, end = std::move(end)] {
    for (FakeEngine* const engine : picked) end(*engine);
  });
}

bool FaultInjector::onCalls(const Fault& fault, const Picked& picked) {
  const auto apply = [&](const std::function<void(CallFaults&)>& begin, void (*end)(CallFaults&)) {
    applyFor(
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
    return apply([&](CallFaults& calls) { calls.cutAtEndShare = fault.size.value_or(0.3); },
                 [](CallFaults& calls) { calls.cutAtEndShare = 0; });
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

// Down for some seconds, then back cold; the registry hears of both late.
void FaultInjector::takeDown(FakeEngine& engine, double seconds, bool silently) {
  FakeEngine* const e = &engine;
  if (silently) {
    e->setSilent(true);
  } else {
    e->crash();
  }
  const std::uint32_t id = e->spec().id;
  const double notice = silently ? 4 * scenario_.registryDelay
                                 : scenario_.registryDelay;  // silence is noticed later than an end
  if (seconds > notice) runAfter(notice, [this, id] { registry_.remove(id); });
  runAfter(seconds, [this, e] {
    e->restart();
    runAfter(scenario_.registryDelay / 2, [this, e] {
      if (!e->isDown()) registry_.set(*e, v1::EngineEntry::SERVING);
    });
  });
}

// Slower and slower, then one crash.
void FaultInjector::slowDownThenCrash(const Picked& picked, const Fault& t) {
  constexpr int kSteps = 20;
  for (int i = 1; i <= kSteps; ++i) {
    runAfter(t.duration * i / kSteps, [picked, slower = 1 + (t.size.value_or(10) - 1) * i / kSteps] {
      for (FakeEngine* const engine : picked) engine->model().speed = 1 / slower;
    });
  }
  undoAfter(t, [this, picked, down = t.extra.value_or(2)] {
    for (FakeEngine* const engine : picked) {
      engine->model().speed = 1;
      takeDown(*engine, down, false);
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

// In waves: listed as draining, dead after the notice, replaced by fresh machines some seconds later.
void FaultInjector::preempt(const Picked& picked, const Fault& t) {
  for (std::size_t i = 0; i < picked.size(); ++i) {
    FakeEngine* const engine = picked[i];
    const double wave = t.duration / 2 * static_cast<double>(i % t.waves) / t.waves;
    runAfter(wave, [this, engine, left = t.size.value_or(1.5)] {
      const std::int64_t unixMs = net::unixMillis() + static_cast<std::int64_t>(left * 1000);
      if (!engine->isDown()) registry_.set(*engine, v1::EngineEntry::DRAINING, unixMs);
    });
    runAfter(wave + t.size.value_or(1.5),
             [this, engine, after = t.extra.value_or(4)] { replace(*engine, after); });
  }
}

void FaultInjector::replace(FakeEngine& old, double after) {
  old.crash();
  const EngineSpec was = old.spec();
  runAfter(scenario_.registryDelay, [this, id = was.id] { registry_.remove(id); });
  runAfter(after, [this, was] {
    EngineSpec spec = was;
    spec.id = nextId_++;
    engines_.push_back(std::make_unique<FakeEngine>(testbed_, spec));
    FakeEngine* const fresh = engines_.back().get();
    fresh->restart();
    runAfter(scenario_.registryDelay / 2, [this, fresh] { registry_.set(*fresh, v1::EngineEntry::SERVING); });
  });
}

}  // namespace gannetcourse::lab
