// The engine list as the node's sources give it, and its translation into the decision module's numbers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"
#include "net/connection.h"

namespace gannetcourse::discovery {

/// One engine with all that its source gives of it.
struct Engine {
  EngineEntry entry;
  net::Endpoint address;
  std::string zone;
  std::int64_t startedUnixMs = 0;     ///< 0 = long ago.
  std::int64_t shutdownUnixMs = 0;    ///< 0 = no shutdown is announced.
  std::optional<Instant> shutdownAt;  ///< The same on the router's clock; see EntryResolver.
};

/// One message of a source: the whole list, or its changes.
struct EngineList {
  EngineListUpdate::Scope scope = EngineListUpdate::Scope::kSnapshot;
  std::uint64_t version = 0;
  std::vector<Engine> engines;
  EngineListUpdate toPolicyUpdate() const;
};

/// Translates zone names and wall-clock times into the decision module's numbers, always alike within one
/// process. Not thread-safe.
class EntryResolver {
 public:
  /// `now` and `unixMsNow` are the same moment on both clocks.
  EntryResolver(std::vector<std::string> zones, Instant now, std::int64_t unixMsNow);

  /// For a reload: earlier zones stand at their earlier indices, new ones after them.
  void setZones(std::vector<std::string> zones) { zones_ = std::move(zones); }

  /// The zone's number. Unknown zones share one that no known zone has.
  std::uint32_t zoneNumber(const std::string& name) const;
  /// A wall-clock time on the router's clock; nothing for 0.
  std::optional<Instant> toInstant(std::int64_t unixMs) const { return clock_.instant(unixMs); }
  /// Fills in the zone's number and the instants of an engine.
  void resolve(Engine& engine) const;

 private:
  std::vector<std::string> zones_;
  net::WallClock clock_;
};

/// The current engines, kept up to date from snapshots and deltas.
class EngineListState {
 public:
  void apply(const EngineList& list);
  /// By ascending id, without removed ones.
  const std::vector<Engine>& engines() const { return engines_; }

 private:
  void applyEntry(const Engine& engine);

  std::vector<Engine> engines_;
};

}  // namespace gannetcourse::discovery
