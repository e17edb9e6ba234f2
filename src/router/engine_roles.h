// Which role each listed engine has: an engine that is not on the list is sent nothing.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::router {

class EngineRoles {
 public:
  // Returns the engines that the list names as removed.
  std::vector<EngineId> take(const EngineListUpdate& list) {
    std::vector<EngineId> removed;
    const bool isWhole =
        list.scope == EngineListUpdate::Scope::kSnapshot || list.scope == EngineListUpdate::Scope::kCached;
    if (isWhole) roles_.clear();
    for (const EngineEntry& entry : list.entries) {
      if (entry.state == EngineEntry::State::kRemoved) {
        roles_.erase(entry.id);
        removed.push_back(entry.id);
      } else {
        roles_[entry.id] = entry.role;
      }
    }
    return removed;
  }

  std::optional<Role> of(EngineId engine) const {
    const auto it = roles_.find(engine);
    return it == roles_.end() ? std::nullopt : std::optional(it->second);
  }

 private:
  std::map<EngineId, Role> roles_;
};

}  // namespace gannetcourse::router
