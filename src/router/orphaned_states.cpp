#include "router/orphaned_states.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::router {
namespace {

// How long releases are repeated: an engine may stall for this long and then continue an abandoned attempt.
const Duration kRepeatDuration{8};
const Duration kFailedRepeatDuration{2};  // if the prefill was reported as failed
const Duration kDeferralInterval{0.05};   // between two checks whether the request is still busy
// Shares of the lease limit: the interval between two releases, and the longest deferral of a release.
constexpr double kRepeatIntervalShare = 0.7;
constexpr double kMaxDeferralShare = 0.9;

}  // namespace

void OrphanedStates::updateLeaseLimit(Duration leaseLimit) {
  repeatInterval_ = leaseLimit * kRepeatIntervalShare;
  maxDeferral_ = leaseLimit * kMaxDeferralShare;
}

void OrphanedStates::add(Instant now, Instant dueAt, Attempt attempt, bool waitsUntilIdle) {
  if (entries_.size() >= kMaxEntries) entries_.pop_front();
  entries_.push_back({std::move(attempt), now, dueAt, now, waitsUntilIdle});
  nextDue_ = std::min(nextDue_.value_or(dueAt), dueAt);
}

// If the connection broke, the prefill may have completed just before. If an error was reported, the prefill
// may still run, because the error may be a late second response to an earlier call on the same connection.
// In that case the state is released once the request is no longer busy.
void OrphanedStates::onPrefillEnded(Instant now, Attempt attempt, Outcome outcome,
                                    recovery::AttemptEnd attemptEnd) {
  const bool endIsUncertain = outcome == Outcome::kReset || attemptEnd == recovery::AttemptEnd::kAbandoned;
  if (endIsUncertain) {
    add(now, now, std::move(attempt), false);
  } else if (outcome == Outcome::kError) {
    add(now, now, std::move(attempt), true);
  }
}

void OrphanedStates::onEngineResponse(EngineId engine, Instant startedAt) {
  if (entries_.empty()) return;
  Instant& newest = latestAnsweredStart_.try_emplace(engine, startedAt).first->second;
  newest = std::max(newest, startedAt);
}

void OrphanedStates::onFirstToken(const std::string& id, EngineId engine, Instant startedAt) {
  onEngineResponse(engine, startedAt);
  std::erase_if(entries_,
                [&id](const Entry& entry) { return entry.waitsUntilIdle && entry.attempt.id == id; });
}

bool OrphanedStates::isLastRelease(const Entry& entry, Instant now) const {
  const Duration repeatFor = entry.waitsUntilIdle ? kFailedRepeatDuration : kRepeatDuration;
  const bool repeats = repeatInterval_.count() > 0 && now + repeatInterval_ <= entry.abandonedAt + repeatFor;
  if (!repeats) return true;
  const auto newest = latestAnsweredStart_.find(entry.attempt.engine);
  return newest != latestAnsweredStart_.end() && newest->second >= entry.abandonedAt;
}

Instant OrphanedStates::deferralLimit(const Entry& entry, Instant now) const {
  if (entry.waitsUntilIdle) return now + kDeferralInterval;
  return entry.lastReleaseAt + maxDeferral_;
}

std::vector<OrphanedStates::Attempt> OrphanedStates::takeDue(Instant now, const IsBusy& isBusy) {
  std::vector<Attempt> due;
  if (!nextDue_ || *nextDue_ > now) return due;
  nextDue_.reset();
  for (Entry& entry : std::exchange(entries_, {})) {
    const Instant limit = deferralLimit(entry, now);
    if (entry.dueAt <= now && now < limit && isBusy(entry.attempt.id)) {
      entry.dueAt = std::min(now + kDeferralInterval, limit);
    } else if (entry.dueAt <= now) {
      due.push_back(entry.attempt);
      if (isLastRelease(entry, now)) continue;
      entry.lastReleaseAt = now;
      entry.dueAt = now + repeatInterval_;
    }
    nextDue_ = std::min(nextDue_.value_or(entry.dueAt), entry.dueAt);
    entries_.push_back(std::move(entry));
  }
  if (entries_.empty()) latestAnsweredStart_.clear();
  return due;
}

}  // namespace gannetcourse::router
