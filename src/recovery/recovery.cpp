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

void Recovery::takeClasses(std::vector<Effect> effects, std::vector<double> worths, int maxAttempts) {
  limits_.effects = std::move(effects);
  limits_.worths = std::move(worths);
  limits_.maxAttempts = maxAttempts;
}

bool Recovery::continues(std::size_t classIndex) const {
  return limits_.enabled && classIndex < limits_.effects.size() &&
         limits_.effects[classIndex] == Effect::kSafe;
}

// ---- Streams that run ----
void Recovery::started(Instant now, StreamKey stream, const Stream& what) {
  Running& r = running_[stream];  // a continuation keeps what it has
  const bool resumable = r.resumable && continues(what.classIndex);
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
  const Duration gap = std::clamp(now - r.lastToken, kLeastGap, limits_.silenceAtLeast);
  Duration& usual = paceOf(r.what.classIndex);
  usual += (gap - usual) * kPaceStep;
  r.gap = r.tokens > 1 ? r.gap + (gap - r.gap) * kStreamStep : gap;
  const bool slow = r.tokens >= kPaceOf && r.gap > usual * limits_.slowFactor;
  if (slow && !r.slow) r.slowSince = now;
  r.slow = slow;
}

bool Recovery::token(Instant now, StreamKey stream, std::size_t bytes) {
  const auto it = running_.find(stream);
  if (it == running_.end()) return false;
  Running& r = it->second;
  if (r.tokens > 0 && !r.paused) notePace(now, r);
  ++r.tokens;
  r.lastToken = now;
  heard_ = now;
  if (!r.resumable) return false;
  r.kept += bytes;
  keptBytes_ += bytes;
  if (r.kept <= limits_.keptPerStream && keptBytes_ <= limits_.keptPerNode) return true;
  r.resumable = false;
  keptBytes_ -= std::exchange(r.kept, 0);
  return false;
}

void Recovery::paused(Instant now, StreamKey stream, bool paused) {
  const auto it = running_.find(stream);
  if (it == running_.end()) return;
  it->second.paused = paused;
  it->second.lastToken = now;  // what was held back comes first
}

void Recovery::leaving(ServerId engine, std::optional<Instant> by) {
  if (by) {
    leaving_[engine] = *by;
  } else {
    leaving_.erase(engine);
  }
}

void Recovery::goesAway(Instant now, ServerId engine) { leaving(engine, now + limits_.engineGrace); }

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
  return mayGoOn({key, r.what.classIndex, 0, r.what.end - now, r.what.moves, r.what.attempts, Ending::kTold},
                 why);
}

// Late if it stays, in time if it moves: else a move gains nothing.
bool Recovery::wouldBeLate(Instant now, const Running& r) const {
  const double left = r.what.tokensLeft - static_cast<double>(r.tokens);
  return now + r.gap * left > r.what.end &&
         now + limits_.leastTimeLeft + pace(r.what.classIndex) * left < r.what.end;
}

const char* Recovery::reasonToMove(Instant now, const Running& r) const {
  const Duration usual = pace(r.what.classIndex);
  const Duration patience = std::max(limits_.silenceAtLeast, usual * limits_.silenceFactor);
  // Where no stream shows a sign of life, the node or the net stands still, not a writer.
  if (now - r.lastToken > patience && heard_ > r.lastToken + patience / 2) return kSilent;
  const auto leaves = leaving_.find(r.what.engine);
  const double left = r.what.tokensLeft - static_cast<double>(r.tokens);
  if (leaves != leaving_.end() && now + usual * left > leaves->second) return kLeaves;
  if (r.slow && now - r.slowSince > limits_.slowFor && wouldBeLate(now, r)) return kSlow;
  return nullptr;
}

// How many streams leave each engine at this look, so that all are away in time and not all at once.
std::map<ServerId, std::size_t> Recovery::waveSizes(Instant now, const std::vector<Candidate>& all) const {
  std::map<ServerId, std::size_t> sizes;
  for (const Candidate& c : all) {
    if (c.leaves) ++sizes[*c.leaves];
  }
  for (auto& [engine, size] : sizes) {
    const Duration left = leaving_.at(engine) - limits_.moveEarly - now;
    const double looks = std::max(1.0, left / kLook);
    size = static_cast<std::size_t>(std::ceil(static_cast<double>(size) / looks));
  }
  return sizes;
}

