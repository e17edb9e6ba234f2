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
  double disconnectGrace = 0.1;  // attempts after a client has disconnected
  double eventDelay = 0.3;       // from the engine's send to the client
};

class RuleAudit {
 public:
  explicit RuleAudit(RuleLimits limits) : limits_(limits) {}

  struct RequestHistory {
    Idempotency idempotency = Idempotency::kIdempotent;
    double deadline = 0;
    double disconnectedAt = -1;        // when its client disconnected
    double respondedAt = -1;           // when its final response, or first event, came
    int status = 0;                    // of that response
    bool attemptInFlight = false;      // on an open connection to an engine
    bool mayHaveRun = false;           // a decode engine had it, and did not reject it
    double firstRunAt = 0;             // when that engine had it
    double stateUnusedSince = -1;      // a state that no attempt uses
    bool stateBeingFetched = false;    // ... and one that a decode engine is to fetch
    std::vector<double> eventsSentAt;  // by the engine whose stream is forwarded
    std::size_t eventsReceived = 0;    // by the client
  };

  // ---- What clients see ----
  void onRequest(const std::string& id, Idempotency effect, double deadline) {
    RequestHistory& request = histories_[id];
    request.idempotency = effect;
    request.deadline = deadline;
  }
  void onClientDisconnected(const std::string& id, double now) { histories_.at(id).disconnectedAt = now; }
  void onFinalResponse(const std::string& id, int status, double now) {
    RequestHistory& request = histories_.at(id);
    request.respondedAt = now;
    request.status = status;
    if (now > request.deadline + limits_.responseGrace) addViolation(id, "answered late");
    const bool refused = status == 503;
    if (refused && request.idempotency == Idempotency::kAtMostOnce && request.mayHaveRun)
      addViolation(id, "refused though it may have run");
  }
  void onEventsReceived(const std::string& id, std::size_t count, double now) {
    RequestHistory& request = histories_.at(id);
    for (; request.eventsReceived < count && request.eventsReceived < request.eventsSentAt.size();
         ++request.eventsReceived) {
      if (now - request.eventsSentAt[request.eventsReceived] > limits_.eventDelay)
        addViolation(id, "an event came late");
    }
  }

  // ---- What engines see ----
  void onAttemptReceived(const std::string& id, bool isDecode, double drainKnownAt, double now) {
    RequestHistory& request = histories_.at(id);
    if (request.attemptInFlight) addViolation(id, "two attempts out");
    if (request.disconnectedAt >= 0 && now > request.disconnectedAt + limits_.disconnectGrace)
      addViolation(id, "sent on after its client left");
    if (request.respondedAt >= 0) addViolation(id, "sent on after its answer");
    if (now > request.deadline + limits_.responseGrace) addViolation(id, "sent on after its time");
    if (now > drainKnownAt + limits_.drainGrace) addViolation(id, "sent to a draining engine");
    if (request.mayHaveRun && request.idempotency == Idempotency::kAtMostOnce)
      addViolation(id, "sent again though it may have run");
    if (request.mayHaveRun && request.idempotency == Idempotency::kIdempotencyKey && isDecode &&
        now > request.firstRunAt + limits_.dedupWindow)
      addViolation(id, "sent again after its window");
    request.attemptInFlight = true;
    if (!isDecode) return;
    request.stateBeingFetched = request.stateUnusedSince >= 0;
    request.stateUnusedSince = -1;
    request.eventsSentAt.clear();
    request.eventsReceived = 0;
  }
  // The writer has it and will not say that it has not run.
  void onPossibleExecution(const std::string& id, double now) {
    RequestHistory& request = histories_.at(id);
    if (!request.mayHaveRun) request.firstRunAt = now;
    request.mayHaveRun = true;
  }
  // An attempt has ended, whoever ended it. `stateStays`: what a read left is there still.
  void onAttemptEnded(const std::string& id, bool stateStays, double now) {
    RequestHistory& request = histories_.at(id);
    request.attemptInFlight = false;
    if (stateStays && request.stateBeingFetched) request.stateUnusedSince = now;
    request.stateBeingFetched = false;
  }
  void onStateCreated(const std::string& id, double now) { histories_.at(id).stateUnusedSince = now; }
  void onEventSent(const std::string& id, double now) {
    RequestHistory& request = histories_.at(id);
    request.eventsSentAt.push_back(now);
    request.stateBeingFetched = false;  // the writer has fetched it
  }
  void onRelease(const std::string& id) {
    const auto it = histories_.find(id);
    if (it == histories_.end()) return addViolation(id, "released though nobody asked it");
    it->second.stateUnusedSince = -1;
    it->second.stateBeingFetched = false;
  }

  // After each step: what should have happened by now.
  void check(double now) {
    for (auto& [id, request] : histories_) {
      if (request.respondedAt < 0 && request.disconnectedAt < 0 &&
          now > request.deadline + limits_.responseGrace) {
        addViolation(id, "not answered in time");
        request.respondedAt = now;
      }
      if (request.stateUnusedSince >= 0 && now > request.stateUnusedSince + limits_.stateLeaseLimit) {
        addViolation(id, "its state stays pinned");
        request.stateUnusedSince = -1;
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
