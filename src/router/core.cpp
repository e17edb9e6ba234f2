// The facade over the components of a core. Each input is processed as one step; at the end of a step the
// requests that have finished are erased.
#include <algorithm>
#include <utility>
#include <variant>

#include "gannetcourse/recovery.h"
#include "gannetcourse/router.h"
#include "router/attempt_tracker.h"
#include "router/core_context.h"
#include "router/engine_roles.h"
#include "router/policy_actions.h"
#include "router/policy_runner.h"
#include "router/record_log.h"
#include "router/record_text.h"
#include "router/request_completion.h"
#include "router/request_table.h"
#include "router/settings_compatibility.h"
#include "router/state_releaser.h"
#include "router/stream_continuation.h"

namespace gannetcourse::router {
namespace {

// The core ends a request this share of the response margin before the request's deadline. The share is below
// 1, because the policy has to respond first: the policy's own limit is a full margin before the deadline.
constexpr double kTimeoutMarginShare = 0.5;

}  // namespace

class Core::Impl {
 public:
  Impl(const Settings& settings, Options options)
      : context_(settings, std::move(options)),
        log_(context_),
        releaser_(context_, log_, requests_),
        attempts_(context_, log_, requests_, releaser_),
        policy_(context_, [this](const Action& action) { std::visit(actions_, action); }),
        completion_(context_, log_, requests_, attempts_, policy_),
        continuation_(context_, log_, requests_, attempts_, completion_, policy_),
        actions_(
            {context_, log_, roles_, requests_, releaser_, attempts_, policy_, completion_, continuation_}) {}
  Impl(const Impl&) = delete;  // the components hold references to each other
  Impl& operator=(const Impl&) = delete;

  // ---- Discovery and settings ----
  void onEngineListUpdate(const EngineListUpdate& update) {
    context_.guard.onEngineListUpdate(update);
    for (const EngineId removed : roles_.apply(update)) continuation_.onEngineShutdownNotice(removed, {});
    policy_.feed(update);
  }

  void reconfigure(const Settings& settings) {
    requireCompatible(context_.settings, settings);
    context_.settings = settings;
    context_.guard.updateSettings(settings);
    continuation_.updateSettings(settings);
    releaser_.updateLeaseLimit(settings.stateLeaseLimit);
    log_.router(RecordKind::kReconfigured);
    policy_.feed(SettingsChanged{settings});
  }

  void drain() {
    if (isDraining_) return;
    isDraining_ = true;
    log_.router(RecordKind::kDraining);
  }

  // ---- Clients ----
  void onRequest(NewRequest arrival) {
    Request& request = accept(std::move(arrival));
    if (!request.arrival.resumedStream && !mayExecute(request))
      return completion_.respond(request, FinalStatus::kFailed, "a request with this id may have run");
    if (isDraining_) return completion_.respond(request, FinalStatus::kRejected, "node is draining");
    request.timeout =
        context_.timers.schedule(request.deadline - context_.options.responseMargin * kTimeoutMarginShare,
                                 Timer{TimerKind::kRequestTimeout, request.key, {}});
    if (request.arrival.resumedStream)
      return continuation_.resume(request, std::move(*request.arrival.resumedStream));
    requests_.indexById(request);
    policy_.feed(requestArrivedEvent(request, context_.timeUntilResponse(request)));
  }

  void onClientDisconnected(RequestKey key) {
    Request* const request = requests_.find(key);
    if (request != nullptr && !request->isCompleted) completion_.onClientDisconnected(*request);
  }

