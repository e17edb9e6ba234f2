// Checks a platform node's rules from outside: tests report what clients, engines and discovery observe, and
// the audit collects the violations.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::test {

// Time limits that the audit checks; in seconds.
struct RuleLimits {
  double responseGrace = 0.05;   // between a request's deadline and its response
  double drainGrace = 0.3;       // attempts after the node was informed of an engine's drain
  double stateLeaseLimit = 1.3;  // for which a state may stay unused before it is released
  double dedupWindow = 0.7;  // for retries of requests with an idempotency key, from their first execution
  double disconnectGrace = 0.1;  // attempts after a client has disconnected
  double eventDelay = 0.3;       // from sending by the engine to receipt by the client
};

class RuleAudit {
 public:
  explicit RuleAudit(RuleLimits limits) : limits_(limits) {}

  struct RequestHistory {
    Idempotency idempotency = Idempotency::kIdempotent;
    double deadline = 0;
    double disconnectedAt = -1;        // time of the client's disconnect; -1: still connected
    double respondedAt = -1;           // time of the final response or the first event; -1: none yet
    int status = 0;                    // status of that response
    bool attemptInFlight = false;      // an attempt is in flight on an open connection to an engine
    bool mayHaveRun = false;           // a decode engine received it and did not reject it
    double firstRunAt = 0;             // time at which that engine received it
    double stateUnusedSince = -1;      // since then no attempt uses its state; -1: in use, or no state
    bool stateBeingFetched = false;    // the attempt in flight is to fetch the state at a decode engine
    std::vector<double> eventsSentAt;  // event times at the engine whose stream is forwarded
    std::size_t eventsReceived = 0;    // number of those events that the client received
  };

  // ---- Observed by clients ----
  void onRequest(const std::string& id, Idempotency idempotency, double deadline) {
    RequestHistory& request = histories_[id];
    request.idempotency = idempotency;
    request.deadline = deadline;
  }
  void onClientDisconnected(const std::string& id, double now) { histories_.at(id).disconnectedAt = now; }
  void onFinalResponse(const std::string& id, int status, double now) {
    RequestHistory& request = histories_.at(id);
    request.respondedAt = now;
    request.status = status;
    if (now > request.deadline + limits_.responseGrace) addViolation(id, "final response after the deadline");
    const bool rejected = status == 503;
    if (rejected && request.idempotency == Idempotency::kAtMostOnce && request.mayHaveRun)
      addViolation(id, "at-most-once request rejected with 503 though it may have run");
  }
  void onEventsReceived(const std::string& id, std::size_t count, double now) {
    RequestHistory& request = histories_.at(id);
    for (; request.eventsReceived < count && request.eventsReceived < request.eventsSentAt.size();
         ++request.eventsReceived) {
      if (now - request.eventsSentAt[request.eventsReceived] > limits_.eventDelay)
        addViolation(id, "an event reached the client too late");
    }
  }

  // ---- Observed by engines ----
  void onAttemptReceived(const std::string& id, bool isDecode, double drainKnownAt, double now) {
    RequestHistory& request = histories_.at(id);
    if (request.attemptInFlight) addViolation(id, "two attempts in flight");
    if (request.disconnectedAt >= 0 && now > request.disconnectedAt + limits_.disconnectGrace)
      addViolation(id, "attempt after its client disconnected");
    if (request.respondedAt >= 0) addViolation(id, "attempt after its response");
    if (now > request.deadline + limits_.responseGrace) addViolation(id, "attempt after its deadline");
    if (now > drainKnownAt + limits_.drainGrace) addViolation(id, "attempt at a draining engine");
    if (request.mayHaveRun && request.idempotency == Idempotency::kAtMostOnce)
      addViolation(id, "at-most-once request retried though it may have run");
    if (request.mayHaveRun && request.idempotency == Idempotency::kIdempotencyKey && isDecode &&
        now > request.firstRunAt + limits_.dedupWindow)
      addViolation(id, "keyed request retried after its deduplication window");
    request.attemptInFlight = true;
    if (!isDecode) return;
    request.stateBeingFetched = request.stateUnusedSince >= 0;
    request.stateUnusedSince = -1;
    request.eventsSentAt.clear();
    request.eventsReceived = 0;
  }
  // A decode engine received the request and will not reject it, so it may have been executed.
  void onPossibleExecution(const std::string& id, double now) {
    RequestHistory& request = histories_.at(id);
    if (!request.mayHaveRun) request.firstRunAt = now;
    request.mayHaveRun = true;
  }
  // An attempt was ended by either side. `stateKept`: the prefilled state still exists.
  void onAttemptEnded(const std::string& id, bool stateKept, double now) {
    RequestHistory& request = histories_.at(id);
    request.attemptInFlight = false;
    if (stateKept && request.stateBeingFetched) request.stateUnusedSince = now;
    request.stateBeingFetched = false;
  }
  void onStateCreated(const std::string& id, double now) { histories_.at(id).stateUnusedSince = now; }
  void onEventSent(const std::string& id, double now) {
    RequestHistory& request = histories_.at(id);
    request.eventsSentAt.push_back(now);
    request.stateBeingFetched = false;  // the decode engine has fetched it
  }
  void onRelease(const std::string& id) {
    const auto it = histories_.find(id);
    if (it == histories_.end()) return addViolation(id, "released, but no such request exists");
    it->second.stateUnusedSince = -1;
    it->second.stateBeingFetched = false;
  }

  // To be called after each step: reports responses and releases that are past their time limits.
  void check(double now) {
    for (auto& [id, request] : histories_) {
      if (request.respondedAt < 0 && request.disconnectedAt < 0 &&
          now > request.deadline + limits_.responseGrace) {
        addViolation(id, "no final response by the deadline");
        request.respondedAt = now;
      }
      if (request.stateUnusedSince >= 0 && now > request.stateUnusedSince + limits_.stateLeaseLimit) {
        addViolation(id, "its state was not released in time");
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
