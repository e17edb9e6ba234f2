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

bool Counts::clean() const {
  return unanswered + answeredTwice + late + overlapping + effectsTwice + afterDrain + coldOver + pinned +
             tokenFaults ==
         0;
}

std::string Counts::line() const {
  const std::pair<const char*, std::uint64_t> all[] = {{"requests", requests},
                                                       {"served", served},
                                                       {"refused", refused},
                                                       {"failed", failed},
                                                       {"unanswered", unanswered},
                                                       {"answered_twice", answeredTwice},
                                                       {"late", late},
                                                       {"overlapping", overlapping},
                                                       {"effects_twice", effectsTwice},
                                                       {"after_drain", afterDrain},
                                                       {"cold_over", coldOver},
                                                       {"pinned", pinned},
                                                       {"token_faults", tokenFaults}};
  std::string line = "audit:";
  for (const auto& [name, value] : all) line += std::string(" ") + name + "=" + std::to_string(value);
  return line;
}

std::string Counts::streams() const {
  return "broken=" + std::to_string(broken) + " resumed=" + std::to_string(resumed) +
         " whole=" + std::to_string(whole) + " resumable=" + std::to_string(resumable) +
         " anew=" + std::to_string(static_cast<std::uint64_t>(anew));
}

void Ledger::found(const std::string& what) {
  if (findings_.size() < kMostFindings) findings_.push_back(what);
}

// ---- Clients ----
void Ledger::tryStarted(TryId id, std::size_t classIndex, double at, double deadline,
                        std::uint32_t mostTokens) {
  ++counts_.requests;
  Try& t = tries_[id] = {};
  t.classIndex = classIndex;
  t.startedAt = at;
  t.deadline = deadline;
  t.most = mostTokens;
}

void Ledger::tryToken(TryId id, std::uint32_t index, const std::string& text) {
  Try& t = tries_.at(id);
  const bool good = !t.ended && index == t.next && text == answerText(id, index);
  t.next = index + 1;
  if (good || t.faulty) return;
  t.faulty = true;
  ++counts_.tokenFaults;
  found("try " + std::to_string(id) + ": token " + std::to_string(index) +
        (t.ended ? " after the final status" : " out of order or wrong"));
}

void Ledger::tryEnded(TryId id, ClientEnd end, double at, double lag) {
  Try& t = tries_.at(id);
  if (std::exchange(t.ended, true)) {
    ++counts_.answeredTwice;
    return found("try " + std::to_string(id) + ": a second final answer");
  }
  t.end = end;
  counts_.served += end == ClientEnd::kServed;
  counts_.refused += end == ClientEnd::kRefused || end == ClientEnd::kRejected;
  counts_.failed += end == ClientEnd::kFailed;
  if (end == ClientEnd::kGaveUp) return;  // the client's own doing
  if (end == ClientEnd::kBroken) {
    ++counts_.unanswered;
    return found("try " + std::to_string(id) + ": no final answer");
  }
  if (at > t.deadline + std::max(0.02, lag)) {
    ++counts_.late;
    found("try " + std::to_string(id) + ": answered " + number(at - t.deadline) +
          " s after the client's time");
  }
  if (end == ClientEnd::kServed && t.next != answerLength(id, t.most) && !t.faulty) {
    t.faulty = true;
    ++counts_.tokenFaults;
    found("try " + std::to_string(id) + ": served with " + std::to_string(t.next) + " tokens of " +
          std::to_string(answerLength(id, t.most)));
  }
}

// ---- Engines ----
AttemptKey Ledger::attemptOpened(const EngineName& engine, const std::string& node,
                                 const std::string& request, TryId id, double at) {
  const AttemptKey key = ++lastAttempt_;
  open_[key] = {engine, request, id, at};
  openOf_[request].insert(key);
  const auto told = closed_.find({node, engine.id});
  if (told != closed_.end() && at > told->second + rules_.drainGrace + rules_.allowance) {
    ++counts_.afterDrain;
    found("engine " + std::to_string(engine.id) + ": sent to by " + node + " " + number(at - told->second) +
          " s after it was told that it drains or is gone");
  }
  return key;
}

void Ledger::attemptClosed(AttemptKey key, double at) {
  const auto it = open_.find(key);
  if (it == open_.end()) return;
  spans_[it->second.request].emplace_back(it->second.from, at);
  openOf_[it->second.request].erase(key);
  open_.erase(it);
}

std::map<AttemptKey, std::uint32_t> Ledger::othersOpen(AttemptKey key) const {
  std::map<AttemptKey, std::uint32_t> others;
  const auto mine = open_.find(key);
  if (mine == open_.end()) return others;
  for (const AttemptKey other : openOf_.at(mine->second.request)) {
    if (other < key) others[other] = open_.at(other).engine.id;
  }
  return others;
}

void Ledger::streamCut(TryId id, double at) {
  const auto it = tries_.find(id);
  if (it == tries_.end() || it->second.ended || at > it->second.deadline - kLastMoments) return;
  it->second.cut = true;
}

void Ledger::streamResumed(TryId id) {
  const auto it = tries_.find(id);
  if (it != tries_.end()) it->second.resumed = true;
}

void Ledger::promptRead(TryId id, double tokens) {
  const auto it = tries_.find(id);
  if (it != tries_.end() && it->second.cut) counts_.anew += tokens;
}

