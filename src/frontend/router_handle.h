// What fronts need of the node, and the node of fronts.
#pragma once

#include <memory>

#include "config/settings.h"
#include "frontend/client_stream.h"
#include "net/loop.h"
#include "resume/seal.h"

namespace gannetcourse::frontend {

class RouterHandle {
 public:
  virtual ~RouterHandle() = default;
  // Takes a request; its key is set here. The answer may come before this returns.
  virtual void openRequest(router::RequestKey key, router::NewRequest arrival,
                           std::shared_ptr<ClientStream> client) = 0;
  virtual router::RequestKey nextRequestKey() = 0;
  virtual void onClientDisconnected(router::RequestKey request) = 0;
  // Stops and goes on with the engine's stream: its client takes nothing for now.
  virtual void pauseRequest(router::RequestKey request, bool paused) = 0;
  virtual const config::NodeSettings& settings() const = 0;
  virtual const resume::Sealer& sealer() const = 0;
  virtual net::Loop& loop() = 0;
  virtual bool isServing() const = 0;  // has engines and does not drain
};

}  // namespace gannetcourse::frontend
