#include "node/engine_list_freshness.h"

namespace gannetcourse::node {
namespace {

// Time after the start in which discovery is expected to take the node's question if it can be reached.
const Duration kConnectAllowance{0.3};
// Longest wait for the answer: within the 6 s after which a change counts as told whatever happened.
const Duration kMaxAnswerWait{5.5};

}  // namespace

bool EngineListFreshness::isAwaited(Instant now) const {
  if (confirmed_) return false;
  return now < startedAt_ + (questionTaken_ ? kMaxAnswerWait : kConnectAllowance);
}

std::optional<Instant> EngineListFreshness::nextChange(Instant now) const {
  if (!isAwaited(now)) return std::nullopt;
  return startedAt_ + (questionTaken_ ? kMaxAnswerWait : kConnectAllowance);
}

}  // namespace gannetcourse::node