// A stream that its client left was not broken.
void Ledger::countBroken(const Try& t) {
  if (!t.cut || t.end == ClientEnd::kGaveUp) return;
  ++counts_.broken;
  if (rules_.classes.at(t.classIndex).effect != Idempotency::kIdempotent) return;
  ++counts_.resumable;
  counts_.resumed += t.resumed;
  counts_.whole += t.resumed && t.end == ClientEnd::kServed && !t.faulty;
}

void Ledger::effect(AttemptKey key, double at) {
  const auto it = open_.find(key);
  if (it == open_.end()) return;
  const Attempt& a = it->second;
  const auto tried = tries_.find(a.id);
  if (tried == tries_.end()) return;
  const AuditRules::Class& c = rules_.classes.at(tried->second.classIndex);
  auto& before = effects_[a.id / 16];
  bool twice = c.effect == Idempotency::kAtMostOnce && !before.empty();
  for (const Effected& e : before) {
    const bool sameGroup = c.group == DedupScope::kAll ||
                           (c.group == DedupScope::kZone && e.engine.zone == a.engine.zone) ||
                           (c.group == DedupScope::kCell && e.engine.cell == a.engine.cell);
    twice = twice || (c.effect == Idempotency::kIdempotencyKey && (!sameGroup || at > e.at + c.dedupWindow));
  }
  before.push_back({a.engine, at});
  if (!twice) return;
  ++counts_.effectsTwice;
  found("ask " + std::to_string(a.id / 16) + ": its effect happened again at engine " +
        std::to_string(a.engine.id));
}

void Ledger::stateHeld(const EngineName& engine, const std::string& request, const std::string& state,
                       double at, bool unheard) {
  held_[state] = {engine.id, request, at, unheard};
}

void Ledger::stateEnded(const std::string& state, double at) {
  const auto it = held_.find(state);
  if (it == held_.end()) return;
  checkPinned(it->second, at);
  held_.erase(it);
}

void Ledger::engineSilent(std::uint32_t engine) {
  for (auto& [name, state] : held_) state.exempt = state.exempt || state.engine == engine;
}

// The longest time of a state's life in which no attempt of its request was out.
void Ledger::checkPinned(const State& state, double until) {
  if (state.exempt) return;
  auto spans = spans_[state.request];
  for (const AttemptKey key : openOf_[state.request]) spans.emplace_back(open_.at(key).from, until);
  std::sort(spans.begin(), spans.end());
  double free = state.from, longest = 0;
  for (const auto& [from, to] : spans) {
    if (from > free) longest = std::max(longest, std::min(from, until) - free);
    free = std::max(free, to);
  }
  longest = std::max(longest, until - free);
  if (longest <= rules_.pinLimit + rules_.allowance) return;
  ++counts_.pinned;
  std::string attempts;
  for (const auto& [from, to] : spans)
    attempts += " " + number(from - state.from) + ".." + number(to - state.from);
  found("engine " + std::to_string(state.engine) + ": a state of " + state.request + " lay " +
        number(longest) + " s with no attempt out; it ended after " + number(until - state.from) +
        " s; attempts, from its start:" + attempts);
}

void Ledger::engineStarted(std::uint32_t engine, double at) {
  starts_[engine] = at;
  coldLoads_.erase(engine);
}

bool Ledger::coldLoad(std::uint32_t engine, const std::string& node, double weight, double able, double at) {
  const auto told = startsTold_.find({node, engine});
  const auto started = starts_.find(engine);
  const bool knew =
      told != startsTold_.end() && started != starts_.end() && told->second >= started->second - 0.01;
  auto& loads = coldLoads_[engine];
  loads.push_back({at, weight, knew});
  std::erase_if(loads, [&](const Load& l) { return l.at < at - rules_.coldWindow; });
  double all = 0, known = 0;
  for (const Load& l : loads) {
    all += l.weight;
    known += l.knew ? l.weight : 0;
  }
  if (all <= rules_.coldFactor * able * rules_.coldWindow + kColdSlack) return false;
  if (known >= all * 2 / 3) {
    ++counts_.coldOver;
    found("engine " + std::to_string(engine) + ": pushed over when cold, " + number(all) + " in a window");
  }
  loads.clear();
  return true;
}

// ---- Registry ----
void Ledger::toldClosed(const std::string& node, std::uint32_t engine, double at) {
  closed_.try_emplace({node, engine}, at);
}

void Ledger::toldOpen(const std::string& node, std::uint32_t engine) { closed_.erase({node, engine}); }

void Ledger::toldStart(const std::string& node, std::uint32_t engine, double startedAt) {
  startsTold_[{node, engine}] = startedAt;
}

Counts Ledger::finish(double at) {
  for (const auto& [id, t] : tries_) {
    countBroken(t);
    if (t.ended) continue;
    ++counts_.unanswered;
    found("try " + std::to_string(id) + ": never answered");
  }
  for (const auto& [name, state] : held_) {
    if (state.exempt) continue;
    checkPinned(state, at);
  }
  for (const auto& [key, attempt] : open_) {
    ++counts_.pinned;
    found("engine " + std::to_string(attempt.engine.id) + ": a call of " + attempt.request +
          " was left open");
  }
  return counts_;
}

}  // namespace gannetcourse::lab