  // ---- Engines ----
  void onPrefillEnded(CallKey key, std::string stateHandle, double cachedTokens,
                      const std::optional<LoadReport>& load) {
    const Call* const call = attempts_.find(key);
    if (call == nullptr || call->kind != CallKind::kPrefill) return;
    Request& request = *call->request;
    releaser_.orphanedStates().onEngineResponse(call->engine, call->startedAt);
    request.stateEngine = call->engine;
    request.stateHandle = std::move(stateHandle);
    request.stateAttempt = call->attempt;
    context_.guard.onStateLeased(context_.now, request.key);
    if (log_.isEnabled())
      log_.attempt(request, RecordKind::kPrefillCompleted, call->engine, call->attempt,
                   describeCachedTokens(cachedTokens));
    onCallEnded(key, Outcome::kPrefilled, cachedTokens, load, {}, recovery::AttemptEnd::kConfirmed);
  }

  void onToken(CallKey key, std::uint32_t index, std::string text) {
    Call* const call = attempts_.find(key);
    if (call == nullptr) ++context_.counters.droppedTokens;
    if (call == nullptr || call->kind != CallKind::kDecode) return;
    Request& request = *call->request;
    if (request.isCompleted) return;
    if (index < request.nextTokenIndex) {
      ++context_.counters.droppedTokens;
      return;
    }
    if (index > request.nextTokenIndex)
      return continuation_.cancelAndContinue(request, Outcome::kError, "token out of order");
    ++request.nextTokenIndex;
    ++context_.counters.tokens;
    const bool isFirst = !std::exchange(request.isStreaming, true);
    if (isFirst) onFirstToken(*call);
    continuation_.onToken(request, text);
    context_.emit(SendToken{request.key, index, std::move(text)});
    if (isFirst)
      policy_.feed(StreamStarted{RequestId{request.policyId}, policyAttempt(*call), call->engine,
                                 context_.now - call->startedAt});
  }

  void onCallEnded(CallKey key, Outcome outcome, double cachedTokens, const std::optional<LoadReport>& load,
                   const std::string& reason, recovery::AttemptEnd attemptEnd) {
    if (attempts_.find(key) == nullptr) return;
    const Call call = attempts_.close(key, outcome);
    Request& request = *call.request;
    // The decode engine may only have failed to reach the prefill engine, which then still has the state.
    // The state is therefore released when the request ends.
    if (outcome == Outcome::kStateLost) context_.guard.onStateTransferred(request.key);
    if (call.kind == CallKind::kPrefill)
      releaser_.orphanedStates().onPrefillEnded(context_.now, {request.id, call.attempt, call.engine},
                                                outcome, attemptEnd);
    AttemptEnded ended = attemptEndedEvent(call, outcome, context_.now);
    ended.cachedTokens = cachedTokens;
    ended.load = load;
    if (!request.isCompleted && outcome == Outcome::kOk) {
      log_.attempt(request, RecordKind::kStreamCompleted, call.engine, call.attempt, reason);
      completion_.respond(request, FinalStatus::kServed, {});
    } else if (!request.isCompleted && request.isStreaming) {
      return continuation_.onStreamLost(request, ended, reason, attemptEnd);
    } else if (outcome != Outcome::kOk && outcome != Outcome::kPrefilled) {
      log_.attempt(request, RecordKind::kAttemptFailed, call.engine, call.attempt, reason);
    }
    ended.requestFinished = request.isCompleted;
    policy_.feed(ended);
  }

  void onReservationResult(RequestKey key, EngineId engine, bool reserved) {
    Request* const request = requests_.find(key);
    if (request == nullptr) return;
    if (!reserved && request->reservedEngine == engine) request->reservedEngine.reset();
    policy_.feed(ReservationResult{RequestId{request->policyId}, engine, reserved});
  }

  // ---- Time ----
  void advance() {
    while (std::optional<Timer> timer = context_.timers.takeDue(context_.now)) onTimer(*timer);
  }

  // Ends a step: erases the requests that it finished and sends the releases that are due.
  void finishStep() {
    for (const RequestKey key : requests_.takeTouched()) {
      Request* const request = requests_.find(key);
      if (request != nullptr && request->isFinished()) forget(*request);
    }
    continuation_.scheduleCheck();
    releaser_.releaseOrphanedStates();
  }

