// Completes requests: by their final response, at the client's disconnect or at the deadline.
#pragma once

#include <string>

#include "gannetcourse/router.h"
#include "router/attempt_tracker.h"
#include "router/core_context.h"
#include "router/policy_runner.h"
#include "router/record_log.h"
#include "router/request_table.h"

namespace gannetcourse::router {

/// Stores no data of its own. Each request must be completed only once.
class RequestCompletion {
 public:
  RequestCompletion(CoreContext& context, RecordLog& log, RequestTable& requests, AttemptTracker& attempts,
                    PolicyRunner& policy)
      : context_(context), log_(log), requests_(requests), attempts_(attempts), policy_(policy) {}

  /// Sends the final response, with `reason` for the client. Does not cancel a call in flight.
  void respond(Request& request, FinalStatus status, const std::string& reason,
               Duration retryAfter = Duration(0));
  /// Sends the final response, cancels the call in flight and withdraws the request from the policy.
  void abort(Request& request, FinalStatus status, Outcome outcome, const char* reason);
  /// The client has disconnected: cancels the call in flight and withdraws the request from the policy,
  /// without a response.
  void onClientDisconnected(Request& request);
  /// The core's own time-out of the request has fired. This normally happens only to streams, because the
  /// policy ends all other requests earlier.
  void onTimeout(Request& request);

 private:
  void cancelCall(Request& request, Outcome outcome, const char* reason);
  void endStreamAtDeadline(Request& request);

  CoreContext& context_;
  RecordLog& log_;
  RequestTable& requests_;
  AttemptTracker& attempts_;
  PolicyRunner& policy_;
};

}  // namespace gannetcourse::router
