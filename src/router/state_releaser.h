// Releases of what engines hold for requests: states that wait for a decode call, reserved capacity, and
// states that attempts may have left after they were given up.
#pragma once

#include <string>

#include "router/core_context.h"
#include "router/orphaned_states.h"
#include "router/record_log.h"
#include "router/request_table.h"

namespace gannetcourse::router {

/// Owns the record of orphaned states; what a request holds at engines is in its Request.
class StateReleaser {
 public:
  StateReleaser(CoreContext& context, RecordLog& log, RequestTable& requests)
      : context_(context),
        log_(log),
        requests_(requests),
        orphanedStates_(context.settings.stateLeaseLimit) {}

  void updateLeaseLimit(Duration leaseLimit) { orphanedStates_.updateLeaseLimit(leaseLimit); }

  /// Has the state released, which the request must have, and keeps it on record: a decode call may still use
  /// it.
  void sendStateRelease(const Request& request, std::string reason);
  /// Has the state released, where there is one, and forgets it.
  void releaseState(Request& request);
  /// The same for reserved capacity.
  void releaseReservation(Request& request);
  /// Sends the releases of orphaned states that are due, and schedules the next.
  void releaseOrphanedStates();
  /// The timer of orphaned states has fired.
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
