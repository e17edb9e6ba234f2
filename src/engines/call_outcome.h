// What the end of a gRPC call to an engine means for the decision module.
#pragma once

#include "gannetcourse/policy.h"
#include "gannetcourse/recovery.h"
#include "grpc/channel.h"

namespace gannetcourse::engines {

/// The outcome of every way in which a call can end. What is known not to have run is kept apart from what
/// may have run.
Outcome outcomeOf(const grpc::CallEnd& end);

/// Whether the engine itself has ended the call, by status, reset, or closing the connection that it was on.
recovery::AttemptEnd attemptEndOf(const grpc::CallEnd& end);

}  // namespace gannetcourse::engines
