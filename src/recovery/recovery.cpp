#include "gannetcourse/recovery.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gannetcourse::recovery {
namespace {

constexpr double kPaceStep = 0.05;    // how far one gap moves the pace of its class
constexpr double kStreamStep = 0.25;  // ... and a stream's own
constexpr std::uint64_t kPaceOf = 6;  // tokens after which a stream's own pace means something
const Duration kLook{0.1};            // how often streams and turns are looked at
const Duration kFirstPace{0.05};      // of a class that has not been seen yet
const Duration kLeastGap{1e-6};       // tokens that come together: a pace of nothing would be no measure

constexpr const char* kSilent = "went silent";
constexpr const char* kSlow = "too slow to be in time";
constexpr const char* kLeaves = "its writer is leaving";

}  // namespace

Recovery::Recovery(Limits limits) : limits_(std::move(limits)), budget_(limits_.rebuildBurst) {}

void Recovery::updateClasses(std::vector<Idempotency> effects, std::vector<double> worths, int maxAttempts) {
  limits_.idempotency = std::move(effects);
  limits_.priorityWeights = std::move(worths);
  limits_.maxAttempts = maxAttempts;
}

bool Recovery::isResumable(std::size_t classIndex) const {
  return limits_.enabled && classIndex < limits_.idempotency.size() &&
         limits_.idempotency[classIndex] == Idempotency::kIdempotent;
}

// ---- Streams that run ----
void Recovery::onStreamStarted(Instant now, StreamKey stream, const Stream& what) {
  Running& r = running_[stream];  // a continuation keeps what it has
  const bool resumable = r.resumable && isResumable(what.classIndex);
  const std::uint64_t kept = r.kept;
  r = {};
  r.what = what;
  r.kept = kept;
  r.resumable = resumable;
  r.lastToken = now;
  heard_ = now;
}

// The pace counts gaps of streams whose client reads; a long gap counts as the limit, or one hang would slow
// it.
void Recovery::notePace(Instant now, Running& r) {
  const Duration gap = std::clamp(now - r.lastToken, kLeastGap, limits_.minSilence);
  Duration& usual = paceOf(r.what.classIndex);
  usual += (gap - usual) * kPaceStep;
  r.gap = r.tokens > 1 ? r.gap + (gap - r.gap) * kStreamStep : gap;
  const bool slow = r.tokens >= kPaceOf && r.gap > usual * limits_.slowFactor;
  if (slow && !r.slow) r.slowSince = now;
  r.slow = slow;
}

bool Recovery::onToken(Instant now, StreamKey stream, std::size_t bytes) {
  const auto it = running_.find(stream);
  if (it == running_.end()) return false;
  Running& r = it->second;
  if (r.tokens > 0 && !r.paused) notePace(now, r);
  ++r.tokens;
  r.lastToken = now;
  heard_ = now;
  if (!r.resumable) return false;
  r.kept += bytes;
  bufferedBytes_ += bytes;
  if (r.kept <= limits_.maxBufferedBytesPerStream && bufferedBytes_ <= limits_.maxBufferedBytes) return true;
  r.resumable = false;
  bufferedBytes_ -= std::exchange(r.kept, 0);
  return false;
}

void Recovery::onClientPaused(Instant now, StreamKey stream, bool paused) {
  const auto it = running_.find(stream);
  if (it == running_.end()) return;
  it->second.paused = paused;
  it->second.lastToken = now;  // what was held back comes first
}

void Recovery::onEngineShutdownNotice(EngineId engine, std::optional<Instant> by) {
  if (by) {
    leaving_[engine] = *by;
  } else {
    leaving_.erase(engine);
  }
}

void Recovery::onGoAway(Instant now, EngineId engine) {
  onEngineShutdownNotice(engine, now + limits_.goAwayGrace);
}

Duration& Recovery::paceOf(std::size_t classIndex) {
  if (paces_.size() <= classIndex) paces_.resize(classIndex + 1, kFirstPace);
  return paces_[classIndex];
}

Duration Recovery::pace(std::size_t classIndex) const {
  return classIndex < paces_.size() ? paces_[classIndex] : kFirstPace;
}

