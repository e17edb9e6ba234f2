// The lease of the state that a prefill engine keeps for a request, as known to this router. The lease starts
// at the prefill's end. An unanswered decode attempt neither ends nor renews the lease, because the attempt
// may not have reached its engine.
#pragma once

#include "gannetcourse/policy.h"
#include "tuning.h"

namespace gannetcourse::policy {

/// Tracks the lease of one request's state. Does not emit the Release action; RequestLifecycle does.
class StateLease {
 public:
  /// The prefill has ended: its engine keeps the state for a decode attempt.
  void begin(Instant now) {
    phase_ = Phase::kWaiting;
    since_ = now;
  }
  /// The state was taken by a decode engine, was lost, or was released with no decode attempt in flight.
  void end() { phase_ = Phase::kNone; }
  /// The state was released while a decode attempt is in flight. If the attempt has reached its decode
  /// engine, that engine still keeps the state.
  void releaseDuringDecode() { phase_ = Phase::kReleasedDuringDecode; }

  /// Whether a decode attempt may be started for the state.
  bool isWaiting() const { return phase_ == Phase::kWaiting; }
  /// Whether an engine may still keep the state, so that it must be released once no decode attempt is in
  /// flight.
  bool mayRemain() const { return phase_ != Phase::kNone; }
  /// Whether the state may be kept longer. It must be released well before `limit` (0 = no limit), so that
  /// the release arrives in time.
  bool canWaitLonger(Instant now, Duration limit) const {
    return limit <= Duration(0) || now - since_ <= kStateLeaseFactor * limit - 2 * kHousekeepingPeriod;
  }

 private:
  enum class Phase { kNone, kWaiting, kReleasedDuringDecode };

  Phase phase_ = Phase::kNone;
  Instant since_{};
};

}  // namespace gannetcourse::policy
