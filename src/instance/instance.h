// What the platform tells a router at its start: the settings object, and what the names in it stand for.
// Read alike by the bench's adapter and by the live node.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::instance {

using Json = nlohmann::json;

struct MalformedInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// ---- Fields of an object. Each throws Malformed, naming the field, where it is of the wrong kind. ----
const Json* findField(const Json& object, const char* key);  // null where it is missing or null
const Json& requireField(const Json& object, const char* key);
[[noreturn]] void throwWrongType(const char* key, const char* wanted);
std::string asString(const Json& value, const char* key);
double asNumber(const Json& value, const char* key);
bool asBool(const Json& value, const char* key);
std::uint64_t asUnsigned(const Json& value, const char* key, std::uint64_t most);
std::string requireString(const Json& object, const char* key);
double numberOr(const Json& object, const char* key, double otherwise);
Duration secondsOr(const Json& object, const char* key, double otherwise);
bool boolOrFalse(const Json& object, const char* key);
std::string stringOr(const Json& object, const char* key, const char* otherwise);
std::size_t unsignedOr(const Json& object, const char* key, std::uint64_t otherwise, std::uint64_t most);
std::uint64_t hexKeyOrZero(const Json& object,
                           const char* name);  // of 1 to 16 hex digits; 0 where it is missing
const Json& objectOrEmpty(const Json& object, const char* name);  // empty where it is missing
const Json& arrayOrEmpty(const Json& object, const char* name);
std::optional<std::uint64_t> parseHexKey(const std::string& digits);
std::optional<std::size_t> indexOf(const std::vector<std::string>& names, const std::string& name);

// The names of one instance's settings, which the module's interface knows by number only.
struct InstanceNames {
  std::vector<std::string> classes, tenants, zones, engineKinds, kindRoles;
  std::vector<double> kindMemoryTokens;
  std::vector<double> interTokenObjectives;

  std::uint32_t zoneIndex(const std::string& name) const;  // an unknown zone is apart from all others
  // Fills in what a server's kind and zone stand for.
  void describeEngine(EngineEntry& server, const std::string& kind, const std::string& zone) const;
};

Settings readSettings(const Json& options, std::uint64_t seed, InstanceNames& names);

// A figure of a load report by its name in the settings.
bool isLoadMetric(const std::string& name);
void setLoadMetric(LoadReport& load, const std::string& name, double value);

}  // namespace gannetcourse::instance
