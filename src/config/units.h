// Parses and formats durations and sizes as written in settings: a number with its unit.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gannetcourse/policy.h"

namespace gannetcourse::config {

/// Parses "250ms", "1.5s", "2min" or "40us"; std::nullopt if malformed or negative.
std::optional<Duration> parseDuration(std::string_view text);

/// Formats with up to six significant digits, in s from 1 s, in ms from 1 ms, else in us.
std::string formatDuration(Duration duration);

/// Parses "32KiB", "4MiB", "1GiB" or "100" to bytes; std::nullopt if malformed or negative.
std::optional<std::uint64_t> parseBytes(std::string_view text);

}  // namespace gannetcourse::config
