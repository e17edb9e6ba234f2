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
  reads_.clear();
  writes_.clear();
  seats_.clear();
  keptOrder_.clear();
  kept_.clear();
  history_.clear();
  states_ = reserved_ = written_ = keptTokens_ = 0;
}

double EngineModel::capacityShare(double now) const {
  if (!startedAt_) return 1;
  const double age = std::max(0.0, now - *startedAt_) / spec_.warmAfter;
  return std::min(1.0, spec_.startCapacity + (1 - spec_.startCapacity) * age);
}

// ---- Reads ----
bool EngineModel::addRead(std::uint64_t name, ReadJob job) {
  const int most = spec_.slots + spec_.queue;
  if (static_cast<int>(reads_.size()) >= most || !fits(job.promptTokens)) return false;
  job.left = -1;  // what is kept counts when its turn comes
  reads_.emplace_back(name, std::move(job));
  return true;
}

void EngineModel::stepReads(double work) {
  std::vector<std::pair<std::function<void(double)>, double>> done;
  int slot = 0;
  for (auto it = reads_.begin(); it != reads_.end() && slot < spec_.slots && work > 0;) {
    ReadJob& job = it->second;
    if (job.left < 0) {
      job.kept = keptOf(job);
      job.left = job.promptTokens - job.kept + kReadOverhead;
    }
    const double part = std::min(job.left, work);
    job.left -= part;
    work -= part;
    if (job.left > 0) {
      ++slot;
      ++it;
      continue;
    }
    keep("s/" + job.session, job.session.empty() ? 0 : job.promptTokens);
    keep("p/" + job.prefix, job.prefix.empty() ? 0 : job.prefixTokens);
    done.emplace_back(std::move(job.done), job.kept);
    it = reads_.erase(it);
  }
  for (auto& [tell, kept] : done) tell(kept);
}

double EngineModel::keptOf(const ReadJob& job) {
  double found = 0;
  const auto session = kept_.find("s/" + job.session);
  if (!job.session.empty() && session != kept_.end()) found = session->second->second;
  const auto prefix = kept_.find("p/" + job.prefix);
  if (!job.prefix.empty() && prefix != kept_.end())
    found = std::max(found, std::min(prefix->second->second, job.prefixTokens));
  return std::min(found, job.promptTokens);
}

void EngineModel::keep(const std::string& key, double tokens) {
  if (tokens <= 0) return;
  const auto old = kept_.find(key);
  if (old != kept_.end()) {
    keptTokens_ -= old->second->second;
    keptOrder_.erase(old->second);
  }
  keptOrder_.emplace_front(key, tokens);
  kept_[key] = keptOrder_.begin();
  keptTokens_ += tokens;
  // Kept text gives way to states and streams, oldest first.
  while (!keptOrder_.empty() && keptTokens_ + memoryUsed() > spec_.memoryTokens) {
    keptTokens_ -= keptOrder_.back().second;
    kept_.erase(keptOrder_.back().first);
    keptOrder_.pop_back();
  }
}

// ---- Writes ----
int EngineModel::running() const {
  return static_cast<int>(std::count_if(writes_.begin(), writes_.end(), [](const auto& w) {
    return w.second.stage != WriteJob::Stage::kQueued;
  }));
}

bool EngineModel::addWrite(std::uint64_t name, WriteJob job) {
  const int most = spec_.slots + spec_.queue;
  if (static_cast<int>(writes_.size()) >= most) return false;
  writes_.emplace_back(name, std::move(job));
  return true;
}

void EngineModel::admitWrites() {
  int used = running();
  for (auto& [name, job] : writes_) {
    if (job.stage != WriteJob::Stage::kQueued) continue;
    if (used >= spec_.slots || !fits(job.promptTokens)) return;  // first come, first served
    job.held = job.promptTokens + (job.preempted ? job.next : 0);
    written_ += job.held;
    ++used;
    job.readLeft = job.mustRead || job.preempted ? job.held + kReadOverhead : 0;
    job.stage = job.readLeft > 0 ? WriteJob::Stage::kReading : WriteJob::Stage::kFetching;
    job.fetchLeft = -1;
  }
}

void EngineModel::stepWrites(double span, double share) {
  admitWrites();
  std::vector<std::uint64_t> names;
  for (const auto& [name, job] : writes_) {
    if (job.stage != WriteJob::Stage::kQueued) names.push_back(name);
  }
  for (const std::uint64_t name : names) {
    const auto it =
        std::find_if(writes_.begin(), writes_.end(), [&](const auto& w) { return w.first == name; });
    if (it != writes_.end() && it->second.stage != WriteJob::Stage::kQueued)
      advance(name, it->second, span, share);
  }
}

