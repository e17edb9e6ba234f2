// The messages of the platform's discovery: snapshots and deltas of the engine list, as JSON objects.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"
#include "instance/instance_settings.h"
#include "net/connection.h"

namespace gannetcourse::platform {

/// One engine of a discovery message.
struct EngineListMessageEntry {
  EngineEntry entry;
  std::optional<net::Endpoint> address;  ///< May be absent for an engine that is draining or removed.
};

/// One discovery message.
struct EngineListMessage {
  std::uint64_t index = 0;  ///< Version of the list; increases with each change.
  bool isSnapshot = false;  ///< true: the complete list; false: the changed entries only.
  std::vector<EngineListMessageEntry> engines;

  EngineListUpdate::Scope scope() const {
    return isSnapshot ? EngineListUpdate::Scope::kSnapshot : EngineListUpdate::Scope::kDelta;
  }
  /// The message in the form that the decision module (Policy) takes.
  EngineListUpdate toUpdate() const;
};

/// The decision module's id of an engine: a hash of the engine's name, and thus the same on every node.
EngineId engineIdOf(const std::string& name);

/// Parses one JSON object received on the discovery watch. Ignores unknown fields and takes unknown statuses
/// as "up". Skips malformed entries, entries without a name and serving engines without a valid address.
/// Returns nothing if the object itself is malformed.
std::optional<EngineListMessage> parseEngineListMessage(const instance::Json& object,
                                                        const instance::InstanceNames& names,
                                                        const net::WallClock& clock);

/// Parses the text of a discovery object like parseEngineListMessage(), one entry after the other, so that a
/// long list takes little memory. Returns nothing if the text is not JSON or the object is malformed.
std::optional<EngineListMessage> parseEngineListText(const std::string& text,
                                                     const instance::InstanceNames& names,
                                                     const net::WallClock& clock);

/// Detects discovery messages that are older than the engine list in use, that is, have a lower index, and
/// must not be applied. Exception: an older snapshot is applied once all messages received for 2 s were
/// older. Discovery has then restarted and counts the versions of the list from the start again.
class EngineListVersion {
 public:
  enum class Decision {
    kApply,  ///< The message is not older than the list in use and can be applied.
    kResync  ///< The message is outdated: request a snapshot.
  };

  /// Classifies a message and stores its index if it is to be applied. `now` is the loop's time.
  Decision classify(std::uint64_t index, bool isSnapshot, Instant now);

  /// Index of the message that was applied last.
  std::uint64_t latestIndex() const { return latestIndex_; }

 private:
  std::uint64_t latestIndex_ = 0;
  std::optional<Instant> staleSince_;  // receipt of the first older message after the latest applied one
};

}  // namespace gannetcourse::platform
