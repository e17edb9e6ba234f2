// The last look at what leaves the core: whether a send or a refusal would break a rule, whatever asked for
// it. What would is not carried out, and counted; what has already happened is counted alone. No I/O, clock
// or threads.
//
// The decision module keeps these rules by itself. A count above zero is a fault of the program, told in the
// account of the node and in its log.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "gannetcourse/policy.h"
#include "gannetcourse/router.h"

namespace gannetcourse::router {

class RuleGuard {
 public:
  explicit RuleGuard(const Settings& settings) { takeSettings(settings); }

  void takeSettings(const Settings& settings);
  void takeList(const EngineListUpdate& list);

  // ---- A request's life. Requests that are not known are passed over. ----
  void taken(RequestKey request, std::size_t classIndex);
  void sent(Instant now, RequestKey request, EngineId engine, bool reads);
  void ended(Instant now, RequestKey request, Outcome outcome);
  void stateHeld(Instant now, RequestKey request);
  void stateTaken(RequestKey request);  // by a writer
  // Both are counted, and told to be recorded; what has happened cannot be stopped any more.
  std::optional<Violation> stateFreed(Instant now, RequestKey request);
  std::optional<Violation> answered(Instant now, RequestKey request, Instant due);
  void forget(RequestKey request) { requests_.erase(request); }

  // Nothing where a further attempt there breaks no rule; else the rule, which has been counted.
  std::optional<Violation> checkSend(Instant now, RequestKey request, EngineId engine);
  // The same of a refusal, which promises that nothing has run.
  std::optional<Violation> checkRefusal(RequestKey request);

  const ViolationCounts& violations() const { return violations_; }

 private:
  struct Attempt {
    EngineId engine;
    bool reads = false;
    Instant sentAt;
  };
  // An attempt that may have had its effect: the first of the request.
  struct Run {
    Instant sentAt;
    EngineEntry engine;
  };
  struct Watched {
    std::size_t classIndex = 0;
    bool isAnswered = false;
    std::optional<Attempt> out;
    std::optional<Run> run;
    std::optional<Instant> heldSince;  // the end of its read, or of the last attempt that has surely arrived
  };

  std::optional<Violation> ruleAgainstSend(Instant now, const Watched& request, EngineId engine) const;
  bool repeatsAreDropped(Instant now, const Watched& request, const EngineEntry& engine) const;
  const ClassSettings& classOf(const Watched& request) const { return classes_.at(request.classIndex); }
  Watched* find(RequestKey request);
  Violation count(Violation violation);

  std::vector<ClassSettings> classes_;
  Duration pinLimit_{0};
  std::map<EngineId, EngineEntry> engines_;
  std::unordered_map<RequestKey, Watched> requests_;
  ViolationCounts violations_{};
};

}  // namespace gannetcourse::router
