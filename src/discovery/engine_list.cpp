#include "discovery/engine_list.h"

#include <algorithm>

namespace gannetcourse::discovery {

EngineListUpdate EngineList::toPolicyUpdate() const {
  EngineListUpdate update{scope, {}};
  for (const Engine& engine : engines) update.entries.push_back(engine.entry);
  return update;
}

EntryResolver::EntryResolver(std::vector<std::string> zones, Instant now, std::int64_t unixMsNow)
    : zones_(std::move(zones)), clock_(now, unixMsNow) {}

std::uint32_t EntryResolver::zoneNumber(const std::string& name) const {
  return static_cast<std::uint32_t>(std::find(zones_.begin(), zones_.end(), name) - zones_.begin());
}

void EntryResolver::resolve(Engine& engine) const {
  engine.entry.zone = zoneNumber(engine.zone);
  engine.entry.startedAt = toInstant(engine.startedUnixMs);
  engine.shutdownAt = toInstant(engine.shutdownUnixMs);
}

void EngineListState::apply(const EngineList& list) {
  if (list.scope == EngineListUpdate::Scope::kFetchFailed) return;
  if (list.scope != EngineListUpdate::Scope::kDelta) engines_.clear();
  for (const Engine& engine : list.engines) applyEntry(engine);
}

void EngineListState::applyEntry(const Engine& engine) {
  const auto byId = [](const Engine& a, const Engine& b) { return a.entry.id < b.entry.id; };
  const auto at = std::lower_bound(engines_.begin(), engines_.end(), engine, byId);
  const bool known = at != engines_.end() && at->entry.id == engine.entry.id;
  if (engine.entry.state == EngineEntry::State::kRemoved) {
    if (known) engines_.erase(at);
  } else if (known) {
    *at = engine;
  } else {
    engines_.insert(at, engine);
  }
}

}  // namespace gannetcourse::discovery
