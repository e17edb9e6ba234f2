// One request as its front keeps it, whatever the protocol.
#pragma once

#include "gannetcourse/router.h"

namespace gannetcourse::frontend {

class ClientStream {
 public:
  virtual ~ClientStream() = default;
  virtual void sendResumePoint(const router::ResumePoint&) {}
  virtual void sendToken(const router::SendToken& token) = 0;
  virtual void sendFinalResponse(const router::FinalResponse& answer) = 0;  // once; nothing follows
};

}  // namespace gannetcourse::frontend
