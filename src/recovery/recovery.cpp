#include "gannetcourse/recovery.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gannetcourse::recovery {
namespace {

// Weights of one token in the moving averages of token intervals.
constexpr double kClassIntervalGain = 0.05;
constexpr double kStreamIntervalGain = 0.25;
constexpr std::uint64_t kMinTokensForSlow = 6;  // a stream's average is not reliable with fewer tokens
constexpr int kAttemptsPerContinuation = 2;     // a prefill and a decode call
const Duration kCheckInterval{0.1};
const Duration kInitialTokenInterval{0.05};  // assumed for a class before its first interval
const Duration kMinTokenInterval{1e-6};      // keeps averages above zero when tokens arrive together

constexpr const char* kSilentReason = "went silent";
constexpr const char* kSlowReason = "too slow to be in time";
constexpr const char* kEngineShutdownReason = "its writer is leaving";

double tokensLeft(const Stream& start, std::uint64_t tokensReceived) {
  return start.remainingTokens - static_cast<double>(tokensReceived);
}

}  // namespace

Recovery::Recovery(Limits limits) : limits_(std::move(limits)), budget_(limits_.rebuildBurst) {}

void Recovery::updateClasses(std::vector<Idempotency> idempotency, std::vector<double> priorityWeights,
                             int maxAttempts) {
  limits_.idempotency = std::move(idempotency);
  limits_.priorityWeights = std::move(priorityWeights);
  limits_.maxAttempts = maxAttempts;
}

bool Recovery::isResumable(std::size_t classIndex) const {
  return limits_.enabled && classIndex < limits_.idempotency.size() &&
         limits_.idempotency[classIndex] == Idempotency::kIdempotent;
}

double Recovery::priorityWeight(std::size_t classIndex) const {
  return classIndex < limits_.priorityWeights.size() ? limits_.priorityWeights[classIndex] : 1;
}

// ---- Running streams ----

void Recovery::onStreamStarted(Instant now, StreamKey stream, const Stream& started) {
  TrackedStream& tracked = streams_[stream];
  TrackedStream fresh;
  fresh.start = started;
  fresh.bufferedBytes = tracked.bufferedBytes;
  fresh.isBufferComplete = tracked.isBufferComplete && isResumable(started.classIndex);
  fresh.lastTokenAt = now;
  tracked = fresh;
  lastTokenAt_ = now;
}

// Updates the averages with the time since the stream's last token. The interval is limited to minSilence,
// because a single stall must not dominate the averages. Not called while the client is paused.
void Recovery::updateTokenInterval(Instant now, TrackedStream& stream) {
  const Duration interval = std::clamp(now - stream.lastTokenAt, kMinTokenInterval, limits_.minSilence);
  Duration& classInterval = mutableClassTokenInterval(stream.start.classIndex);
  classInterval += (interval - classInterval) * kClassIntervalGain;
  const bool isFirstInterval = stream.tokens <= 1;
  if (isFirstInterval) {
    stream.tokenInterval = interval;
  } else {
    stream.tokenInterval = stream.tokenInterval + (interval - stream.tokenInterval) * kStreamIntervalGain;
  }
  const bool isSlow =
      stream.tokens >= kMinTokensForSlow && stream.tokenInterval > classInterval * limits_.slowFactor;
  if (isSlow && !stream.isSlow) stream.slowSince = now;
  stream.isSlow = isSlow;
}

bool Recovery::onToken(Instant now, StreamKey stream, std::size_t bytes) {
  const auto it = streams_.find(stream);
  if (it == streams_.end()) return false;
  TrackedStream& tracked = it->second;
  if (tracked.tokens > 0 && !tracked.isPaused) updateTokenInterval(now, tracked);
  ++tracked.tokens;
  tracked.lastTokenAt = now;
  lastTokenAt_ = now;
  if (!tracked.isBufferComplete) return false;
  tracked.bufferedBytes += bytes;
  bufferedBytes_ += bytes;
  const bool isWithinLimits = tracked.bufferedBytes <= limits_.maxBufferedBytesPerStream &&
                              bufferedBytes_ <= limits_.maxBufferedBytes;
  if (isWithinLimits) return true;
  tracked.isBufferComplete = false;
  bufferedBytes_ -= std::exchange(tracked.bufferedBytes, 0);
  return false;
}

