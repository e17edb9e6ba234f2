#include "instance/instance.h"

#include <array>
#include <utility>

namespace gannetcourse::instance {

const Json* find(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& need(const Json& object, const char* key) {
  const Json* value = find(object, key);
  if (value == nullptr) throw Malformed(std::string("field '") + key + "' is missing");
  return *value;
}

[[noreturn]] void wrongType(const char* key, const char* wanted) {
  throw Malformed(std::string("field '") + key + "' is not " + wanted);
}

std::string asText(const Json& value, const char* key) {
  if (!value.is_string()) wrongType(key, "a string");
  return value.get<std::string>();
}

double asNumber(const Json& value, const char* key) {
  if (!value.is_number()) wrongType(key, "a number");
  return value.get<double>();
}

bool asBool(const Json& value, const char* key) {
  if (!value.is_boolean()) wrongType(key, "true or false");
  return value.get<bool>();
}

std::uint64_t asUnsigned(const Json& value, const char* key, std::uint64_t most) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > most) wrongType(key, "an integer in range");
  return value.get<std::uint64_t>();
}

std::string text(const Json& object, const char* key) { return asText(need(object, key), key); }

double number(const Json& object, const char* key, double otherwise) {
  const Json* value = find(object, key);
  return value == nullptr ? otherwise : asNumber(*value, key);
}

Duration seconds(const Json& object, const char* key, double otherwise) {
  return Duration(number(object, key, otherwise));
}

bool flag(const Json& object, const char* key) {
  const Json* value = find(object, key);
  return value != nullptr && asBool(*value, key);
}

std::string word(const Json& object, const char* key, const char* otherwise) {
  const Json* value = find(object, key);
  return value == nullptr ? otherwise : asText(*value, key);
}

std::size_t integer(const Json& object, const char* key, std::uint64_t otherwise, std::uint64_t most) {
  const Json* value = find(object, key);
  return value == nullptr ? otherwise : asUnsigned(*value, key, most);
}

std::optional<std::uint64_t> hexKey(const std::string& digits) {
  if (digits.empty() || digits.size() > 16 ||
      digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(digits, nullptr, 16);
}

std::uint64_t key(const Json& object, const char* name) {
  const Json* value = find(object, name);
  if (value == nullptr) return 0;
  const std::optional<std::uint64_t> key = hexKey(asText(*value, name));
  if (!key) wrongType(name, "a key of hex digits");
  return *key;
}

const Json& part(const Json& object, const char* name) {
  static const Json kEmpty = Json::object();
  const Json* value = find(object, name);
  if (value == nullptr) return kEmpty;
  if (!value->is_object()) wrongType(name, "an object");
  return *value;
}

const Json& list(const Json& object, const char* name) {
  static const Json kEmpty = Json::array();
  const Json* value = find(object, name);
  if (value == nullptr) return kEmpty;
  if (!value->is_array()) wrongType(name, "an array");
  return *value;
}

std::optional<std::size_t> position(const std::vector<std::string>& names, const std::string& name) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return i;
  }
  return std::nullopt;
}

namespace {

std::vector<std::string> strings(const Json& object, const char* name) {
  std::vector<std::string> values;
  for (const Json& value : list(object, name)) values.push_back(asText(value, name));
  return values;
}

std::vector<double> numbers(const Json& object, const char* name) {
  std::vector<double> values;
  for (const Json& value : list(object, name)) values.push_back(asNumber(value, name));
  return values;
}

Idempotency effectOf(const std::string& name) {
  if (name == "idempotent") return Idempotency::kIdempotent;
  if (name == "deduplicated") return Idempotency::kIdempotencyKey;
  if (name == "at_most_once") return Idempotency::kAtMostOnce;
  throw Malformed("unknown idempotency '" + name + "'");
}

DedupScope groupOf(const std::string& name) {
  if (name == "all") return DedupScope::kAll;
  if (name == "zone") return DedupScope::kZone;
  if (name == "cell") return DedupScope::kCell;
  throw Malformed("unknown group '" + name + "'");
}

Role roleOf(const std::string& name) {
  if (name == "read") return Role::kPrefill;
  if (name == "write") return Role::kDecode;
  return name == "both" ? Role::kMixed : Role::kUnknown;
}

std::vector<ClassSettings> readClasses(const Json& options, const Json& family, Names& names) {
  const std::vector<double> perThousand = numbers(family, "aimUsPer1000PromptTokens");
  names.tokenAim = numbers(family, "tokenAimS");
  std::vector<ClassSettings> classes;
  for (const Json& entry : list(options, "classes")) {
    if (!entry.is_object()) wrongType("classes", "an array of objects");
    const std::size_t at = classes.size();
    names.classes.push_back(text(entry, "name"));
    ClassSettings one;
    one.ttftObjective = Duration(asNumber(need(entry, "aimS"), "aimS"));
    if (at < perThousand.size()) one.ttftObjectivePerToken = Duration(perThousand[at] * 1e-9);
    if (at < names.tokenAim.size()) one.interTokenObjective = Duration(names.tokenAim[at]);
    one.priorityWeight = number(entry, "worth", 1);
    one.lateWeight = number(entry, "lateWorth", 0);
    one.idempotency = effectOf(text(entry, "idempotency"));
    one.dedupScope = groupOf(word(entry, "group", "all"));
    one.dedupWindow = seconds(entry, "dedupWindowS", 0);
    classes.push_back(one);
  }
  return classes;
}

std::vector<TenantSettings> readTenants(const Json& options, Names& names) {
  std::vector<TenantSettings> tenants;
  for (const Json& entry : list(options, "tenants")) {
    if (!entry.is_object()) wrongType("tenants", "an array of objects");
    names.tenants.push_back(text(entry, "name"));
    tenants.push_back({number(entry, "portion", 0), number(entry, "quotaRps", 0)});
  }
  return tenants;
}

}  // namespace

