#include "troubles.h"

#include <algorithm>

namespace gannetcourse::lab {

Troubles::Troubles(Fabric& fabric, const Day& day, Engines& engines, RegistryStandIn& registry,
                   Clients& clients)
    : fabric_(fabric), day_(day), engines_(engines), registry_(registry), clients_(clients) {}

void Troubles::schedule() {
  for (const Trouble& trouble : day_.troubles) later(trouble.at, [this, &trouble] { begin(trouble); });
}

void Troubles::later(double seconds, std::function<void()> task) {
  fabric_.loop.runAfter(Duration(seconds), std::move(task));
}

void Troubles::until(const Trouble& trouble, std::function<void()> undo) {
  later(trouble.length, std::move(undo));
}

Troubles::Picked Troubles::pick(const Trouble& trouble) {
  Picked able;
  for (const auto& engine : engines_) {
    if (!engine->down() && (!trouble.role || engine->spec().role == *trouble.role))
      able.push_back(engine.get());
  }
  std::shuffle(able.begin(), able.end(), fabric_.random);
  const auto count =
      static_cast<std::size_t>(std::max(1.0, trouble.part * static_cast<double>(able.size()) + 0.5));
  able.resize(std::min(able.size(), count));
  return able;
}

void Troubles::begin(const Trouble& trouble) {
  if (say) say("trouble: " + trouble.text());
  const std::string& kind = trouble.kind;
  if (kind == "burst" || kind == "heavy_tail" || kind == "retry_abuse") return onClients(trouble);
  if (kind == "origin_slow" || kind == "zone_cut" || kind == "registry_gone" || kind == "report_late")
    return onFleet(trouble);
  onEngines(trouble);
}

void Troubles::onClients(const Trouble& t) {
  if (t.kind == "burst") {
    clients_.rateFactor = t.size.value_or(2);
    until(t, [this] { clients_.rateFactor = 1; });
  } else if (t.kind == "heavy_tail") {
    for (std::size_t i = 0; i < day_.classes.size(); ++i) {
      if (day_.classes[i].name == t.requestClass) clients_.heavyClass = i;
    }
    clients_.heavyFactor = t.size.value_or(15);
    clients_.heavyShare = t.extra.value_or(0.02);
    until(t, [this] { clients_.heavyShare = 0; });
  } else {
    clients_.abuser = t.tenant;
    clients_.abuseRetries = static_cast<std::uint32_t>(t.size.value_or(10));
    clients_.abusePatience = t.extra.value_or(0.4);
    until(t, [this] { clients_.abuser.reset(); });
  }
}

void Troubles::onFleet(const Trouble& t) {
  if (t.kind == "origin_slow") {
    fabric_.linkSlow = t.size.value_or(4);
    until(t, [this] { fabric_.linkSlow = 1; });
  } else if (t.kind == "zone_cut") {
    fabric_.cutZone = day_.zones.back();
    for (const auto& engine : engines_) engine->applyCut();
    until(t, [this] {
      fabric_.cutZone.reset();
      for (const auto& engine : engines_) engine->applyCut();
    });
  } else if (t.kind == "registry_gone") {
    registry_.away(true);
    until(t, [this] { registry_.away(false); });
  } else {
    for (const auto& engine : engines_) engine->model().extraDelay = t.size.value_or(2);
    until(t, [this] {
      for (const auto& engine : engines_) engine->model().extraDelay = 0;
    });
  }
}

void Troubles::onEngines(const Trouble& t) {
  const Picked picked = pick(t);
  const auto each = [&](const std::function<void(StandIn&)>& on, std::function<void(StandIn&)> off) {
    for (StandIn* const engine : picked) on(*engine);
    until(t, [picked, off = std::move(off)] {
      for (StandIn* const engine : picked) off(*engine);
    });
  };
  if (t.kind == "fast_errors") {
    each([&](StandIn& e) { e.calls.errorShare = t.size.value_or(0.7); },
         [](StandIn& e) { e.calls.errorShare = 0; });
  } else if (t.kind == "repeat_tokens") {
    each([&](StandIn& e) { e.calls.repeatShare = t.size.value_or(0.2); },
         [](StandIn& e) { e.calls.repeatShare = 0; });
  } else if (t.kind == "cut_at_end") {
    each([&](StandIn& e) { e.calls.cutAtEndShare = t.size.value_or(0.3); },
         [](StandIn& e) { e.calls.cutAtEndShare = 0; });
  } else if (t.kind == "hang" || t.kind == "slow") {
    const double speed = t.kind == "hang" ? 0 : 1 / t.size.value_or(5);
    each([&](StandIn& e) { e.model().speed = speed; }, [](StandIn& e) { e.model().speed = 1; });
  } else if (t.kind == "class_fail") {
    each(
        [&](StandIn& e) {
          e.calls.lostClass = t.requestClass;
          e.calls.lostShare = t.size.value_or(0.8);
          e.calls.lostByError = t.how == "error";
        },
        [](StandIn& e) { e.calls.lostClass.reset(); });
  } else if (t.kind == "throttle") {
    each(
        [&](StandIn& e) {
          const bool byClass = t.how == "class" || day_.tenants.empty();
          (byClass ? e.calls.throttledClass : e.calls.throttledTenant) = byClass ? t.requestClass : t.tenant;
          const double even = day_.rate / static_cast<double>(engines_.size());
          e.calls.throttleRate = t.size.value_or(0.15) * even;
          e.calls.throttleDelay = t.extra.value_or(0.2) * day_.classes.front().aim;
        },
        [](StandIn& e) {
          e.calls.throttledTenant.reset();
          e.calls.throttledClass.reset();
        });
  } else if (t.kind == "crash" || t.kind == "vanish") {
    for (StandIn* const engine : picked) goDown(*engine, t.length, t.kind == "vanish");
  } else if (t.kind == "ageing") {
    age(picked, t);
  } else if (t.kind == "pauses") {
    pauseAgain(picked, t.size.value_or(0.3), t.extra.value_or(1.5), fabric_.now() + t.length);
  } else {
    preempt(picked, t);
  }
}

// Down for some seconds, then back cold; the registry hears of both late.
void Troubles::goDown(StandIn& engine, double seconds, bool silently) {
  StandIn* const e = &engine;
  if (silently) {
    e->silence(true);
  } else {
    e->crash();
  }
  const std::uint32_t id = e->spec().id;
  const double notice = silently ? 4 * day_.notice : day_.notice;  // silence is noticed later than an end
  if (seconds > notice) later(notice, [this, id] { registry_.remove(id); });
  later(seconds, [this, e] {
    e->comeBack();
    later(day_.notice / 2, [this, e] {
      if (!e->down()) registry_.set(*e, v1::EngineEntry::SERVING);
    });
  });
}

// Slower and slower, then one crash.
void Troubles::age(const Picked& picked, const Trouble& t) {
  constexpr int kSteps = 20;
  for (int i = 1; i <= kSteps; ++i) {
    later(t.length * i / kSteps, [picked, slower = 1 + (t.size.value_or(10) - 1) * i / kSteps] {
      for (StandIn* const engine : picked) engine->model().speed = 1 / slower;
    });
  }
  until(t, [this, picked, down = t.extra.value_or(2)] {
    for (StandIn* const engine : picked) {
      engine->model().speed = 1;
      goDown(*engine, down, false);
    }
  });
}

void Troubles::pauseAgain(const Picked& picked, double pause, double every, double end) {
  if (fabric_.now() >= end) return;
  for (StandIn* const engine : picked) engine->model().speed = 0;
  later(pause, [picked] {
    for (StandIn* const engine : picked) engine->model().speed = 1;
  });
  later(every, [=, this] { pauseAgain(picked, pause, every, end); });
}

// In waves: listed as draining, dead after the notice, replaced by fresh machines some seconds later.
void Troubles::preempt(const Picked& picked, const Trouble& t) {
  for (std::size_t i = 0; i < picked.size(); ++i) {
    StandIn* const engine = picked[i];
    const double wave = t.length / 2 * static_cast<double>(i % t.waves) / t.waves;
    later(wave, [this, engine, left = t.size.value_or(1.5)] {
      const std::int64_t unixMs = net::unixMillis() + static_cast<std::int64_t>(left * 1000);
      if (!engine->down()) registry_.set(*engine, v1::EngineEntry::DRAINING, unixMs);
    });
    later(wave + t.size.value_or(1.5),
          [this, engine, after = t.extra.value_or(4)] { replace(*engine, after); });
  }
}

void Troubles::replace(StandIn& old, double after) {
  old.crash();
  const EngineSpec was = old.spec();
  later(day_.notice, [this, id = was.id] { registry_.remove(id); });
  later(after, [this, was] {
    EngineSpec spec = was;
    spec.id = nextId_++;
    engines_.push_back(std::make_unique<StandIn>(fabric_, spec));
    StandIn* const fresh = engines_.back().get();
    fresh->comeBack();
    later(day_.notice / 2, [this, fresh] { registry_.set(*fresh, v1::EngineEntry::SERVING); });
  });
}

}  // namespace gannetcourse::lab
