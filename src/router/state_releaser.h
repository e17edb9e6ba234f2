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

  /// Sends a release of the request's state, which must exist. The state stays recorded in the Request,
  /// because a decode call may still use it.
  void sendStateRelease(const Request& request, std::string reason);
  /// Sends a release of the request's state, if there is one, and removes it from the Request.
  void releaseState(Request& request);
  /// Sends a release of the request's reservation, if there is one, and removes it from the Request.
  void releaseReservation(Request& request);
  /// Sends the releases of orphaned states that are due, and schedules a timer for the next of these
  /// releases.
  void releaseOrphanedStates();
  /// The timer of the orphaned states has fired. releaseOrphanedStates() must be called afterwards.
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
