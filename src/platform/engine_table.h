// The engines that this node has been told of, and what the engines' client has seen of them.
#pragma once

#include <map>

#include "gannetcourse/policy.h"
#include "net/connection.h"

namespace gannetcourse::platform {

struct EngineRecord {
  net::Endpoint address;
  Instant lastHeardAt{};  // when anything last came from it
  bool removed = false, draining = false;
  bool unsentCallsCancelled =
      false;  // it takes nothing new, and what waited for a connection to it has been ended
  Instant removedAt{};

  bool isServing() const { return !removed && !draining; }
};

using EngineTable = std::map<EngineId, EngineRecord>;

}  // namespace gannetcourse::platform
