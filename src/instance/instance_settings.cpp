#include "instance/instance_settings.h"

#include <utility>

namespace gannetcourse::instance {
namespace {

constexpr std::uint64_t kMaxCount = 1U << 20;
// Converts "aimUsPer1000PromptTokens", in microseconds for 1000 tokens, to seconds for one token.
constexpr double kSecondsPerTokenPerUnit = 1e-9;

std::vector<std::string> stringArray(const Json& object, const char* key) {
  std::vector<std::string> values;
  for (const Json& value : arrayOrEmpty(object, key)) values.push_back(asString(value, key));
  return values;
}

std::vector<double> numberArray(const Json& object, const char* key) {
  std::vector<double> values;
  for (const Json& value : arrayOrEmpty(object, key)) values.push_back(asNumber(value, key));
  return values;
}

Idempotency idempotencyOf(const std::string& name) {
  if (name == "idempotent") return Idempotency::kIdempotent;
  if (name == "deduplicated") return Idempotency::kIdempotencyKey;
  if (name == "at_most_once") return Idempotency::kAtMostOnce;
  throw MalformedInput("unknown idempotency '" + name +
                       "'; expected idempotent, deduplicated or at_most_once");
}

DedupScope dedupScopeOf(const std::string& name) {
  if (name == "all") return DedupScope::kAll;
  if (name == "zone") return DedupScope::kZone;
  if (name == "cell") return DedupScope::kCell;
  throw MalformedInput("unknown group '" + name + "'; expected all, zone or cell");
}

Role roleOf(const std::string& name) {
  if (name == "read") return Role::kPrefill;
  if (name == "write") return Role::kDecode;
  return name == "both" ? Role::kMixed : Role::kUnknown;
}

LoadReportSource loadReportSourceOf(const std::string& name) {
  if (name == "piggyback") return LoadReportSource::kResponses;
  return name == "pull" ? LoadReportSource::kProbes : LoadReportSource::kNone;
}

std::vector<ClassSettings> readClasses(const Json& options, const Json& family, InstanceNames& names) {
  const std::vector<double> objectivesPerToken = numberArray(family, "aimUsPer1000PromptTokens");
  names.interTokenObjectives = numberArray(family, "tokenAimS");
  std::vector<ClassSettings> classes;
  for (const Json& entry : arrayOrEmpty(options, "classes")) {
    if (!entry.is_object()) throwWrongType("classes", "an array of objects");
    const std::size_t index = classes.size();
    names.classes.push_back(requireString(entry, "name"));
    ClassSettings settings;
    settings.ttftObjective = Duration(asNumber(requireField(entry, "aimS"), "aimS"));
    if (index < objectivesPerToken.size())
      settings.ttftObjectivePerToken = Duration(objectivesPerToken[index] * kSecondsPerTokenPerUnit);
    if (index < names.interTokenObjectives.size())
      settings.interTokenObjective = Duration(names.interTokenObjectives[index]);
    settings.priorityWeight = numberOr(entry, "worth", 1);
    settings.lateWeight = numberOr(entry, "lateWorth", 0);
    settings.idempotency = idempotencyOf(requireString(entry, "idempotency"));
    settings.dedupScope = dedupScopeOf(stringOr(entry, "group", "all"));
    settings.dedupWindow = secondsOr(entry, "dedupWindowS", 0);
    classes.push_back(settings);
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

void readEngineNames(const Json& options, const Json& family, InstanceNames& names) {
  names.zones = stringArray(options, "zones");
  names.engineKinds = stringArray(options, "kinds");
  names.kindRoles = stringArray(family, "kindRole");
  names.kindMemoryTokens = numberArray(family, "kindMemoryTokens");
}

void readPermissions(const Json& limits, const Json& family, Settings& settings) {
  settings.probesAllowed = boolOrFalse(limits, "probes");
  settings.cancelAllowed = boolOrFalse(limits, "mayCancel");
  settings.reserveAllowed = boolOrFalse(family, "mayReserve");
  settings.clientsHonorRetryAfter = boolOrFalse(limits, "retryAfter");
  settings.decodeCanPrefill = boolOrFalse(family, "selfPrefill");
}

void readSlowStart(const Json& rules, Settings& settings) {
  settings.slowStartWindow = secondsOr(rules, "fallS", 0);
  settings.slowStartOverloadFactor = numberOr(rules, "overloadFactor", 1);
  settings.slowStartInitialCapacity = numberOr(rules, "startCapacity", 1);
  settings.slowStartDuration = secondsOr(rules, "warmAfterS", 0);
}

}  // namespace

// Reads the fields in a fixed order, so that if several are malformed, the error always names the same one.
Settings readSettings(const Json& options, std::uint64_t seed, InstanceNames& names) {
  const Json& family = objectOrEmpty(options, "familyInfo");
  const Json& limits = objectOrEmpty(options, "limits");
  const Json& rules = objectOrEmpty(options, "rules");
  Settings settings;
  settings.seed = seed;
  settings.routerCount = static_cast<int>(unsignedOr(options, "balancers", 1, kMaxCount));
  readEngineNames(options, family, names);
  settings.zone = names.zoneIndex(stringOr(options, "zone", ""));
  settings.classes = readClasses(options, family, names);
  settings.tenants = readTenants(options, names);
  settings.overQuotaWeight = numberOr(options, "overShareWorth", 1);
  settings.weightByTokens = stringOr(options, "worthBy", "request") == "work";
  settings.subscribeToDiscovery = stringOr(options, "membershipMode", "push") == "ask";
  const Json& reporting = objectOrEmpty(options, "reporting");
  settings.loadReportSource = loadReportSourceOf(stringOr(reporting, "via", "silent"));
  readPermissions(limits, family, settings);
  settings.maxAttempts = static_cast<int>(unsignedOr(limits, "maxAttempts", 1, kMaxCount));
  settings.maxRetryAfter = secondsOr(limits, "maxRetryAfterS", 0);
  settings.connectTimeout = secondsOr(limits, "connectTimeoutS", 0);
  settings.stateLeaseLimit = secondsOr(family, "pinLimitS", 0);
  settings.responseGrace = secondsOr(rules, "answerSlackS", 0);
  settings.tick = secondsOr(options, "tickS", 0);
  readSlowStart(rules, settings);
  settings.probeCost = numberOr(objectOrEmpty(options, "tariffs"), "probe", 0);
  return settings;
}

std::optional<std::size_t> indexOf(const std::vector<std::string>& names, const std::string& name) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return i;
  }
  return std::nullopt;
}

std::uint32_t InstanceNames::zoneIndex(const std::string& name) const {
  return static_cast<std::uint32_t>(indexOf(zones, name).value_or(zones.size()));
}

void InstanceNames::describeEngine(EngineEntry& engine, const std::string& kind,
                                   const std::string& zone) const {
  const auto index = indexOf(engineKinds, kind);
  if (index && *index < kindRoles.size()) engine.role = roleOf(kindRoles[*index]);
  if (index && *index < kindMemoryTokens.size()) engine.memoryTokens = kindMemoryTokens[*index];
  engine.zone = zoneIndex(zone);
}

}  // namespace gannetcourse::instance
