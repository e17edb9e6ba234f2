#include "router/record_text.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>

namespace gannetcourse::router {
namespace {

constexpr std::array<const char*, static_cast<std::size_t>(RecordKind::kCount)> kRecordNames = {
    "accepted",          "served",
    "rejected",          "failed",
    "deadline_exceeded", "client_disconnected",
    "prefill_started",   "prefill_completed",
    "decode_started",    "stream_started",
    "stream_completed",  "attempt_failed",
    "call_cancelled",    "capacity_requested",
    "state_released",    "orphaned_state_released",
    "stream_lost",       "attempt_fenced",
    "stream_continued",  "stream_resumed",
    "not_resumable",     "violation",
    "reconfigured",      "draining",
    "policy_note",
};
static_assert(kRecordNames.back() != nullptr, "kRecordNames must contain a name for each RecordKind");

std::string describeExpectedDuration(const StartAttempt& attempt) {
  return "expected_duration " + formatNumber(attempt.expectedDuration.count(), 3);
}

}  // namespace

const char* nameOf(RecordKind kind) { return kRecordNames.at(static_cast<std::size_t>(kind)); }

const char* nameOf(FinalStatus status) {
  switch (status) {
    case FinalStatus::kServed:
      return "served";
    case FinalStatus::kRejected:
      return "refused";
    case FinalStatus::kFailed:
      return "failed";
    case FinalStatus::kDeadlineExceeded:
      return "deadline";
  }
  return "";
}

std::string formatNumber(double value, int digits) {
  constexpr double kMaxValue = 1e9;
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%.*f", digits, std::min(value, kMaxValue));
  return {text.data(), static_cast<std::size_t>(size)};
}

std::string describeRequest(const ClassSettings& classSettings, const RequestPayload& payload) {
  const Duration ttftObjective =
      classSettings.ttftObjective + classSettings.ttftObjectivePerToken * payload.promptTokens;
  return payload.requestClass + " prompt " + std::to_string(payload.promptTokens) + " prefix " +
         std::to_string(payload.prefixTokens) + " ttft_objective " + formatNumber(ttftObjective.count(), 3) +
         " inter_token_objective " + formatNumber(classSettings.interTokenObjective.count(), 3) +
         " priority_weight " + formatNumber(classSettings.priorityWeight, 2);
}

std::string describePrefillExpectation(const StartAttempt& attempt) {
  return describeExpectedDuration(attempt) + " " + describeCachedTokens(attempt.expectedCachedTokens);
}

std::string describeDecodeExpectation(const StartAttempt& attempt) {
  return describeExpectedDuration(attempt);
}

std::string describeCachedTokens(double cachedTokens) {
  return "cached_tokens " + formatNumber(cachedTokens, 0);
}

}  // namespace gannetcourse::router