  CoreContext& context() { return context_; }
  PolicyRunner& policy() { return policy_; }
  StreamContinuation& continuation() { return continuation_; }
  RequestTable& requests() { return requests_; }
  bool isDraining() const { return isDraining_; }

 private:
  Request& accept(NewRequest arrival) {
    ++context_.counters.accepted;
    const std::string name = context_.options.nodeName + "-" + std::to_string(++lastRequestNumber_);
    Request& request = requests_.add(arrival.key, name);
    if (!arrival.id.empty()) request.id = arrival.id;
    request.payload = arrival.payload;
    request.deadline = context_.now + arrival.timeUntilDeadline;
    request.arrival = std::move(arrival);
    context_.guard.onRequestAccepted(request.key, request.arrival.classIndex);
    if (log_.isEnabled())
      log_.request(
          request, RecordKind::kRequestAccepted,
          describeRequest(context_.settings.classes.at(request.arrival.classIndex), *request.payload));
    return request;
  }

  bool mayExecute(const Request& request) const {
    const ClassSettings& classSettings = context_.settings.classes.at(request.arrival.classIndex);
    return context_.executions.mayExecute(request.arrival.id, classSettings, request.deadline);
  }

  // The first token shows that the decode engine has taken the state.
  void onFirstToken(Call& call) {
    Request& request = *call.request;
    releaser_.orphanedStates().onFirstToken(request.id, call.engine, call.startedAt);
    context_.guard.onStateTransferred(request.key);
    request.stateEngine.reset();
    request.reservedEngine.reset();
    log_.attempt(request, RecordKind::kStreamStarted, call.engine, call.attempt);
    continuation_.onStreamStarted(request, call);
  }

  void onTimer(const Timer& timer) {
    switch (timer.kind) {
      case TimerKind::kPolicy:
        return policy_.feed(TimerFired{TimerId{timer.policyTimer}});
      case TimerKind::kCallTimeout:
        return onCallTimeout(timer.key);
      case TimerKind::kRequestTimeout:
        return onRequestTimeout(timer.key);
      case TimerKind::kStreamCheck:
        return continuation_.onTimer();
      case TimerKind::kOrphanedStates:
        return releaser_.onTimer();  // finishStep() sends the releases
    }
  }

  void onCallTimeout(CallKey key) {
    const std::optional<AttemptEnded> ended = attempts_.onTimeout(key);
    if (ended) policy_.feed(*ended);
  }

  void onRequestTimeout(RequestKey key) {
    Request* const request = requests_.find(key);
    if (request != nullptr) completion_.onTimeout(*request);
  }

  void forget(Request& request) {
    releaser_.releaseState(request);  // no-op if the policy has already released it
    releaser_.releaseReservation(request);
    continuation_.forget(request.key);
    context_.guard.forget(request.key);
    context_.timers.cancel(request.timeout);
    requests_.erase(request);
  }

