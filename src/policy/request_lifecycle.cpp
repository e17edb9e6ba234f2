#include "request_lifecycle.h"

#include <algorithm>
#include <iterator>

#include "tuning.h"

namespace gannetcourse::policy {

// ---- Opening ----

void RequestLifecycle::open(const RequestArrived& arrival) {
  Request& request = requests_[arrival.id];
  initialize(request, arrival);
  request.arrivalNumber = ++arrivals_;
  request.overQuota = modules_.admission.isOverQuota(arrival);
  modules_.affinity.recordRequest(arrival);
  modules_.probing.onRequest();
  if (isResponseDue(request)) {
    finish(request);
  } else {
    enqueue(request);
  }
}

void RequestLifecycle::initialize(Request& request, const RequestArrived& arrival) const {
  const Instant now = modules_.context.now();
  request.arrival = arrival;
  request.arrivedAt = now;
  request.deadline = now + arrival.timeUntilDeadline;
  request.memoryNeeded = arrival.promptTokens + expectedOutput(request);
  request.healthKeys = {HealthKey::ofClass(arrival.classIndex)};
  if (arrival.tenant) request.healthKeys.push_back(HealthKey::ofTenant(*arrival.tenant));
}

Tokens RequestLifecycle::expectedOutput(const Request& request) const {
  const Duration interToken = modules_.context.classOf(request).interTokenObjective;
  const std::optional<Duration>& duration = request.arrival.expectedOutputDuration;
  if (duration && interToken > Duration(0)) return *duration / interToken;
  return request.arrival.maxOutputTokens / kMaxToExpectedOutput;
}

Request* RequestLifecycle::find(const RequestId& id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

// ---- Queue ----

// A request that goes first is started at once if it is admitted; the others wait for the next pass.
void RequestLifecycle::enqueue(Request& request) {
  const PrefillPlan plan = enqueueWithoutDispatch(request);
  const bool areEnginesKnown = !modules_.registry.engines().empty();
  if (!areEnginesKnown || !modules_.admission.canWaitBehind(request, Duration(0))) {
    finish(request);
  } else if (queue_.isFirst(request) && !awaitsEngineList(request, Duration(0))) {
    dispatch(request, plan);
  }
}

PrefillPlan RequestLifecycle::enqueueWithoutDispatch(Request& request) {
  PrefillPlan plan = modules_.prefillSelector.select(request);
  // If no engine is eligible, one that comes into service is assumed to be as fast as the others.
  if (plan.engine == nullptr) plan.prefillWork = modules_.costs.usualPrefillWork();
  request.prefillWork = plan.prefillWork;
  request.latestStart = modules_.admission.latestStart(request, plan);
  if (request.attemptCount == 0) modules_.admission.recordArrival(request);
  queue_.add(request);
  return plan;
}

// Whether the request, with this work before it, is kept for the engine list that discovery is about to send.
bool RequestLifecycle::awaitsEngineList(const Request& request, Duration workAhead) const {
  return modules_.registry.isListAwaited() && modules_.admission.canAwaitEngineList(request, workAhead);
}

// A request that cannot wait for the engine list goes before those that can.
void RequestLifecycle::dispatchQueue() {
  int undispatched = 0;
  Duration awaitingWork{0};
  for (const RequestQueue::Entry& entry : queue_.inOrder()) {
    Request& request = *entry.request;
    const bool awaitsList = awaitsEngineList(request, entry.workAhead);
    const Duration workAhead = awaitsList ? entry.workAhead : entry.workAhead - awaitingWork;
    if (!modules_.admission.canWaitBehind(request, workAhead)) {
      finish(request);
    } else if (awaitsList) {
      awaitingWork += request.prefillWork;
    } else if (undispatched < kMaxUndispatchedPerPass &&
               !dispatch(request, modules_.prefillSelector.select(request))) {
      ++undispatched;
    }
  }
}

// Tries to start a queued request. Returns false if it stays in the queue, true if it was started or
// finished.
bool RequestLifecycle::dispatch(Request& request, const PrefillPlan& plan) {
  if (plan.engine == nullptr) return false;
  const int attemptsNeeded = plan.combinedPrefillAndDecode ? 1 : 2;
  if (!modules_.admission.isInTime(request, plan) ||
      request.attemptCount + attemptsNeeded > modules_.context.settings().maxAttempts) {
    finish(request);
    return true;
  }
  if (!modules_.admission.isAdmitted(plan)) return false;
  if (modules_.probing.awaitsQueueProbe(request, *plan.engine)) return false;
  startPrefill(request, plan);
  return true;
}

// ---- Attempts ----

void RequestLifecycle::startPrefill(Request& request, const PrefillPlan& plan) {
  queue_.removeStarted(request);
  modules_.serviceRate.recordStarted(request.prefillWork);
  modules_.affinity.recordPrefillStarted(*plan.engine, request.arrival);
  modules_.attempts.startPrefill(request, plan);
  if (plan.combinedPrefillAndDecode || !modules_.context.settings().probesAllowed) return;
  // Probes the likely decode engine now, so that its report arrives before the prefill ends.
  Engine* const decode = modules_.decodeSelector.select(request, *plan.engine, HealthRule::kHealthyOnly);
  if (decode != nullptr) modules_.probing.probeDecodeEngine(*decode);
}

void RequestLifecycle::startDecodeOrWait(Request& request) {
  Engine* const from = modules_.registry.find(request.prefillEngine);
  if (request.attemptCount >= modules_.context.settings().maxAttempts || from == nullptr) {
    finish(request);
    return;
  }
  Engine* engine = modules_.decodeSelector.select(request, *from, HealthRule::kHealthyOnly);
  if (engine == nullptr) engine = modules_.decodeSelector.select(request, *from, HealthRule::kAny);
  if (engine != nullptr) {
    modules_.attempts.startDecode(request, *engine, *from);
  } else if (!canStateWait(request)) {
    finish(request);
  }
}

void RequestLifecycle::onAttemptEnded(Request& request, const AttemptEnded& end) {
  if (end.requestFinished || request.answered) {
    // Releases a state that arrived after the response or remains from a failed attempt.
    if (end.outcome != Outcome::kOk) modules_.context.emit(Release{end.id});
    requests_.erase(end.id);
  } else if (end.outcome == Outcome::kPrefilled) {
    request.prefillEngine = end.engine;
    request.state.begin(modules_.context.now());
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
    RetrySafety::recordPossibleRun(request, modules_.registry.findOrCreate(end.engine).entry);
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
  if (released) modules_.context.emit(Release{request.arrival.id});
  request.state.end();
  request.stage = RequestStage::kQueued;
  request.combinedPrefillAndDecode = false;
  // A release that arrives after the new prefill would release the state of the new prefill. After a release,
  // the new prefill is therefore not started before the next pass over the queue.
  if (released) {
    enqueueWithoutDispatch(request);
  } else {
    enqueue(request);
  }
}

bool RequestLifecycle::canRunAnywhere(const Request& request) const {
  if (!request.mayHaveRun) return true;
  const auto& engines = modules_.registry.engines();
  return std::any_of(engines.begin(), engines.end(), [&](const auto& item) {
    return item.second.isServing() && modules_.retrySafety.isAllowedOn(item.second, request);
  });
}

// ---- Final responses ----

// The only place where the policy sends a final response.
void RequestLifecycle::finish(Request& request) {
  if (request.answered) return;
  const Settings& settings = modules_.context.settings();
  if (modules_.retrySafety.canReject(request)) {
    const Duration retryAfter = settings.clientsHonorRetryAfter ? settings.maxRetryAfter : Duration(0);
    modules_.context.emit(RejectRequest{request.arrival.id, retryAfter});
  } else {
    modules_.context.emit(FailRequest{request.arrival.id});
  }
  close(request);
}

void RequestLifecycle::close(Request& request) {
  request.answered = true;
  queue_.remove(request);
  if (!request.attemptInFlight) ended_.push_back(request.arrival.id);
  if (request.attemptInFlight && modules_.context.settings().cancelAllowed) modules_.attempts.cancel(request);
  if (request.attemptCount > 0) modules_.context.emit(Release{request.arrival.id});
}

void RequestLifecycle::removeEnded() {
  for (const RequestId& id : ended_) requests_.erase(id);
  ended_.clear();
}

// ---- Housekeeping ----

void RequestLifecycle::checkAll() {
  modules_.health.clearOverdue();
  modules_.admission.recordQueue(queue_.isEmpty());
  // While the engine list is awaited, the queue does not tell how much engines take.
  modules_.serviceRate.recordQueue(queue_.isEmpty() || modules_.registry.isListAwaited());
  bool isIdle = queue_.isEmpty();
  for (auto& [id, request] : requests_) {
    check(request);
    if (request.stage == RequestStage::kPrefilling) isIdle = false;
  }
  if (isIdle) modules_.costs.recordIdle();
}

void RequestLifecycle::check(Request& request) {
  if (request.stage == RequestStage::kStreaming) {
    modules_.pace.recordStreaming(modules_.registry.findOrCreate(request.engine), request);
    return;
  }
  if (request.answered) return;
  if (request.stage == RequestStage::kDecoding) releaseDuringDecode(request);
  if (isResponseDue(request)) {
    finish(request);
  } else if (request.stage == RequestStage::kAwaitingDecode) {
    startDecodeOrWait(request);
  } else if (request.attemptInFlight) {
    modules_.attempts.checkForSilence(request);
  }
}

// Releases the state before its lease expires, because the decode attempt may be lost on the network or its
// engine may be silent. The attempt continues: if it has reached its decode engine, that engine keeps the
// state.
void RequestLifecycle::releaseDuringDecode(Request& request) {
  if (!request.state.isWaiting() || canStateWait(request)) return;
  request.state.releaseDuringDecode();
  modules_.context.emit(Release{request.arrival.id});
}

// Whether a final response has to be sent now to arrive before the client's deadline.
bool RequestLifecycle::isResponseDue(const Request& request) const {
  const Duration margin = kHousekeepingPeriod + 2 * modules_.context.settings().tick + kDeadlineMargin;
  return modules_.context.now() + margin >= request.deadline;
}

bool RequestLifecycle::canStateWait(const Request& request) const {
  return request.state.canWaitLonger(modules_.context.now(), modules_.context.settings().stateLeaseLimit);
}

}  // namespace gannetcourse::policy
