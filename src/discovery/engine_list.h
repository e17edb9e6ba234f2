// The list of engines as the node's sources tell it: a file, a registry's stream, the list saved last.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gannetcourse/policy.h"
#include "net/connection.h"

namespace gannetcourse::discovery {

struct Engine {
  EngineEntry entry;
  net::Endpoint address;
  std::string zone;
  std::int64_t startedUnixMs = 0;   // 0 = long ago
  std::int64_t shutdownUnixMs = 0;  // 0 = not known, or not at all
  std::optional<Instant> shutdownAt;
};

struct EngineList {
  EngineListUpdate::Scope scope = EngineListUpdate::Scope::kSnapshot;
  std::uint64_t version = 0;
  std::vector<Engine> engines;
  EngineListUpdate toPolicyUpdate() const;
};

// Turns names and wall-clock times into the module's numbers, always alike within one process.
class EntryResolver {
 public:
  EntryResolver(std::vector<std::string> zones, Instant now, std::int64_t unixMsNow);
  void setZones(std::vector<std::string> zones) {
    zones_ = std::move(zones);
  }                                                         // those of before at their places
  std::uint32_t zoneNumber(const std::string& name) const;  // an unknown zone is apart from all others
  std::optional<Instant> toInstant(std::int64_t unixMs) const { return clock_.instant(unixMs); }  // 0 = none
  void resolve(Engine& engine) const;  // fills in what the names and times stand for

 private:
  std::vector<std::string> zones_;
  net::WallClock clock_;
};

// A fleet file: <fleet xmlns="urn:gannetcourse:fleet:1"> of <engine .../>. Throws config::Faults.
EngineList loadEngineListFile(const std::string& path, const EntryResolver& translator);
std::string formatEngineList(const EngineList& list);
std::string_view fleetSchema();

// Keeps the whole list out of full lists and changes.
class EngineListState {
 public:
  void apply(const EngineList& list);
  const std::vector<Engine>& engines() const { return engines_; }

 private:
  std::vector<Engine> engines_;  // by id, without those that are gone
};

// Writes the newest of the texts it is given to a file, by a thread of its own: a slow disk delays nobody.
class EngineListCache {
 public:
  explicit EngineListCache(std::string path);  // empty: writes nothing
  ~EngineListCache();                          // writes what is due
  EngineListCache(const EngineListCache&) = delete;
  EngineListCache& operator=(const EngineListCache&) = delete;
  void save(std::string text);
  std::uint64_t failures() const;

 private:
  class Writer;
  std::unique_ptr<Writer> writer_;
};

}  // namespace gannetcourse::discovery
