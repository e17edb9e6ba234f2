// The engine list as read from a registry or a file, and its translation into the decision module's terms.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"
#include "net/connection.h"

namespace gannetcourse::discovery {

/// One entry of an engine list.
struct Engine {
  EngineEntry entry;
  net::Endpoint address;
  std::string zone;
  std::int64_t startedUnixMs = 0;     ///< 0 = long ago, time unknown.
  std::int64_t shutdownUnixMs = 0;    ///< 0 = no shutdown is announced.
  std::optional<Instant> shutdownAt;  ///< shutdownUnixMs on the router's clock.
};

/// One update from a registry or a file: the whole list, or its changes.
struct EngineList {
  EngineListUpdate::Scope scope = EngineListUpdate::Scope::kSnapshot;
  std::uint64_t version = 0;
  std::vector<Engine> engines;
  EngineListUpdate toPolicyUpdate() const;
};

/// Translates zone names to indices and wall-clock times to instants, consistently within one process. Not
/// thread-safe.
class EntryResolver {
 public:
  /// `now` and `unixMsNow` are the same moment on both clocks.
  EntryResolver(std::vector<std::string> zones, Instant now, std::int64_t unixMsNow);

  /// Replaces the zones after a reload. Existing zones must keep their indices; new zones are appended.
  void setZones(std::vector<std::string> zones) { zones_ = std::move(zones); }

  /// Index of the zone. All unknown zones share the index after the last known one.
  std::uint32_t zoneNumber(const std::string& name) const;
  /// Converts a wall-clock time to the router's clock; nothing for 0.
  std::optional<Instant> toInstant(std::int64_t unixMs) const { return clock_.instant(unixMs); }
  /// Sets the engine's zone index, and its start and shutdown times on the router's clock.
  void resolve(Engine& engine) const;

 private:
  std::vector<std::string> zones_;
  net::WallClock clock_;
};

/// Keeps the current engines by applying snapshots and deltas.
class EngineListState {
 public:
  void apply(const EngineList& list);
  /// The current engines by ascending id, without removed engines.
  const std::vector<Engine>& engines() const { return engines_; }

 private:
  void applyEntry(const Engine& engine);

  std::vector<Engine> engines_;
};

}  // namespace gannetcourse::discovery
