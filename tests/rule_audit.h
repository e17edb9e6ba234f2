// Checks the rules of a platform node from outside, from what clients, engines and discovery see of it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::test {

// What the audit compares with; seconds.
struct RuleLimits {
  double responseGrace = 0.05;   // after the client's time
  double drainGrace = 0.3;       // after an engine's drain was told
  double stateLeaseLimit = 1.3;  // a state that no attempt uses
  double dedupWindow = 0.7;      // of keyed requests
  double disconnectGrace = 0.1;  // attempts after a client has left
  double eventDelay = 0.3;       // from the engine's write to the client
};

class RuleAudit {
 public:
  explicit RuleAudit(RuleLimits limits) : limits_(limits) {}

  struct RequestHistory {
    Idempotency idempotency = Idempotency::kIdempotent;
    double deadline = 0;
    double disconnectedAt = -1;        // when its client left
    double respondedAt = -1;           // when its final answer, or first event, came
    int status = 0;                    // of that answer
    bool attemptInFlight = false;      // on an open connection to an engine
    bool mayHaveRun = false;           // a writer had it, and did not turn it away
    double firstRunAt = 0;             // when that writer had it
    double stateUnusedSince = -1;      // a state that no attempt uses
    bool stateBeingFetched = false;    // ... and one that a writer has been told to fetch
    std::vector<double> eventsSentAt;  // by the engine whose stream is passed on
    std::size_t eventsReceived = 0;    // by the client
  };

  // ---- What clients see ----
  void onRequest(const std::string& id, Idempotency effect, double deadline) {
    RequestHistory& life = histories_[id];
    life.idempotency = effect;
    life.deadline = deadline;
  }
  void onClientDisconnected(const std::string& id, double now) { histories_.at(id).disconnectedAt = now; }
  void onFinalResponse(const std::string& id, int status, double now) {
    RequestHistory& life = histories_.at(id);
    life.respondedAt = now;
    life.status = status;
    if (now > life.deadline + limits_.responseGrace) addViolation(id, "answered late");
    const bool refused = status == 503;
    if (refused && life.idempotency == Idempotency::kAtMostOnce && life.mayHaveRun)
      addViolation(id, "refused though it may have run");
  }
  void onEventsReceived(const std::string& id, std::size_t count, double now) {
    RequestHistory& life = histories_.at(id);
    for (; life.eventsReceived < count && life.eventsReceived < life.eventsSentAt.size();
         ++life.eventsReceived) {
      if (now - life.eventsSentAt[life.eventsReceived] > limits_.eventDelay)
        addViolation(id, "an event came late");
    }
  }

  // ---- What engines see ----
  void onAttemptReceived(const std::string& id, bool writes, double drainToldAt, double now) {
    RequestHistory& life = histories_.at(id);
    if (life.attemptInFlight) addViolation(id, "two attempts out");
    if (life.disconnectedAt >= 0 && now > life.disconnectedAt + limits_.disconnectGrace)
      addViolation(id, "sent on after its client left");
    if (life.respondedAt >= 0) addViolation(id, "sent on after its answer");
    if (now > life.deadline + limits_.responseGrace) addViolation(id, "sent on after its time");
    if (now > drainToldAt + limits_.drainGrace) addViolation(id, "sent to a draining engine");
    if (life.mayHaveRun && life.idempotency == Idempotency::kAtMostOnce)
      addViolation(id, "sent again though it may have run");
    if (life.mayHaveRun && life.idempotency == Idempotency::kIdempotencyKey && writes &&
        now > life.firstRunAt + limits_.dedupWindow)
      addViolation(id, "sent again after its window");
    life.attemptInFlight = true;
    if (!writes) return;
    life.stateBeingFetched = life.stateUnusedSince >= 0;
    life.stateUnusedSince = -1;
    life.eventsSentAt.clear();
    life.eventsReceived = 0;
  }
  // The writer has it and will not say that it has not run.
  void onPossibleExecution(const std::string& id, double now) {
    RequestHistory& life = histories_.at(id);
    if (!life.mayHaveRun) life.firstRunAt = now;
    life.mayHaveRun = true;
  }
  // An attempt has ended, whoever ended it. `stateStays`: what a read left is there still.
  void onAttemptEnded(const std::string& id, bool stateStays, double now) {
    RequestHistory& life = histories_.at(id);
    life.attemptInFlight = false;
    if (stateStays && life.stateBeingFetched) life.stateUnusedSince = now;
    life.stateBeingFetched = false;
  }
  void onStateCreated(const std::string& id, double now) { histories_.at(id).stateUnusedSince = now; }
  void onEventSent(const std::string& id, double now) {
    RequestHistory& life = histories_.at(id);
    life.eventsSentAt.push_back(now);
    life.stateBeingFetched = false;  // the writer has fetched it
  }
  void onRelease(const std::string& id) {
    const auto it = histories_.find(id);
    if (it == histories_.end()) return addViolation(id, "released though nobody asked it");
    it->second.stateUnusedSince = -1;
    it->second.stateBeingFetched = false;
  }

  // After each step: what should have happened by now.
  void check(double now) {
    for (auto& [id, life] : histories_) {
      if (life.respondedAt < 0 && life.disconnectedAt < 0 && now > life.deadline + limits_.responseGrace) {
        addViolation(id, "not answered in time");
        life.respondedAt = now;
      }
      if (life.stateUnusedSince >= 0 && now > life.stateUnusedSince + limits_.stateLeaseLimit) {
        addViolation(id, "its state stays pinned");
        life.stateUnusedSince = -1;
      }
    }
  }

  const RequestHistory& history(const std::string& id) const { return histories_.at(id); }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  void addViolation(const std::string& id, const char* what) { violations_.push_back(id + ": " + what); }

  RuleLimits limits_;
  std::map<std::string, RequestHistory> histories_;
  std::vector<std::string> violations_;
};

}  // namespace gannetcourse::test