void Recovery::onClientPaused(Instant now, StreamKey stream, bool paused) {
  const auto it = streams_.find(stream);
  if (it == streams_.end()) return;
  it->second.isPaused = paused;
  it->second.lastTokenAt = now;  // no silence yet: the tokens held back during the pause arrive first
}

void Recovery::onEngineShutdownNotice(EngineId engine, std::optional<Instant> endsAt) {
  if (endsAt) {
    shutdownAt_[engine] = *endsAt;
  } else {
    shutdownAt_.erase(engine);
  }
}

void Recovery::onGoAway(Instant now, EngineId engine) {
  onEngineShutdownNotice(engine, now + limits_.goAwayGrace);
}

Duration& Recovery::mutableClassTokenInterval(std::size_t classIndex) {
  if (classTokenIntervals_.size() <= classIndex)
    classTokenIntervals_.resize(classIndex + 1, kInitialTokenInterval);
  return classTokenIntervals_[classIndex];
}

Duration Recovery::classTokenInterval(std::size_t classIndex) const {
  return classIndex < classTokenIntervals_.size() ? classTokenIntervals_[classIndex] : kInitialTokenInterval;
}

// ---- Migration ----

// A stream that could not be continued at another engine is not migrated: the stream may still complete at
// its current engine.
bool Recovery::canMigrate(Instant now, StreamKey key, const TrackedStream& stream) const {
  if (stream.isPaused || stream.isLost || stream.tokens == 0) return false;
  LostStream migrated;
  migrated.stream = key;
  migrated.classIndex = stream.start.classIndex;
  migrated.timeUntilDeadline = stream.start.deadline - now;
  migrated.continuations = stream.start.continuations;
  migrated.attempts = stream.start.attempts;
  return reasonAgainstContinuation(migrated) == nullptr;
}

// If no stream receives tokens, the cause is the router or the network and not a single engine. A stream
// therefore counts as silent only if another stream has received a token later, by more than half of the
// allowed silence.
bool Recovery::isSilent(Instant now, const TrackedStream& stream) const {
  const Duration typical = classTokenInterval(stream.start.classIndex);
  const Duration maxSilence = std::max(limits_.minSilence, typical * limits_.silenceFactor);
  const bool othersReceiveTokens = lastTokenAt_ > stream.lastTokenAt + maxSilence / 2;
  return now - stream.lastTokenAt > maxSilence && othersReceiveTokens;
}

// Whether the stream, at the typical rate of its class, would end after the announced shutdown of its engine.
bool Recovery::outlastsItsEngine(Instant now, const TrackedStream& stream) const {
  const auto shutdown = shutdownAt_.find(stream.start.engine);
  if (shutdown == shutdownAt_.end()) return false;
  const Duration typical = classTokenInterval(stream.start.classIndex);
  return now + typical * tokensLeft(stream.start, stream.tokens) > shutdown->second;
}

// Whether the stream would miss its deadline at its current engine, but meet it at another engine at the
// typical rate of its class.
bool Recovery::wouldGainByMigration(Instant now, const TrackedStream& stream) const {
  const double left = tokensLeft(stream.start, stream.tokens);
  const Duration typical = classTokenInterval(stream.start.classIndex);
  const bool isLateAtEngine = now + stream.tokenInterval * left > stream.start.deadline;
  const bool isInTimeAfterMigration = now + limits_.minTimeLeft + typical * left < stream.start.deadline;
  return isLateAtEngine && isInTimeAfterMigration;
}

const char* Recovery::reasonToMigrate(Instant now, const TrackedStream& stream) const {
  if (isSilent(now, stream)) return kSilentReason;
  if (outlastsItsEngine(now, stream)) return kEngineShutdownReason;
  const bool isSlowForLong = stream.isSlow && now - stream.slowSince > limits_.slowDuration;
  if (isSlowForLong && wouldGainByMigration(now, stream)) return kSlowReason;
  return nullptr;
}

