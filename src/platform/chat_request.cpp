#include "platform/chat_request.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "instance/json_fields.h"

namespace gannetcourse::platform {
namespace {

using instance::Json;

constexpr std::uint64_t kMaxTokens = 1U << 24;
constexpr std::uint64_t kMaxBudgetMs = 3'600'000;
constexpr std::size_t kMaxIdLength = 128;
constexpr double kSecondsPerMicrosecond = 1e-6;
// Bytes per token, to estimate the prompt's length if the client does not state it.
constexpr std::size_t kBytesPerToken = 4;

// Header fields that a request may contain at most once.
constexpr std::array<const char*, 5> kSingleValuedFields = {"X-Call-Id", "X-Call-Class", "X-Route-Hash",
                                                            "X-Budget-Ms", "X-Call-Info"};

// Header fields that are not copied to the request to the engine: hop-by-hop fields, and fields that the node
// sets itself.
constexpr std::array<std::string_view, 14> kFieldsNotForwarded = {
    "Connection",  "Keep-Alive",  "Proxy-Connection",  "Proxy-Authorization",
    "TE",          "Trailer",     "Transfer-Encoding", "Upgrade",
    "Expect",      "Host",        "Content-Length",    "X-Call-Id",
    "X-Budget-Ms", "Content-Type"};

std::optional<std::uint64_t> parseUnsigned(std::string_view text, std::uint64_t max) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [parsedTo, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || parsedTo != end || text.empty() || value > max) return std::nullopt;
  return value;
}

bool isValidId(const std::string& text) {
  if (text.empty() || text.size() > kMaxIdLength) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

// The field's value, or an empty string if the field is missing.
std::string valueOf(const http1::Fields& fields, const char* name) {
  return fields.find(name).value_or(std::string());
}

// The payload member that the X-Call-Info parameter `name` sets, or null if the name is unknown.
std::uint32_t* callInfoMember(router::RequestPayload& payload, std::string_view name) {
  if (name == "prompt_len") return &payload.promptTokens;
  if (name == "prefix_len") return &payload.prefixTokens;
  if (name == "max_out") return &payload.maxOutputTokens;
  return nullptr;
}

// Parses one NAME=VALUE pair of X-Call-Info; ignores unknown names. Returns false if the pair is malformed.
bool parseInfoPair(std::string_view pair, router::NewRequest& request, router::RequestPayload& payload) {
  const auto equals = pair.find('=');
  if (equals == std::string_view::npos) return false;
  const auto nameBegin = pair.find_first_not_of(' ');
  const std::string_view name = pair.substr(nameBegin, equals - nameBegin);
  const std::string_view value = pair.substr(equals + 1);
  if (name == "prefix") {
    const auto key = instance::parseHexKey(std::string(value));
    if (key) request.prefixKey = *key;
    return key.has_value();
  }
  std::uint32_t* const member = callInfoMember(payload, name);
  if (member == nullptr) return true;
  const auto number = parseUnsigned(value, kMaxTokens);
  if (number) *member = static_cast<std::uint32_t>(*number);
  return number.has_value();
}

// Parses X-Call-Info: "prefix=HEX,prompt_len=N,prefix_len=N,max_out=N", each pair optional. Returns false if
// a pair is malformed.
bool parseCallInfo(std::string_view text, router::NewRequest& request, router::RequestPayload& payload) {
  while (!text.empty()) {
    const auto comma = std::min(text.size(), text.find(','));
    if (!parseInfoPair(text.substr(0, comma), request, payload)) return false;
    text.remove_prefix(std::min(text.size(), comma + 1));
  }
  return true;
}

// Whether the comma-separated `list` contains `field`, ignoring case.
bool listContains(std::string_view list, std::string_view field) {
  for (std::size_t from = 0; from < list.size();) {
    const std::size_t end = std::min(list.size(), list.find(',', from));
    const std::size_t first = list.find_first_not_of(" \t", from);
    const std::size_t last = list.find_last_not_of(" \t", end - 1);
    if (first < end && last >= first && http1::equalsIgnoreCase(field, list.substr(first, last + 1 - first)))
      return true;
    from = end + 1;
  }
  return false;
}

// The client's header fields as header lines for the request to the engine. Unknown fields are forwarded too,
// because the fields for API keys and trace ids may have any name. Fields listed in the Connection field are
// hop-by-hop and are not forwarded.
std::string forwardedFields(const http1::Fields& fields) {
  const std::string connectionOptions = valueOf(fields, "Connection");
  std::string lines;
  lines.reserve(fields.textSize());
  fields.forEach([&](std::string_view name, std::string_view value) {
    const auto isSame = [name](std::string_view other) { return http1::equalsIgnoreCase(name, other); };
    if (std::any_of(kFieldsNotForwarded.begin(), kFieldsNotForwarded.end(), isSame)) return;
    if (listContains(connectionOptions, name)) return;
    lines.append(name).append(": ").append(value).append("\r\n");
  });
  return lines;
}

// Parses the header fields with the request's id, class, tenant, deadline, session and expected cost.
// Returns the error to answer with, or nothing if all fields are valid.
std::optional<RequestError> parseFields(const http1::Fields& fields, const instance::InstanceNames& names,
                                        router::NewRequest& request, router::RequestPayload& payload) {
  request.id = valueOf(fields, "X-Call-Id");
  if (!isValidId(request.id)) return RequestError{400, "X-Call-Id is missing or no id"};
  payload.requestClass = valueOf(fields, "X-Call-Class");
  const auto classIndex = instance::indexOf(names.classes, payload.requestClass);
  if (!classIndex) return RequestError{400, "X-Call-Class is missing or unknown"};
  request.classIndex = *classIndex;
  payload.tenant = valueOf(fields, "X-Caller");
  if (!payload.tenant.empty()) request.tenant = instance::indexOf(names.tenants, payload.tenant);
  const auto budgetMs = parseUnsigned(valueOf(fields, "X-Budget-Ms"), kMaxBudgetMs);
  if (!budgetMs || *budgetMs == 0)
    return RequestError{400, "X-Budget-Ms is missing or no number of milliseconds"};
  request.timeUntilDeadline = Duration(static_cast<double>(*budgetMs) / 1000);
  request.deadlineEndsAtFirstToken = true;
  const std::string session = valueOf(fields, "X-Route-Hash");
  const auto sessionKey = instance::parseHexKey(session);
  if (!session.empty() && !sessionKey) return RequestError{400, "X-Route-Hash is no key of hex digits"};
  request.sessionKey = sessionKey.value_or(0);
  request.isRetry = !valueOf(fields, "X-Again").empty();
  const auto costUs = parseUnsigned(valueOf(fields, "X-Call-Cost"), UINT64_MAX);
  if (costUs && *costUs > 0)
    request.expectedOutputDuration = Duration(static_cast<double>(*costUs) * kSecondsPerMicrosecond);
  if (!parseCallInfo(valueOf(fields, "X-Call-Info"), request, payload))
    return RequestError{400, "X-Call-Info cannot be read"};
  return std::nullopt;
}

bool isJsonObject(const std::string& body) {
  return !body.empty() && body.front() == '{' && Json::accept(body);
}

}  // namespace

std::variant<router::NewRequest, RequestError> parseChatRequest(http1::Request& request,
                                                                const instance::InstanceNames& names) {
  for (const char* const field : kSingleValuedFields) {
    if (request.fields.count(field) > 1)
      return RequestError{400, std::string(field) + " comes more than once"};
  }
  router::NewRequest parsed;
  auto payload = std::make_shared<router::RequestPayload>();
  if (const auto error = parseFields(request.fields, names, parsed, *payload)) return *error;
  if (!isJsonObject(request.body)) return RequestError{400, "the body is no JSON object"};
  if (payload->promptTokens == 0)
    payload->promptTokens = static_cast<std::uint32_t>(request.body.size() / kBytesPerToken);
  payload->headerFields = forwardedFields(request.fields);
  payload->target = std::move(request.target);
  payload->prompt = std::move(request.body);
  parsed.payload = std::move(payload);
  return parsed;
}

}  // namespace gannetcourse::platform
