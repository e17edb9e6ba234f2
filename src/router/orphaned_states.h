// States that attempts may have left at engines after the router gave these attempts up without the engine's
// answer.
//
// The engine may not know of it: a prefill may still complete there after its state was released, and a
// decode call may still wait for a state. Releases by the request's name are therefore repeated for a while,
// or until the engine has shown that it has seen the end of the attempt. No I/O, no clock.
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

/// Says when which release is to be sent; sends nothing itself.
class OrphanedStates {
 public:
  /// An attempt that may have left a state.
  struct Attempt {
    std::string id;  ///< The request's name for engines.
    int number = 0;
    EngineId engine;
  };
  /// Whether a request has a call in flight or a state that waits for its decode call.
  using IsBusy = std::function<bool(const std::string& id)>;

  static constexpr std::size_t kMaxEntries = 4096;  ///< Past it the oldest attempt is forgotten.

  /// `leaseLimit`: how long a state may stay leased; 0 = no limit, and no release is repeated.
  explicit OrphanedStates(Duration leaseLimit) { updateLeaseLimit(leaseLimit); }
  void updateLeaseLimit(Duration leaseLimit);

  /// A prefill was given up just now: its first release is due at once.
  void addPrefill(Instant now, Attempt attempt) { add(now, now, std::move(attempt), false); }
  /// A prefill has ended, as its engine or its connection reported.
  void onPrefillEnded(Instant now, Attempt attempt, Outcome outcome, recovery::AttemptEnd attemptEnd);
  /// A decode call was given up just now: its state is known, and is first released by its handle.
  void addDecode(Instant now, Attempt attempt) { add(now, now + repeatInterval_, std::move(attempt), false); }
  /// An engine has responded to an attempt that started then: it has seen the end of those given up before.
  void onEngineResponse(EngineId engine, Instant startedAt);
  /// The same with the first token: nothing else of the request stays leased, so that its prefills that ended
  /// with an error are forgotten.
  void onFirstToken(const std::string& id, EngineId engine, Instant startedAt);

  /// When takeDue() is to be called.
  std::optional<Instant> nextDue() const { return nextDue_; }
  /// The attempts whose release is to be sent now. A release by name would also release what a later attempt
  /// of the request needs: where `isBusy` says so, it is deferred for as long as the lease limit allows,
  /// since the later attempt may not have arrived.
  std::vector<Attempt> takeDue(Instant now, const IsBusy& isBusy);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Attempt attempt;
    Instant givenUpAt, dueAt;
    Instant lastReleaseAt;       // before the first release: when the attempt was given up
    bool yieldsToLaterAttempts;  // without a limit on the time
  };

  void add(Instant now, Instant dueAt, Attempt attempt, bool yieldsToLaterAttempts);
  Instant deferralLimit(const Entry& entry, Instant now) const;
  bool isLastRelease(const Entry& entry, Instant now) const;

  Duration repeatInterval_{0};      // between two releases
  Duration maxDeferral_{0};         // ... where they are deferred
  std::deque<Entry> entries_;       // the oldest first
  std::optional<Instant> nextDue_;  // the earliest of theirs
  // While there are entries: when the newest attempt that each engine has responded to was started.
  std::map<EngineId, Instant> newestAnswered_;
};

}  // namespace gannetcourse::router
