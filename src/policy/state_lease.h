// The lease on the state that a prefill has left at its engine, as far as this router knows. The lease runs
// from the prefill's end. A decode attempt that was started and has not answered may never have reached its
// engine, so it neither stops nor restarts the lease.
#pragma once

#include "gannetcourse/policy.h"
#include "tuning.h"

namespace gannetcourse::policy {

/// One state of one request. The holder releases the state; this keeps the account.
class StateLease {
 public:
  /// The prefill has ended: the state waits for a decode engine.
  void begin(Instant now) {
    phase_ = Phase::kWaiting;
    since_ = now;
  }
  /// A decode engine has the state, it was released with no decode attempt in flight, or it is lost.
  void end() { phase_ = Phase::kNone; }
  /// The state was released while a decode attempt is in flight. An engine that the attempt has reached keeps
  /// it.
  void releaseDuringDecode() { phase_ = Phase::kReleasedDuringDecode; }

  /// Whether a decode attempt may be started for it.
  bool isWaiting() const { return phase_ == Phase::kWaiting; }
  /// Whether it may still be there, so that its release is due once no decode attempt is in flight.
  bool mayRemain() const { return phase_ != Phase::kNone; }
  /// Whether it may wait longer. It is released well before `limit` (0 = no limit), so that the release
  /// arrives in time.
  bool canWaitLonger(Instant now, Duration limit) const {
    return limit <= Duration(0) || now - since_ <= kStateLeaseFactor * limit - 2 * kHousekeepingPeriod;
  }

 private:
  enum class Phase { kNone, kWaiting, kReleasedDuringDecode };

  Phase phase_ = Phase::kNone;
  Instant since_{};
};

}  // namespace gannetcourse::policy
