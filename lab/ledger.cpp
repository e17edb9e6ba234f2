#include "ledger.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "engine_model.h"

namespace gannetcourse::lab {
namespace {

constexpr std::size_t kMaxFindings = 300;
// Streams interrupted with less time (seconds) left until their deadline need not be continued.
constexpr double kMinTimeToContinue = 1;
constexpr double kSlowStartSlack = 2;  // requests above the limit, for random variation of the load

std::string formatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", value);
  return text;
}

}  // namespace

bool AuditCounts::clean() const {
  return unanswered + secondResponses + late + overlapping + duplicateEffects + afterDrain +
             slowStartOverloads + expiredStateLeases + tokenFaults ==
         0;
}

std::string AuditCounts::summary() const {
  const std::pair<const char*, std::uint64_t> all[] = {{"requests", requests},
                                                       {"served", served},
                                                       {"refused", rejected},
                                                       {"failed", failed},
                                                       {"unanswered", unanswered},
                                                       {"answered_twice", secondResponses},
                                                       {"late", late},
                                                       {"overlapping", overlapping},
                                                       {"effects_twice", duplicateEffects},
                                                       {"after_drain", afterDrain},
                                                       {"cold_over", slowStartOverloads},
                                                       {"pinned", expiredStateLeases},
                                                       {"token_faults", tokenFaults}};
  std::string line = "audit:";
  for (const auto& [name, value] : all) line += std::string(" ") + name + "=" + std::to_string(value);
  return line;
}

std::string AuditCounts::streamSummary() const {
  return "broken=" + std::to_string(broken) + " resumed=" + std::to_string(resumed) +
         " whole=" + std::to_string(completed) + " resumable=" + std::to_string(resumable) +
         " anew=" + std::to_string(static_cast<std::uint64_t>(reprefilledTokens));
}

void Ledger::addFinding(const std::string& text) {
  if (findings_.size() < kMaxFindings) findings_.push_back(text);
}

// ---- Clients ----
void Ledger::onClientAttemptStarted(ClientAttemptId id, std::size_t classIndex, double at, double deadline,
                                    std::uint32_t maxTokens) {
  ++counts_.requests;
  ClientAttempt& attempt = clientAttempts_[id] = {};
  attempt.classIndex = classIndex;
  attempt.startedAt = at;
  attempt.deadline = deadline;
  attempt.maxTokens = maxTokens;
}

void Ledger::onClientToken(ClientAttemptId id, std::uint32_t index, const std::string& text) {
  ClientAttempt& attempt = clientAttempts_.at(id);
  const bool good = !attempt.ended && index == attempt.nextIndex && text == answerText(id, index);
  attempt.nextIndex = index + 1;
  if (good || attempt.hasTokenFault) return;
  attempt.hasTokenFault = true;
  ++counts_.tokenFaults;
  addFinding("client attempt " + std::to_string(id) + ": token " + std::to_string(index) +
             (attempt.ended ? " came after the final status" : " has a wrong index or text"));
}

void Ledger::onClientAttemptEnded(ClientAttemptId id, ClientEnd end, double at, double lag) {
  ClientAttempt& attempt = clientAttempts_.at(id);
  if (std::exchange(attempt.ended, true)) {
    ++counts_.secondResponses;
    return addFinding("client attempt " + std::to_string(id) + ": received a second final response");
  }
  attempt.end = end;
  counts_.served += end == ClientEnd::kServed;
  counts_.rejected += end == ClientEnd::kRejected || end == ClientEnd::kInvalidRequest;
  counts_.failed += end == ClientEnd::kFailed;
  if (end == ClientEnd::kCancelled) return;  // the client cancelled: no response is expected
  if (end == ClientEnd::kConnectionLost) {
    ++counts_.unanswered;
    return addFinding("client attempt " + std::to_string(id) +
                      ": the connection ended without a final response");
  }
  if (at > attempt.deadline + std::max(0.02, lag)) {
    ++counts_.late;
    addFinding("client attempt " + std::to_string(id) + ": final response came " +
               formatNumber(at - attempt.deadline) + " s after the client's deadline");
  }
  if (end == ClientEnd::kServed && attempt.nextIndex != answerLength(id, attempt.maxTokens) &&
      !attempt.hasTokenFault) {
    attempt.hasTokenFault = true;
    ++counts_.tokenFaults;
    addFinding("client attempt " + std::to_string(id) + ": ended as served after " +
               std::to_string(attempt.nextIndex) + " tokens, expected " +
               std::to_string(answerLength(id, attempt.maxTokens)));
  }
}

