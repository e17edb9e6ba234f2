// The core's records of one request and of its call in flight.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gannetcourse/router.h"
#include "router/call_kind.h"
#include "router/timer_queue.h"

namespace gannetcourse::router {

/// What the core stores of one request, from its acceptance until it is finished.
struct Request {
  RequestKey key = 0;
  std::string name;      // assigned by the core, unique among all routers
  std::string id;        // sent to engines: `name`, unless the host or a resumed stream specified another
  std::string policyId;  // the request's id at the policy, for which each continuation is a new request
  NewRequest arrival;
  std::shared_ptr<const RequestPayload> payload;  // of the current continuation
  Instant deadline;                               // when the client stops waiting for the complete answer

  bool isCompleted = false;  // the final response was sent, or the client has disconnected
  bool isStreaming = false;  // the first token of the attempt in flight was received
  int attemptCount = 0;
  int nextAttempt = 0;       // number of the next attempt, over all continuations, as sent to engines
  int firstAttempt = 0;      // number of the first attempt under `policyId`
  CallKey callInFlight = 0;  // 0 = none

  std::optional<EngineId> stateEngine;  // prefill engine that holds the state until the decode takes it
  std::string stateHandle;
  int stateAttempt = 0;
  std::optional<EngineId> reservedEngine;

  std::uint32_t nextTokenIndex = 0;
  std::string generatedText;  // the answer so far; empty unless it is buffered
  bool isTextBuffered = true;
  int continuations = 0;
  bool awaitsContinuation = false;  // the stream was lost and its continuation has not started
  EngineId lostStreamEngine;

  TimerQueue::Handle timeout;

  /// Whether the request can be erased: it is completed and has no call in flight.
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

/// The number of the next attempt as the policy counts them, starting at 0 for each continuation.
inline int nextPolicyAttempt(const Request& request) { return request.nextAttempt - request.firstAttempt; }

/// The number of the call's attempt as the policy counts them, starting at 0 for each continuation.
inline int policyAttempt(const Call& call) { return call.attempt - call.request->firstAttempt; }

/// The event that submits the request, or its continuation, to the policy.
RequestArrived requestArrivedEvent(const Request& request, Duration timeUntilResponse);

/// The event that a call's attempt has ended. The caller adds the cached tokens and the load report.
AttemptEnded attemptEndedEvent(const Call& call, Outcome outcome, Instant now);

}  // namespace gannetcourse::router
