// The engines that this node knows from the engine list, with their state as seen by the engine client. Only
// EngineClient changes the table; ReleaseDispatcher reads it.
#pragma once

#include <map>

#include "gannetcourse/policy.h"
#include "net/connection.h"

namespace gannetcourse::platform {

/// The state of one engine.
struct EngineRecord {
  net::Endpoint address;
  Instant lastActivityAt{};  ///< When data was last received from it; the epoch = never.
  bool removed = false;      ///< No longer on the engine list; its process may still run.
  bool draining = false;
  /// Whether its unsent calls were cancelled after it started to drain or was removed.
  bool unsentCallsCancelled = false;
  Instant removedAt{};  ///< When it was removed from the list; the epoch = it is listed.

  bool isServing() const { return !removed && !draining; }
};

using EngineTable = std::map<EngineId, EngineRecord>;

}  // namespace gannetcourse::platform
