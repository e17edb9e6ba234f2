#include "event_decoder.h"

#include <cstdint>
#include <map>

#include "instance/json_fields.h"
#include "instance/load_metrics.h"

namespace gannetcourse::wire {
namespace {

using instance::arrayOrEmpty;
using instance::asNumber;
using instance::asUnsigned;
using instance::boolOrFalse;
using instance::findField;
using instance::indexOf;
using instance::InstanceNames;
using instance::Json;
using instance::MalformedInput;
using instance::numberOr;
using instance::requireField;
using instance::requireString;
using instance::secondsOr;
using instance::stringOr;
using instance::throwWrongType;
using instance::unsignedOr;

constexpr std::uint64_t kMaxAttemptNumber = 1U << 30;

int attemptNumber(const Json& fields) {
  return static_cast<int>(unsignedOr(fields, "sendNo", 0, kMaxAttemptNumber));
}

EngineId engineId(const Json& fields) {
  return {static_cast<std::uint32_t>(asUnsigned(requireField(fields, "engine"), "engine", UINT32_MAX))};
}

RequestId requestId(const Json& fields) { return {requireString(fields, "tid")}; }

EngineEntry::State decodeEngineState(const std::string& status) {
  if (status == "SERVING") return EngineEntry::State::kServing;
  if (status == "DRAINING") return EngineEntry::State::kDraining;
  if (status == "DELETED") return EngineEntry::State::kRemoved;
  throw MalformedInput("unknown status '" + status + "'; expected SERVING, DRAINING or DELETED");
}

EngineEntry decodeEntry(const Json& object, const InstanceNames& names) {
  if (!object.is_object()) throwWrongType("lines", "an array of objects");
  EngineEntry entry;
  entry.id = engineId(object);
  entry.state = decodeEngineState(requireString(object, "status"));
  names.describeEngine(entry, stringOr(object, "classOfHost", ""), stringOr(object, "rackZone", ""));
  entry.cell = static_cast<std::uint32_t>(unsignedOr(object, "cell", 0, UINT32_MAX));
  const double startedAt = numberOr(object, "launchedS", 0);
  if (startedAt > 0) entry.startedAt = Instant(Duration(startedAt));
  return entry;
}

EngineListUpdate decodeEngineList(const Json& fields, const InstanceNames& names) {
  static const std::map<std::string, EngineListUpdate::Scope> kScopes = {
      {"INCREMENTAL", EngineListUpdate::Scope::kDelta},
      {"FULL", EngineListUpdate::Scope::kSnapshot},
      {"SAVED", EngineListUpdate::Scope::kCached},
      {"FAILED", EngineListUpdate::Scope::kFetchFailed}};
  const auto scope = kScopes.find(requireString(fields, "scope"));
  if (scope == kScopes.end())
    throw MalformedInput("unknown scope '" + requireString(fields, "scope") +
                         "'; expected INCREMENTAL, FULL, SAVED or FAILED");
  EngineListUpdate update;
  update.scope = scope->second;
  for (const Json& entry : arrayOrEmpty(fields, "lines")) update.entries.push_back(decodeEntry(entry, names));
  return update;
}

RequestArrived decodeRequest(const Json& fields, const InstanceNames& names) {
  RequestArrived request;
  request.id = requestId(fields);
  const auto classIndex = indexOf(names.classes, requireString(fields, "category"));
  if (!classIndex) throw MalformedInput("unknown category '" + requireString(fields, "category") + "'");
  request.classIndex = *classIndex;
  const Json* tenant = findField(fields, "tenant");
  if (tenant != nullptr && tenant->is_string())
    request.tenant = indexOf(names.tenants, tenant->get<std::string>());
  request.isRetry = boolOrFalse(fields, "isRetry");
  request.timeUntilDeadline = Duration(asNumber(requireField(fields, "timeBudgetS"), "timeBudgetS"));
  request.sessionKey = instance::hexKeyOrZero(fields, "session");
  request.prefixKey = instance::hexKeyOrZero(fields, "prefix");
  request.prefixTokens = numberOr(fields, "sharedLen", 0);
  request.promptTokens = numberOr(fields, "promptLen", 0);
  request.maxOutputTokens = numberOr(fields, "nMax", 0);
  const double estimate = numberOr(fields, "estimateS", 0);
  if (estimate > 0) request.expectedOutputDuration = Duration(estimate);
  return request;
}

std::optional<LoadReport> decodeLoadReport(const Json& fields) {
  const Json* metrics = findField(fields, "metrics");
  if (metrics == nullptr) return std::nullopt;
  if (!metrics->is_object()) throwWrongType("metrics", "an object");
  LoadReport load;
  for (const auto& [name, value] : metrics->items()) {
    if (instance::isLoadMetric(name) && !value.is_null())
      instance::setLoadMetric(load, name, asNumber(value, name.c_str()));
  }
  return load;
}

Outcome decodeOutcome(const Json& fields) {
  static const std::map<std::string, Outcome> kOutcomes = {{"OK", Outcome::kOk},
                                                           {"INTERNAL", Outcome::kError},
                                                           {"RESOURCE_EXHAUSTED", Outcome::kRejected},
                                                           {"DEADLINE_EXCEEDED", Outcome::kTimeout},
                                                           {"UNAVAILABLE", Outcome::kConnectFailed},
                                                           {"ABORTED", Outcome::kReset},
                                                           {"CANCELLED", Outcome::kCancelled},
                                                           {"TOO_LATE", Outcome::kNotSent},
                                                           {"prefilled", Outcome::kPrefilled}};
  const auto found = kOutcomes.find(requireString(fields, "outcome"));
  if (found == kOutcomes.end())
    throw MalformedInput("unknown outcome '" + requireString(fields, "outcome") + "'");
  const bool stateLost = found->second == Outcome::kRejected && numberOr(fields, "detail", 0) == 1;
  return stateLost ? Outcome::kStateLost : found->second;
}

AttemptEnded decodeAttemptEnded(const Json& fields) {
  AttemptEnded ended;
  ended.id = requestId(fields);
  ended.attempt = attemptNumber(fields);
  ended.engine = engineId(fields);
  ended.outcome = decodeOutcome(fields);
  ended.requestFinished = boolOrFalse(fields, "settled");
  if (ended.outcome == Outcome::kOk || ended.outcome == Outcome::kPrefilled)
    ended.cachedTokens = numberOr(fields, "detail", 0);
  ended.elapsed = secondsOr(fields, "delaySeenS", 0);
  ended.load = decodeLoadReport(fields);
  return ended;
}

}  // namespace

std::optional<Event> decodeEvent(const std::string& name, const Json& fields, const InstanceNames& names) {
  if (name == "sync") return decodeEngineList(fields, names);
  if (name == "demand") return decodeRequest(fields, names);
  if (name == "resolved") return decodeAttemptEnded(fields);
  if (name == "streaming") {
    return StreamStarted{requestId(fields), attemptNumber(fields), engineId(fields),
                         secondsOr(fields, "delaySeenS", 0)};
  }
  if (name == "probeResult") {
    return ProbeEnded{engineId(fields), decodeOutcome(fields), secondsOr(fields, "delaySeenS", 0),
                      decodeLoadReport(fields)};
  }
  if (name == "holdResult") {
    return ReservationResult{requestId(fields), engineId(fields),
                             asUnsigned(requireField(fields, "kind"), "kind", 255) == 1};
  }
  if (name == "elapsed") return TimerFired{requireString(fields, "cookie")};
  if (name == "vanished") return ClientDisconnected{requestId(fields)};
  if (name == "inbox") return std::nullopt;
  throw MalformedInput("unknown message '" + name + "'");
}

}  // namespace gannetcourse::wire