Settings readSettings(const Json& options, std::uint64_t seed, Names& names) {
  const Json& family = part(options, "familyInfo");
  const Json& limits = part(options, "limits");
  const Json& rules = part(options, "rules");
  Settings s;
  s.seed = seed;
  s.routerCount = static_cast<int>(integer(options, "balancers", 1, 1U << 20));
  names.zones = strings(options, "zones");
  names.kinds = strings(options, "kinds");
  names.roles = strings(family, "kindRole");
  names.memory = numbers(family, "kindMemoryTokens");
  s.zone = names.zone(word(options, "zone", ""));
  s.classes = readClasses(options, family, names);
  s.tenants = readTenants(options, names);
  s.overQuotaWeight = number(options, "overShareWorth", 1);
  s.weightByTokens = word(options, "worthBy", "request") == "work";
  s.subscribeToDiscovery = word(options, "membershipMode", "push") == "ask";
  const std::string via = word(part(options, "reporting"), "via", "silent");
  s.loadReportSource = via == "piggyback" ? LoadReportSource::kResponses
                       : via == "pull"    ? LoadReportSource::kProbes
                                          : LoadReportSource::kNone;
  s.probesAllowed = flag(limits, "probes");
  s.cancelAllowed = flag(limits, "mayCancel");
  s.reserveAllowed = flag(family, "mayReserve");
  s.clientsHonorRetryAfter = flag(limits, "retryAfter");
  s.decodeCanPrefill = flag(family, "selfPrefill");
  s.maxAttempts = static_cast<int>(integer(limits, "maxAttempts", 1, 1U << 20));
  s.maxRetryAfter = seconds(limits, "maxRetryAfterS", 0);
  s.connectTimeout = seconds(limits, "connectTimeoutS", 0);
  s.stateLeaseLimit = seconds(family, "pinLimitS", 0);
  s.responseGrace = seconds(rules, "answerSlackS", 0);
  s.tick = seconds(options, "tickS", 0);
  s.slowStartWindow = seconds(rules, "fallS", 0);
  s.slowStartOverloadFactor = number(rules, "overloadFactor", 1);
  s.slowStartInitialCapacity = number(rules, "startCapacity", 1);
  s.slowStartDuration = seconds(rules, "warmAfterS", 0);
  s.probeCost = number(part(options, "tariffs"), "probe", 0);
  return s;
}

std::uint32_t Names::zone(const std::string& name) const {
  return static_cast<std::uint32_t>(position(zones, name).value_or(zones.size()));
}

void Names::describe(EngineEntry& server, const std::string& kind, const std::string& zoneName) const {
  const auto at = position(kinds, kind);
  if (at && *at < roles.size()) server.role = roleOf(roles[*at]);
  if (at && *at < memory.size()) server.memoryTokens = memory[*at];
  server.zone = zone(zoneName);
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

bool isIndicator(const std::string& name) { return indicator(name) != nullptr; }

void take(LoadReport& load, const std::string& name, double value) {
  const Indicator* const one = indicator(name);
  if (one != nullptr) load.*(one->field) = value * one->unit;
}

}  // namespace gannetcourse::instance
