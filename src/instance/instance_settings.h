// What the platform gives a router at its start: its settings, and the names that occur in them. Parsed alike
// by the bench's adapter and by the live node.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"
#include "instance/json_fields.h"

namespace gannetcourse::instance {

/// The names in one instance's settings. The decision module knows them by their places in these lists only.
struct InstanceNames {
  std::vector<std::string> classes, tenants, zones;
  std::vector<std::string> engineKinds;
  std::vector<std::string> kindRoles;        ///< Role of each engine kind.
  std::vector<double> kindMemoryTokens;      ///< Memory of each engine kind, in tokens.
  std::vector<double> interTokenObjectives;  ///< Of each class, in seconds.

  /// The number of a zone. Unknown zones share one number that no known zone has.
  std::uint32_t zoneIndex(const std::string& name) const;
  /// Sets role, memory and zone of an engine from the names of its kind and zone.
  void describeEngine(EngineEntry& engine, const std::string& kind, const std::string& zone) const;
};

/// The place of a name in a list; nothing where it is not in it.
std::optional<std::size_t> indexOf(const std::vector<std::string>& names, const std::string& name);

/// Parses the settings object and fills in `names`. Throws MalformedInput.
Settings readSettings(const Json& options, std::uint64_t seed, InstanceNames& names);

}  // namespace gannetcourse::instance