void EngineModel::advance(std::uint64_t name, WriteJob& job, double span, double share) {
  if (job.stage == WriteJob::Stage::kFetching) {
    if (job.fetchLeft < 0) {
      const std::optional<double> takes = job.fetch();
      if (!takes) return;
      if (*takes < 0) {
        const auto lost = job.lost;
        drop(name);
        return lost();
      }
      job.fetchLeft = *takes;
    }
    job.fetchLeft -= span;
    if (job.fetchLeft > 0) return;
    job.stage = WriteJob::Stage::kWriting;
    job.fetched();
  } else if (job.stage == WriteJob::Stage::kReading) {
    job.readLeft -= span * share * spec_.tokensPerSecond;
    if (job.readLeft > 0) return;
    job.stage = WriteJob::Stage::kWriting;
    if (job.mustRead) job.fetched();
  }
  const double crowd = 1 + spec_.crowding * running() / std::max(1, spec_.slots);
  job.owed += span * share / (spec_.tokenTime * crowd);
  while (job.owed >= 1 && job.next < job.outputTokens) {
    if (!fits(1)) {  // memory is full: the newest answer goes back into the queue and is read anew
      auto newest = std::find_if(writes_.rbegin(), writes_.rend(),
                                 [](const auto& w) { return w.second.stage == WriteJob::Stage::kWriting; });
      written_ -= std::exchange(newest->second.held, 0);
      newest->second.stage = WriteJob::Stage::kQueued;
      newest->second.preempted = true;
      if (newest->first == name) return;
      continue;
    }
    job.owed -= 1;
    written_ += 1;
    job.held += 1;
    job.token(job.next++);
  }
  if (job.next < job.outputTokens) return;
  const auto done = job.done;
  drop(name);
  done();
}

void EngineModel::drop(std::uint64_t name) {
  std::erase_if(reads_, [&](const auto& r) { return r.first == name; });
  const auto it =
      std::find_if(writes_.begin(), writes_.end(), [&](const auto& w) { return w.first == name; });
  if (it == writes_.end()) return;
  if (it->second.stage != WriteJob::Stage::kQueued) written_ -= it->second.held;
  writes_.erase(it);
}

bool EngineModel::reserve(const std::string& request, double tokens) {
  if (running() != static_cast<int>(writes_.size()) || running() >= spec_.slots || !fits(tokens))
    return false;
  unreserve(request);
  seats_[request] = tokens;
  reserved_ += tokens;
  return true;
}

void EngineModel::unreserve(const std::string& request) {
  const auto it = seats_.find(request);
  if (it == seats_.end()) return;
  reserved_ -= it->second;
  seats_.erase(it);
}

// ---- Time and reports ----
void EngineModel::step(double now, double span) {
  const double share = speed * capacityShare(now);
  if (spec_.role == Role::kPrefill) {
    stepReads(span * share * spec_.tokensPerSecond);
  } else {
    stepWrites(speed > 0 ? span : 0, share);
  }
  if (history_.empty() || now - history_.back().first >= spec_.reportPeriod) snapshot(now);
}

void EngineModel::snapshot(double now) {
  LoadReport told;
  told.requestsInFlight = static_cast<double>(inHand());
  double waiting = 0;
  int queued = 0;
  for (const auto& [name, job] : reads_) waiting += job.left < 0 ? job.promptTokens : job.left;
  for (const auto& [name, job] : writes_) {
    queued += job.stage == WriteJob::Stage::kQueued;
    if (job.stage != WriteJob::Stage::kWriting) waiting += job.promptTokens;
  }
  queued += std::max(0, static_cast<int>(reads_.size()) - spec_.slots);
  told.requestsQueued = queued;
  told.slotUtilization =
      std::min(1.0, static_cast<double>(spec_.role == Role::kPrefill ? reads_.size() : running()) /
                        std::max(1, spec_.slots));
  told.memoryUtilization = std::min(1.0, memoryUsed() / spec_.memoryTokens);
  told.queuedPrefillTokens = waiting;
  history_.emplace_back(now, told);
  while (history_.size() > 64) history_.pop_front();
}

LoadReport EngineModel::report(double now) const {
  LoadReport told;
  for (const auto& [at, report] : history_) {
    if (at <= now - spec_.reportDelay - extraDelay) told = report;
  }
  return told;
}

}  // namespace gannetcourse::lab
