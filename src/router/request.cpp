#include "router/request.h"

#include <algorithm>

namespace gannetcourse::router {

RequestArrived requestArrivedEvent(const Request& request, Duration timeUntilResponse) {
  const NewRequest& arrival = request.arrival;
  const bool hasFirstTokenTimeout = arrival.firstTokenTimeout.count() > 0;
  RequestArrived event;
  event.id = RequestId{request.policyId};
  event.classIndex = arrival.classIndex;
  event.tenant = arrival.tenant;
  event.isRetry = arrival.isRetry && request.continuations == 0;  // a continuation is not a client's retry
  event.timeUntilDeadline =
      hasFirstTokenTimeout ? std::min(timeUntilResponse, arrival.firstTokenTimeout) : timeUntilResponse;
  event.sessionKey = arrival.sessionKey;
  event.prefixKey = arrival.prefixKey;
  event.prefixTokens = request.payload->prefixTokens;
  event.promptTokens = request.payload->promptTokens;
  event.maxOutputTokens = request.payload->maxOutputTokens;
  event.expectedOutputDuration = arrival.expectedOutputDuration;
  return event;
}

AttemptEnded attemptEndedEvent(const Call& call, Outcome outcome, Instant now) {
  AttemptEnded ended;
  ended.id = RequestId{call.request->policyId};
  ended.attempt = policyAttempt(call);
  ended.engine = call.engine;
  ended.outcome = outcome;
  ended.requestFinished = call.request->isCompleted;
  ended.elapsed = now - call.startedAt;
  return ended;
}

}  // namespace gannetcourse::router
