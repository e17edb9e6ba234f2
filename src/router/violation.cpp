// The names of violations in the router's statistics line and log, and the text of their counts.
#include <cstddef>

#include "gannetcourse/router.h"

namespace gannetcourse::router {

const char* nameOf(Violation violation) {
  switch (violation) {
    case Violation::kSecondResponse:
      return "second_answer";
    case Violation::kLateResponse:
      return "late_answer";
    case Violation::kAttemptAfterResponse:
      return "sent_after_answer";
    case Violation::kConcurrentAttempts:
      return "overlap";
    case Violation::kDuplicateEffect:
      return "repeat";
    case Violation::kRejectedAfterStart:
      return "refused_after_run";
    case Violation::kAttemptToDrainingEngine:
      return "sent_to_stopped";
    case Violation::kStateLeaseExpired:
      return "pinned";
    case Violation::kCount:
      break;
  }
  return "";
}

std::uint64_t total(const ViolationCounts& counts) {
  std::uint64_t sum = 0;
  for (const std::uint64_t count : counts) sum += count;
  return sum;
}

std::string textOf(const ViolationCounts& counts) {
  std::string text = std::to_string(total(counts));
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0)
      text += std::string(",") + nameOf(static_cast<Violation>(i)) + ":" + std::to_string(counts[i]);
  }
  return text;
}

}  // namespace gannetcourse::router
