// Carries out what the policy decides, unless it would break an invariant of the core or comes too late.
#pragma once

#include "gannetcourse/policy.h"
#include "router/attempt_tracker.h"
#include "router/core_context.h"
#include "router/engine_roles.h"
#include "router/policy_runner.h"
#include "router/record_log.h"
#include "router/request_completion.h"
#include "router/request_table.h"
#include "router/state_releaser.h"
#include "router/stream_continuation.h"

namespace gannetcourse::router {

/// One overload for each action. A later or invalid action has no effect; a blocked attempt is reported to
/// the policy.
class PolicyActions {
 public:
  /// The parts that actions are carried out with; they outlive this.
  struct Parts {
    CoreContext& context;
    RecordLog& log;
    const EngineRoles& roles;
    RequestTable& requests;
    StateReleaser& releaser;
    AttemptTracker& attempts;
    PolicyRunner& policy;
    RequestCompletion& completion;
    StreamContinuation& continuation;
  };
  explicit PolicyActions(const Parts& parts) : parts_(parts) {}

  void operator()(const StartAttempt& action);
  void operator()(const Reserve& action);
  void operator()(const Release& action);
  void operator()(const RejectRequest& action);
  void operator()(const FailRequest& action);
  void operator()(const CancelAttempt& action);
  void operator()(const Probe& action);
  void operator()(const SubscribeToEngineList& action);
  void operator()(const FetchEngineList& action);
  void operator()(const SetTimer& action);
  void operator()(const Log& action);

 private:
  bool canStart(const Request& request) const;
  void block(const StartAttempt& action, const Request* request);
  /// The request if it has no final response yet, else null.
  Request* findOpen(const RequestId& id);

  Parts parts_;
};

}  // namespace gannetcourse::router
