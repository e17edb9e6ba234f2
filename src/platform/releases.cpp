#include "platform/releases.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "platform/status_reply.h"

namespace gannetcourse::platform {
namespace {

const Duration kStep{0.1};          // without an answer by then other engines are asked as well, at most
constexpr double kStepShare = 0.1;  // ... and of the time that a state may stay held
const Duration kAnswerWithin{0.4};  // how long an engine may take to answer
const Duration kSilentAfter{
    0.05};  // an engine that leaves an earlier call unanswered for this long comes last
constexpr std::size_t kMostWidth = 8;
// Of the calls that may be out, those to engines that do not answer: the rest is for the first that does.
constexpr std::size_t kMostUnanswered = ReleaseDispatcher::kMaxCallsInFlight / 2;
constexpr std::size_t kLeastShare = 2;  // of these, to any one engine
const Duration kOwedFor{3};             // for how long the end of the process waits for one
const Duration kGiveUpAfter{30};
const Duration kSlow{0.3};  // one that took longer is told of in the log

}  // namespace

ReleaseDispatcher::ReleaseDispatcher(net::Loop& loop, http1::Client& client, const EngineTable& engines,
                                     std::function<void(EngineId)> heardFrom)
    : loop_(loop),
      client_(client),
      engines_(engines),
      onEngineResponse_(std::move(heardFrom)),
      stepInterval_(kStep) {}

ReleaseDispatcher::~ReleaseDispatcher() {
  *alive_ = false;
  loop_.cancelTimer(stepTimer_);
  for (const auto& [id, ask] : calls_) loop_.cancelTimer(ask.timeoutTimer);
}

void ReleaseDispatcher::setStateLeaseLimit(Duration limit) {
  stepInterval_ = limit.count() > 0 ? std::min(kStep, limit * kStepShare) : kStep;
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
    const std::shared_ptr<PendingRelease> oldest = pending_.front();  // a copy: its place in the list goes
    finish(oldest, false);
  }
  auto release = std::make_shared<PendingRelease>();
  release->id = id;
  release->startedAt = loop_.now();
  pending_.push_back(release);
  byId_.emplace(id, release);
  return release;
}

std::size_t ReleaseDispatcher::awaitedByShutdown() const {
  const Instant since = loop_.now() - kOwedFor;
  return static_cast<std::size_t>(std::count_if(
      pending_.begin(), pending_.end(), [since](const auto& release) { return release->startedAt > since; }));
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
  bool mayAsk = true;
  for (const auto& release : all) {
    if (release->done) continue;
    if (loop_.now() - release->startedAt > kGiveUpAfter) {
      finish(release, false);
    } else if (mayAsk) {
      advance(release);
      mayAsk = canSendCall();
    }
  }
  scheduleStep();
}

void ReleaseDispatcher::advance(const std::shared_ptr<PendingRelease>& release) {
  for (std::size_t i = 0; i < release->fanOut && canSendCall(); ++i) {
    const std::optional<EngineId> engine = selectEngine(*release);
    if (!engine) {
      if (allEnginesCalled(*release))
        release->enginesCalled.clear();  // once more from the first, with the next step
      break;
    }
    sendCall(release, *engine);
  }
  release->fanOut = std::min(2 * release->fanOut, kMostWidth);
}

// Engines that are on the list first, then those that leave no call unanswered, then those with an idle
// connection, and of these the one that was heard from last: where many fall silent together, it is the most
// likely to be there. One that is off the list may run on, and takes a release as well.
std::optional<EngineId> ReleaseDispatcher::selectEngine(const PendingRelease& release) const {
  const std::map<EngineId, UnansweredCalls> unanswered = unansweredByEngine();
  const std::set<EngineId> askedNow = enginesWithOpenCall(release);
  std::optional<EngineId> best;
  std::tuple<bool, bool, bool, Instant> rank;
  for (const auto& [id, engine] : engines_) {
    const auto calls = unanswered.find(id);
    const bool full = calls != unanswered.end() && calls->second.count >= maxUnansweredPerEngine();
    if (full || release.enginesCalled.count(id) > 0 || askedNow.count(id) > 0) continue;
    const bool silent = calls != unanswered.end() && loop_.now() - calls->second.since > kSilentAfter;
    // Only engines that were heard from keep an idle connection; a large fleet has few of them.
    const bool idle = engine.lastHeardAt != Instant{} && client_.hasIdleConnection(engine.address);
    const std::tuple mine(!engine.removed, !silent, idle, engine.lastHeardAt);
    if (best && mine <= rank) continue;
    best = id;
    rank = mine;
  }
  return best;
}

bool ReleaseDispatcher::allEnginesCalled(const PendingRelease& release) const {
  return std::all_of(engines_.begin(), engines_.end(),
                     [&release](const auto& e) { return release.enginesCalled.count(e.first) > 0; });
}

