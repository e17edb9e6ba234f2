// Schedules releases of states that attempts may have left at engines after the router abandoned the attempts
// without the engine's response.
//
// The engine may not have noticed that the router abandoned the attempt: a prefill may still complete after
// its state was released, and a decode call may still wait for a state. Releases by request id are therefore
// repeated for some seconds, or until the engine responds to an attempt that was started later. No I/O, no
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

/// Owns the list of abandoned attempts and the times of their releases. The caller sends the releases.
class OrphanedStates {
 public:
  /// An attempt that may have left a state.
  struct Attempt {
    std::string id;  ///< The request's id at engines, Request::id.
    int number = 0;
    EngineId engine;
  };
  /// Whether a request has a call in flight or a state that its decode call has not taken yet.
  using IsBusy = std::function<bool(const std::string& id)>;

  static constexpr std::size_t kMaxEntries = 4096;  ///< When it is exceeded, the oldest attempt is dropped.

  /// `leaseLimit`: how long a state may stay leased; 0 = no limit, and no release is repeated.
  explicit OrphanedStates(Duration leaseLimit) { updateLeaseLimit(leaseLimit); }
  void updateLeaseLimit(Duration leaseLimit);

  /// Adds a prefill that was abandoned at `now`. Its first release is due immediately.
  void addPrefill(Instant now, Attempt attempt) { add(now, now, std::move(attempt), false); }
  /// Adds a prefill that has ended by an engine's response or a broken connection, if the prefill may have
  /// left a state.
  void onPrefillEnded(Instant now, Attempt attempt, Outcome outcome, recovery::AttemptEnd attemptEnd);
  /// Adds a decode call that was abandoned at `now`. The router releases the request's state itself at that
  /// time. The first release by OrphanedStates is therefore due one repeat interval later.
  void addDecode(Instant now, Attempt attempt) { add(now, now + repeatInterval_, std::move(attempt), false); }
  /// The engine has responded to an attempt that was started at `startedAt`. The engine has therefore noticed
  /// the end of all attempts that were abandoned before `startedAt`.
  void onEngineResponse(EngineId engine, Instant startedAt);
  /// The engine has sent the first token of request `id`, whose attempt was started at `startedAt`. Does the
  /// same as onEngineResponse(). In addition, drops the request's prefills that ended with an error: no state
  /// of the request stays leased after its first token.
  void onFirstToken(const std::string& id, EngineId engine, Instant startedAt);

  /// When takeDue() must be called next; absent if no release is scheduled.
  std::optional<Instant> nextDue() const { return nextDue_; }
  /// The attempts whose release must be sent now. A release is deferred while `isBusy` returns true for its
  /// request, because it would also release the state of a later attempt of the same request. The deferral
  /// ends before the lease limit, because the later attempt may not have reached the engine to renew the
  /// lease. Only the releases of prefills that ended with an error are deferred without a limit.
  std::vector<Attempt> takeDue(Instant now, const IsBusy& isBusy);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Attempt attempt;
    Instant abandonedAt, dueAt;
    Instant lastReleaseAt;  // before the first release: equal to abandonedAt
    bool waitsUntilIdle;    // the release is deferred without a time limit while the request is busy
  };

  void add(Instant now, Instant dueAt, Attempt attempt, bool waitsUntilIdle);
  Instant deferralLimit(const Entry& entry, Instant now) const;
  bool isLastRelease(const Entry& entry, Instant now) const;

  Duration repeatInterval_{0};      // between two releases for the same attempt
  Duration maxDeferral_{0};         // longest time between two releases if the second is deferred
  std::deque<Entry> entries_;       // oldest first
  std::optional<Instant> nextDue_;  // earliest dueAt of the entries
  // For each engine: the latest start of the attempts that the engine has responded to. Shows which abandoned
  // attempts the engine has noticed; cleared by takeDue() when no abandoned attempt is left.
  std::map<EngineId, Instant> latestAnsweredStart_;
};

}  // namespace gannetcourse::router
