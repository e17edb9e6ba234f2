#include "ledger.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "engine_model.h"

namespace gannetcourse::lab {
namespace {

constexpr std::size_t kMostFindings = 300;
constexpr double kLastMoments = 1;  // seconds before a deadline in which nobody could still move a stream
constexpr double kColdSlack = 2;    // sends more than the budget, for chance

std::string number(double value) {
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

std::string AuditCounts::line() const {
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

std::string AuditCounts::streams() const {
  return "broken=" + std::to_string(broken) + " resumed=" + std::to_string(resumed) +
         " whole=" + std::to_string(completed) + " resumable=" + std::to_string(resumable) +
         " anew=" + std::to_string(static_cast<std::uint64_t>(prefilledAnew));
}

void Ledger::addFinding(const std::string& what) {
  if (findings_.size() < kMostFindings) findings_.push_back(what);
}

// ---- Clients ----
void Ledger::onClientAttemptStarted(ClientAttemptId id, std::size_t classIndex, double at, double deadline,
                                    std::uint32_t mostTokens) {
  ++counts_.requests;
  ClientAttempt& t = clientAttempts_[id] = {};
  t.classIndex = classIndex;
  t.startedAt = at;
  t.deadline = deadline;
  t.maxTokens = mostTokens;
}

void Ledger::onClientToken(ClientAttemptId id, std::uint32_t index, const std::string& text) {
  ClientAttempt& t = clientAttempts_.at(id);
  const bool good = !t.ended && index == t.nextIndex && text == answerText(id, index);
  t.nextIndex = index + 1;
  if (good || t.faulty) return;
  t.faulty = true;
  ++counts_.tokenFaults;
  addFinding("try " + std::to_string(id) + ": token " + std::to_string(index) +
             (t.ended ? " after the final status" : " out of order or wrong"));
}

void Ledger::onClientAttemptEnded(ClientAttemptId id, ClientEnd end, double at, double lag) {
  ClientAttempt& t = clientAttempts_.at(id);
  if (std::exchange(t.ended, true)) {
    ++counts_.secondResponses;
    return addFinding("try " + std::to_string(id) + ": a second final answer");
  }
  t.end = end;
  counts_.served += end == ClientEnd::kServed;
  counts_.rejected += end == ClientEnd::kRejected || end == ClientEnd::kInvalidRequest;
  counts_.failed += end == ClientEnd::kFailed;
  if (end == ClientEnd::kCancelled) return;  // the client's own doing
  if (end == ClientEnd::kConnectionLost) {
    ++counts_.unanswered;
    return addFinding("try " + std::to_string(id) + ": no final answer");
  }
  if (at > t.deadline + std::max(0.02, lag)) {
    ++counts_.late;
    addFinding("try " + std::to_string(id) + ": answered " + number(at - t.deadline) +
               " s after the client's time");
  }
  if (end == ClientEnd::kServed && t.nextIndex != answerLength(id, t.maxTokens) && !t.faulty) {
    t.faulty = true;
    ++counts_.tokenFaults;
    addFinding("try " + std::to_string(id) + ": served with " + std::to_string(t.nextIndex) + " tokens of " +
               std::to_string(answerLength(id, t.maxTokens)));
  }
}

// ---- Engines ----
EngineAttemptKey Ledger::onEngineAttemptOpened(const EngineName& engine, const std::string& node,
                                               const std::string& request, ClientAttemptId id, double at) {
  const EngineAttemptKey key = ++lastAttempt_;
  openAttempts_[key] = {engine, request, id, at};
  openAttemptsOf_[request].insert(key);
  const auto told = notServingSince_.find({node, engine.id});
  if (told != notServingSince_.end() && at > told->second + rules_.drainGrace + rules_.allowance) {
    ++counts_.afterDrain;
    addFinding("engine " + std::to_string(engine.id) + ": sent to by " + node + " " +
               number(at - told->second) + " s after it was told that it drains or is gone");
  }
  return key;
}

void Ledger::onEngineAttemptClosed(EngineAttemptKey key, double at) {
  const auto it = openAttempts_.find(key);
  if (it == openAttempts_.end()) return;
  spans_[it->second.request].emplace_back(it->second.from, at);
  openAttemptsOf_[it->second.request].erase(key);
  openAttempts_.erase(it);
}

std::map<EngineAttemptKey, std::uint32_t> Ledger::otherOpenAttempts(EngineAttemptKey key) const {
  std::map<EngineAttemptKey, std::uint32_t> others;
  const auto mine = openAttempts_.find(key);
  if (mine == openAttempts_.end()) return others;
  for (const EngineAttemptKey other : openAttemptsOf_.at(mine->second.request)) {
    if (other < key) others[other] = openAttempts_.at(other).engine.id;
  }
  return others;
}

void Ledger::onStreamCut(ClientAttemptId id, double at) {
  const auto it = clientAttempts_.find(id);
  if (it == clientAttempts_.end() || it->second.ended || at > it->second.deadline - kLastMoments) return;
  it->second.cut = true;
}

void Ledger::onStreamResumed(ClientAttemptId id) {
  const auto it = clientAttempts_.find(id);
  if (it != clientAttempts_.end()) it->second.resumed = true;
}

void Ledger::onPromptPrefilled(ClientAttemptId id, double tokens) {
  const auto it = clientAttempts_.find(id);
  if (it != clientAttempts_.end() && it->second.cut) counts_.prefilledAnew += tokens;
}

// A stream that its client left was not broken.
void Ledger::countBroken(const ClientAttempt& t) {
  if (!t.cut || t.end == ClientEnd::kCancelled) return;
  ++counts_.broken;
  if (rules_.classes.at(t.classIndex).idempotency != Idempotency::kIdempotent) return;
  ++counts_.resumable;
  counts_.resumed += t.resumed;
  counts_.completed += t.resumed && t.end == ClientEnd::kServed && !t.faulty;
}

void Ledger::onEffect(EngineAttemptKey key, double at) {
  const auto it = openAttempts_.find(key);
  if (it == openAttempts_.end()) return;
  const EngineAttempt& a = it->second;
  const auto tried = clientAttempts_.find(a.id);
  if (tried == clientAttempts_.end()) return;
  const AuditRules::Class& c = rules_.classes.at(tried->second.classIndex);
  auto& before = effects_[a.id / 16];
  bool twice = c.idempotency == Idempotency::kAtMostOnce && !before.empty();
  for (const Effected& e : before) {
    const bool sameGroup = c.dedupScope == DedupScope::kAll ||
                           (c.dedupScope == DedupScope::kZone && e.engine.zone == a.engine.zone) ||
                           (c.dedupScope == DedupScope::kCell && e.engine.cell == a.engine.cell);
    twice =
        twice || (c.idempotency == Idempotency::kIdempotencyKey && (!sameGroup || at > e.at + c.dedupWindow));
  }
  before.push_back({a.engine, at});
  if (!twice) return;
  ++counts_.duplicateEffects;
  addFinding("ask " + std::to_string(a.id / 16) + ": its effect happened again at engine " +
             std::to_string(a.engine.id));
}

void Ledger::onStateCreated(const EngineName& engine, const std::string& request, const std::string& state,
                            double at, bool unheard) {
  states_[state] = {engine.id, request, at, unheard};
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

// The longest time of a state's life in which no attempt of its request was out.
void Ledger::checkStateLease(const State& state, double until) {
  if (state.exempt) return;
  auto spans = spans_[state.request];
  for (const EngineAttemptKey key : openAttemptsOf_[state.request])
    spans.emplace_back(openAttempts_.at(key).from, until);
  std::sort(spans.begin(), spans.end());
  double free = state.from, longest = 0;
  for (const auto& [from, to] : spans) {
    if (from > free) longest = std::max(longest, std::min(from, until) - free);
    free = std::max(free, to);
  }
  longest = std::max(longest, until - free);
  if (longest <= rules_.stateLeaseLimit + rules_.allowance) return;
  ++counts_.expiredStateLeases;
  std::string attempts;
  for (const auto& [from, to] : spans)
    attempts += " " + number(from - state.from) + ".." + number(to - state.from);
  addFinding("engine " + std::to_string(state.engine) + ": a state of " + state.request + " lay " +
             number(longest) + " s with no attempt out; it ended after " + number(until - state.from) +
             " s; attempts, from its start:" + attempts);
}

void Ledger::onEngineStarted(std::uint32_t engine, double at) {
  starts_[engine] = at;
  slowStartLoads_.erase(engine);
}

bool Ledger::onSlowStartLoad(std::uint32_t engine, const std::string& node, double weight, double able,
                             double at) {
  const auto told = notifiedStarts_.find({node, engine});
  const auto started = starts_.find(engine);
  const bool knew =
      told != notifiedStarts_.end() && started != starts_.end() && told->second >= started->second - 0.01;
  auto& loads = slowStartLoads_[engine];
  loads.push_back({at, weight, knew});
  std::erase_if(loads, [&](const Load& l) { return l.at < at - rules_.slowStartWindow; });
  double all = 0, known = 0;
  for (const Load& l : loads) {
    all += l.weight;
    known += l.knew ? l.weight : 0;
  }
  if (all <= rules_.slowStartOverloadFactor * able * rules_.slowStartWindow + kColdSlack) return false;
  if (known >= all * 2 / 3) {
    ++counts_.slowStartOverloads;
    addFinding("engine " + std::to_string(engine) + ": pushed over when cold, " + number(all) +
               " in a window");
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

void Ledger::onNotifiedStart(const std::string& node, std::uint32_t engine, double startedAt) {
  notifiedStarts_[{node, engine}] = startedAt;
}

AuditCounts Ledger::finish(double at) {
  for (const auto& [id, t] : clientAttempts_) {
    countBroken(t);
    if (t.ended) continue;
    ++counts_.unanswered;
    addFinding("try " + std::to_string(id) + ": never answered");
  }
  for (const auto& [name, state] : states_) {
    if (state.exempt) continue;
    checkStateLease(state, at);
  }
  for (const auto& [key, attempt] : openAttempts_) {
    ++counts_.expiredStateLeases;
    addFinding("engine " + std::to_string(attempt.engine.id) + ": a call of " + attempt.request +
               " was left open");
  }
  return counts_;
}

}  // namespace gannetcourse::lab
