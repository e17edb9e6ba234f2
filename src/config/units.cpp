#include "config/units.h"

#include <charconv>
#include <cmath>
#include <cstdio>

namespace gannetcourse::config {
namespace {

struct Unit {
  std::string_view name;
  double factor;
};
constexpr Unit kDurationUnits[] = {{"us", 1e-6}, {"ms", 1e-3}, {"min", 60}, {"s", 1}};
constexpr Unit kSizeUnits[] = {{"KiB", 1024}, {"MiB", 1024.0 * 1024}, {"GiB", 1024.0 * 1024 * 1024}, {"", 1}};

// Parses a number followed by one of the units; returns its value times the unit's factor.
template <std::size_t kCount>
std::optional<double> parseWithUnit(std::string_view text, const Unit (&units)[kCount]) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || value < 0 || !std::isfinite(value)) return std::nullopt;
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  for (const Unit& known : units) {
    if (known.name == unit) return value * known.factor;
  }
  return std::nullopt;
}

std::string formatWithUnit(double value, const char* unit) {
  char buffer[64];
  std::snprintf(buffer, sizeof buffer, "%.6g%s", value, unit);
  return buffer;
}

}  // namespace

std::optional<Duration> parseDuration(std::string_view text) {
  const auto seconds = parseWithUnit(text, kDurationUnits);
  return seconds ? std::optional(Duration(*seconds)) : std::nullopt;
}

std::string formatDuration(Duration duration) {
  const double seconds = duration.count();
  if (seconds >= 1) return formatWithUnit(seconds, "s");
  if (seconds >= 1e-3) return formatWithUnit(seconds * 1e3, "ms");
  return formatWithUnit(seconds * 1e6, "us");
}

std::optional<std::uint64_t> parseBytes(std::string_view text) {
  const auto bytes = parseWithUnit(text, kSizeUnits);
  return bytes ? std::optional(static_cast<std::uint64_t>(*bytes)) : std::nullopt;
}

}  // namespace gannetcourse::config
