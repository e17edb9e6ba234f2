#include "router/late_states.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::router {
namespace {

const Duration kRepeatFor{8};  // how long an engine may stand still and go on with an attempt afterwards
const Duration kRepeatFailedFor{2};  // ... and how long with one that seems to have ended with an error
const Duration kPutOff{0.05};        // while its request is busy
// Of the time that a state may stay held: between two releases, and where the later one is put off.
constexpr double kPeriodShare = 0.7;
constexpr double kLatestShare = 0.9;

}  // namespace

void LateStates::takeLimit(Duration pinLimit) {
  period_ = pinLimit * kPeriodShare;
  latest_ = pinLimit * kLatestShare;
}

void LateStates::add(Instant now, Instant dueAt, Attempt attempt, bool yields) {
  if (entries_.size() >= kMost) entries_.pop_front();
  entries_.push_back({std::move(attempt), now, dueAt, now, yields});
  nextDue_ = std::min(nextDue_.value_or(dueAt), dueAt);
}

// One whose connection broke may have ended well just before. An error may have been a late second answer to
// an earlier call on its connection, so that the read goes on: it is let go of once its request is over.
void LateStates::readEnded(Instant now, Attempt attempt, Outcome outcome, recovery::AttemptEnd ending) {
  const bool lost = outcome == Outcome::kReset || ending == recovery::AttemptEnd::kAbandoned;
  if (lost || outcome == Outcome::kError) add(now, now, std::move(attempt), !lost);
}

void LateStates::answered(EngineId engine, Instant sentAt) {
  if (entries_.empty()) return;
  Instant& newest = answered_.try_emplace(engine, sentAt).first->second;
  newest = std::max(newest, sentAt);
}

void LateStates::started(const std::string& id, EngineId engine, Instant sentAt) {
  answered(engine, sentAt);
  std::erase_if(entries_, [&id](const Entry& entry) { return entry.yields && entry.attempt.id == id; });
}

bool LateStates::endsWith(const Entry& entry, Instant now) const {
  const Duration repeatFor = entry.yields ? kRepeatFailedFor : kRepeatFor;
  if (period_.count() <= 0 || now + period_ > entry.givenUpAt + repeatFor) return true;
  const auto newest = answered_.find(entry.attempt.engine);
  return newest != answered_.end() && newest->second >= entry.givenUpAt;
}

Instant LateStates::latestOf(const Entry& entry, Instant now) const {
  return entry.yields ? now + kPutOff : entry.freeSince + latest_;
}

std::vector<LateStates::Attempt> LateStates::due(Instant now,
                                                 const std::function<bool(const std::string&)>& isBusy) {
  std::vector<Attempt> found;
  if (!nextDue_ || *nextDue_ > now) return found;
  nextDue_.reset();
  for (Entry& entry : std::exchange(entries_, {})) {
    const Instant latest = latestOf(entry, now);
    if (entry.dueAt <= now && now < latest && isBusy(entry.attempt.id)) {
      entry.dueAt = std::min(now + kPutOff, latest);
    } else if (entry.dueAt <= now) {
      found.push_back(entry.attempt);
      if (endsWith(entry, now)) continue;
      entry.freeSince = now;
      entry.dueAt = now + period_;
    }
    nextDue_ = std::min(nextDue_.value_or(entry.dueAt), entry.dueAt);
    entries_.push_back(std::move(entry));
  }
  if (entries_.empty()) answered_.clear();
  return found;
}

}  // namespace gannetcourse::router
