// Sends releases of the states and the capacity that engines hold for requests: states that no decode call
// has taken, reservations, and states that abandoned attempts may have left.
#pragma once

#include <string>

#include "router/core_context.h"
#include "router/orphaned_states.h"
#include "router/record_log.h"
#include "router/request_table.h"

namespace gannetcourse::router {

/// Owns the list of orphaned states. The state and the reservation of a request are stored in its Request.
class StateReleaser {
 public:
  StateReleaser(CoreContext& context, RecordLog& log, RequestTable& requests)
      : context_(context),
        log_(log),
        requests_(requests),
        orphanedStates_(context.settings.stateLeaseLimit) {}

  void updateLeaseLimit(Duration leaseLimit) { orphanedStates_.updateLeaseLimit(leaseLimit); }

  /// Sends a release of the request's state, which must exist, but keeps it in the Request: a decode call may
  /// still use it.
  void sendStateRelease(const Request& request, std::string reason);
  /// Sends a release of the request's state, if there is one, and removes it from the Request.
  void releaseState(Request& request);
  /// The same for the request's reservation.
  void releaseReservation(Request& request);
  /// Sends the releases of orphaned states that are due, and schedules the timer for the next.
  void releaseOrphanedStates();
  /// The timer has fired. The caller must call releaseOrphanedStates() afterwards.
  void onTimer() { timer_.reset(); }

  OrphanedStates& orphanedStates() { return orphanedStates_; }

 private:
  bool isBusy(const std::string& requestId) const;
  void scheduleTimer();

  CoreContext& context_;
  RecordLog& log_;
  RequestTable& requests_;
  OrphanedStates orphanedStates_;
  TimerQueue::Handle timer_;
};

}  // namespace gannetcourse::router
