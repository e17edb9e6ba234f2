// What fronts need of the node, and the node of fronts.
#pragma once

#include <memory>

#include "config/settings.h"
#include "fronts/client_side.h"
#include "net/loop.h"
#include "resume/seal.h"

namespace gannetcourse::fronts {

class RouterSide {
 public:
  virtual ~RouterSide() = default;
  // Takes a request; its key is set here. The answer may come before this returns.
  virtual void open(router::RequestKey key, router::Arrival arrival, std::shared_ptr<ClientSide> client) = 0;
  virtual router::RequestKey nextKey() = 0;
  virtual void clientGone(router::RequestKey request) = 0;
  // Stops and goes on with the engine's stream: its client takes nothing for now.
  virtual void pause(router::RequestKey request, bool paused) = 0;
  virtual const config::NodeSettings& settings() const = 0;
  virtual const resume::Sealer& sealer() const = 0;
  virtual net::Loop& loop() = 0;
  virtual bool serving() const = 0;  // has engines and does not drain
};

}  // namespace gannetcourse::fronts
