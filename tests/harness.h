// A host for one Policy in virtual time and without I/O, and helpers to make its events and read its actions.
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

/// Owns a Policy, feeds it events and records the actions it returns. Times are seconds since the epoch.
class PolicyHost {
 public:
  explicit PolicyHost(const Settings& settings) : policy(settings) {}

  /// Passes the event to the policy at the given time; returns the actions of this event.
  std::vector<Action>& feed(double at, const Event& event) {
    now = at;
    lastActions.clear();
    policy.handle(Instant(Duration(at)), event, lastActions);
    allActions.insert(allActions.end(), lastActions.begin(), lastActions.end());
    return lastActions;
  }

  std::vector<Action>& updateEngineList(double at, std::vector<EngineEntry> entries,
                                        EngineListUpdate::Scope scope = EngineListUpdate::Scope::kSnapshot) {
    return feed(at, EngineListUpdate{scope, std::move(entries)});
  }

  std::vector<Action>& request(double at, const std::string& id, double promptTokens = 1000,
                               double secondsUntilDeadline = 4) {
    RequestArrived r;
    r.id = {id};
    r.timeUntilDeadline = Duration(secondsUntilDeadline);
    r.promptTokens = promptTokens;
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

  /// Fires the housekeeping timer every 20 ms until `until`; returns the actions of all these events.
  std::vector<Action> runUntil(double until) {
    std::vector<Action> actions;
    while (now + 0.02 <= until) {
      doHousekeeping(now + 0.02);
      actions.insert(actions.end(), lastActions.begin(), lastActions.end());
    }
    return actions;
  }

  double now = 0;
  Policy policy;
  std::vector<Action> lastActions;  ///< Of the last event.
  std::vector<Action> allActions;   ///< Of all events, unless a test has cleared it.
};

/// The actions of type T, in their order.
template <typename T>
std::vector<T> actionsOf(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& a : actions) {
    if (const T* action = std::get_if<T>(&a)) found.push_back(*action);
  }
  return found;
}

/// The engine of the attempt that the actions start; 0 if they start none or more than one.
inline std::uint32_t selectedEngine(const std::vector<Action>& actions) {
  const auto starts = actionsOf<StartAttempt>(actions);
  return starts.size() == 1 ? starts[0].engine.value : 0;
}

/// A request with a deadline in 4 s. A key of 0 means no session or no shared prefix.
inline RequestArrived makeRequest(const std::string& id, double promptTokens, std::uint64_t sessionKey,
                                  std::uint64_t prefixKey = 0, double prefixTokens = 0) {
  RequestArrived r;
  r.id = {id};
  r.timeUntilDeadline = Duration(4);
  r.promptTokens = promptTokens;
  r.sessionKey = sessionKey;
  r.prefixKey = prefixKey;
  r.prefixTokens = prefixTokens;
  r.maxOutputTokens = 300;
  return r;
}

/// A request of a session whose deadline (6 s) allows several attempts.
inline RequestArrived makeSessionRequest(const std::string& id, std::uint64_t sessionKey) {
  RequestArrived r;
  r.id = {id};
  r.timeUntilDeadline = Duration(6);
  r.sessionKey = sessionKey;
  r.promptTokens = 1000;
  return r;
}

/// Completes a request on the engines that the policy selects; returns the prefill engine.
inline std::uint32_t completeRequest(PolicyHost& host, double at, const RequestArrived& r,
                                     double cachedTokens = 0) {
  const std::uint32_t prefillEngine = selectedEngine(host.feed(at, r));
  const std::uint32_t decodeEngine = selectedEngine(
      host.attemptEnded(at + 0.05, r.id.value, prefillEngine, Outcome::kPrefilled, false, cachedTokens));
  EXPECT_NE(decodeEngine, 0U);
  host.streamStarted(at + 0.08, r.id.value, decodeEngine);
  host.attemptEnded(at + 0.5, r.id.value, decodeEngine, Outcome::kOk, true);
  return prefillEngine;
}

/// The number of requests that the actions reject or fail.
inline std::size_t countFinalResponses(const std::vector<Action>& actions) {
  return actionsOf<RejectRequest>(actions).size() + actionsOf<FailRequest>(actions).size();
}

}  // namespace gannetcourse::test
