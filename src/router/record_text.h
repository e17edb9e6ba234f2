// Formats the reason texts of the core's log records: the parameters of a request and the expectations of an
// attempt.
#pragma once

#include <string>

#include "gannetcourse/router.h"

namespace gannetcourse::router {

/// `value` with `digits` digits after the decimal point; values above 1e9 are replaced by 1e9.
std::string formatNumber(double value, int digits);

/// For kRequestAccepted: "CLASS prompt TOKENS prefix TOKENS ttft_objective SECONDS inter_token_objective
/// SECONDS priority_weight WEIGHT".
std::string describeRequest(const ClassSettings& classSettings, const RequestPayload& payload);

/// For kPrefillStarted: "expected_duration SECONDS cached_tokens TOKENS".
std::string describePrefillExpectation(const StartAttempt& attempt);

/// For kDecodeStarted: "expected_duration SECONDS".
std::string describeDecodeExpectation(const StartAttempt& attempt);

/// For kPrefillCompleted: "cached_tokens TOKENS".
std::string describeCachedTokens(double cachedTokens);

}  // namespace gannetcourse::router
