// The engines of the list, with all that is known of each.
#pragma once

#include <map>

#include "engine.h"
#include "slow_start.h"

namespace gannetcourse::policy {

/// Owns the Engine records. An engine that leaves the list stays until its last attempt has ended. References
/// to records stay valid until removeIdle().
class EngineRegistry {
 public:
  explicit EngineRegistry(SlowStart& slowStart) : slowStart_(slowStart) {}

  /// Takes over the entries of any update but a failed one.
  void apply(const EngineListUpdate& update);
  /// Forgets engines that have left the list and have no attempt in flight.
  void removeIdle();

  /// Null for an unknown engine.
  Engine* find(EngineId id);
  const Engine* find(EngineId id) const;
  /// The record of an engine that an attempt ran on; an empty one where the host names an unknown engine.
  Engine& findOrCreate(EngineId id) { return engines_[id]; }

  std::map<EngineId, Engine>& engines() { return engines_; }
  const std::map<EngineId, Engine>& engines() const { return engines_; }

 private:
  void applyEntry(const EngineEntry& entry);

  SlowStart& slowStart_;
  std::map<EngineId, Engine> engines_;
  bool listIsCurrent_ = false;  // a list that was no cached one has come
};

}  // namespace gannetcourse::policy
