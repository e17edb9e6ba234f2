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
constexpr std::size_t kMostUnanswered = Releases::kMostAsks / 2;
constexpr std::size_t kLeastShare = 2;  // of these, to any one engine
const Duration kOwedFor{3};             // for how long the end of the process waits for one
const Duration kGiveUpAfter{30};
const Duration kSlow{0.3};  // one that took longer is told of in the log

}  // namespace

Releases::Releases(net::Loop& loop, http1::Client& client, const EngineTable& engines,
                   std::function<void(EngineId)> heardFrom)
    : loop_(loop), client_(client), engines_(engines), heardFrom_(std::move(heardFrom)), step_(kStep) {}

Releases::~Releases() {
  *alive_ = false;
  loop_.cancelTimer(stepTimer_);
  for (const auto& [id, ask] : asks_) loop_.cancelTimer(ask.timer);
}

void Releases::takePinLimit(Duration limit) {
  step_ = limit.count() > 0 ? std::min(kStep, limit * kStepShare) : kStep;
}

void Releases::begin(const std::string& id) {
  ++counts_.begun;
  const auto known = byId_.find(id);
  const std::shared_ptr<Release> release = known == byId_.end() ? add(id) : known->second;
  release->wantedAt = loop_.now();
  release->asked.clear();
  stepOf(release);
  scheduleStep();
}

std::shared_ptr<Releases::Release> Releases::add(const std::string& id) {
  if (pending_.size() >= kMostPending) {
    const std::shared_ptr<Release> oldest = pending_.front();  // a copy: its place in the list goes
    finish(oldest, false);
  }
  auto release = std::make_shared<Release>();
  release->id = id;
  release->begunAt = loop_.now();
  pending_.push_back(release);
  byId_.emplace(id, release);
  return release;
}

std::size_t Releases::owed() const {
  const Instant since = loop_.now() - kOwedFor;
  return static_cast<std::size_t>(std::count_if(
      pending_.begin(), pending_.end(), [since](const auto& release) { return release->begunAt > since; }));
}

void Releases::scheduleStep() {
  if (stepTimer_ != 0 || pending_.empty()) return;
  stepTimer_ = loop_.runAfter(step_, [this] {
    stepTimer_ = 0;
    step();
  });
}

void Releases::step() {
  const std::list<std::shared_ptr<Release>> all = pending_;
  bool mayAsk = true;
  for (const auto& release : all) {
    if (release->done) continue;
    if (loop_.now() - release->begunAt > kGiveUpAfter) {
      finish(release, false);
    } else if (mayAsk) {
      stepOf(release);
      mayAsk = mayAskMore();
    }
  }
  scheduleStep();
}

void Releases::stepOf(const std::shared_ptr<Release>& release) {
  for (std::size_t i = 0; i < release->width && mayAskMore(); ++i) {
    const std::optional<EngineId> engine = nextFor(*release);
    if (!engine) {
      if (askedAll(*release)) release->asked.clear();  // once more from the first, with the next step
      break;
    }
    ask(release, *engine);
  }
  release->width = std::min(2 * release->width, kMostWidth);
}

// Engines that are on the list first, then those that leave no call unanswered, then those with an idle
// connection, and of these the one that was heard from last: where many fall silent together, it is the most
// likely to be there. One that is off the list may run on, and takes a release as well.
std::optional<EngineId> Releases::nextFor(const Release& release) const {
  const std::map<EngineId, Unanswered> unanswered = unansweredByEngine();
  const std::set<EngineId> askedNow = enginesAskedFor(release);
  std::optional<EngineId> best;
  std::tuple<bool, bool, bool, Instant> rank;
  for (const auto& [id, engine] : engines_) {
    const auto calls = unanswered.find(id);
    const bool full = calls != unanswered.end() && calls->second.calls >= shareOfOne();
    if (full || release.asked.count(id) > 0 || askedNow.count(id) > 0) continue;
    const bool silent = calls != unanswered.end() && loop_.now() - calls->second.since > kSilentAfter;
    // Only engines that were heard from keep an idle connection; a large fleet has few of them.
    const bool idle = engine.heardAt != Instant{} && client_.hasIdleConnection(engine.address);
    const std::tuple mine(!engine.gone, !silent, idle, engine.heardAt);
    if (best && mine <= rank) continue;
    best = id;
    rank = mine;
  }
  return best;
}

