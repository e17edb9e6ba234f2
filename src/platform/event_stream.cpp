#include "platform/event_stream.h"

#include <algorithm>
#include <initializer_list>
#include <utility>

#include "instance/json_fields.h"
#include "platform/load_report.h"
#include "platform/text_util.h"

namespace gannetcourse::platform {
namespace {

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kLoadReportComment = "X-Load-Report:";
constexpr std::string_view kLastEvent = "[DONE]";
constexpr std::string_view kUsageKey = "\"usage\"";
constexpr std::size_t kMaxEventBytes = 64 * 1024;

// The position after the empty line that ends the event starting at `from`, or npos if the event is
// incomplete. Lines end in LF or CRLF.
std::size_t eventEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
    std::size_t next = at + 1;
    if (next < text.size() && text[next] == '\r') ++next;
    if (next < text.size() && text[next] == '\n') return next + 1;
  }
  return std::string_view::npos;
}

// The number at the path of nested keys, or 0 if it is missing or not a number.
double numberAt(const instance::Json& event, std::initializer_list<const char*> path) {
  const instance::Json* value = &event;
  for (const char* const key : path) {
    if (!value->is_object() || !value->contains(key)) return 0;
    value = &(*value)[key];
  }
  return value->is_number() ? value->get<double>() : 0;
}

}  // namespace

bool EventStreamDecoder::feed(std::string_view bytes, const EventHandler& onEvent) {
  partialEvent_.append(bytes);
  std::size_t from = 0;
  for (;;) {
    const std::size_t end = eventEnd(partialEvent_, from);
    if (end == std::string_view::npos) break;
    if (!decodeEvent(std::string_view(partialEvent_).substr(from, end - from), onEvent)) return false;
    from = end;
  }
  partialEvent_.erase(0, from);
  net::releaseUnusedBytes(partialEvent_);
  return startsLikeEvent() && partialEvent_.size() <= kMaxEventBytes;
}

// Whether the incomplete event starts like a valid one. Invalid data is rejected at its first bytes, without
// waiting for an empty line.
bool EventStreamDecoder::startsLikeEvent() const {
  if (partialEvent_.empty()) return true;
  const char first = partialEvent_[0];
  if (first == ':' || first == '\n' || first == '\r') return true;
  const std::size_t comparable = std::min(partialEvent_.size(), kDataField.size());
  return std::string_view(partialEvent_).substr(0, comparable) == kDataField.substr(0, comparable);
}

bool EventStreamDecoder::decodeEvent(std::string_view event, const EventHandler& onEvent) {
  std::string withoutComments;
  bool hasData = false;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    const std::string_view raw = event.substr(0, end == std::string_view::npos ? event.size() : end + 1);
    const std::string_view line = trimmed(raw.substr(0, end));
    event.remove_prefix(raw.size());
    if (!line.empty() && line[0] == ':') {
      readComment(trimmed(line.substr(1)));
      continue;
    }
    withoutComments.append(raw);
    if (line.empty()) continue;
    if (!decodeDataLine(line)) return false;
    hasData = true;
  }
  if (hasData) onEvent(std::move(withoutComments));
  return true;
}

bool EventStreamDecoder::decodeDataLine(std::string_view line) {
  if (line.substr(0, kDataField.size()) != kDataField) return false;
  const std::string_view value = trimmed(line.substr(kDataField.size()));
  if (value == kLastEvent) complete_ = true;
  if (value.find(kUsageKey) != std::string_view::npos) readUsage(value);
  return true;
}

void EventStreamDecoder::readUsage(std::string_view data) {
  const instance::Json event = instance::Json::parse(data, nullptr, false);
  cachedTokens_ =
      std::max(cachedTokens_, numberAt(event, {"usage", "prompt_tokens_details", "cached_tokens"}));
  generatedTokens_ = std::max(generatedTokens_, numberAt(event, {"usage", "completion_tokens"}));
}

void EventStreamDecoder::readComment(std::string_view comment) {
  if (comment.substr(0, kLoadReportComment.size()) != kLoadReportComment) return;
  loadReport_ = parseLoadReport(comment.substr(kLoadReportComment.size()));
}

bool EventStreamDecoder::finish(const EventHandler& onEvent) {
  const std::string rest = std::exchange(partialEvent_, {});
  return decodeEvent(rest, onEvent) && complete_;
}

}  // namespace gannetcourse::platform
