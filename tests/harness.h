// A host for one Policy without I/O: feeds events, keeps the actions of the last event and of all events.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::test {

inline Settings twoStageSettings() {
  Settings s;
  s.seed = 7;
  s.routerCount = 1;
  ClassSettings c;
  c.ttftObjective = Duration(1);
  c.interTokenObjective = Duration(0.05);
  c.lateWeight = 0.2;
  s.classes = {c};
  s.cancelAllowed = true;
  s.clientsHonorRetryAfter = true;
  s.maxAttempts = 6;
  s.maxRetryAfter = Duration(1);
  s.stateLeaseLimit = Duration(0.5);
  s.tick = Duration(0.004);
  s.slowStartWindow = Duration(2);
  s.slowStartOverloadFactor = 2.5;
  s.slowStartInitialCapacity = 0.3;
  s.slowStartDuration = Duration(10);
  return s;
}

inline EngineEntry engineEntry(std::uint32_t id, Role role, std::uint32_t cell = 0, std::uint32_t zone = 0) {
  EngineEntry e;
  e.id = {id};
  e.role = role;
  e.cell = cell;
  e.zone = zone;
  e.memoryTokens = 200000;
  return e;
}

class PolicyHost {
 public:
  explicit PolicyHost(const Settings& settings) : policy(settings) {}

  std::vector<Action>& feed(double at, const Event& event) {
    now = at;
    last.clear();
    policy.handle(Instant(Duration(at)), event, last);
    all.insert(all.end(), last.begin(), last.end());
    return last;
  }

  std::vector<Action>& engineList(double at, std::vector<EngineEntry> entries,
                                  EngineListUpdate::Scope scope = EngineListUpdate::Scope::kSnapshot) {
    return feed(at, EngineListUpdate{scope, std::move(entries)});
  }

  std::vector<Action>& request(double at, const std::string& id, double prompt = 1000, double timeLeft = 4) {
    RequestArrived r;
    r.id = {id};
    r.timeUntilDeadline = Duration(timeLeft);
    r.promptTokens = prompt;
    r.maxOutputTokens = 300;
    return feed(at, r);
  }

  std::vector<Action>& attemptEnded(double at, const std::string& id, std::uint32_t engineId, Outcome outcome,
                                    bool requestFinished = false, double cachedTokens = 0) {
    AttemptEnded e;
    e.id = {id};
    e.engine = {engineId};
    e.outcome = outcome;
    e.requestFinished = requestFinished;
    e.cachedTokens = cachedTokens;
    e.elapsed = Duration(0.05);
    return feed(at, e);
  }

  std::vector<Action>& streamStarted(double at, const std::string& id, std::uint32_t engineId) {
    return feed(at, StreamStarted{{id}, 0, {engineId}, Duration(0.03)});
  }

  std::vector<Action>& doHousekeeping(double at) { return feed(at, TimerFired{"sweep"}); }

  /// Fires the housekeeping timer every 20 ms up to `until`; gives all actions of that time.
  std::vector<Action> runUntil(double until) {
    std::vector<Action> seen;
    while (now + 0.02 <= until) {
      doHousekeeping(now + 0.02);
      seen.insert(seen.end(), last.begin(), last.end());
    }
    return seen;
  }

  double now = 0;
  Policy policy;
  std::vector<Action> last, all;
};

template <typename T>
std::vector<T> only(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& a : actions) {
    if (const T* one = std::get_if<T>(&a)) found.push_back(*one);
  }
  return found;
}

/// The engine of the only attempt started by the actions; 0 where there is not exactly one.
inline std::uint32_t sentTo(const std::vector<Action>& actions) {
  const auto sends = only<StartAttempt>(actions);
  return sends.size() == 1 ? sends[0].engine.value : 0;
}

inline RequestArrived requestOf(const std::string& id, double prompt, std::uint64_t session,
                                std::uint64_t prefix = 0, double shared = 0) {
  RequestArrived r;
  r.id = {id};
  r.timeUntilDeadline = Duration(4);
  r.promptTokens = prompt;
  r.sessionKey = session;
  r.prefixKey = prefix;
  r.prefixTokens = shared;
  r.maxOutputTokens = 300;
  return r;
}

/// A request of a session, with time for several attempts.
inline RequestArrived requestOfSession(const std::string& id, std::uint64_t session) {
  RequestArrived r;
  r.id = {id};
  r.timeUntilDeadline = Duration(6);
  r.sessionKey = session;
  r.promptTokens = 1000;
  return r;
}

/// Serves a request to its end on the engines that the policy selects; gives the prefill engine.
inline std::uint32_t serveToEnd(PolicyHost& host, double at, const RequestArrived& r,
                                double cachedTokens = 0) {
  const std::uint32_t prefillEngine = sentTo(host.feed(at, r));
  const std::uint32_t decodeEngine = sentTo(
      host.attemptEnded(at + 0.05, r.id.value, prefillEngine, Outcome::kPrefilled, false, cachedTokens));
  EXPECT_NE(decodeEngine, 0U);
  host.streamStarted(at + 0.08, r.id.value, decodeEngine);
  host.attemptEnded(at + 0.5, r.id.value, decodeEngine, Outcome::kOk, true);
  return prefillEngine;
}

/// Final responses that the policy itself gives.
inline std::size_t finalResponses(const std::vector<Action>& actions) {
  return only<RejectRequest>(actions).size() + only<FailRequest>(actions).size();
}

}  // namespace gannetcourse::test
