// One client's request as the core's driver sees it, whatever the client's protocol.
#pragma once

#include "gannetcourse/router.h"

namespace gannetcourse::frontend {

/// Receives the response to one request.
class ClientStream {
 public:
  virtual ~ClientStream() = default;
  /// Where the answer could be resumed if this node fails. Protocols without resume tokens ignore it.
  virtual void sendResumePoint(const router::ResumePoint&) {}
  virtual void sendToken(const router::SendToken& token) = 0;
  /// Called once; nothing follows it.
  virtual void sendFinalResponse(const router::FinalResponse& response) = 0;
};

}  // namespace gannetcourse::frontend
