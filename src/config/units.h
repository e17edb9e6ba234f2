// Durations and sizes as settings write them: a number with its unit.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gannetcourse/policy.h"

namespace gannetcourse::config {

/// "250ms", "1.5s", "2min", "40us"; nothing where malformed or negative.
std::optional<Duration> parseDuration(std::string_view text);

/// The duration in the largest of s, ms and us that it fills, with up to six digits.
std::string formatDuration(Duration duration);

/// Bytes from "32KiB", "4MiB", "1GiB" or "100"; nothing where malformed or negative.
std::optional<std::uint64_t> parseBytes(std::string_view text);

}  // namespace gannetcourse::config
