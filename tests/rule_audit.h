// Checks the rules of a platform node from outside, from what clients, engines and discovery see of it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::test {

// What the audit compares with; seconds.
struct RuleLimits {
  double answerSlack = 0.05;  // after the client's time
  double drainGrace = 0.3;    // after an engine's drain was told
  double pinLimit = 1.3;      // a state that no attempt uses
  double dedupWindow = 0.7;   // of keyed requests
  double goneGrace = 0.1;     // attempts after a client has left
  double eventDelay = 0.3;    // from the engine's write to the client
};

class RuleAudit {
 public:
  explicit RuleAudit(RuleLimits limits) : limits_(limits) {}

  struct Life {
    Idempotency effect = Idempotency::kIdempotent;
    double deadline = 0;
    double goneAt = -1;                 // when its client left
    double answeredAt = -1;             // when its final answer, or first event, came
    int status = 0;                     // of that answer
    bool attemptOut = false;            // on an open connection to an engine
    bool mayHaveRun = false;            // a writer had it, and did not turn it away
    double firstRunAt = 0;              // when that writer had it
    double stateHeldSince = -1;         // a state that no attempt uses
    bool stateTaken = false;            // ... and one that a writer has been told to fetch
    std::vector<double> eventsWritten;  // by the engine whose stream is passed on
    std::size_t eventsSeen = 0;         // by the client
  };

  // ---- What clients see ----
  void asked(const std::string& id, Idempotency effect, double deadline) {
    Life& life = lives_[id];
    life.effect = effect;
    life.deadline = deadline;
  }
  void left(const std::string& id, double now) { lives_.at(id).goneAt = now; }
  void answered(const std::string& id, int status, double now) {
    Life& life = lives_.at(id);
    life.answeredAt = now;
    life.status = status;
    if (now > life.deadline + limits_.answerSlack) broken(id, "answered late");
    const bool refused = status == 503;
    if (refused && life.effect == Idempotency::kAtMostOnce && life.mayHaveRun)
      broken(id, "refused though it may have run");
  }
  void eventsReached(const std::string& id, std::size_t count, double now) {
    Life& life = lives_.at(id);
    for (; life.eventsSeen < count && life.eventsSeen < life.eventsWritten.size(); ++life.eventsSeen) {
      if (now - life.eventsWritten[life.eventsSeen] > limits_.eventDelay) broken(id, "an event came late");
    }
  }

  // ---- What engines see ----
  void attemptArrived(const std::string& id, bool writes, double drainToldAt, double now) {
    Life& life = lives_.at(id);
    if (life.attemptOut) broken(id, "two attempts out");
    if (life.goneAt >= 0 && now > life.goneAt + limits_.goneGrace)
      broken(id, "sent on after its client left");
    if (life.answeredAt >= 0) broken(id, "sent on after its answer");
    if (now > life.deadline + limits_.answerSlack) broken(id, "sent on after its time");
    if (now > drainToldAt + limits_.drainGrace) broken(id, "sent to a draining engine");
    if (life.mayHaveRun && life.effect == Idempotency::kAtMostOnce)
      broken(id, "sent again though it may have run");
    if (life.mayHaveRun && life.effect == Idempotency::kIdempotencyKey && writes &&
        now > life.firstRunAt + limits_.dedupWindow)
      broken(id, "sent again after its window");
    life.attemptOut = true;
    if (!writes) return;
    life.stateTaken = life.stateHeldSince >= 0;
    life.stateHeldSince = -1;
    life.eventsWritten.clear();
    life.eventsSeen = 0;
  }
  // The writer has it and will not say that it has not run.
  void mayRun(const std::string& id, double now) {
    Life& life = lives_.at(id);
    if (!life.mayHaveRun) life.firstRunAt = now;
    life.mayHaveRun = true;
  }
  // An attempt has ended, whoever ended it. `stateStays`: what a read left is there still.
  void attemptEnded(const std::string& id, bool stateStays, double now) {
    Life& life = lives_.at(id);
    life.attemptOut = false;
    if (stateStays && life.stateTaken) life.stateHeldSince = now;
    life.stateTaken = false;
  }
  void stateLeft(const std::string& id, double now) { lives_.at(id).stateHeldSince = now; }
  void eventWritten(const std::string& id, double now) {
    Life& life = lives_.at(id);
    life.eventsWritten.push_back(now);
    life.stateTaken = false;  // the writer has fetched it
  }
  void released(const std::string& id) {
    const auto it = lives_.find(id);
    if (it == lives_.end()) return broken(id, "released though nobody asked it");
    it->second.stateHeldSince = -1;
    it->second.stateTaken = false;
  }

  // After each step: what should have happened by now.
  void check(double now) {
    for (auto& [id, life] : lives_) {
      if (life.answeredAt < 0 && life.goneAt < 0 && now > life.deadline + limits_.answerSlack) {
        broken(id, "not answered in time");
        life.answeredAt = now;
      }
      if (life.stateHeldSince >= 0 && now > life.stateHeldSince + limits_.pinLimit) {
        broken(id, "its state stays pinned");
        life.stateHeldSince = -1;
      }
    }
  }

  const Life& life(const std::string& id) const { return lives_.at(id); }
  const std::vector<std::string>& breaks() const { return breaks_; }

 private:
  void broken(const std::string& id, const char* what) { breaks_.push_back(id + ": " + what); }

  RuleLimits limits_;
  std::map<std::string, Life> lives_;
  std::vector<std::string> breaks_;
};

}  // namespace gannetcourse::test
