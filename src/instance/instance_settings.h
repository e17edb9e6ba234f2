// Parses the settings that the platform gives a router at its start, and the names in them. Used by the
// adapter for the platform's simulator (wirehost) and by the node.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"
#include "instance/json_fields.h"

namespace gannetcourse::instance {

/// The names in the settings of one router instance. The decision module refers to each name by its
/// index in the list.
struct InstanceNames {
  std::vector<std::string> classes, tenants, zones;
  std::vector<std::string> engineKinds;
  std::vector<std::string> kindRoles;        ///< Role of each engine kind, by index in engineKinds.
  std::vector<double> kindMemoryTokens;      ///< Memory of each engine kind, in tokens, by the same index.
  std::vector<double> interTokenObjectives;  ///< Inter-token objective of each class, in seconds.

  /// The index of a zone. All unknown zones have the same index, one past the last known zone.
  std::uint32_t zoneIndex(const std::string& name) const;
  /// Sets the engine's role, memory and zone from the names of its kind and zone.
  void describeEngine(EngineEntry& engine, const std::string& kind, const std::string& zone) const;
};

/// The index of `name` in `names`, or nothing if `names` does not contain it.
std::optional<std::size_t> indexOf(const std::vector<std::string>& names, const std::string& name);

/// Parses the settings object and fills in `names`. `seed` is the seed of the decision module's random
/// numbers. Throws MalformedInput.
Settings readSettings(const Json& options, std::uint64_t seed, InstanceNames& names);

}  // namespace gannetcourse::instance
