// The interface through which the core's driver responds to one request, independent of the client's
// protocol.
#pragma once

#include "gannetcourse/router.h"

namespace gannetcourse::frontend {

/// Sends the response to one request to its client.
class ClientStream {
 public:
  virtual ~ClientStream() = default;
  /// Sets the point from which the answer can be resumed if this node fails. Ignored by protocols without
  /// resume tokens.
  virtual void sendResumePoint(const router::ResumePoint&) {}
  virtual void sendToken(const router::SendToken& token) = 0;
  /// Ends the response. Called at most once, after all other functions.
  virtual void sendFinalResponse(const router::FinalResponse& response) = 0;
};

}  // namespace gannetcourse::frontend