// ---- Engines ----
EngineAttemptKey Ledger::onEngineAttemptOpened(const EngineInfo& engine, const std::string& node,
                                               const std::string& request, ClientAttemptId id, double at) {
  const EngineAttemptKey key = ++lastAttempt_;
  openAttempts_[key] = {engine, request, id, at};
  openAttemptsOf_[request].insert(key);
  const auto notified = notServingSince_.find({node, engine.id});
  if (notified != notServingSince_.end() && at > notified->second + rules_.drainGrace + rules_.allowance) {
    ++counts_.afterDrain;
    addFinding("engine " + std::to_string(engine.id) + ": received an attempt from " + node + " " +
               formatNumber(at - notified->second) +
               " s after the node was notified that the engine is draining or removed");
  }
  return key;
}

void Ledger::onEngineAttemptClosed(EngineAttemptKey key, double at) {
  const auto it = openAttempts_.find(key);
  if (it == openAttempts_.end()) return;
  attemptSpans_[it->second.request].emplace_back(it->second.from, at);
  openAttemptsOf_[it->second.request].erase(key);
  openAttempts_.erase(it);
}

std::map<EngineAttemptKey, std::uint32_t> Ledger::otherOpenAttempts(EngineAttemptKey key) const {
  std::map<EngineAttemptKey, std::uint32_t> others;
  const auto own = openAttempts_.find(key);
  if (own == openAttempts_.end()) return others;
  for (const EngineAttemptKey other : openAttemptsOf_.at(own->second.request)) {
    if (other < key) others[other] = openAttempts_.at(other).engine.id;
  }
  return others;
}

void Ledger::onStreamInterrupted(ClientAttemptId id, double at) {
  const auto it = clientAttempts_.find(id);
  if (it == clientAttempts_.end() || it->second.ended || at > it->second.deadline - kMinTimeToContinue)
    return;
  it->second.interrupted = true;
}

void Ledger::onStreamContinued(ClientAttemptId id) {
  const auto it = clientAttempts_.find(id);
  if (it != clientAttempts_.end()) it->second.resumed = true;
}

void Ledger::onPromptPrefilled(ClientAttemptId id, double tokens) {
  const auto it = clientAttempts_.find(id);
  if (it != clientAttempts_.end() && it->second.interrupted) counts_.reprefilledTokens += tokens;
}

// Streams that the client cancelled do not count.
void Ledger::countBrokenStream(const ClientAttempt& attempt) {
  if (!attempt.interrupted || attempt.end == ClientEnd::kCancelled) return;
  ++counts_.broken;
  if (rules_.classes.at(attempt.classIndex).idempotency != Idempotency::kIdempotent) return;
  ++counts_.resumable;
  counts_.resumed += attempt.resumed;
  counts_.completed += attempt.resumed && attempt.end == ClientEnd::kServed && !attempt.hasTokenFault;
}

void Ledger::onEffect(EngineAttemptKey key, double at) {
  const auto it = openAttempts_.find(key);
  if (it == openAttempts_.end()) return;
  const EngineAttempt& a = it->second;
  const auto clientAttempt = clientAttempts_.find(a.id);
  if (clientAttempt == clientAttempts_.end()) return;
  const AuditRules::Class& c = rules_.classes.at(clientAttempt->second.classIndex);
  auto& earlierEffects = effects_[a.id / 16];
  bool repeated = c.idempotency == Idempotency::kAtMostOnce && !earlierEffects.empty();
  for (const Effect& e : earlierEffects) {
    const bool sameGroup = c.dedupScope == DedupScope::kAll ||
                           (c.dedupScope == DedupScope::kZone && e.engine.zone == a.engine.zone) ||
                           (c.dedupScope == DedupScope::kCell && e.engine.cell == a.engine.cell);
    repeated = repeated ||
               (c.idempotency == Idempotency::kIdempotencyKey && (!sameGroup || at > e.at + c.dedupWindow));
  }
  earlierEffects.push_back({a.engine, at});
  if (!repeated) return;
  ++counts_.duplicateEffects;
  addFinding("request " + std::to_string(a.id / 16) + ": its effect was repeated at engine " +
             std::to_string(a.engine.id));
}