bool Releases::askedAll(const Release& release) const {
  return std::all_of(engines_.begin(), engines_.end(),
                     [&release](const auto& e) { return release.asked.count(e.first) > 0; });
}

std::set<EngineId> Releases::enginesAskedFor(const Release& release) const {
  std::set<EngineId> engines;
  for (const auto& [id, ask] : asks_) {
    if (ask.release.get() == &release && wouldEnd(ask)) engines.insert(ask.engine);
  }
  return engines;
}

std::set<const Releases::Release*> Releases::releasesAskedOf(EngineId engine) const {
  std::set<const Release*> releases;
  for (const auto& [id, ask] : asks_) {
    if (ask.engine == engine && wouldEnd(ask)) releases.insert(ask.release.get());
  }
  return releases;
}

bool Releases::mayAskMore() const {
  std::size_t unanswered = 0;
  for (const auto& [engine, calls] : unansweredByEngine()) unanswered += calls.calls;
  return unanswered < kMostUnanswered && asks_.size() < kMostAsks;
}

// Engines that do not answer may not take all the calls: each has its share until it answers one.
std::size_t Releases::shareOfOne() const {
  return std::max(kLeastShare, kMostUnanswered / std::max<std::size_t>(1, engines_.size()));
}

std::map<EngineId, Releases::Unanswered> Releases::unansweredByEngine() const {
  std::map<EngineId, Unanswered> found;
  for (const auto& [id, ask] : asks_) {
    const auto answered = answeredAt_.find(ask.engine);
    if (answered != answeredAt_.end() && ask.sentAt <= answered->second) continue;
    Unanswered& entry = found.try_emplace(ask.engine, Unanswered{0, ask.sentAt}).first->second;
    ++entry.calls;
    entry.since = std::min(entry.since, ask.sentAt);
  }
  return found;
}

void Releases::ask(const std::shared_ptr<Release>& release, EngineId engine) {
  const net::Endpoint& to = engines_.at(engine).address;
  const AskId id = ++lastAsk_;
  ++counts_.asks;
  release->asked.insert(engine);
  release->askedAt = loop_.now();
  Ask& ask = asks_[id] = Ask{release, engine, loop_.now()};
  ask.timer = loop_.runAfter(kAnswerWithin, [this, id] {
    const auto late = asks_.extract(id);
    if (!late.empty()) client_.cancel(late.mapped().call);
  });
  std::string head = "DELETE /kv/leases/" + release->id + " HTTP/1.1\r\nHost: " + to.text() + "\r\n\r\n";
  const auto reply = std::make_shared<StatusReply>([this, alive = alive_, id](int status) {
    if (*alive) answered(id, status);
  });
  ask.call = client_.start(
      to, [head = std::move(head)] { return head; }, nullptr, reply);
}

void Releases::answered(AskId id, int status) {
  const auto node = asks_.extract(id);
  if (node.empty()) return;
  const Ask& ask = node.mapped();
  loop_.cancelTimer(ask.timer);
  if (status / 100 != 2) return;
  heardFrom_(ask.engine);
  answeredAt_[ask.engine] = loop_.now();
  if (!ask.release->done && wouldEnd(ask)) finish(ask.release, true);
  askOthersAt(ask.engine);
}

// What earlier steps have asked elsewhere in vain is sent to an engine that is there.
void Releases::askOthersAt(EngineId engine) {
  if (engines_.count(engine) == 0) return;
  const std::set<const Release*> askedNow = releasesAskedOf(engine);
  const std::list<std::shared_ptr<Release>> all = pending_;
  for (const auto& release : all) {
    if (asks_.size() >= kMostAsks) return;
    const bool inVain = loop_.now() - release->askedAt > kSilentAfter;
    if (!release->done && inVain && askedNow.count(release.get()) == 0) ask(release, engine);
  }
}

void Releases::finish(const std::shared_ptr<Release>& release, bool taken) {
  release->done = true;
  pending_.remove(release);
  byId_.erase(release->id);
  if (pending_.empty()) answeredAt_.clear();
  const Duration took = loop_.now() - release->begunAt;
  ++(taken ? counts_.taken : counts_.givenUp);
  if (taken) counts_.slowest = std::max(counts_.slowest, took);
  if (!log_ || (taken && took <= kSlow)) return;
  log_("warn", "release of " + release->id + (taken ? " taken after " : " given up after ") +
                   std::to_string(took.count()) +
                   " s, engines asked in this round: " + std::to_string(release->asked.size()));
}

}  // namespace gannetcourse::platform