// A stream that could not go on elsewhere is better off where it is.
bool Recovery::eligible(Instant now, StreamKey key, const Running& r) const {
  if (r.paused || r.lost || r.tokens == 0) return false;
  std::string why;
  return mayGoOn({key, r.what.classIndex, 0, r.what.deadline - now, r.what.continuations, r.what.attempts,
                  AttemptEnd::kConfirmed},
                 why);
}

// Late if it stays, in time if it moves: else a move gains nothing.
bool Recovery::wouldBeLate(Instant now, const Running& r) const {
  const double left = r.what.remainingTokens - static_cast<double>(r.tokens);
  return now + r.gap * left > r.what.deadline &&
         now + limits_.minTimeLeft + pace(r.what.classIndex) * left < r.what.deadline;
}

const char* Recovery::reasonToMove(Instant now, const Running& r) const {
  const Duration usual = pace(r.what.classIndex);
  const Duration patience = std::max(limits_.minSilence, usual * limits_.silenceFactor);
  // Where no stream shows a sign of life, the node or the net stands still, not a writer.
  if (now - r.lastToken > patience && heard_ > r.lastToken + patience / 2) return kSilent;
  const auto leaves = leaving_.find(r.what.engine);
  const double left = r.what.remainingTokens - static_cast<double>(r.tokens);
  if (leaves != leaving_.end() && now + usual * left > leaves->second) return kLeaves;
  if (r.slow && now - r.slowSince > limits_.slowDuration && wouldBeLate(now, r)) return kSlow;
  return nullptr;
}

// How many streams leave each engine at this look, so that all are away in time and not all at once.
std::map<EngineId, std::size_t> Recovery::waveSizes(Instant now, const std::vector<Candidate>& all) const {
  std::map<EngineId, std::size_t> sizes;
  for (const Candidate& c : all) {
    if (c.leaves) ++sizes[*c.leaves];
  }
  for (auto& [engine, size] : sizes) {
    const Duration left = leaving_.at(engine) - limits_.migrationLeadTime - now;
    const double looks = std::max(1.0, left / kLook);
    size = static_cast<std::size_t>(std::ceil(static_cast<double>(size) / looks));
  }
  return sizes;
}

std::vector<Recovery::Migration> Recovery::streamsToMigrate(Instant now) {
  lastLook_ = now;
  std::vector<Migration> found;
  std::vector<Candidate> all;
  if (!limits_.enabled) return found;
  std::erase_if(leaving_, [now](const auto& engine) { return engine.second < now; });
  for (const auto& [key, r] : running_) {
    const char* const why = reasonToMove(now, r);
    if (why == nullptr || !eligible(now, key, r)) continue;
    Candidate c{
        {key, why}, worth(r.what.classIndex), r.what.promptTokens + static_cast<double>(r.tokens), {}};
    if (why == kLeaves) c.leaves = r.what.engine;
    all.push_back(c);
  }
  std::sort(all.begin(), all.end(), [](const Candidate& a, const Candidate& b) {
    return a.worth != b.worth ? a.worth > b.worth : a.move.stream < b.move.stream;
  });
  std::map<EngineId, std::size_t> waves = waveSizes(now, all);
  for (const Candidate& c : all) {
    if (budget_ < c.tokens || (c.leaves && waves[*c.leaves] == 0)) continue;
    if (c.leaves) --waves[*c.leaves];
    budget_ -= c.tokens;
    running_.at(c.move.stream).hasTurn = true;
    found.push_back(c.move);
  }
  return found;
}

// ---- Streams that are lost ----
double Recovery::worth(std::size_t classIndex) const {
  return classIndex < limits_.priorityWeights.size() ? limits_.priorityWeights[classIndex] : 1;
}

bool Recovery::mayGoOn(const LostStream& stream, std::string& why) const {
  const auto running = running_.find(stream.stream);
  if (!limits_.enabled) {
    why = "recovery is off";
  } else if (!isResumable(stream.classIndex)) {
    why = "its effect may have happened";  // rule 2: it is not asked for again
  } else if (running == running_.end() || !running->second.resumable) {
    why = "its text was not kept";
  } else if (stream.continuations >= limits_.maxContinuations) {
    why = "moved too often";
  } else if (stream.attempts + 2 > limits_.maxAttempts) {
    why = "no attempts left";
  } else if (stream.timeUntilDeadline < limits_.minTimeLeft) {
    why = "no time left";
  } else {
    return true;
  }
  return false;
}

