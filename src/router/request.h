// What the core knows of one request and of the call that is in flight for it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gannetcourse/router.h"
#include "router/call_kind.h"
#include "router/timer_queue.h"

namespace gannetcourse::router {

/// One request, from its arrival until it is finished.
struct Request {
  RequestKey key = 0;
  std::string name;      // the core's own, unique among routers
  std::string id;        // its name for engines: `name`, unless the host or a resumed stream brought another
  std::string policyId;  // its name for the policy, to which each continuation is a new request
  NewRequest arrival;
  std::shared_ptr<const RequestPayload> payload;  // of the current continuation
  Instant deadline;                               // when its client gives up on the complete answer

  bool isCompleted = false;  // it has its final response, or its client has disconnected
  bool isStreaming = false;  // the attempt in flight has brought its first token
  int attemptCount = 0;
  int nextAttempt = 0;       // number of the next attempt, over all continuations, as engines know it
  int firstAttempt = 0;      // number of the first attempt under `policyId`
  CallKey callInFlight = 0;  // 0 = none

  std::optional<EngineId> stateEngine;  // where a state waits for its decode call
  std::string stateHandle;
  int stateAttempt = 0;
  std::optional<EngineId> reservedEngine;

  std::uint32_t nextTokenIndex = 0;
  std::string generatedText;  // the answer so far, while it is buffered
  bool isTextBuffered = true;
  int continuations = 0;
  bool awaitsContinuation = false;  // its stream was lost
  EngineId lostStreamEngine;

  TimerQueue::Handle timeout;

  /// Nothing of it is left to do.
  bool isFinished() const { return isCompleted && callInFlight == 0; }
};

/// One call to an engine, from its start until its end or its cancellation.
struct Call {
  Request* request = nullptr;  // never null; a request outlives its calls
  int attempt = 0;
  EngineId engine;
  CallKind kind = CallKind::kPrefill;
  Instant startedAt;
  TimerQueue::Handle timeout;
};

/// The number of the next attempt, as the policy counts.
inline int nextPolicyAttempt(const Request& request) { return request.nextAttempt - request.firstAttempt; }

/// The number of this attempt, as the policy counts.
inline int policyAttempt(const Call& call) { return call.attempt - call.request->firstAttempt; }

/// The event that submits the request, or its continuation, to the policy.
RequestArrived requestArrivedEvent(const Request& request, Duration timeUntilResponse);

/// The event that a call's attempt has ended; cached tokens and load are the caller's to add.
AttemptEnded attemptEndedEvent(const Call& call, Outcome outcome, Instant now);

}  // namespace gannetcourse::router