  CoreContext context_;
  RecordLog log_;
  EngineRoles roles_;
  RequestTable requests_;
  StateReleaser releaser_;
  AttemptTracker attempts_;
  PolicyRunner policy_;
  RequestCompletion completion_;
  StreamContinuation continuation_;
  PolicyActions actions_;
  bool isDraining_ = false;
  std::uint64_t lastRequestNumber_ = 0;
};

template <class Step>
void Core::step(Instant now, const Step& perform) {
  impl_->context().now = std::max(impl_->context().now, now);
  perform(*impl_);
  impl_->finishStep();
}

Core::Core(const Settings& settings, Options options)
    : impl_(std::make_unique<Impl>(settings, std::move(options))) {}
Core::Core(Core&&) noexcept = default;
Core& Core::operator=(Core&&) noexcept = default;
Core::~Core() = default;

void Core::onEngineListUpdate(Instant now, const EngineListUpdate& update) {
  step(now, [&](Impl& impl) { impl.onEngineListUpdate(update); });
}

void Core::onEngineListAwaited(Instant now, bool awaited) {
  step(now, [&](Impl& impl) { impl.policy().feed(EngineListAwaited{awaited}); });
}

void Core::onRequest(Instant now, NewRequest request) {
  step(now, [&](Impl& impl) { impl.onRequest(std::move(request)); });
}

void Core::onClientDisconnected(Instant now, RequestKey request) {
  step(now, [&](Impl& impl) { impl.onClientDisconnected(request); });
}

void Core::onClientPaused(Instant now, RequestKey request, bool paused) {
  step(now, [&](Impl& impl) { impl.continuation().onClientPaused(request, paused); });
}

void Core::onPrefillEnded(Instant now, CallKey call, std::string stateHandle, double cachedTokens,
                          const std::optional<LoadReport>& load) {
  step(now, [&](Impl& impl) { impl.onPrefillEnded(call, std::move(stateHandle), cachedTokens, load); });
}

void Core::onToken(Instant now, CallKey call, std::uint32_t index, std::string text) {
  step(now, [&](Impl& impl) { impl.onToken(call, index, std::move(text)); });
}

void Core::onCallEnded(Instant now, CallKey call, Outcome outcome, double cachedTokens,
                       const std::optional<LoadReport>& load, const std::string& reason,
                       recovery::AttemptEnd attemptEnd) {
  step(now, [&](Impl& impl) { impl.onCallEnded(call, outcome, cachedTokens, load, reason, attemptEnd); });
}

void Core::onAttemptFenced(Instant now, RequestKey request, int attempt) {
  step(now, [&](Impl& impl) { impl.continuation().onAttemptFenced(request, attempt); });
}

void Core::onEngineShutdownNotice(Instant now, EngineId engine, std::optional<Instant> endsAt) {
  step(now, [&](Impl& impl) { impl.continuation().onEngineShutdownNotice(engine, endsAt); });
}

void Core::onGoAway(Instant now, EngineId engine) {
  step(now, [&](Impl& impl) { impl.continuation().onGoAway(engine); });
}

void Core::onProbeEnded(Instant now, EngineId engine, Outcome outcome, Duration elapsed,
                        const std::optional<LoadReport>& load) {
  step(now, [&](Impl& impl) { impl.policy().feed(ProbeEnded{engine, outcome, elapsed, load}); });
}

void Core::onReservationResult(Instant now, RequestKey request, EngineId engine, bool reserved) {
  step(now, [&](Impl& impl) { impl.onReservationResult(request, engine, reserved); });
}

void Core::reconfigure(Instant now, const Settings& settings) {
  step(now, [&](Impl& impl) { impl.reconfigure(settings); });
}

void Core::drain(Instant now) {
  step(now, [](Impl& impl) { impl.drain(); });
}

void Core::advance(Instant now) {
  step(now, [](Impl& impl) { impl.advance(); });
}

std::optional<Instant> Core::nextWakeup() const { return impl_->context().timers.nextDue(); }

std::vector<Command> Core::takeCommands() { return std::exchange(impl_->context().commands, {}); }

bool Core::takeCommandsInto(std::vector<Command>& commands) {
  commands.clear();
  commands.swap(impl_->context().commands);
  return !commands.empty();
}

bool Core::isDraining() const { return impl_->isDraining(); }
std::size_t Core::openRequests() const { return impl_->requests().openCount(); }
std::size_t Core::pendingObligations() const { return impl_->requests().size(); }
const Counters& Core::counters() const { return impl_->context().counters; }
const ViolationCounts& Core::violations() const { return impl_->context().guard.violations(); }

CallKey Core::streamingCall(RequestKey request) const {
  const Request* const found = impl_->requests().find(request);
  return found != nullptr && found->isStreaming ? found->callInFlight : 0;
}

}  // namespace gannetcourse::router
