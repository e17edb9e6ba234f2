#include "engine_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gannetcourse::lab {
namespace {

std::uint64_t mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace

std::uint32_t answerLength(std::uint64_t seed, std::uint32_t most) {
  const std::uint32_t least = std::max<std::uint32_t>(1, most / 3);
  return least + static_cast<std::uint32_t>(mix(seed + 1) % (most - least + 1));
}

std::string answerText(std::uint64_t seed, std::uint32_t index) {
  static constexpr const char* kWords[] = {"meter ", "reading ", "is ",  "within ", "the ", "usual ",
                                           "range ", "of ",      "its ", "route, ", "so ",  "bill "};
  return kWords[mix(seed * 0x9e3779b97f4a7c15ULL + index) % std::size(kWords)] + std::to_string(index);
}

void EngineModel::restart(std::optional<double> startedAt) {
  startedAt_ = startedAt;
  prefills_.clear();
  decodes_.clear();
  reservations_.clear();
  cacheOrder_.clear();
  cache_.clear();
  history_.clear();
  stateTokens_ = reservedTokens_ = decodeTokens_ = cachedTokens_ = 0;
}

double EngineModel::capacityShare(double now) const {
  if (!startedAt_) return 1;
  const double age = std::max(0.0, now - *startedAt_) / spec_.slowStartDuration;
  return std::min(1.0, spec_.initialCapacity + (1 - spec_.initialCapacity) * age);
}

// ---- Reads ----
bool EngineModel::addPrefill(std::uint64_t name, PrefillJob job) {
  const int most = spec_.slots + spec_.maxQueued;
  if (static_cast<int>(prefills_.size()) >= most || !fits(job.promptTokens)) return false;
  job.remainingTokens = -1;  // what is kept counts when its turn comes
  prefills_.emplace_back(name, std::move(job));
  return true;
}

void EngineModel::stepPrefills(double work) {
  std::vector<std::pair<std::function<void(double)>, double>> done;
  int slot = 0;
  for (auto it = prefills_.begin(); it != prefills_.end() && slot < spec_.slots && work > 0;) {
    PrefillJob& job = it->second;
    if (job.remainingTokens < 0) {
      job.cachedTokens = cachedTokensOf(job);
      job.remainingTokens = job.promptTokens - job.cachedTokens + kPrefillOverheadTokens;
    }
    const double part = std::min(job.remainingTokens, work);
    job.remainingTokens -= part;
    work -= part;
    if (job.remainingTokens > 0) {
      ++slot;
      ++it;
      continue;
    }
    cachePrefix("s/" + job.session, job.session.empty() ? 0 : job.promptTokens);
    cachePrefix("p/" + job.prefix, job.prefix.empty() ? 0 : job.prefixTokens);
    done.emplace_back(std::move(job.onDone), job.cachedTokens);
    it = prefills_.erase(it);
  }
  for (auto& [tell, kept] : done) tell(kept);
}

double EngineModel::cachedTokensOf(const PrefillJob& job) {
  double found = 0;
  const auto session = cache_.find("s/" + job.session);
  if (!job.session.empty() && session != cache_.end()) found = session->second->second;
  const auto prefix = cache_.find("p/" + job.prefix);
  if (!job.prefix.empty() && prefix != cache_.end())
    found = std::max(found, std::min(prefix->second->second, job.prefixTokens));
  return std::min(found, job.promptTokens);
}

void EngineModel::cachePrefix(const std::string& key, double tokens) {
  if (tokens <= 0) return;
  const auto old = cache_.find(key);
  if (old != cache_.end()) {
    cachedTokens_ -= old->second->second;
    cacheOrder_.erase(old->second);
  }
  cacheOrder_.emplace_front(key, tokens);
  cache_[key] = cacheOrder_.begin();
  cachedTokens_ += tokens;
  // Kept text gives way to states and streams, oldest first.
  while (!cacheOrder_.empty() && cachedTokens_ + memoryUsed() > spec_.memoryTokens) {
    cachedTokens_ -= cacheOrder_.back().second;
    cache_.erase(cacheOrder_.back().first);
    cacheOrder_.pop_back();
  }
}

// ---- Writes ----
int EngineModel::running() const {
  return static_cast<int>(std::count_if(decodes_.begin(), decodes_.end(), [](const auto& w) {
    return w.second.stage != DecodeJob::Stage::kQueued;
  }));
}

bool EngineModel::addDecode(std::uint64_t name, DecodeJob job) {
  const int most = spec_.slots + spec_.maxQueued;
  if (static_cast<int>(decodes_.size()) >= most) return false;
  decodes_.emplace_back(name, std::move(job));
  return true;
}

void EngineModel::admitDecodes() {
  int used = running();
  for (auto& [name, job] : decodes_) {
    if (job.stage != DecodeJob::Stage::kQueued) continue;
    if (used >= spec_.slots || !fits(job.promptTokens)) return;  // first come, first served
    job.memoryTokens = job.promptTokens + (job.preempted ? job.nextIndex : 0);
    decodeTokens_ += job.memoryTokens;
    ++used;
    job.prefillRemaining = job.needsPrefill || job.preempted ? job.memoryTokens + kPrefillOverheadTokens : 0;
    job.stage = job.prefillRemaining > 0 ? DecodeJob::Stage::kPrefilling : DecodeJob::Stage::kFetching;
    job.fetchRemaining = -1;
  }
}

void EngineModel::stepDecodes(double span, double share) {
  admitDecodes();
  std::vector<std::uint64_t> names;
  for (const auto& [name, job] : decodes_) {
    if (job.stage != DecodeJob::Stage::kQueued) names.push_back(name);
  }
  for (const std::uint64_t name : names) {
    const auto it =
        std::find_if(decodes_.begin(), decodes_.end(), [&](const auto& w) { return w.first == name; });
    if (it != decodes_.end() && it->second.stage != DecodeJob::Stage::kQueued)
      advance(name, it->second, span, share);
  }
}

void EngineModel::advance(std::uint64_t name, DecodeJob& job, double span, double share) {
  if (job.stage == DecodeJob::Stage::kFetching) {
    if (!advanceFetch(name, job, span)) return;
  } else if (job.stage == DecodeJob::Stage::kPrefilling) {
    job.prefillRemaining -= span * share * spec_.tokensPerSecond;
    if (job.prefillRemaining > 0) return;
    job.stage = DecodeJob::Stage::kDecoding;
    if (job.needsPrefill) job.onFetched();
  }
  decodeTokens(name, job, span, share);
}

// Whether the state has arrived. False also where it is lost: then the job is gone.
bool EngineModel::advanceFetch(std::uint64_t name, DecodeJob& job, double span) {
  if (job.fetchRemaining < 0) {
    const std::optional<double> duration = job.startFetch();
    if (!duration) return false;
    if (*duration < 0) {
      const auto onStateLost = job.onStateLost;
      remove(name);
      onStateLost();
      return false;
    }
    job.fetchRemaining = *duration;
  }
  job.fetchRemaining -= span;
  if (job.fetchRemaining > 0) return false;
  job.stage = DecodeJob::Stage::kDecoding;
  job.onFetched();
  return true;
}

void EngineModel::decodeTokens(std::uint64_t name, DecodeJob& job, double span, double share) {
  const double contention = 1 + spec_.contention * running() / std::max(1, spec_.slots);
  job.tokensDue += span * share / (spec_.tokenTime * contention);
  while (job.tokensDue >= 1 && job.nextIndex < job.outputTokens) {
    if (!fits(1)) {
      if (preemptNewest() == name) return;
      continue;
    }
    job.tokensDue -= 1;
    decodeTokens_ += 1;
    job.memoryTokens += 1;
    job.onToken(job.nextIndex++);
  }
  if (job.nextIndex < job.outputTokens) return;
  const auto onDone = job.onDone;
  remove(name);
  onDone();
}

// Memory is full: the newest stream goes back into the queue and is prefilled anew.
std::uint64_t EngineModel::preemptNewest() {
  const auto newest = std::find_if(decodes_.rbegin(), decodes_.rend(), [](const auto& entry) {
    return entry.second.stage == DecodeJob::Stage::kDecoding;
  });
  DecodeJob& job = newest->second;
  decodeTokens_ -= std::exchange(job.memoryTokens, 0);
  job.stage = DecodeJob::Stage::kQueued;
  job.preempted = true;
  return newest->first;
}

void EngineModel::remove(std::uint64_t name) {
  std::erase_if(prefills_, [&](const auto& r) { return r.first == name; });
  const auto it =
      std::find_if(decodes_.begin(), decodes_.end(), [&](const auto& w) { return w.first == name; });
  if (it == decodes_.end()) return;
  if (it->second.stage != DecodeJob::Stage::kQueued) decodeTokens_ -= it->second.memoryTokens;
  decodes_.erase(it);
}

bool EngineModel::reserve(const std::string& request, double tokens) {
  if (running() != static_cast<int>(decodes_.size()) || running() >= spec_.slots || !fits(tokens))
    return false;
  releaseReservation(request);
  reservations_[request] = tokens;
  reservedTokens_ += tokens;
  return true;
}

void EngineModel::releaseReservation(const std::string& request) {
  const auto it = reservations_.find(request);
  if (it == reservations_.end()) return;
  reservedTokens_ -= it->second;
  reservations_.erase(it);
}

// ---- Time and reports ----
void EngineModel::step(double now, double span) {
  const double share = speed * capacityShare(now);
  if (spec_.role == Role::kPrefill) {
    stepPrefills(span * share * spec_.tokensPerSecond);
  } else {
    stepDecodes(speed > 0 ? span : 0, share);
  }
  if (history_.empty() || now - history_.back().first >= spec_.reportPeriod) snapshot(now);
}

void EngineModel::snapshot(double now) {
  LoadReport load;
  load.requestsInFlight = static_cast<double>(requestsInFlight());
  double waiting = 0;
  int queued = 0;
  for (const auto& [name, job] : prefills_)
    waiting += job.remainingTokens < 0 ? job.promptTokens : job.remainingTokens;
  for (const auto& [name, job] : decodes_) {
    queued += job.stage == DecodeJob::Stage::kQueued;
    if (job.stage != DecodeJob::Stage::kDecoding) waiting += job.promptTokens;
  }
  queued += std::max(0, static_cast<int>(prefills_.size()) - spec_.slots);
  load.requestsQueued = queued;
  load.slotUtilization =
      std::min(1.0, static_cast<double>(spec_.role == Role::kPrefill ? prefills_.size() : running()) /
                        std::max(1, spec_.slots));
  load.memoryUtilization = std::min(1.0, memoryUsed() / spec_.memoryTokens);
  load.queuedPrefillTokens = waiting;
  history_.emplace_back(now, load);
  while (history_.size() > 64) history_.pop_front();
}

LoadReport EngineModel::report(double now) const {
  LoadReport load;
  for (const auto& [at, report] : history_) {
    if (at <= now - spec_.reportDelay - extraDelay) load = report;
  }
  return load;
}

}  // namespace gannetcourse::lab