bool Recovery::someoneWaitsForATurn(Instant now) const {
  return std::any_of(waiting_.begin(), waiting_.end(),
                     [now](const auto& w) { return !w.second.hasTurn && w.second.knownAt <= now; });
}

Decision Recovery::onStreamLost(Instant now, const LostStream& stream) {
  Decision decision;
  if (!mayGoOn(stream, decision.reason)) return decision;
  Running& r = running_.at(stream.stream);
  r.lost = true;
  const bool known = stream.attemptEnd == AttemptEnd::kConfirmed;
  bool hasTurn = std::exchange(r.hasTurn, false);
  // No storm: what continuations read is a share of what new requests read, plus a burst. Who waits, waits
  // briefly.
  if (known && !hasTurn && budget_ >= stream.tokensToPrefill && !someoneWaitsForATurn(now)) {
    budget_ -= stream.tokensToPrefill;
    hasTurn = true;
  }
  if (known && hasTurn) return {Disposition::kContinue, "goes on from another writer"};
  waiting_[stream.stream] = {stream, now, known ? now : now + limits_.engineLease,
                             now + limits_.fenceRetryInterval, hasTurn};
  if (known) return {Disposition::kWait, "waits for its turn"};
  return {Disposition::kFenceFirst, "waits until its last attempt is known to have ended"};
}

Disposition Recovery::onAttemptFenced(Instant now, StreamKey stream) {
  const auto it = waiting_.find(stream);
  if (it == waiting_.end()) return Disposition::kWait;
  Waiting& w = it->second;
  const bool mayHaveTurn = w.hasTurn || (budget_ >= w.lost.tokensToPrefill && !someoneWaitsForATurn(now));
  w.knownAt = std::min(w.knownAt, now);
  if (!mayHaveTurn || w.lost.timeUntilDeadline - (now - w.since) < limits_.minTimeLeft)
    return Disposition::kWait;
  if (!w.hasTurn) budget_ -= w.lost.tokensToPrefill;
  waiting_.erase(it);
  return Disposition::kContinue;
}

Recovery::DueStreams Recovery::takeDueStreams(Instant now) {
  std::vector<Waiting*> order;
  for (auto& [key, waiting] : waiting_) order.push_back(&waiting);
  std::stable_sort(order.begin(), order.end(), [this](const Waiting* a, const Waiting* b) {
    return worth(a->lost.classIndex) > worth(b->lost.classIndex);
  });
  DueStreams turns;
  for (Waiting* const w : order) {
    const bool known = now >= w->knownAt;
    const bool tooLong = known && !w->hasTurn && now - w->knownAt > limits_.maxWait;
    if (tooLong || w->lost.timeUntilDeadline - (now - w->since) < limits_.minTimeLeft) {
      turns.toGiveUp.push_back(w->lost.stream);
    } else if (!known) {
      if (now < w->askAt) continue;
      w->askAt = now + limits_.fenceRetryInterval;
      turns.toFence.push_back(w->lost.stream);
    } else if (w->hasTurn || budget_ >= w->lost.tokensToPrefill) {
      if (!w->hasTurn) budget_ -= w->lost.tokensToPrefill;
      turns.toContinue.push_back(w->lost.stream);
    }
  }
  for (const StreamKey key : turns.toContinue) waiting_.erase(key);
  for (const StreamKey key : turns.toGiveUp) waiting_.erase(key);
  return turns;
}

void Recovery::forget(StreamKey stream) {
  waiting_.erase(stream);
  const auto it = running_.find(stream);
  if (it == running_.end()) return;
  bufferedBytes_ -= it->second.kept;
  running_.erase(it);
}

void Recovery::onPrefillStarted(double tokens) {
  budget_ = std::min(limits_.rebuildBurst, budget_ + tokens * limits_.rebuildShare);
}

std::optional<Instant> Recovery::nextCheck() const {
  if (running_.empty() && waiting_.empty()) return std::nullopt;
  return lastLook_ + kLook;
}

}  // namespace gannetcourse::recovery
