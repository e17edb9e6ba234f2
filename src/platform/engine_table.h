// The engines that this node has been told of, and what the engines' client has seen of them.
#pragma once

#include <map>

#include "gannetcourse/policy.h"
#include "net/connection.h"

namespace gannetcourse::platform {

struct Engine {
  net::Endpoint address;
  Instant heardAt{};  // when anything last came from it
  bool gone = false, draining = false;
  bool stopped = false;  // it takes nothing new, and what waited for a connection to it has been ended
  Instant goneAt{};

  bool serves() const { return !gone && !draining; }
};

using EngineTable = std::map<EngineId, Engine>;

}  // namespace gannetcourse::platform
