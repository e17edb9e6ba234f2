#include "request_lifecycle.h"

#include <algorithm>
#include <iterator>

#include "tuning.h"

namespace gannetcourse::policy {

// ---- Opening ----

void RequestLifecycle::open(const RequestArrived& arrival) {
  Request& request = requests_[arrival.id];
  describe(request, arrival);
  request.overQuota = m_.admission.isOverQuota(arrival);
  m_.affinity.recordRequest(arrival);
  m_.probing.onRequest();
  if (isPastResponseTime(request)) {
    finish(request);
  } else {
    enqueue(request);
  }
}

void RequestLifecycle::describe(Request& request, const RequestArrived& arrival) const {
  const Instant now = m_.context.now();
  request.arrival = arrival;
  request.arrivedAt = now;
  request.deadline = now + arrival.timeUntilDeadline;
  const ClassSettings& c = m_.context.classOf(request);
  request.objectiveAt =
      std::min(request.deadline, now + c.ttftObjective + c.ttftObjectivePerToken * arrival.promptTokens);
  request.memoryNeeded = arrival.promptTokens + expectedOutput(request);
  request.healthKeys = {HealthKey::ofClass(arrival.classIndex)};
  if (arrival.tenant) request.healthKeys.push_back(HealthKey::ofTenant(*arrival.tenant));
}

Tokens RequestLifecycle::expectedOutput(const Request& request) const {
  const Duration interToken = m_.context.classOf(request).interTokenObjective;
  const std::optional<Duration>& duration = request.arrival.expectedOutputDuration;
  if (duration && interToken > Duration(0)) return *duration / interToken;
  return request.arrival.maxOutputTokens / kMaxToExpectedOutput;
}

Request* RequestLifecycle::find(const RequestId& id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

// ---- Queue ----

void RequestLifecycle::enqueue(Request& request) {
  enqueueForHousekeeping(request);
  if (queue_.size() == 1) dispatchQueue();
}

void RequestLifecycle::enqueueForHousekeeping(const Request& request) {
  queue_.emplace(request.objectiveAt, request.arrival.id);
}

bool RequestLifecycle::isQueued(const RequestId& id) const {
  const auto it = requests_.find(id);
  return it != requests_.end() && !it->second.answered && it->second.stage == RequestStage::kQueued;
}

void RequestLifecycle::dispatchQueue() {
  int stayed = 0;
  for (auto next = queue_.begin(); next != queue_.end() && stayed < kMaxQueuedTried;) {
    if (isQueued(next->second) && !dispatch(requests_.at(next->second))) {
      ++stayed;
      ++next;
    } else {
      next = queue_.erase(next);
    }
  }
}

// Tries to start a queued request. False where it stays in the queue; else it was started or is over.
bool RequestLifecycle::dispatch(Request& request) {
  const PrefillPlan plan = m_.prefillSelector.select(request);
  if (plan.engine != nullptr) {
    const int attemptsNeeded = plan.combinedPrefillAndDecode ? 1 : 2;
    if (m_.context.now() + plan.prefillTime >= request.deadline ||
        request.attemptCount + attemptsNeeded > m_.context.settings().maxAttempts) {
      finish(request);
      return true;
    }
    if (m_.admission.isAdmitted(request, plan)) {
      if (m_.probing.awaitsQueueProbe(request, *plan.engine)) return false;
      startPrefill(request, plan);
      return true;
    }
  }
  if (!m_.admission.isToBeShed(request)) return false;
  finish(request);
  return true;
}

// ---- Attempts ----

void RequestLifecycle::startPrefill(Request& request, const PrefillPlan& plan) {
  m_.affinity.recordPrefillStarted(*plan.engine, request.arrival);
  m_.attempts.startPrefill(request, plan);
  if (plan.combinedPrefillAndDecode || !m_.probing.canProbe()) return;
  // The report of the decode engine after it will be here by the prefill's end.
  Engine* const decode = m_.decodeSelector.select(request, *plan.engine, HealthRule::kHealthyOnly);
  if (decode != nullptr) m_.probing.probe(*decode);
}

void RequestLifecycle::startDecodeOrWait(Request& request) {
  Engine* const from = m_.registry.find(request.prefillEngine);
  if (request.attemptCount >= m_.context.settings().maxAttempts || from == nullptr) {
    finish(request);
    return;
  }
  Engine* engine = m_.decodeSelector.select(request, *from, HealthRule::kHealthyOnly);
  if (engine == nullptr) engine = m_.decodeSelector.select(request, *from, HealthRule::kAny);
  if (engine != nullptr) {
    m_.attempts.startDecode(request, *engine, *from);
  } else if (!canStateWait(request)) {
    finish(request);
  }
}

void RequestLifecycle::onAttemptEnded(Request& request, const AttemptEnded& end) {
  if (end.requestFinished || request.answered) {
    // A state that came after the response, or one that a failed attempt has left, must be released.
    if (end.outcome != Outcome::kOk) m_.context.emit(Release{end.id});
    requests_.erase(end.id);
  } else if (end.outcome == Outcome::kPrefilled) {
    request.prefillEngine = end.engine;
    request.state.begin(m_.context.now());
    request.stage = RequestStage::kAwaitingDecode;
    request.decodeFailures = 0;
    startDecodeOrWait(request);
  } else {
    retryOrFinish(request, end);
  }
}

void RequestLifecycle::retryOrFinish(Request& request, const AttemptEnded& end) {
  if (request.stage == RequestStage::kStreaming) {
    finish(request);
    return;
  }
  if (request.attemptHasEffect() && !RetrySafety::isProvenNotRun(end.outcome)) {
    RetrySafety::recordPossibleRun(request, m_.registry.findOrCreate(end.engine).entry);
  }
  if (end.outcome == Outcome::kTimeout || request.cancelRequested) ++request.timeouts;
  request.failedEngines.push_back(end.engine);
  if (!canRunAnywhere(request) || end.outcome == Outcome::kNotSent) {
    finish(request);
    return;
  }
  if (end.outcome == Outcome::kStateLost) request.state.end();
  if (request.state.isWaiting() && ++request.decodeFailures < kMaxDecodeFailures && canStateWait(request)) {
    request.stage = RequestStage::kAwaitingDecode;
    startDecodeOrWait(request);
    return;
  }
  const bool released = request.state.mayRemain();
  if (released) m_.context.emit(Release{request.arrival.id});
  request.state.end();
  request.stage = RequestStage::kQueued;
  request.combinedPrefillAndDecode = false;
  // A release that arrives after the new prefill would release its state: that prefill waits for a while.
  if (released) {
    enqueueForHousekeeping(request);
  } else {
    enqueue(request);
  }
}

bool RequestLifecycle::canRunAnywhere(const Request& request) const {
  if (!request.mayHaveRun) return true;
  const auto& engines = m_.registry.engines();
  return std::any_of(engines.begin(), engines.end(), [&](const auto& item) {
    return item.second.isServing() && m_.retrySafety.isAllowedOn(item.second, request);
  });
}

// ---- The end ----

// The one place where the policy gives a final response.
void RequestLifecycle::finish(Request& request) {
  if (request.answered) return;
  const Settings& settings = m_.context.settings();
  if (m_.retrySafety.canReject(request)) {
    const Duration retryAfter = settings.clientsHonorRetryAfter ? settings.maxRetryAfter : Duration(0);
    m_.context.emit(RejectRequest{request.arrival.id, retryAfter});
  } else {
    m_.context.emit(FailRequest{request.arrival.id});
  }
  abandon(request);
}

void RequestLifecycle::abandon(Request& request) {
  request.answered = true;
  if (!request.attemptInFlight) ended_.push_back(request.arrival.id);
  if (request.attemptInFlight && m_.context.settings().cancelAllowed) m_.attempts.cancel(request);
  if (request.attemptCount > 0) m_.context.emit(Release{request.arrival.id});
}

void RequestLifecycle::removeEnded() {
  for (const RequestId& id : ended_) requests_.erase(id);
  ended_.clear();
}

// ---- Housekeeping ----

void RequestLifecycle::watchAll() {
  m_.health.clearOverdue();
  for (auto& [id, request] : requests_) watch(request);
}

void RequestLifecycle::watch(Request& request) {
  if (request.stage == RequestStage::kStreaming) {
    m_.pace.recordStreaming(m_.registry.findOrCreate(request.engine), request);
    return;
  }
  if (request.answered) return;
  if (request.stage == RequestStage::kDecoding) releaseDuringDecode(request);
  if (isPastResponseTime(request)) {
    finish(request);
  } else if (request.stage == RequestStage::kAwaitingDecode) {
    startDecodeOrWait(request);
  } else if (request.attemptInFlight) {
    m_.attempts.watch(request);
  }
}

// Its decode attempt may be on a path or at an engine that is silent. The attempt goes on: an engine that it
// has reached keeps the state.
void RequestLifecycle::releaseDuringDecode(Request& request) {
  if (!request.state.isWaiting() || canStateWait(request)) return;
  request.state.releaseDuringDecode();
  m_.context.emit(Release{request.arrival.id});
}

// Whether the response has to be given now, to be there before the client's deadline.
bool RequestLifecycle::isPastResponseTime(const Request& request) const {
  const Duration margin = kHousekeepingPeriod + 2 * m_.context.settings().tick + kDeadlineMargin;
  return m_.context.now() + margin >= request.deadline;
}

bool RequestLifecycle::canStateWait(const Request& request) const {
  return request.state.canWaitLonger(m_.context.now(), m_.context.settings().stateLeaseLimit);
}

}  // namespace gannetcourse::policy