void Ledger::onStateCreated(const EngineInfo& engine, const std::string& request, const std::string& state,
                            double at, bool nodeUnreachable) {
  states_[state] = {engine.id, request, at, nodeUnreachable};
}

void Ledger::onStateReleased(const std::string& state, double at) {
  const auto it = states_.find(state);
  if (it == states_.end()) return;
  checkStateLease(it->second, at);
  states_.erase(it);
}

void Ledger::onEngineSilent(std::uint32_t engine) {
  for (auto& [name, state] : states_) state.exempt = state.exempt || state.engine == engine;
}

// Reports a violation if an engine held the state for longer than the lease limit while the request that the
// state belongs to had no open attempt.
void Ledger::checkStateLease(const State& state, double until) {
  if (state.exempt) return;
  auto spans = attemptSpans_[state.request];
  for (const EngineAttemptKey key : openAttemptsOf_[state.request])
    spans.emplace_back(openAttempts_.at(key).from, until);
  std::sort(spans.begin(), spans.end());
  double idleSince = state.from, longestIdle = 0;
  for (const auto& [from, to] : spans) {
    if (from > idleSince) longestIdle = std::max(longestIdle, std::min(from, until) - idleSince);
    idleSince = std::max(idleSince, to);
  }
  longestIdle = std::max(longestIdle, until - idleSince);
  if (longestIdle <= rules_.stateLeaseLimit + rules_.allowance) return;
  ++counts_.expiredStateLeases;
  std::string attempts;
  for (const auto& [from, to] : spans)
    attempts += " " + formatNumber(from - state.from) + ".." + formatNumber(to - state.from);
  addFinding("engine " + std::to_string(state.engine) + ": a state of " + state.request + " was held for " +
             formatNumber(longestIdle) + " s with no open attempt; it was dropped after " +
             formatNumber(until - state.from) + " s; attempts, in seconds from its creation:" + attempts);
}

void Ledger::onEngineStarted(std::uint32_t engine, double at) {
  starts_[engine] = at;
  slowStartLoads_.erase(engine);
}

bool Ledger::onSlowStartLoad(std::uint32_t engine, const std::string& node, double weight, double capacity,
                             double at) {
  const auto notified = notifiedStarts_.find({node, engine});
  const auto started = starts_.find(engine);
  const bool nodeNotified = notified != notifiedStarts_.end() && started != starts_.end() &&
                            notified->second >= started->second - 0.01;
  auto& loads = slowStartLoads_[engine];
  loads.push_back({at, weight, nodeNotified});
  std::erase_if(loads, [&](const Load& l) { return l.at < at - rules_.slowStartWindow; });
  double totalWeight = 0, notifiedWeight = 0;
  for (const Load& l : loads) {
    totalWeight += l.weight;
    notifiedWeight += l.nodeNotified ? l.weight : 0;
  }
  if (totalWeight <= rules_.slowStartOverloadFactor * capacity * rules_.slowStartWindow + kSlowStartSlack)
    return false;
  if (notifiedWeight >= totalWeight * 2 / 3) {
    ++counts_.slowStartOverloads;
    addFinding("engine " + std::to_string(engine) + ": overloaded in slow start by notified nodes, load " +
               formatNumber(totalWeight) + " in one window");
  }
  loads.clear();
  return true;
}

// ---- Registry ----
void Ledger::onNotifiedNotServing(const std::string& node, std::uint32_t engine, double at) {
  notServingSince_.try_emplace({node, engine}, at);
}

void Ledger::onNotifiedServing(const std::string& node, std::uint32_t engine) {
  notServingSince_.erase({node, engine});
}

void Ledger::onNotifiedStart(const std::string& node, std::uint32_t engine, double at) {
  notifiedStarts_[{node, engine}] = at;
}

AuditCounts Ledger::finish(double at) {
  for (const auto& [id, attempt] : clientAttempts_) {
    countBrokenStream(attempt);
    if (attempt.ended) continue;
    ++counts_.unanswered;
    addFinding("client attempt " + std::to_string(id) + " has no final response");
  }
  for (const auto& [name, state] : states_) {
    if (state.exempt) continue;
    checkStateLease(state, at);
  }
  for (const auto& [key, attempt] : openAttempts_) {
    ++counts_.expiredStateLeases;
    addFinding("engine " + std::to_string(attempt.engine.id) + ": a call of " + attempt.request +
               " is still open at the end");
  }
  return counts_;
}

}  // namespace gannetcourse::lab
