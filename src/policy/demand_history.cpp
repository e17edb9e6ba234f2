#include "demand_history.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "tuning.h"

namespace gannetcourse::policy {

void DemandHistory::record(const FlowKey& flow, Duration prefillWork) {
  std::deque<Entry>& entries = entries_[flow];
  const Instant now = context_.now();
  if (entries.empty() || entries.back().at + kHousekeepingPeriod < now) {
    const Entry sums = entries.empty() ? Entry{} : entries.back();
    entries.push_back({now, sums.work, sums.squares});
  }
  entries.back().work += prefillWork.count();
  entries.back().squares += prefillWork.count() * prefillWork.count();
  while (entries.front().at + kMaxDemandSpan < now) entries.pop_front();
}

Demand DemandHistory::since(const FlowKey& flow, Instant instant) const {
  const auto found = entries_.find(flow);
  if (found == entries_.end()) return {};
  const std::deque<Entry>& entries = found->second;
  const auto first = std::lower_bound(entries.begin(), entries.end(), instant,
                                      [](const Entry& entry, Instant at) { return entry.at < at; });
  const Entry before = first == entries.begin() ? Entry{} : *std::prev(first);
  return {Duration(entries.back().work - before.work),
          Duration(std::sqrt(std::max(0.0, entries.back().squares - before.squares)))};
}

std::vector<FlowKey> DemandHistory::flows() const {
  std::vector<FlowKey> flows;
  flows.reserve(entries_.size());
  for (const auto& [flow, entries] : entries_) flows.push_back(flow);
  return flows;
}

}  // namespace gannetcourse::policy
