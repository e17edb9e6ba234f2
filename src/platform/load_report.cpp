#include "platform/load_report.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>

#include "instance/load_metrics.h"
#include "platform/text_util.h"

namespace gannetcourse::platform {
namespace {

constexpr std::string_view kFormatPrefix = "TEXT ";

// Parses a finite, non-negative number.
std::optional<double> parseMetricValue(std::string_view digits) {
  double value = 0;
  const char* const end = digits.data() + digits.size();
  const auto [parsedTo, error] = std::from_chars(digits.data(), end, value);
  const bool complete = error == std::errc() && parsedTo == end && !digits.empty();
  if (!complete || !std::isfinite(value) || value < 0) return std::nullopt;
  return value;
}

}  // namespace

std::optional<LoadReport> parseLoadReport(std::string_view text) {
  text = trimmed(text);
  if (text.substr(0, kFormatPrefix.size()) != kFormatPrefix) return std::nullopt;
  text.remove_prefix(kFormatPrefix.size());
  LoadReport load;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.size(), text.find(','));
    const std::string_view pair = trimmed(text.substr(0, comma));
    text.remove_prefix(std::min(text.size(), comma + 1));
    const auto equals = pair.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const std::optional<double> value = parseMetricValue(trimmed(pair.substr(equals + 1)));
    if (!value) return std::nullopt;
    const std::string_view path = trimmed(pair.substr(0, equals));
    const std::string_view name = path.substr(path.rfind('.') + 1);  // the whole path if it has no dot
    instance::setLoadMetric(load, std::string(name), *value);
  }
  return load;
}

}  // namespace gannetcourse::platform
