// The messages of the platform's discovery: the engine list, in full or in part, as JSON objects.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"
#include "instance/instance_settings.h"
#include "net/connection.h"

namespace gannetcourse::platform {

/// One engine of a message.
struct EngineListMessageEntry {
  EngineEntry entry;
  std::optional<net::Endpoint> address;  ///< May be absent for an engine that is draining or removed.
};

/// One message of discovery.
struct EngineListMessage {
  std::uint64_t index = 0;  ///< Version of the list; discovery counts it up.
  bool isSnapshot = false;  ///< The complete list, else only the entries that have changed.
  std::vector<EngineListMessageEntry> engines;

  EngineListUpdate::Scope scope() const {
    return isSnapshot ? EngineListUpdate::Scope::kSnapshot : EngineListUpdate::Scope::kDelta;
  }
  /// The message as an event for the decision module.
  EngineListUpdate toUpdate() const;
};

/// The decision module's number for an engine. Every node derives the same one, whatever it has seen before.
EngineId engineIdOf(const std::string& name);

/// Parses one object of the watch. Ignores unknown fields and statuses, and leaves out entries without a name
/// or, where the engine is serving, without an address. Returns nothing where the object itself is malformed.
std::optional<EngineListMessage> parseEngineListMessage(const instance::Json& object,
                                                        const instance::InstanceNames& names,
                                                        const net::WallClock& clock);

/// Tells new lists from ones that are older than the list in use. After a restart, discovery may count from
/// the start again: its lists are accepted once it has sent nothing newer for a while.
class EngineListVersion {
 public:
  enum class Decision {
    kApply,  ///< The message is news.
    kResync  ///< The message cannot be used: a snapshot is needed.
  };

  /// Classifies a message and, where it is to be applied, remembers its index. `now` is the loop's clock.
  Decision classify(std::uint64_t index, bool isSnapshot, Instant now);

  /// Index of the newest list that was applied.
  std::uint64_t latestIndex() const { return latestIndex_; }

 private:
  std::uint64_t latestIndex_ = 0;
  std::optional<Instant> staleSince_;  // since when only older lists have come
};

}  // namespace gannetcourse::platform
