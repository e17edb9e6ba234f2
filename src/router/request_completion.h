// The ends of requests: the one final response, the client's disconnect, and the deadline.
#pragma once

#include <string>

#include "gannetcourse/router.h"
#include "router/attempt_tracker.h"
#include "router/core_context.h"
#include "router/policy_runner.h"
#include "router/record_log.h"
#include "router/request_table.h"

namespace gannetcourse::router {

/// Completes requests; owns no state. A request is completed once.
class RequestCompletion {
 public:
  RequestCompletion(CoreContext& context, RecordLog& log, RequestTable& requests, AttemptTracker& attempts,
                    PolicyRunner& policy)
      : context_(context), log_(log), requests_(requests), attempts_(attempts), policy_(policy) {}

  /// Sends the final response. The call in flight, if any, is not cancelled. `reason` goes to the client.
  void respond(Request& request, FinalStatus status, const std::string& reason,
               Duration retryAfter = Duration(0));
  /// The same, and cancels its call and withdraws it from the policy.
  void abort(Request& request, FinalStatus status, Outcome outcome, const char* reason);
  /// The client is not there any more: cancels the call and withdraws the request from the policy, without a
  /// response.
  void onClientDisconnected(Request& request);
  /// The core's own limit on a request. A policy that keeps deadlines leaves it only streams.
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