std::vector<Recovery::Move> Recovery::moves(Instant now) {
  lastLook_ = now;
  std::vector<Move> found;
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
  std::map<ServerId, std::size_t> waves = waveSizes(now, all);
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
  return classIndex < limits_.worths.size() ? limits_.worths[classIndex] : 1;
}

bool Recovery::mayGoOn(const Lost& stream, std::string& why) const {
  const auto running = running_.find(stream.stream);
  if (!limits_.enabled) {
    why = "recovery is off";
  } else if (!continues(stream.classIndex)) {
    why = "its effect may have happened";  // rule 2: it is not asked for again
  } else if (running == running_.end() || !running->second.resumable) {
    why = "its text was not kept";
  } else if (stream.moves >= limits_.maxMoves) {
    why = "moved too often";
  } else if (stream.attempts + 2 > limits_.maxAttempts) {
    why = "no attempts left";
  } else if (stream.timeLeft < limits_.leastTimeLeft) {
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

Decision Recovery::lost(Instant now, const Lost& stream) {
  Decision decision;
  if (!mayGoOn(stream, decision.why)) return decision;
  Running& r = running_.at(stream.stream);
  r.lost = true;
  const bool known = stream.ending == Ending::kTold;
  bool hasTurn = std::exchange(r.hasTurn, false);
  // No storm: what continuations read is a share of what new requests read, plus a burst. Who waits, waits
  // briefly.
  if (known && !hasTurn && budget_ >= stream.tokens && !someoneWaitsForATurn(now)) {
    budget_ -= stream.tokens;
    hasTurn = true;
  }
  if (known && hasTurn) return {Verdict::kGoOn, "goes on from another writer"};
  waiting_[stream.stream] = {stream, now, known ? now : now + limits_.lease, now + limits_.fenceAgain,
                             hasTurn};
  if (known) return {Verdict::kWait, "waits for its turn"};
  return {Verdict::kFence, "waits until its last attempt is known to have ended"};
}

Verdict Recovery::fenced(Instant now, StreamKey stream) {
  const auto it = waiting_.find(stream);
  if (it == waiting_.end()) return Verdict::kWait;
  Waiting& w = it->second;
  const bool mayHaveTurn = w.hasTurn || (budget_ >= w.lost.tokens && !someoneWaitsForATurn(now));
  w.knownAt = std::min(w.knownAt, now);
  if (!mayHaveTurn || w.lost.timeLeft - (now - w.since) < limits_.leastTimeLeft) return Verdict::kWait;
  if (!w.hasTurn) budget_ -= w.lost.tokens;
  waiting_.erase(it);
  return Verdict::kGoOn;
}

Recovery::Turns Recovery::turns(Instant now) {
  std::vector<Waiting*> order;
  for (auto& [key, waiting] : waiting_) order.push_back(&waiting);
  std::stable_sort(order.begin(), order.end(), [this](const Waiting* a, const Waiting* b) {
    return worth(a->lost.classIndex) > worth(b->lost.classIndex);
  });
  Turns turns;
  for (Waiting* const w : order) {
    const bool known = now >= w->knownAt;
    const bool tooLong = known && !w->hasTurn && now - w->knownAt > limits_.mostWait;
    if (tooLong || w->lost.timeLeft - (now - w->since) < limits_.leastTimeLeft) {
      turns.giveUp.push_back(w->lost.stream);
    } else if (!known) {
      if (now < w->askAt) continue;
      w->askAt = now + limits_.fenceAgain;
      turns.fence.push_back(w->lost.stream);
    } else if (w->hasTurn || budget_ >= w->lost.tokens) {
      if (!w->hasTurn) budget_ -= w->lost.tokens;
      turns.goOn.push_back(w->lost.stream);
    }
  }
  for (const StreamKey key : turns.goOn) waiting_.erase(key);
  for (const StreamKey key : turns.giveUp) waiting_.erase(key);
  return turns;
}

void Recovery::forget(StreamKey stream) {
  waiting_.erase(stream);
  const auto it = running_.find(stream);
  if (it == running_.end()) return;
  keptBytes_ -= it->second.kept;
  running_.erase(it);
}

void Recovery::readTokens(double tokens) {
  budget_ = std::min(limits_.rebuildBurst, budget_ + tokens * limits_.rebuildShare);
}

std::optional<Instant> Recovery::nextLook() const {
  if (running_.empty() && waiting_.empty()) return std::nullopt;
  return lastLook_ + kLook;
}

}  // namespace gannetcourse::recovery
