// Executes the actions of the policy, unless an action would break an invariant of the core or its request is
// already completed.
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

/// A visitor with one overload for each action. An invalid action or an action for a completed request is not
/// carried out. If such an action was to start an attempt, the attempt is reported to the policy as not sent.
class PolicyActions {
 public:
  /// The components of the core that the actions use. They must outlive this object.
  struct Components {
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
  explicit PolicyActions(const Components& components) : components_(components) {}

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
  void reportBlockedAttempt(const StartAttempt& action, const Request* request);
  /// The request with this policy id, or null if there is none or it is completed.
  Request* findOpen(const RequestId& id);

  Components components_;
};

}  // namespace gannetcourse::router
