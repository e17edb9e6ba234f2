// The words of the core's records: what was asked for, and what a decision expected.
#pragma once

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

#include "gannetcourse/router.h"

namespace gannetcourse::router {

inline std::string textOf(double value, int digits) {
  constexpr double kMost = 1e9;
  std::array<char, 32> text{};
  const int size = std::snprintf(text.data(), text.size(), "%.*f", digits, std::min(value, kMost));
  return {text.data(), static_cast<std::size_t>(size)};
}

// "CLASS prompt TOKENS prefix TOKENS aim SECONDS token SECONDS worth WORTH"
inline std::string askedFor(const ClassSettings& c, const RequestPayload& work) {
  const double aim = c.ttftObjective.count() + c.ttftObjectivePerToken.count() * work.promptTokens;
  return work.requestClass + " prompt " + std::to_string(work.promptTokens) + " prefix " +
         std::to_string(work.prefixTokens) + " aim " + textOf(aim, 3) + " token " +
         textOf(c.interTokenObjective.count(), 3) + " worth " + textOf(c.priorityWeight, 2);
}

// "expects SECONDS", and for a read "kept TOKENS"
inline std::string expectationOf(const StartAttempt& send, bool reads) {
  return "expects " + textOf(send.expectedDuration.count(), 3) +
         (reads ? " kept " + textOf(send.expectedCachedTokens, 0) : "");
}

}  // namespace gannetcourse::router
