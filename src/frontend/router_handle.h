// What frontends need of the node.
#pragma once

#include <memory>

#include "config/settings.h"
#include "frontend/client_stream.h"
#include "net/loop.h"
#include "resume/seal.h"

namespace gannetcourse::frontend {

/// A node as its frontends see it. All calls are made on the loop's thread.
class RouterHandle {
 public:
  virtual ~RouterHandle() = default;
  /// Accepts a request under a key of nextRequestKey(). The response may come before this returns.
  virtual void openRequest(router::RequestKey key, router::NewRequest request,
                           std::shared_ptr<ClientStream> client) = 0;
  virtual router::RequestKey nextRequestKey() = 0;
  virtual void onClientDisconnected(router::RequestKey request) = 0;
  /// Stops and resumes the engine's stream: the client takes nothing for now.
  virtual void pauseRequest(router::RequestKey request, bool paused) = 0;
  virtual const config::NodeSettings& settings() const = 0;
  virtual const resume::Sealer& sealer() const = 0;
  virtual net::Loop& loop() = 0;
  /// Whether it has engines and does not drain.
  virtual bool isServing() const = 0;
};

}  // namespace gannetcourse::frontend
