#include "instance/instance.h"

#include <array>
#include <utility>

namespace gannetcourse::instance {

const Json* findField(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& requireField(const Json& object, const char* key) {
  const Json* value = findField(object, key);
  if (value == nullptr) throw MalformedInput(std::string("field '") + key + "' is missing");
  return *value;
}

[[noreturn]] void throwWrongType(const char* key, const char* wanted) {
  throw MalformedInput(std::string("field '") + key + "' is not " + wanted);
}

std::string asString(const Json& value, const char* key) {
  if (!value.is_string()) throwWrongType(key, "a string");
  return value.get<std::string>();
}

double asNumber(const Json& value, const char* key) {
  if (!value.is_number()) throwWrongType(key, "a number");
  return value.get<double>();
}

bool asBool(const Json& value, const char* key) {
  if (!value.is_boolean()) throwWrongType(key, "true or false");
  return value.get<bool>();
}

std::uint64_t asUnsigned(const Json& value, const char* key, std::uint64_t most) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > most)
    throwWrongType(key, "an integer in range");
  return value.get<std::uint64_t>();
}

std::string requireString(const Json& object, const char* key) {
  return asString(requireField(object, key), key);
}

double numberOr(const Json& object, const char* key, double otherwise) {
  const Json* value = findField(object, key);
  return value == nullptr ? otherwise : asNumber(*value, key);
}

Duration secondsOr(const Json& object, const char* key, double otherwise) {
  return Duration(numberOr(object, key, otherwise));
}

bool boolOrFalse(const Json& object, const char* key) {
  const Json* value = findField(object, key);
  return value != nullptr && asBool(*value, key);
}

std::string stringOr(const Json& object, const char* key, const char* otherwise) {
  const Json* value = findField(object, key);
  return value == nullptr ? otherwise : asString(*value, key);
}

std::size_t unsignedOr(const Json& object, const char* key, std::uint64_t otherwise, std::uint64_t most) {
  const Json* value = findField(object, key);
  return value == nullptr ? otherwise : asUnsigned(*value, key, most);
}

std::optional<std::uint64_t> parseHexKey(const std::string& digits) {
  if (digits.empty() || digits.size() > 16 ||
      digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(digits, nullptr, 16);
}

std::uint64_t hexKeyOrZero(const Json& object, const char* name) {
  const Json* value = findField(object, name);
  if (value == nullptr) return 0;
  const std::optional<std::uint64_t> key = parseHexKey(asString(*value, name));
  if (!key) throwWrongType(name, "a key of hex digits");
  return *key;
}

const Json& objectOrEmpty(const Json& object, const char* name) {
  static const Json kEmpty = Json::object();
  const Json* value = findField(object, name);
  if (value == nullptr) return kEmpty;
  if (!value->is_object()) throwWrongType(name, "an object");
  return *value;
}

const Json& arrayOrEmpty(const Json& object, const char* name) {
  static const Json kEmpty = Json::array();
  const Json* value = findField(object, name);
  if (value == nullptr) return kEmpty;
  if (!value->is_array()) throwWrongType(name, "an array");
  return *value;
}

std::optional<std::size_t> indexOf(const std::vector<std::string>& names, const std::string& name) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return i;
  }
  return std::nullopt;
}

namespace {

std::vector<std::string> strings(const Json& object, const char* name) {
  std::vector<std::string> values;
  for (const Json& value : arrayOrEmpty(object, name)) values.push_back(asString(value, name));
  return values;
}

std::vector<double> numbers(const Json& object, const char* name) {
  std::vector<double> values;
  for (const Json& value : arrayOrEmpty(object, name)) values.push_back(asNumber(value, name));
  return values;
}

Idempotency effectOf(const std::string& name) {
  if (name == "idempotent") return Idempotency::kIdempotent;
  if (name == "deduplicated") return Idempotency::kIdempotencyKey;
  if (name == "at_most_once") return Idempotency::kAtMostOnce;
  throw MalformedInput("unknown idempotency '" + name + "'");
}

DedupScope groupOf(const std::string& name) {
  if (name == "all") return DedupScope::kAll;
  if (name == "zone") return DedupScope::kZone;
  if (name == "cell") return DedupScope::kCell;
  throw MalformedInput("unknown group '" + name + "'");
}

Role roleOf(const std::string& name) {
  if (name == "read") return Role::kPrefill;
  if (name == "write") return Role::kDecode;
  return name == "both" ? Role::kMixed : Role::kUnknown;
}

std::vector<ClassSettings> readClasses(const Json& options, const Json& family, InstanceNames& names) {
  const std::vector<double> perThousand = numbers(family, "aimUsPer1000PromptTokens");
  names.interTokenObjectives = numbers(family, "tokenAimS");
  std::vector<ClassSettings> classes;
  for (const Json& entry : arrayOrEmpty(options, "classes")) {
    if (!entry.is_object()) throwWrongType("classes", "an array of objects");
    const std::size_t at = classes.size();
    names.classes.push_back(requireString(entry, "name"));
    ClassSettings one;
    one.ttftObjective = Duration(asNumber(requireField(entry, "aimS"), "aimS"));
    if (at < perThousand.size()) one.ttftObjectivePerToken = Duration(perThousand[at] * 1e-9);
    if (at < names.interTokenObjectives.size())
      one.interTokenObjective = Duration(names.interTokenObjectives[at]);
    one.priorityWeight = numberOr(entry, "worth", 1);
    one.lateWeight = numberOr(entry, "lateWorth", 0);
    one.idempotency = effectOf(requireString(entry, "idempotency"));
    one.dedupScope = groupOf(stringOr(entry, "group", "all"));
    one.dedupWindow = secondsOr(entry, "dedupWindowS", 0);
    classes.push_back(one);
  }
  return classes;
}

std::vector<TenantSettings> readTenants(const Json& options, InstanceNames& names) {
  std::vector<TenantSettings> tenants;
  for (const Json& entry : arrayOrEmpty(options, "tenants")) {
    if (!entry.is_object()) throwWrongType("tenants", "an array of objects");
    names.tenants.push_back(requireString(entry, "name"));
    tenants.push_back({numberOr(entry, "portion", 0), numberOr(entry, "quotaRps", 0)});
  }
  return tenants;
}

}  // namespace

