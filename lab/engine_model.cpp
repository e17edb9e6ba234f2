#include "engine_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gannetcourse::lab {
namespace {

std::uint64_t hashBits(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace

std::uint32_t answerLength(std::uint64_t seed, std::uint32_t maxTokens) {
  const std::uint32_t minTokens = std::max<std::uint32_t>(1, maxTokens / 3);
  return minTokens + static_cast<std::uint32_t>(hashBits(seed + 1) % (maxTokens - minTokens + 1));
}

std::string answerText(std::uint64_t seed, std::uint32_t index) {
  static constexpr const char* kWords[] = {"meter ", "reading ", "is ",  "within ", "the ", "usual ",
                                           "range ", "of ",      "its ", "route, ", "so ",  "bill "};
  return kWords[hashBits(seed * 0x9e3779b97f4a7c15ULL + index) % std::size(kWords)] + std::to_string(index);
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

// ---- Prefill ----
bool EngineModel::addPrefill(std::uint64_t jobId, PrefillJob job) {
  const int maxRequests = spec_.slots + spec_.maxQueued;
  if (static_cast<int>(prefills_.size()) >= maxRequests || !fits(job.promptTokens)) return false;
  job.remainingTokens = -1;  // computed when the job starts, because the cache may change until then
  prefills_.emplace_back(jobId, std::move(job));
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
    const double prefilled = std::min(job.remainingTokens, work);
    job.remainingTokens -= prefilled;
    work -= prefilled;
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
  for (auto& [onDone, cachedTokens] : done) onDone(cachedTokens);
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
  // Evicts the oldest cached prefixes until the memory suffices: states and streams have priority over them.
  while (!cacheOrder_.empty() && cachedTokens_ + memoryUsed() > spec_.memoryTokens) {
    cachedTokens_ -= cacheOrder_.back().second;
    cache_.erase(cacheOrder_.back().first);
    cacheOrder_.pop_back();
  }
}

// ---- Decode ----
int EngineModel::running() const {
  return static_cast<int>(std::count_if(decodes_.begin(), decodes_.end(), [](const auto& w) {
    return w.second.stage != DecodeJob::Stage::kQueued;
  }));
}

bool EngineModel::addDecode(std::uint64_t jobId, DecodeJob job) {
  const int maxRequests = spec_.slots + spec_.maxQueued;
  if (static_cast<int>(decodes_.size()) >= maxRequests) return false;
  decodes_.emplace_back(jobId, std::move(job));
  return true;
}

void EngineModel::admitDecodes() {
  int used = running();
  for (auto& [jobId, job] : decodes_) {
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

void EngineModel::stepDecodes(double span, double speedFactor) {
  admitDecodes();
  std::vector<std::uint64_t> jobIds;
  for (const auto& [jobId, job] : decodes_) {
    if (job.stage != DecodeJob::Stage::kQueued) jobIds.push_back(jobId);
  }
  for (const std::uint64_t jobId : jobIds) {
    const auto it =
        std::find_if(decodes_.begin(), decodes_.end(), [&](const auto& w) { return w.first == jobId; });
    if (it != decodes_.end() && it->second.stage != DecodeJob::Stage::kQueued)
      advance(jobId, it->second, span, speedFactor);
  }
}

void EngineModel::advance(std::uint64_t jobId, DecodeJob& job, double span, double speedFactor) {
  if (job.stage == DecodeJob::Stage::kFetching) {
    if (!advanceFetch(jobId, job, span)) return;
  } else if (job.stage == DecodeJob::Stage::kPrefilling) {
    job.prefillRemaining -= span * speedFactor * spec_.tokensPerSecond;
    if (job.prefillRemaining > 0) return;
    job.stage = DecodeJob::Stage::kDecoding;
    if (job.needsPrefill) job.onFetched();
  }
  decodeTokens(jobId, job, span, speedFactor);
}

// Returns whether the state has arrived. If the state is lost, removes the job and returns false.
bool EngineModel::advanceFetch(std::uint64_t jobId, DecodeJob& job, double span) {
  if (job.fetchRemaining < 0) {
    const std::optional<double> duration = job.startFetch();
    if (!duration) return false;
    if (*duration < 0) {
      const auto onStateLost = job.onStateLost;
      remove(jobId);
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

void EngineModel::decodeTokens(std::uint64_t jobId, DecodeJob& job, double span, double speedFactor) {
  const double contention = 1 + spec_.contention * running() / std::max(1, spec_.slots);
  job.tokensDue += span * speedFactor / (spec_.tokenTime * contention);
  while (job.tokensDue >= 1 && job.nextIndex < job.outputTokens) {
    if (!fits(1)) {
      if (preemptNewest() == jobId) return;
      continue;
    }
    job.tokensDue -= 1;
    decodeTokens_ += 1;
    job.memoryTokens += 1;
    job.onToken(job.nextIndex++);
  }
  if (job.nextIndex < job.outputTokens) return;
  const auto onDone = job.onDone;
  remove(jobId);
  onDone();
}

// Frees memory when it is full: puts the newest stream back into the queue, where it has to be prefilled
// again.
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

void EngineModel::remove(std::uint64_t jobId) {
  std::erase_if(prefills_, [&](const auto& r) { return r.first == jobId; });
  const auto it =
      std::find_if(decodes_.begin(), decodes_.end(), [&](const auto& w) { return w.first == jobId; });
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
  const double speedFactor = speed * capacityShare(now);
  if (spec_.role == Role::kPrefill) {
    stepPrefills(span * speedFactor * spec_.tokensPerSecond);
  } else {
    stepDecodes(speed > 0 ? span : 0, speedFactor);
  }
  if (history_.empty() || now - history_.back().first >= spec_.reportPeriod) snapshot(now);
}

void EngineModel::snapshot(double now) {
  LoadReport load;
  load.requestsInFlight = static_cast<double>(requestsInFlight());
  double waitingTokens = 0;
  int queued = 0;
  for (const auto& [jobId, job] : prefills_)
    waitingTokens += job.remainingTokens < 0 ? job.promptTokens : job.remainingTokens;
  for (const auto& [jobId, job] : decodes_) {
    queued += job.stage == DecodeJob::Stage::kQueued;
    if (job.stage != DecodeJob::Stage::kDecoding) waitingTokens += job.promptTokens;
  }
  queued += std::max(0, static_cast<int>(prefills_.size()) - spec_.slots);
  load.requestsQueued = queued;
  load.slotUtilization =
      std::min(1.0, static_cast<double>(spec_.role == Role::kPrefill ? prefills_.size() : running()) /
                        std::max(1, spec_.slots));
  load.memoryUtilization = std::min(1.0, memoryUsed() / spec_.memoryTokens);
  load.queuedPrefillTokens = waitingTokens;
  history_.emplace_back(now, load);
  while (history_.size() > 64) history_.pop_front();
}

LoadReport EngineModel::report(double now) const {
  LoadReport load;
  for (const auto& [at, report] : history_) {
    if (at <= now - spec_.reportDelay - extraReportDelay) load = report;
  }
  return load;
}

}  // namespace gannetcourse::lab
