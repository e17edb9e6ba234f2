// Helpers for parsing header fields and events.
#pragma once

#include <string_view>

namespace gannetcourse::platform {

/// `text` without leading and trailing spaces, tabs and carriage returns.
inline std::string_view trimmed(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r";
  const auto first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) return {};
  const auto last = text.find_last_not_of(kWhitespace);
  return text.substr(first, last - first + 1);
}

}  // namespace gannetcourse::platform
