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

void FaultInjector::onEngines(const Fault& t) {
  const Picked picked = pick(t);
  const auto each = [&](const std::function<void(FakeEngine&)>& on, std::function<void(FakeEngine&)> off) {
    for (FakeEngine* const engine : picked) on(*engine);
    undoAfter(t, [picked, off = std::move(off)] {
      for (FakeEngine* const engine : picked) off(*engine);
    });
  };
  if (t.kind == "fast_errors") {
    each([&](FakeEngine& e) { e.callFaults.errorShare = t.size.value_or(0.7); },
         [](FakeEngine& e) { e.callFaults.errorShare = 0; });
  } else if (t.kind == "repeat_tokens") {
    each([&](FakeEngine& e) { e.callFaults.repeatShare = t.size.value_or(0.2); },
         [](FakeEngine& e) { e.callFaults.repeatShare = 0; });
  } else if (t.kind == "cut_at_end") {
    each([&](FakeEngine& e) { e.callFaults.cutAtEndShare = t.size.value_or(0.3); },
         [](FakeEngine& e) { e.callFaults.cutAtEndShare = 0; });
  } else if (t.kind == "hang" || t.kind == "slow") {
    const double speed = t.kind == "hang" ? 0 : 1 / t.size.value_or(5);
    each([&](FakeEngine& e) { e.model().speed = speed; }, [](FakeEngine& e) { e.model().speed = 1; });
  } else if (t.kind == "class_fail") {
    each(
        [&](FakeEngine& e) {
          e.callFaults.failingClass = t.requestClass;
          e.callFaults.failingShare = t.size.value_or(0.8);
          e.callFaults.failByError = t.variant == "error";
        },
        [](FakeEngine& e) { e.callFaults.failingClass.reset(); });
  } else if (t.kind == "throttle") {
    each(
        [&](FakeEngine& e) {
          const bool byClass = t.variant == "class" || scenario_.tenants.empty();
          (byClass ? e.callFaults.throttledClass : e.callFaults.throttledTenant) =
              byClass ? t.requestClass : t.tenant;
          const double even = scenario_.requestsPerSecond / static_cast<double>(engines_.size());
          e.callFaults.throttleRate = t.size.value_or(0.15) * even;
          e.callFaults.throttleDelay = t.extra.value_or(0.2) * scenario_.classes.front().ttftObjective;
        },
        [](FakeEngine& e) {
          e.callFaults.throttledTenant.reset();
          e.callFaults.throttledClass.reset();
        });
  } else if (t.kind == "crash" || t.kind == "vanish") {
    for (FakeEngine* const engine : picked) takeDown(*engine, t.duration, t.kind == "vanish");
  } else if (t.kind == "ageing") {
    slowDownThenCrash(picked, t);
  } else if (t.kind == "pauses") {
    pauseRepeatedly(picked, t.size.value_or(0.3), t.extra.value_or(1.5), testbed_.now() + t.duration);
  } else {
    preempt(picked, t);
  }
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
