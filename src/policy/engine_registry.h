// The records of all engines, updated from the engine list.
#pragma once

#include <map>

#include "engine.h"
#include "slow_start.h"

namespace gannetcourse::policy {

/// Owns the Engine records. The record of an engine that was removed from the list is kept until its last
/// attempt has ended. References to records stay valid until removeIdle().
class EngineRegistry {
 public:
  explicit EngineRegistry(SlowStart& slowStart) : slowStart_(slowStart) {}

  /// Applies an update of the list; its scope must not be kFetchFailed.
  void apply(const EngineListUpdate& update);
  /// Sets whether discovery is about to answer this router's question for the list.
  void setListAwaited(bool awaited) { listIsAwaited_ = awaited; }
  bool isListAwaited() const { return listIsAwaited_; }
  /// Deletes the records of engines that were removed from the list and have no attempt in flight.
  void removeIdle();

  /// The record of the engine; null if it is unknown.
  Engine* find(EngineId id);
  const Engine* find(EngineId id) const;
  /// The record of an engine that an attempt ran on; a new, empty one if the engine is unknown.
  Engine& findOrCreate(EngineId id) { return engines_[id]; }

  std::map<EngineId, Engine>& engines() { return engines_; }
  const std::map<EngineId, Engine>& engines() const { return engines_; }

 private:
  void applyEntry(const EngineEntry& entry);

  SlowStart& slowStart_;
  std::map<EngineId, Engine> engines_;
  bool listIsAwaited_ = false;
  bool listIsCurrent_ = false;  // an update other than a cached list was received
};

}  // namespace gannetcourse::policy