std::set<EngineId> ReleaseDispatcher::enginesWithOpenCall(const PendingRelease& release) const {
  std::set<EngineId> engines;
  for (const auto& [id, ask] : calls_) {
    if (ask.release.get() == &release && confirmsRelease(ask)) engines.insert(ask.engine);
  }
  return engines;
}

std::set<const ReleaseDispatcher::PendingRelease*> ReleaseDispatcher::releasesWithOpenCallTo(
    EngineId engine) const {
  std::set<const PendingRelease*> releases;
  for (const auto& [id, ask] : calls_) {
    if (ask.engine == engine && confirmsRelease(ask)) releases.insert(ask.release.get());
  }
  return releases;
}

bool ReleaseDispatcher::canSendCall() const {
  std::size_t unanswered = 0;
  for (const auto& [engine, calls] : unansweredByEngine()) unanswered += calls.count;
  return unanswered < kMostUnanswered && calls_.size() < kMaxCallsInFlight;
}

// Engines that do not answer may not take all the calls: each has its share until it answers one.
std::size_t ReleaseDispatcher::maxUnansweredPerEngine() const {
  return std::max(kLeastShare, kMostUnanswered / std::max<std::size_t>(1, engines_.size()));
}

std::map<EngineId, ReleaseDispatcher::UnansweredCalls> ReleaseDispatcher::unansweredByEngine() const {
  std::map<EngineId, UnansweredCalls> found;
  for (const auto& [id, ask] : calls_) {
    const auto answered = lastAnswerAt_.find(ask.engine);
    if (answered != lastAnswerAt_.end() && ask.sentAt <= answered->second) continue;
    UnansweredCalls& entry = found.try_emplace(ask.engine, UnansweredCalls{0, ask.sentAt}).first->second;
    ++entry.count;
    entry.since = std::min(entry.since, ask.sentAt);
  }
  return found;
}

void ReleaseDispatcher::sendCall(const std::shared_ptr<PendingRelease>& release, EngineId engine) {
  const net::Endpoint& to = engines_.at(engine).address;
  const CallNumber id = ++lastCall_;
  ++counters_.calls;
  release->enginesCalled.insert(engine);
  release->lastCallAt = loop_.now();
  Call& ask = calls_[id] = Call{release, engine, loop_.now()};
  ask.timeoutTimer = loop_.runAfter(kAnswerWithin, [this, id] {
    const auto late = calls_.extract(id);
    if (!late.empty()) client_.cancel(late.mapped().callId);
  });
  std::string head = "DELETE /kv/leases/" + release->id + " HTTP/1.1\r\nHost: " + to.text() + "\r\n\r\n";
  const auto reply = std::make_shared<StatusResponseHandler>([this, alive = alive_, id](int status) {
    if (*alive) onCallAnswered(id, status);
  });
  ask.callId = client_.start(
      to, [head = std::move(head)] { return head; }, nullptr, reply);
}

void ReleaseDispatcher::onCallAnswered(CallNumber id, int status) {
  const auto node = calls_.extract(id);
  if (node.empty()) return;
  const Call& ask = node.mapped();
  loop_.cancelTimer(ask.timeoutTimer);
  if (status / 100 != 2) return;
  onEngineResponse_(ask.engine);
  lastAnswerAt_[ask.engine] = loop_.now();
  if (!ask.release->done && confirmsRelease(ask)) finish(ask.release, true);
  sendPendingTo(ask.engine);
}

// What earlier steps have asked elsewhere in vain is sent to an engine that is there.
void ReleaseDispatcher::sendPendingTo(EngineId engine) {
  if (engines_.count(engine) == 0) return;
  const std::set<const PendingRelease*> askedNow = releasesWithOpenCallTo(engine);
  const std::list<std::shared_ptr<PendingRelease>> all = pending_;
  for (const auto& release : all) {
    if (calls_.size() >= kMaxCallsInFlight) return;
    const bool inVain = loop_.now() - release->lastCallAt > kSilentAfter;
    if (!release->done && inVain && askedNow.count(release.get()) == 0) sendCall(release, engine);
  }
}

void ReleaseDispatcher::finish(const std::shared_ptr<PendingRelease>& release, bool taken) {
  release->done = true;
  pending_.remove(release);
  byId_.erase(release->id);
  if (pending_.empty()) lastAnswerAt_.clear();
  const Duration took = loop_.now() - release->startedAt;
  ++(taken ? counters_.confirmed : counters_.abandoned);
  if (taken) counters_.slowestConfirmation = std::max(counters_.slowestConfirmation, took);
  if (!log_ || (taken && took <= kSlow)) return;
  log_("warn", "release of " + release->id + (taken ? " taken after " : " given up after ") +
                   std::to_string(took.count()) +
                   " s, engines asked in this round: " + std::to_string(release->enginesCalled.size()));
}

}  // namespace gannetcourse::platform