std::vector<Recovery::MigrationCandidate> Recovery::migrationCandidates(Instant now) const {
  std::vector<MigrationCandidate> candidates;
  for (const auto& [key, stream] : streams_) {
    const char* const reason = reasonToMigrate(now, stream);
    if (reason == nullptr || !canMigrate(now, key, stream)) continue;
    MigrationCandidate candidate;
    candidate.migration = {key, reason};
    candidate.priorityWeight = priorityWeight(stream.start.classIndex);
    candidate.deadline = stream.start.deadline;
    candidate.tokensToPrefill = stream.start.promptTokens + static_cast<double>(stream.tokens);
    if (reason == kEngineShutdownReason) candidate.endingEngine = stream.start.engine;
    candidates.push_back(candidate);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const MigrationCandidate& a, const MigrationCandidate& b) {
              if (a.priorityWeight != b.priorityWeight) return a.priorityWeight > b.priorityWeight;
              if (a.deadline != b.deadline) return a.deadline < b.deadline;
              return a.migration.stream < b.migration.stream;
            });
  return candidates;
}

// How many streams to migrate at this check from each engine that shuts down. The streams are spread evenly
// over the remaining checks before the engine's shutdown less migrationLeadTime.
std::map<EngineId, std::size_t> Recovery::migrationWaveSizes(
    Instant now, const std::vector<MigrationCandidate>& candidates) const {
  std::map<EngineId, std::size_t> sizes;
  for (const MigrationCandidate& candidate : candidates) {
    if (candidate.endingEngine) ++sizes[*candidate.endingEngine];
  }
  for (auto& [engine, size] : sizes) {
    const Duration left = shutdownAt_.at(engine) - limits_.migrationLeadTime - now;
    const double checksLeft = std::max(1.0, left / kCheckInterval);
    size = static_cast<std::size_t>(std::ceil(static_cast<double>(size) / checksLeft));
  }
  return sizes;
}

std::vector<Recovery::Migration> Recovery::streamsToMigrate(Instant now) {
  lastCheckAt_ = now;
  std::vector<Migration> migrations;
  if (!limits_.enabled) return migrations;
  std::erase_if(shutdownAt_, [now](const auto& engine) { return engine.second < now; });
  const std::vector<MigrationCandidate> candidates = migrationCandidates(now);
  std::map<EngineId, std::size_t> waves = migrationWaveSizes(now, candidates);
  for (const MigrationCandidate& candidate : candidates) {
    if (!canAfford(candidate.tokensToPrefill)) continue;
    if (candidate.endingEngine) {
      std::size_t& wave = waves[*candidate.endingEngine];
      if (wave == 0) continue;
      --wave;
    }
    budget_ -= candidate.tokensToPrefill;
    streams_.at(candidate.migration.stream).hasBudget = true;
    migrations.push_back(candidate.migration);
  }
  return migrations;
}

// ---- Lost streams ----

const char* Recovery::reasonAgainstContinuation(const LostStream& stream) const {
  if (!limits_.enabled) return "recovery is off";
  if (!isResumable(stream.classIndex)) return "its effect may have happened";  // rule 2: no effect twice
  const auto tracked = streams_.find(stream.stream);
  if (tracked == streams_.end() || !tracked->second.isBufferComplete) return "its text was not kept";
  if (stream.continuations >= limits_.maxContinuations) return "moved too often";
  if (stream.attempts + kAttemptsPerContinuation > limits_.maxAttempts) return "no attempts left";
  if (stream.timeUntilDeadline < limits_.minTimeLeft) return "no time left";
  return nullptr;
}

bool Recovery::isAnyWaitingForBudget(Instant now) const {
  return std::any_of(waiting_.begin(), waiting_.end(), [now](const auto& entry) {
    const WaitingStream& waiting = entry.second;
    return !waiting.hasBudget && waiting.attemptEndsAt <= now;
  });
}

// The budget limits the prompt tokens that continuations prefill to a share of those of new requests, plus a
// burst. Otherwise the loss of many streams at once would overload the remaining engines.
Decision Recovery::onStreamLost(Instant now, const LostStream& stream) {
  const char* const reasonAgainst = reasonAgainstContinuation(stream);
  if (reasonAgainst != nullptr) return {Disposition::kGiveUp, reasonAgainst};
  TrackedStream& tracked = streams_.at(stream.stream);
  tracked.isLost = true;
  bool hasBudget = std::exchange(tracked.hasBudget, false);
  const bool hasEnded = stream.attemptEnd == AttemptEnd::kConfirmed;
  if (hasEnded && !hasBudget && canAfford(stream.tokensToPrefill) && !isAnyWaitingForBudget(now)) {
    budget_ -= stream.tokensToPrefill;
    hasBudget = true;
  }
  if (hasEnded && hasBudget) return {Disposition::kContinue, "continues at another decode engine"};
  WaitingStream waiting;
  waiting.lost = stream;
  waiting.since = now;
  waiting.attemptEndsAt = hasEnded ? now : now + limits_.engineLease;
  waiting.fenceAt = now + limits_.fenceRetryInterval;
  waiting.hasBudget = hasBudget;
  waiting_[stream.stream] = waiting;
  if (hasEnded) return {Disposition::kWait, "waits for the continuation budget"};
  return {Disposition::kFenceFirst, "waits until its last attempt has ended for certain"};
}

