#include "gannetcourse/recovery.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::recovery {
namespace {

constexpr double kPaceStep = 0.05;  // how far one gap moves the pace of its class
const Duration kLook{0.1};          // how often silence and turns are looked at
const Duration kFirstPace{0.05};    // of a class that has not been seen yet

}  // namespace

Recovery::Recovery(Limits limits) : limits_(std::move(limits)), budget_(limits_.rebuildBurst) {}

// ---- Streams that run ----
void Recovery::started(Instant now, StreamKey stream, std::size_t classIndex) {
  Running& r = running_[stream];  // a continuation keeps what it has
  r.classIndex = classIndex;
  r.lastToken = now;
  r.lost = false;
  heard_ = now;
}

bool Recovery::token(Instant now, StreamKey stream, std::size_t bytes) {
  const auto it = running_.find(stream);
  if (it == running_.end()) return false;
  Running& r = it->second;
  // The pace counts gaps of streams whose client reads; a long gap counts as the limit, or one hang would
  // slow it.
  if (r.tokens > 0 && !r.paused) {
    const Duration gap = std::min(now - r.lastToken, limits_.silenceAtLeast);
    Duration& usual = paces_.try_emplace(r.classIndex, kFirstPace).first->second;
    usual += (gap - usual) * kPaceStep;
  }
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

void Recovery::ended(StreamKey stream) {
  const auto it = running_.find(stream);
  if (it == running_.end()) return;
  keptBytes_ -= it->second.kept;
  running_.erase(it);
}

Duration Recovery::pace(std::size_t classIndex) const {
  const auto it = paces_.find(classIndex);
  return it == paces_.end() ? kFirstPace : it->second;
}

std::vector<StreamKey> Recovery::silent(Instant now) {
  lastLook_ = now;
  std::vector<StreamKey> found;
  if (!limits_.enabled) return found;
  // Where no stream shows a sign of life, the node or the net stands still, not a writer.
  for (const auto& [key, r] : running_) {
    const Duration patience = std::max(limits_.silenceAtLeast, pace(r.classIndex) * limits_.silenceFactor);
    const bool others = heard_ > r.lastToken + patience / 2;
    if (!r.paused && !r.lost && r.tokens > 0 && others && now - r.lastToken > patience) found.push_back(key);
  }
  return found;
}

// ---- Streams that are lost ----
double Recovery::worth(std::size_t classIndex) const {
  return classIndex < limits_.worths.size() ? limits_.worths[classIndex] : 1;
}

bool Recovery::mayGoOn(const Lost& stream, std::string& why) const {
  const Effect effect =
      stream.classIndex < limits_.effects.size() ? limits_.effects[stream.classIndex] : Effect::kUnsafe;
  const auto running = running_.find(stream.stream);
  if (!limits_.enabled) {
    why = "recovery is off";
  } else if (effect != Effect::kSafe) {
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

Decision Recovery::lost(Instant now, const Lost& stream) {
  Decision decision;
  if (!mayGoOn(stream, decision.why)) return decision;
  running_.at(stream.stream).lost = true;
  // No storm: what continuations read is a share of what new requests read, plus a burst. Who waits, waits
  // briefly.
  if (waiting_.empty() && budget_ >= stream.tokens) {
    budget_ -= stream.tokens;
    return {Verdict::kGoOn, "goes on from another writer"};
  }
  waiting_[stream.stream] = {stream, now};
  return {Verdict::kWait, "waits for its turn"};
}

Recovery::Turns Recovery::turns(Instant now) {
  std::vector<const Waiting*> order;
  for (const auto& [key, waiting] : waiting_) order.push_back(&waiting);
  std::stable_sort(order.begin(), order.end(), [this](const Waiting* a, const Waiting* b) {
    return worth(a->lost.classIndex) > worth(b->lost.classIndex);
  });
  Turns turns;
  for (const Waiting* const w : order) {
    const Duration waited = now - w->since;
    if (waited > limits_.mostWait || w->lost.timeLeft - waited < limits_.leastTimeLeft) {
      turns.giveUp.push_back(w->lost.stream);
    } else if (budget_ >= w->lost.tokens) {
      budget_ -= w->lost.tokens;
      turns.goOn.push_back(w->lost.stream);
    }
  }
  for (const StreamKey key : turns.goOn) waiting_.erase(key);
  for (const StreamKey key : turns.giveUp) waiting_.erase(key);
  return turns;
}

void Recovery::forget(StreamKey stream) {
  waiting_.erase(stream);
  ended(stream);
}

void Recovery::readTokens(Instant, double tokens) {
  budget_ = std::min(limits_.rebuildBurst, budget_ + tokens * limits_.rebuildShare);
}

std::optional<Instant> Recovery::nextLook() const {
  if (running_.empty() && waiting_.empty()) return std::nullopt;
  return lastLook_ + kLook;
}

}  // namespace gannetcourse::recovery
