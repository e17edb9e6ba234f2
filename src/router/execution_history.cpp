#include "router/execution_history.h"

namespace gannetcourse::router {

void ExecutionHistory::record(Instant now, const std::string& id, Instant startedAt) {
  while (!inOrder_.empty() && now - inOrder_.front().recordedAt > kRetention) forgetOldest();
  if (!firstStarts_.emplace(id, startedAt).second) return;
  inOrder_.push_back({id, now});
  if (inOrder_.size() > kMaxExecutions) forgetOldest();
}

// Engines drop a duplicate only if they share the record of idempotency keys, for as long as it is kept.
bool ExecutionHistory::mayExecute(const std::string& id, const ClassSettings& classSettings,
                                  Instant deadline) const {
  const auto first = firstStarts_.find(id);
  if (first == firstStarts_.end()) return true;
  if (classSettings.idempotency == Idempotency::kIdempotent) return true;
  return classSettings.idempotency == Idempotency::kIdempotencyKey &&
         classSettings.dedupScope == DedupScope::kAll &&
         deadline <= first->second + classSettings.dedupWindow;
}

void ExecutionHistory::forgetOldest() {
  firstStarts_.erase(inOrder_.front().id);
  inOrder_.pop_front();
}

}  // namespace gannetcourse::router
