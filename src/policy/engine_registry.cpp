#include "engine_registry.h"

namespace gannetcourse::policy {

void EngineRegistry::apply(const EngineListUpdate& update) {
  if (update.scope != EngineListUpdate::Scope::kDelta) {
    for (auto& [id, engine] : engines_) engine.entry.state = EngineEntry::State::kRemoved;
  }
  for (const EngineEntry& entry : update.entries) applyEntry(entry);
  if (update.scope != EngineListUpdate::Scope::kCached) listIsCurrent_ = true;
}

void EngineRegistry::applyEntry(const EngineEntry& entry) {
  const auto [it, added] = engines_.try_emplace(entry.id);
  Engine& engine = it->second;
  const bool started = entry.startedAt && (added || entry.startedAt != engine.entry.startedAt);
  if (started && !added) engine.process = ProcessRecord{};  // the learned data is of the previous process
  if (started) slowStart_.onProcessStarted(engine, *entry.startedAt, listIsCurrent_);
  engine.entry = entry;
}

void EngineRegistry::removeIdle() {
  std::erase_if(engines_, [](const auto& item) {
    const Engine& engine = item.second;
    return engine.entry.state == EngineEntry::State::kRemoved && engine.attempts.none();
  });
}

Engine* EngineRegistry::find(EngineId id) {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : &it->second;
}

const Engine* EngineRegistry::find(EngineId id) const {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : &it->second;
}

}  // namespace gannetcourse::policy
