#include "platform/events.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <utility>

#include "instance/instance.h"

namespace gannetcourse::platform {
namespace {

constexpr std::string_view kData = "data:", kReport = "X-Load-Report:", kEnd = "[DONE]";
constexpr std::size_t kMostEvent = 64 * 1024;

std::string_view trimmed(std::string_view text) {
  const auto from = text.find_first_not_of(" \t\r");
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t\r") - from + 1);
}

// One past the empty line that ends the event which begins at `from`, lines ending as they may; npos where it
// has not come.
std::size_t eventEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
    std::size_t next = at + 1;
    if (next < text.size() && text[next] == '\r') ++next;
    if (next < text.size() && text[next] == '\n') return next + 1;
  }
  return std::string_view::npos;
}

std::size_t pairEnd(std::string_view text) { return std::min(text.size(), text.find(',')); }

// The number at a path of names, 0 where there is none.
double numberAt(const instance::Json& event, std::initializer_list<const char*> path) {
  const instance::Json* at = &event;
  for (const char* const key : path) {
    if (!at->is_object() || !at->contains(key)) return 0;
    at = &(*at)[key];
  }
  return at->is_number() ? at->get<double>() : 0;
}

}  // namespace

std::optional<LoadReport> parseLoadReport(std::string_view text) {
  text = trimmed(text);
  constexpr std::string_view kForm = "TEXT ";
  if (text.substr(0, kForm.size()) != kForm) return std::nullopt;
  text.remove_prefix(kForm.size());
  LoadReport load;
  while (!text.empty()) {
    const std::string_view pair = trimmed(text.substr(0, pairEnd(text)));
    text.remove_prefix(std::min(text.size(), pairEnd(text) + 1));
    const auto equals = pair.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    const std::string_view digits = trimmed(pair.substr(equals + 1));
    double value = 0;
    const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool whole = fault == std::errc() && end == digits.data() + digits.size() && !digits.empty();
    if (!whole || !std::isfinite(value) || value < 0) return std::nullopt;
    const std::string_view name = trimmed(pair.substr(0, equals));
    instance::setLoadMetric(load, std::string(name.substr(name.rfind('.') + 1)), value);
  }
  return load;
}

bool EventStreamDecoder::feed(std::string_view bytes, const std::function<void(std::string event)>& tell) {
  partialEvent_.append(bytes);
  std::size_t from = 0;
  for (;;) {
    const std::size_t end = eventEnd(partialEvent_, from);
    if (end == std::string_view::npos) break;
    if (!decodeEvent(std::string_view(partialEvent_).substr(from, end - from), tell)) return false;
    from = end;
  }
  partialEvent_.erase(0, from);
  // What has begun must already look like an event.
  const std::size_t told = std::min(partialEvent_.size(), kData.size());
  const bool begins = partialEvent_.empty() || partialEvent_[0] == ':' || partialEvent_[0] == '\n' ||
                      partialEvent_[0] == '\r' ||
                      std::string_view(partialEvent_).substr(0, told) == kData.substr(0, told);
  return begins && partialEvent_.size() <= kMostEvent;
}

bool EventStreamDecoder::decodeEvent(std::string_view event,
                                     const std::function<void(std::string event)>& tell) {
  std::string told;
  bool data = false;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    const std::string_view raw = event.substr(0, end == std::string_view::npos ? event.size() : end + 1);
    const std::string_view line = trimmed(raw.substr(0, end));
    event.remove_prefix(raw.size());
    if (!line.empty() && line[0] == ':') {
      readComment(trimmed(line.substr(1)));
      continue;
    }
    told.append(raw);
    if (line.empty()) continue;
    if (line.substr(0, kData.size()) != kData) return false;
    data = true;
    const std::string_view value = trimmed(line.substr(kData.size()));
    if (value == kEnd) complete_ = true;
    if (value.find("\"usage\"") != std::string_view::npos) readUsage(value);
  }
  if (data) tell(std::move(told));
  return true;
}

void EventStreamDecoder::readUsage(std::string_view data) {
  const instance::Json event = instance::Json::parse(data, nullptr, false);
  cachedTokens_ =
      std::max(cachedTokens_, numberAt(event, {"usage", "prompt_tokens_details", "cached_tokens"}));
  generatedTokens_ = std::max(generatedTokens_, numberAt(event, {"usage", "completion_tokens"}));
}

void EventStreamDecoder::readComment(std::string_view comment) {
  if (comment.substr(0, kReport.size()) == kReport)
    loadReport_ = parseLoadReport(comment.substr(kReport.size()));
}

bool EventStreamDecoder::finish(const std::function<void(std::string event)>& tell) {
  const std::string rest = std::exchange(partialEvent_, {});
  return decodeEvent(rest, tell) && complete_;
}

}  // namespace gannetcourse::platform
