// Translates how a gRPC call to an engine ended into the decision module's terms.
#pragma once

#include "gannetcourse/policy.h"
#include "gannetcourse/recovery.h"
#include "grpc/channel.h"

namespace gannetcourse::engines {

/// Maps how a call ended to its outcome. Calls that certainly did not run (kConnectFailed, kRejected) have
/// other outcomes than those that may have run.
Outcome outcomeOf(const grpc::CallEnd& end);

/// kAbandoned if the engine may still be running the call. kConfirmed if it ended the call (by a status, a
/// reset or closing the connection) or did not start it.
recovery::AttemptEnd attemptEndOf(const grpc::CallEnd& end);

}  // namespace gannetcourse::engines
