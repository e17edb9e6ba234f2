// The engines that this node knows from the engine list, and what the engine client has observed of them.
// EngineClient alone changes the table; ReleaseDispatcher reads it.
#pragma once

#include <map>

#include "gannetcourse/policy.h"
#include "net/connection.h"

namespace gannetcourse::platform {

/// What is known of one engine.
struct EngineRecord {
  net::Endpoint address;
  Instant lastHeardAt{};  ///< When anything last came from it; the epoch = never.
  bool removed = false;   ///< Off the list. Its process may run on.
  bool draining = false;
  /// It takes no new work, and calls that waited for a connection to it have been cancelled.
  bool unsentCallsCancelled = false;
  Instant removedAt{};  ///< Since when it is off the list; the epoch = it is listed.

  bool isServing() const { return !removed && !draining; }
};

using EngineTable = std::map<EngineId, EngineRecord>;

}  // namespace gannetcourse::platform