Duration Recovery::timeLeft(Instant now, const WaitingStream& waiting) const {
  return waiting.lost.timeUntilDeadline - (now - waiting.since);
}

Disposition Recovery::onAttemptFenced(Instant now, StreamKey stream) {
  const auto it = waiting_.find(stream);
  if (it == waiting_.end()) return Disposition::kWait;
  WaitingStream& waiting = it->second;
  const double tokens = waiting.lost.tokensToPrefill;
  const bool canContinue = waiting.hasBudget || (canAfford(tokens) && !isAnyWaitingForBudget(now));
  waiting.attemptEndsAt = std::min(waiting.attemptEndsAt, now);
  if (!canContinue || timeLeft(now, waiting) < limits_.minTimeLeft) return Disposition::kWait;
  if (!waiting.hasBudget) budget_ -= tokens;
  waiting_.erase(it);
  return Disposition::kContinue;
}

std::vector<Recovery::WaitingStream*> Recovery::waitingByPriority() {
  std::vector<WaitingStream*> order;
  for (auto& [key, waiting] : waiting_) order.push_back(&waiting);
  std::stable_sort(order.begin(), order.end(), [this](const WaitingStream* a, const WaitingStream* b) {
    const double weightOfA = priorityWeight(a->lost.classIndex);
    const double weightOfB = priorityWeight(b->lost.classIndex);
    if (weightOfA != weightOfB) return weightOfA > weightOfB;
    return a->since + a->lost.timeUntilDeadline < b->since + b->lost.timeUntilDeadline;
  });
  return order;
}

Disposition Recovery::nextStep(Instant now, WaitingStream& waiting) {
  const bool hasEnded = now >= waiting.attemptEndsAt;
  const bool waitedTooLong = hasEnded && !waiting.hasBudget && now - waiting.attemptEndsAt > limits_.maxWait;
  if (waitedTooLong || timeLeft(now, waiting) < limits_.minTimeLeft) return Disposition::kGiveUp;
  if (!hasEnded) {
    if (now < waiting.fenceAt) return Disposition::kWait;
    waiting.fenceAt = now + limits_.fenceRetryInterval;
    return Disposition::kFenceFirst;
  }
  if (waiting.hasBudget) return Disposition::kContinue;
  if (!canAfford(waiting.lost.tokensToPrefill)) return Disposition::kWait;
  budget_ -= waiting.lost.tokensToPrefill;
  return Disposition::kContinue;
}

Recovery::DueStreams Recovery::takeDueStreams(Instant now) {
  DueStreams due;
  for (WaitingStream* const waiting : waitingByPriority()) {
    const StreamKey key = waiting->lost.stream;
    switch (nextStep(now, *waiting)) {
      case Disposition::kContinue:
        due.toContinue.push_back(key);
        break;
      case Disposition::kGiveUp:
        due.toGiveUp.push_back(key);
        break;
      case Disposition::kFenceFirst:
        due.toFence.push_back(key);
        break;
      case Disposition::kWait:
        break;
    }
  }
  for (const StreamKey key : due.toContinue) waiting_.erase(key);
  for (const StreamKey key : due.toGiveUp) waiting_.erase(key);
  return due;
}

void Recovery::forget(StreamKey stream) {
  waiting_.erase(stream);
  const auto it = streams_.find(stream);
  if (it == streams_.end()) return;
  bufferedBytes_ -= it->second.bufferedBytes;
  streams_.erase(it);
}

void Recovery::onPrefillStarted(double tokens) {
  budget_ = std::min(limits_.rebuildBurst, budget_ + tokens * limits_.rebuildShare);
}

std::optional<Instant> Recovery::nextCheck() const {
  if (streams_.empty() && waiting_.empty()) return std::nullopt;
  return lastCheckAt_ + kCheckInterval;
}

}  // namespace gannetcourse::recovery
