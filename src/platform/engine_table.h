// The table of the engines that this node knows from the engine list, including recently removed ones. Only
// EngineClient changes the table; ReleaseDispatcher reads it.
#pragma once

#include <map>

#include "gannetcourse/policy.h"
#include "net/connection.h"

namespace gannetcourse::platform {

/// What the engine client stores about one engine.
struct EngineRecord {
  net::Endpoint address;
  Instant lastActivityAt{};  ///< When data was last received from the engine; the epoch = never.
  bool removed = false;      ///< No longer on the engine list; its process may still run.
  bool draining = false;
  /// Whether unsent calls to the engine were cancelled after its drain started or it was removed.
  bool unsentCallsCancelled = false;
  Instant removedAt{};  ///< When the engine was removed from the list; the epoch = it is listed.

  bool isServing() const { return !removed && !draining; }
};

using EngineTable = std::map<EngineId, EngineRecord>;

}  // namespace gannetcourse::platform