Settings readSettings(const Json& options, std::uint64_t seed, InstanceNames& names) {
  const Json& family = objectOrEmpty(options, "familyInfo");
  const Json& limits = objectOrEmpty(options, "limits");
  const Json& rules = objectOrEmpty(options, "rules");
  Settings s;
  s.seed = seed;
  s.routerCount = static_cast<int>(unsignedOr(options, "balancers", 1, 1U << 20));
  names.zones = strings(options, "zones");
  names.engineKinds = strings(options, "kinds");
  names.kindRoles = strings(family, "kindRole");
  names.kindMemoryTokens = numbers(family, "kindMemoryTokens");
  s.zone = names.zoneIndex(stringOr(options, "zone", ""));
  s.classes = readClasses(options, family, names);
  s.tenants = readTenants(options, names);
  s.overQuotaWeight = numberOr(options, "overShareWorth", 1);
  s.weightByTokens = stringOr(options, "worthBy", "request") == "work";
  s.subscribeToDiscovery = stringOr(options, "membershipMode", "push") == "ask";
  const std::string via = stringOr(objectOrEmpty(options, "reporting"), "via", "silent");
  s.loadReportSource = via == "piggyback" ? LoadReportSource::kResponses
                       : via == "pull"    ? LoadReportSource::kProbes
                                          : LoadReportSource::kNone;
  s.probesAllowed = boolOrFalse(limits, "probes");
  s.cancelAllowed = boolOrFalse(limits, "mayCancel");
  s.reserveAllowed = boolOrFalse(family, "mayReserve");
  s.clientsHonorRetryAfter = boolOrFalse(limits, "retryAfter");
  s.decodeCanPrefill = boolOrFalse(family, "selfPrefill");
  s.maxAttempts = static_cast<int>(unsignedOr(limits, "maxAttempts", 1, 1U << 20));
  s.maxRetryAfter = secondsOr(limits, "maxRetryAfterS", 0);
  s.connectTimeout = secondsOr(limits, "connectTimeoutS", 0);
  s.stateLeaseLimit = secondsOr(family, "pinLimitS", 0);
  s.responseGrace = secondsOr(rules, "answerSlackS", 0);
  s.tick = secondsOr(options, "tickS", 0);
  s.slowStartWindow = secondsOr(rules, "fallS", 0);
  s.slowStartOverloadFactor = numberOr(rules, "overloadFactor", 1);
  s.slowStartInitialCapacity = numberOr(rules, "startCapacity", 1);
  s.slowStartDuration = secondsOr(rules, "warmAfterS", 0);
  s.probeCost = numberOr(objectOrEmpty(options, "tariffs"), "probe", 0);
  return s;
}

std::uint32_t InstanceNames::zoneIndex(const std::string& name) const {
  return static_cast<std::uint32_t>(indexOf(zones, name).value_or(zones.size()));
}

void InstanceNames::describeEngine(EngineEntry& server, const std::string& kind,
                                   const std::string& zoneName) const {
  const auto at = indexOf(engineKinds, kind);
  if (at && *at < kindRoles.size()) server.role = roleOf(kindRoles[*at]);
  if (at && *at < kindMemoryTokens.size()) server.memoryTokens = kindMemoryTokens[*at];
  server.zone = zoneIndex(zoneName);
}

namespace {

struct Indicator {
  const char* name;
  std::optional<double> LoadReport::*field;
  double unit;
};
// As the simulator's wire names them, and as the sockets' reports do.
constexpr std::array<Indicator, 8> kIndicators{{{"concurrent", &LoadReport::requestsInFlight, 1},
                                                {"inflight", &LoadReport::requestsInFlight, 1},
                                                {"depth", &LoadReport::requestsQueued, 1},
                                                {"queue", &LoadReport::requestsQueued, 1},
                                                {"load_share", &LoadReport::slotUtilization, 1},
                                                {"util", &LoadReport::slotUtilization, 1},
                                                {"x0", &LoadReport::memoryUtilization, 1},
                                                {"x1", &LoadReport::queuedPrefillTokens, 1000}}};

const Indicator* indicator(const std::string& name) {
  for (const Indicator& one : kIndicators) {
    if (name == one.name) return &one;
  }
  return nullptr;
}

}  // namespace

bool isLoadMetric(const std::string& name) { return indicator(name) != nullptr; }

void setLoadMetric(LoadReport& load, const std::string& name, double value) {
  const Indicator* const one = indicator(name);
  if (one != nullptr) load.*(one->field) = value * one->unit;
}

}  // namespace gannetcourse::instance
