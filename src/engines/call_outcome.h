// Translates how a gRPC call to an engine ended into the decision module's terms.
#pragma once

#include "gannetcourse/policy.h"
#include "gannetcourse/recovery.h"
#include "grpc/channel.h"

namespace gannetcourse::engines {

/// Maps how a call ended to its outcome. kConnectFailed and kRejected mean that the call certainly did not
/// run; a call that may have run gets another outcome.
Outcome outcomeOf(const grpc::CallEnd& end);

/// Returns kAbandoned if the engine may still be running the call. Returns kConfirmed if the engine ended the
/// call (by a status, a reset or closing the connection) or did not start it.
recovery::AttemptEnd attemptEndOf(const grpc::CallEnd& end);

}  // namespace gannetcourse::engines
