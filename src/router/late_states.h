// Attempts that were given up without a word of their engine. The engine may not know: a read may still end
// there, after its state was let go of, and a writer may still wait for a state. Releases by name are
// repeated for a while, or until the engine has shown that it has seen the end of the attempt. No I/O, no
// clock.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gannetcourse/policy.h"
#include "gannetcourse/recovery.h"

namespace gannetcourse::router {

class LateStates {
 public:
  struct Attempt {
    std::string id;  // the request's name for engines
    int number = 0;
    EngineId engine;
  };
  static constexpr std::size_t kMost = 4096;  // attempts on record; past it the oldest is forgotten

  // For how long a state may stay held; 0 = no limit, and nothing is repeated.
  explicit LateStates(Duration pinLimit) { takeLimit(pinLimit); }
  void takeLimit(Duration pinLimit);

  // A read was given up just now: its first release is due at once.
  void addRead(Instant now, Attempt attempt) { add(now, now, std::move(attempt)); }
  // A read has ended just now, by whatever its engine or its connection said.
  void readEnded(Instant now, Attempt attempt, Outcome outcome, recovery::AttemptEnd ending);
  // A write was given up just now: its state is known, and let go of by others first.
  void addWrite(Instant now, Attempt attempt) { add(now, now + period_, std::move(attempt)); }
  // An engine has answered an attempt that was sent then: it has seen the end of those given up before.
  void answered(EngineId engine, Instant sentAt);
  // ... with the first token: what else is held for the request goes by itself, so that reads that were
  // answered with an error are forgotten.
  void started(const std::string& id, EngineId engine, Instant sentAt);

  // When due() is to be asked.
  std::optional<Instant> nextDue() const { return nextDue_; }
  // Whose release is to be sent now. A release by name would also take what a later attempt of the request
  // needs: where `isBusy` says that one is out, or that its state waits for a write, it is put off until that
  // has ended, for as long as the limit allows: the later attempt may not have arrived.
  std::vector<Attempt> due(Instant now, const std::function<bool(const std::string& id)>& isBusy);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Attempt attempt;
    Instant givenUpAt, dueAt;
    Instant freeSince;  // when the last release was sent; before the first, when it was given up
    bool yields;        // to later attempts of its request, for however long
  };

  void add(Instant now, Instant dueAt, Attempt attempt, bool yields = false);
  // Until when its release is put off while its request is busy.
  Instant latestOf(const Entry& entry, Instant now) const;
  // Whether a release sent now is the last one of this entry.
  bool endsWith(const Entry& entry, Instant now) const;

  Duration period_{0}, latest_{0};  // between two releases: usually, and where they are put off
  std::deque<Entry> entries_;       // the oldest first
  std::optional<Instant> nextDue_;  // the earliest of theirs
  // While there are entries: when the newest answered attempt of each engine was sent.
  std::map<EngineId, Instant> answered_;
};

}  // namespace gannetcourse::router
