#include "platform/release_dispatcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "platform/request_head.h"
#include "platform/status_response_handler.h"

namespace gannetcourse::platform {
namespace {

// Interval between the steps of a pending release; each step calls more engines. It is kStepShareOfLease of
// the lease limit, but at most kMaxStepInterval.
const Duration kMaxStepInterval{0.1};
constexpr double kStepShareOfLease = 0.1;
const Duration kCallTimeout{0.4};
// An engine with a call that is unanswered for longer than this is called after the other listed engines. A
// release whose last call is older than this is also sent to the next engine that answers.
const Duration kSilenceLimit{0.05};
constexpr std::size_t kMaxFanOut = 8;
// Limit for unanswered calls to all engines together. The other half of kMaxCallsInFlight is left for calls
// to engines that have answered.
constexpr std::size_t kMaxUnanswered = ReleaseDispatcher::kMaxCallsInFlight / 2;
constexpr std::size_t kMinUnansweredPerEngine = 2;
const Duration kShutdownWait{3};        // a shutdown does not wait for older releases
const Duration kMaxAge{30};             // older releases are abandoned
const Duration kSlowConfirmation{0.3};  // slower confirmations are logged

bool isSuccess(int status) { return status / 100 == 2; }

}  // namespace

ReleaseDispatcher::ReleaseDispatcher(net::Loop& loop, http1::Client& client, const EngineTable& engines,
                                     std::function<void(EngineId)> onEngineResponse)
    : loop_(loop),
      client_(client),
      engines_(engines),
      onEngineResponse_(std::move(onEngineResponse)),
      stepInterval_(kMaxStepInterval) {}

ReleaseDispatcher::~ReleaseDispatcher() {
  *alive_ = false;
  loop_.cancelTimer(stepTimer_);
  for (const auto& [id, call] : calls_) loop_.cancelTimer(call.timeoutTimer);
}

void ReleaseDispatcher::setStateLeaseLimit(Duration limit) {
  stepInterval_ =
      limit.count() > 0 ? std::min(kMaxStepInterval, limit * kStepShareOfLease) : kMaxStepInterval;
}

void ReleaseDispatcher::startRelease(const std::string& id) {
  ++counters_.started;
  const auto known = byId_.find(id);
  const std::shared_ptr<PendingRelease> release = known == byId_.end() ? addPending(id) : known->second;
  release->requestedAt = loop_.now();
  release->enginesCalled.clear();
  advance(release);
  scheduleStep();
}

std::shared_ptr<ReleaseDispatcher::PendingRelease> ReleaseDispatcher::addPending(const std::string& id) {
  if (pending_.size() >= kMaxPending) {
    const std::shared_ptr<PendingRelease> oldest =
        pending_.front();  // a copy, because finish() erases the list element
    finish(oldest, ReleaseResult::kAbandoned);
  }
  auto release = std::make_shared<PendingRelease>();
  release->id = id;
  release->startedAt = loop_.now();
  pending_.push_back(release);
  byId_.emplace(id, release);
  return release;
}

std::size_t ReleaseDispatcher::releasesBlockingShutdown() const {
  const Instant oldest = loop_.now() - kShutdownWait;
  return static_cast<std::size_t>(
      std::count_if(pending_.begin(), pending_.end(),
                    [oldest](const auto& release) { return release->startedAt > oldest; }));
}

void ReleaseDispatcher::scheduleStep() {
  if (stepTimer_ != 0 || pending_.empty()) return;
  stepTimer_ = loop_.runAfter(stepInterval_, [this] {
    stepTimer_ = 0;
    advanceAll();
  });
}

void ReleaseDispatcher::advanceAll() {
  const std::list<std::shared_ptr<PendingRelease>> all = pending_;
  bool canSend = true;
  for (const auto& release : all) {
    if (release->done) continue;
    if (loop_.now() - release->startedAt > kMaxAge) {
      finish(release, ReleaseResult::kAbandoned);
    } else if (canSend) {
      advance(release);
      canSend = canSendCall();
    }
  }
  scheduleStep();
}

void ReleaseDispatcher::advance(const std::shared_ptr<PendingRelease>& release) {
  for (std::size_t i = 0; i < release->fanOut && canSendCall(); ++i) {
    const std::optional<EngineId> engine = selectEngine(*release);
    if (!engine) {
      if (allEnginesCalled(*release)) release->enginesCalled.clear();  // start a new round in the next step
      break;
    }
    sendCall(release, *engine);
  }
  release->fanOut = std::min(2 * release->fanOut, kMaxFanOut);
}

// Selects the next engine to call. Prefers, in this order: engines on the engine list, engines without a call
// that is unanswered for longer than kSilenceLimit, engines with an idle connection, and the engine that was
// active most recently, which is the most likely one to answer if many engines fail together. Removed engines
// are candidates too, because their processes may still run and accept releases.
std::optional<EngineId> ReleaseDispatcher::selectEngine(const PendingRelease& release) const {
  const std::map<EngineId, UnansweredCalls> unanswered = unansweredByEngine();
  const std::set<EngineId> alreadyCalled = enginesWithOpenCall(release);
  std::optional<EngineId> best;
  std::tuple<bool, bool, bool, Instant> bestRank;
  for (const auto& [id, engine] : engines_) {
    const auto calls = unanswered.find(id);
    const bool hasUnanswered = calls != unanswered.end();
    const bool shareUsed = hasUnanswered && calls->second.count >= maxUnansweredPerEngine();
    if (shareUsed || release.enginesCalled.count(id) > 0 || alreadyCalled.count(id) > 0) continue;
    const bool silent = hasUnanswered && loop_.now() - calls->second.since > kSilenceLimit;
    // Only an engine that was active can have an idle connection. The activity is checked first because the
    // search for an idle connection takes longer, which matters with many engines.
    const bool idle = engine.lastActivityAt != Instant{} && client_.hasIdleConnection(engine.address);
    const std::tuple rank(!engine.removed, !silent, idle, engine.lastActivityAt);
    if (best && rank <= bestRank) continue;
    best = id;
    bestRank = rank;
  }
  return best;
}

bool ReleaseDispatcher::allEnginesCalled(const PendingRelease& release) const {
  return std::all_of(engines_.begin(), engines_.end(),
                     [&release](const auto& entry) { return release.enginesCalled.count(entry.first) > 0; });
}

std::set<EngineId> ReleaseDispatcher::enginesWithOpenCall(const PendingRelease& release) const {
  std::set<EngineId> engines;
  for (const auto& [id, call] : calls_) {
    if (call.release.get() == &release && confirmsRelease(call)) engines.insert(call.engine);
  }
  return engines;
}

std::set<const ReleaseDispatcher::PendingRelease*> ReleaseDispatcher::releasesWithOpenCallTo(
    EngineId engine) const {
  std::set<const PendingRelease*> releases;
  for (const auto& [id, call] : calls_) {
    if (call.engine == engine && confirmsRelease(call)) releases.insert(call.release.get());
  }
  return releases;
}

bool ReleaseDispatcher::canSendCall() const {
  std::size_t unanswered = 0;
  for (const auto& [engine, calls] : unansweredByEngine()) unanswered += calls.count;
  return unanswered < kMaxUnanswered && calls_.size() < kMaxCallsInFlight;
}

// Limit for unanswered calls to one engine, so that engines that do not answer cannot use up all calls.
std::size_t ReleaseDispatcher::maxUnansweredPerEngine() const {
  return std::max(kMinUnansweredPerEngine, kMaxUnanswered / std::max<std::size_t>(1, engines_.size()));
}

std::map<EngineId, ReleaseDispatcher::UnansweredCalls> ReleaseDispatcher::unansweredByEngine() const {
  std::map<EngineId, UnansweredCalls> found;
  for (const auto& [id, call] : calls_) {
    const auto answered = lastAnswerAt_.find(call.engine);
    if (answered != lastAnswerAt_.end() && call.sentAt <= answered->second) continue;
    UnansweredCalls& entry = found.try_emplace(call.engine, UnansweredCalls{0, call.sentAt}).first->second;
    ++entry.count;
    entry.since = std::min(entry.since, call.sentAt);
  }
  return found;
}

void ReleaseDispatcher::sendCall(const std::shared_ptr<PendingRelease>& release, EngineId engine) {
  const net::Endpoint& to = engines_.at(engine).address;
  const CallNumber number = ++lastCallNumber_;
  ++counters_.calls;
  release->enginesCalled.insert(engine);
  release->lastCallAt = loop_.now();
  Call& call = calls_[number];
  call.release = release;
  call.engine = engine;
  call.sentAt = loop_.now();
  call.timeoutTimer = loop_.runAfter(kCallTimeout, [this, number] {
    const auto timedOut = calls_.extract(number);
    if (!timedOut.empty()) client_.cancel(timedOut.mapped().callId);
  });
  std::string head = requestHead("DELETE", "/kv/leases/" + release->id, to);
  const auto response = std::make_shared<StatusResponseHandler>([this, alive = alive_, number](int status) {
    if (*alive) onCallAnswered(number, status);
  });
  call.callId = client_.start(
      to, [head = std::move(head)] { return head; }, nullptr, response);
}

void ReleaseDispatcher::onCallAnswered(CallNumber number, int status) {
  const auto node = calls_.extract(number);
  if (node.empty()) return;
  const Call& call = node.mapped();
  loop_.cancelTimer(call.timeoutTimer);
  if (!isSuccess(status)) return;
  onEngineResponse_(call.engine);
  lastAnswerAt_[call.engine] = loop_.now();
  if (!call.release->done && confirmsRelease(call)) finish(call.release, ReleaseResult::kConfirmed);
  sendPendingTo(call.engine);
}

// Called when `engine` has answered. Sends to it each pending release whose last call was sent more than
// kSilenceLimit ago.
void ReleaseDispatcher::sendPendingTo(EngineId engine) {
  if (engines_.count(engine) == 0) return;
  const std::set<const PendingRelease*> alreadyCalled = releasesWithOpenCallTo(engine);
  const std::list<std::shared_ptr<PendingRelease>> all = pending_;
  for (const auto& release : all) {
    if (calls_.size() >= kMaxCallsInFlight) return;
    const bool unanswered = loop_.now() - release->lastCallAt > kSilenceLimit;
    if (!release->done && unanswered && alreadyCalled.count(release.get()) == 0) sendCall(release, engine);
  }
}

void ReleaseDispatcher::finish(const std::shared_ptr<PendingRelease>& release, ReleaseResult result) {
  release->done = true;
  pending_.remove(release);
  byId_.erase(release->id);
  if (pending_.empty()) lastAnswerAt_.clear();
  const Duration elapsed = loop_.now() - release->startedAt;
  if (result == ReleaseResult::kConfirmed) {
    ++counters_.confirmed;
    counters_.slowestConfirmation = std::max(counters_.slowestConfirmation, elapsed);
  } else {
    ++counters_.abandoned;
  }
  logFinished(*release, result, elapsed);
}

void ReleaseDispatcher::logFinished(const PendingRelease& release, ReleaseResult result,
                                    Duration elapsed) const {
  const bool confirmed = result == ReleaseResult::kConfirmed;
  if (!log_ || (confirmed && elapsed <= kSlowConfirmation)) return;
  log_("warn", "release of " + release.id + (confirmed ? " confirmed after " : " abandoned after ") +
                   std::to_string(elapsed.count()) +
                   " s, engines called in this round: " + std::to_string(release.enginesCalled.size()));
}

}  // namespace gannetcourse::platform
