// The prefill work that arrived at this router of late, by flow.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "decision_context.h"
#include "request.h"

namespace gannetcourse::policy {

/// Prefill work that arrived within a span of time.
struct Demand {
  Duration work{0};
  Duration deviation{0};  ///< Standard deviation of `work` if requests arrive independently (Poisson).
};

/// Owns the arrivals of the last kMaxDemandSpan.
class DemandHistory {
 public:
  explicit DemandHistory(const DecisionContext& context) : context_(context) {}

  /// A request has arrived with this much prefill work.
  void record(const FlowKey& flow, Duration prefillWork);
  /// What has arrived since then; an instant before the oldest arrival counts all.
  Demand since(const FlowKey& flow, Instant instant) const;
  /// The flows that have had an arrival.
  std::vector<FlowKey> flows() const;

 private:
  // Sums over all arrivals up to and including those within one housekeeping period.
  struct Entry {
    Instant at;
    double work = 0, squares = 0;  // in seconds, and in seconds squared
  };

  const DecisionContext& context_;
  std::map<FlowKey, std::deque<Entry>> entries_;
};

}  // namespace gannetcourse::policy
