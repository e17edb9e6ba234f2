// The node's interface for its frontends.
#pragma once

#include <memory>

#include "config/settings.h"
#include "frontend/client_stream.h"
#include "net/loop.h"
#include "resume/seal.h"

namespace gannetcourse::frontend {

/// Passes clients' requests to a node. All calls are made on the loop's thread.
class RouterHandle {
 public:
  virtual ~RouterHandle() = default;
  /// Passes a valid request to the core; `key` is from nextRequestKey(). The response may be sent before this
  /// returns.
  virtual void openRequest(router::RequestKey key, router::NewRequest request,
                           std::shared_ptr<ClientStream> client) = 0;
  virtual router::RequestKey nextRequestKey() = 0;
  virtual void onClientDisconnected(router::RequestKey request) = 0;
  /// Stops or resumes reading the engine's stream, for a client that does not read its response.
  virtual void pauseRequest(router::RequestKey request, bool paused) = 0;
  virtual const config::NodeSettings& settings() const = 0;
  virtual const resume::Sealer& sealer() const = 0;
  virtual net::Loop& loop() = 0;
  /// Whether the node has engines and is not draining.
  virtual bool isServing() const = 0;
};

}  // namespace gannetcourse::frontend
