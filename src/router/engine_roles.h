// The role of each engine in the current engine list. No attempt is started at an engine that is not listed.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::router {

/// Owns the roles of the listed engines, which are updated from each EngineListUpdate.
class EngineRoles {
 public:
  /// Applies the update and returns the engines that it marks as removed.
  std::vector<EngineId> apply(const EngineListUpdate& update) {
    std::vector<EngineId> removed;
    const bool replacesAll = update.scope == EngineListUpdate::Scope::kSnapshot ||
                             update.scope == EngineListUpdate::Scope::kCached;
    if (replacesAll) roles_.clear();
    for (const EngineEntry& entry : update.entries) {
      if (entry.state == EngineEntry::State::kRemoved) {
        roles_.erase(entry.id);
        removed.push_back(entry.id);
      } else {
        roles_[entry.id] = entry.role;
      }
    }
    return removed;
  }

  /// The engine's role; absent if the engine is not listed.
  std::optional<Role> roleOf(EngineId engine) const {
    const auto it = roles_.find(engine);
    if (it == roles_.end()) return std::nullopt;
    return it->second;
  }

 private:
  std::map<EngineId, Role> roles_;
};

}  // namespace gannetcourse::router
