#include "router/orphaned_states.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::router {
namespace {

const Duration kRepeatFor{8};            // how long an engine may stall and continue an attempt afterwards
const Duration kRepeatFailedFor{2};      // the same for an attempt that seems to have ended with an error
const Duration kDeferralInterval{0.05};  // between two checks whether the request is still busy
// As shares of the lease limit: the interval of releases, and the longest that a release is deferred.
constexpr double kRepeatIntervalShare = 0.7;
constexpr double kMaxDeferralShare = 0.9;

}  // namespace

void OrphanedStates::updateLeaseLimit(Duration leaseLimit) {
  repeatInterval_ = leaseLimit * kRepeatIntervalShare;
  maxDeferral_ = leaseLimit * kMaxDeferralShare;
}

void OrphanedStates::add(Instant now, Instant dueAt, Attempt attempt, bool yieldsToLaterAttempts) {
  if (entries_.size() >= kMaxEntries) entries_.pop_front();
  entries_.push_back({std::move(attempt), now, dueAt, now, yieldsToLaterAttempts});
  nextDue_ = std::min(nextDue_.value_or(dueAt), dueAt);
}

// A prefill whose connection broke may have completed just before. An error may have been a late second
// response to an earlier call on its connection, with the prefill still running: its state is released once
// its request is over.
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
  Instant& newest = newestAnswered_.try_emplace(engine, startedAt).first->second;
  newest = std::max(newest, startedAt);
}

void OrphanedStates::onFirstToken(const std::string& id, EngineId engine, Instant startedAt) {
  onEngineResponse(engine, startedAt);
  std::erase_if(entries_,
                [&id](const Entry& entry) { return entry.yieldsToLaterAttempts && entry.attempt.id == id; });
}

bool OrphanedStates::isLastRelease(const Entry& entry, Instant now) const {
  const Duration repeatFor = entry.yieldsToLaterAttempts ? kRepeatFailedFor : kRepeatFor;
  const bool repeats = repeatInterval_.count() > 0 && now + repeatInterval_ <= entry.givenUpAt + repeatFor;
  if (!repeats) return true;
  const auto newest = newestAnswered_.find(entry.attempt.engine);
  return newest != newestAnswered_.end() && newest->second >= entry.givenUpAt;
}

Instant OrphanedStates::deferralLimit(const Entry& entry, Instant now) const {
  if (entry.yieldsToLaterAttempts) return now + kDeferralInterval;
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
  if (entries_.empty()) newestAnswered_.clear();
  return due;
}

}  // namespace gannetcourse::router
