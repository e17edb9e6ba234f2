// The last check of what leaves the core: whether an attempt or a rejection would break an invariant,
// whatever asked for it. What would is not carried out, and counted; what has already happened is only
// counted. No I/O, clock or threads.
//
// The decision module keeps these invariants by itself. A count above zero is a fault of the program; it
// appears in the node's statistics line and in its log.
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

/// Follows each request from accept to its last call. Inputs for unknown requests are ignored.
class InvariantGuard {
 public:
  explicit InvariantGuard(const Settings& settings) { updateSettings(settings); }

  /// Classes and the lease limit of new settings; what is known of requests stays.
  void updateSettings(const Settings& settings);
  /// Which engines may get attempts from now on.
  void onEngineListUpdate(const EngineListUpdate& update);

  // ---- What happens to a request ----
  /// `classIndex`: in Settings::classes. To be called before anything else of the request.
  void onRequestAccepted(RequestKey request, std::size_t classIndex);
  /// The one attempt in flight, until onAttemptEnded().
  void onAttemptStarted(Instant now, RequestKey request, EngineId engine, CallKind kind);
  void onAttemptEnded(Instant now, RequestKey request, Outcome outcome);
  /// A prefill has left a state: its lease begins.
  void onStateLeased(Instant now, RequestKey request);
  void onStateTransferred(RequestKey request);  ///< To a decode engine: the lease is over.
  /// A violation that these two return has been counted and is to be recorded.
  std::optional<Violation> onStateReleased(Instant now, RequestKey request);
  std::optional<Violation> onFinalResponse(Instant now, RequestKey request, Instant deadline);
  /// Nothing of the request is in flight any more.
  void forget(RequestKey request) { requests_.erase(request); }

  // ---- What is about to happen ----
  /// The invariant that a further attempt there would break, counted; absent where it breaks none.
  std::optional<Violation> checkAttempt(Instant now, RequestKey request, EngineId engine);
  /// The same for a rejection, which promises that nothing has run.
  std::optional<Violation> checkRejection(RequestKey request);

  /// Violations since the start, by kind.
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
  struct WatchedRequest {
    std::size_t classIndex = 0;
    bool hasResponse = false;
    std::optional<Attempt> attemptInFlight;
    std::optional<Execution> firstExecution;  // the first attempt that may have had its effect
    // The end of its prefill, or of the last attempt that has certainly arrived at its engine.
    std::optional<Instant> stateLeasedSince;
  };

  std::optional<Violation> violationOfAttempt(Instant now, const WatchedRequest& request,
                                              EngineId engine) const;
  bool isRepeatWithoutEffect(Instant now, const WatchedRequest& request, const EngineEntry& engine) const;
  const ClassSettings& classOf(const WatchedRequest& request) const {
    return classes_.at(request.classIndex);
  }
  WatchedRequest* find(RequestKey request);
  Violation count(Violation violation);

  std::vector<ClassSettings> classes_;
  Duration stateLeaseLimit_{0};  // 0 = none
  std::map<EngineId, EngineEntry> engines_;
  std::unordered_map<RequestKey, WatchedRequest> requests_;
  ViolationCounts violations_{};
};

}  // namespace gannetcourse::router
