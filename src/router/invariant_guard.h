// Checks the core's invariants independently of the policy before commands leave the core. An attempt or a
// rejection that would break an invariant is counted and not carried out. A violation that can be detected
// only after the fact, for example a late response, is only counted. No I/O, clock or threads.
//
// The policy keeps these invariants by itself, so a count above zero is a bug in the program. The counts
// appear in the node's statistics line and in its log.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "gannetcourse/policy.h"
#include "gannetcourse/router.h"
#include "router/call_kind.h"

namespace gannetcourse::router {

/// Tracks each request from its acceptance until forget(). Events for unknown requests are ignored.
class InvariantGuard {
 public:
  explicit InvariantGuard(const Settings& settings) { updateSettings(settings); }

  /// Replaces the classes and the state lease limit; tracked requests are kept.
  void updateSettings(const Settings& settings);
  /// Updates the engines that attempts may be started at.
  void onEngineListUpdate(const EngineListUpdate& update);

  // ---- Events of a request ----
  /// Must be called before all other functions for the request. `classIndex` is the index in
  /// Settings::classes.
  void onRequestAccepted(RequestKey request, std::size_t classIndex);
  /// An attempt was started; it is the only one in flight until onAttemptEnded().
  void onAttemptStarted(Instant now, RequestKey request, EngineId engine, CallKind kind);
  void onAttemptEnded(Instant now, RequestKey request, Outcome outcome);
  /// A prefill has completed and its engine holds the state: the state lease begins.
  void onStateLeased(Instant now, RequestKey request);
  /// A decode engine has taken the state: the state lease ends.
  void onStateTransferred(RequestKey request);
  /// The state was released: the state lease ends. Counts and returns the violation, if the state was leased
  /// for too long. The guard does not write it to the log.
  std::optional<Violation> onStateReleased(Instant now, RequestKey request);
  /// The final response is being sent. Counts and returns the violation, if the response is a second one or
  /// late. The guard does not write it to the log.
  std::optional<Violation> onFinalResponse(Instant now, RequestKey request, Instant deadline);
  /// Drops a request that is completed and has no call in flight.
  void forget(RequestKey request) { requests_.erase(request); }

  // ---- Checks before an action ----
  /// Counts and returns the invariant that an attempt at this engine would break; absent if it breaks none.
  std::optional<Violation> checkAttempt(Instant now, RequestKey request, EngineId engine);
  /// Counts and returns the invariant that a rejection would break; absent if it breaks none. A rejection
  /// tells the client that the request was not executed.
  std::optional<Violation> checkRejection(RequestKey request);

  /// Number of violations since the start, by kind.
  const ViolationCounts& violations() const { return violations_; }

 private:
  struct Attempt {
    EngineId engine;
    CallKind kind = CallKind::kPrefill;
    Instant startedAt;
  };
  struct Execution {
    Instant startedAt;
    EngineEntry engine;
  };
  struct TrackedRequest {
    std::size_t classIndex = 0;
    bool hasResponse = false;
    std::optional<Attempt> attemptInFlight;
    std::optional<Execution> firstExecution;  // first attempt that may have executed the request
    // When the state lease began or was last renewed: the end of the prefill, or of the last attempt that is
    // certain to have reached its engine. Absent while no state is leased.
    std::optional<Instant> stateLeasedSince;
  };

  std::optional<Violation> violationOfAttempt(Instant now, const TrackedRequest& request,
                                              EngineId engine) const;
  bool isSafeToRepeat(Instant now, const TrackedRequest& request, const EngineEntry& engine) const;
  const ClassSettings& classOf(const TrackedRequest& request) const {
    return classes_.at(request.classIndex);
  }
  TrackedRequest* find(RequestKey request);
  Violation count(Violation violation);

  std::vector<ClassSettings> classes_;
  Duration stateLeaseLimit_{0};  // 0 = no limit
  std::map<EngineId, EngineEntry> engines_;
  std::unordered_map<RequestKey, TrackedRequest> requests_;
  ViolationCounts violations_{};
};

}  // namespace gannetcourse::router
