#include "platform/engine_list_message.h"

#include <functional>
#include <utility>

namespace gannetcourse::platform {
namespace {

using instance::Json;

// If all messages of discovery have lower indices than the list in use for this long, discovery has restarted
// and counts from the start.
const Duration kStaleLimit{2};

EngineEntry::State stateOf(const std::string& status) {
  if (status == "removed") return EngineEntry::State::kRemoved;
  if (status == "draining") return EngineEntry::State::kDraining;
  return EngineEntry::State::kServing;
}

// Parses the fields that must be valid before an engine is sent requests: address, kind, zone, cell and start
// time.
// Throws instance::MalformedInput.
void parseDescription(EngineListMessageEntry& engine, const Json& object,
                      const instance::InstanceNames& names, const net::WallClock& clock) {
  engine.address = net::parseEndpoint(instance::stringOr(object, "address", ""));
  names.describeEngine(engine.entry, instance::stringOr(object, "type", ""),
                       instance::stringOr(object, "zone", ""));
  engine.entry.cell = static_cast<std::uint32_t>(instance::unsignedOr(object, "group", 0, 0xffffffffU));
  const auto startedAtMs = static_cast<std::int64_t>(instance::numberOr(object, "since_ms", 0));
  engine.entry.startedAt = clock.instant(startedAtMs);
}

// Parses one entry. Returns nothing if the entry is not an object, or if it is for a serving engine without
// an address. A drain or removal is accepted even if the engine's description is malformed, because otherwise
// the node would go on sending requests to the engine. Throws instance::MalformedInput.
std::optional<EngineListMessageEntry> parseEntry(const Json& object, const instance::InstanceNames& names,
                                                 const net::WallClock& clock) {
  if (!object.is_object()) return std::nullopt;
  EngineListMessageEntry engine;
  engine.entry.id = engineIdOf(instance::requireString(object, "name"));
  engine.entry.state = stateOf(instance::stringOr(object, "status", "up"));
  const bool isServing = engine.entry.state == EngineEntry::State::kServing;
  try {
    parseDescription(engine, object, names, clock);
  } catch (const instance::MalformedInput&) {
    if (isServing) throw;
  }
  if (isServing && !engine.address) return std::nullopt;
  return engine;
}

// Adds the entry to the message unless it is malformed; the other entries are still used then.
void addEntry(EngineListMessage& message, const Json& entry, const instance::InstanceNames& names,
              const net::WallClock& clock) {
  try {
    if (auto engine = parseEntry(entry, names, clock)) message.engines.push_back(std::move(*engine));
  } catch (const instance::MalformedInput&) {
  }
}

constexpr const char* kEntriesKey = "endpoints";
constexpr int kEntryDepth = 2;  // of an entry in the list's object

// Passes each complete entry of a list to `onEntry` while the text is being parsed, and stores nothing that
// is not needed afterwards.
class EntryFilter {
 public:
  explicit EntryFilter(std::function<void(const Json&)> onEntry) : onEntry_(std::move(onEntry)) {}

  // A callback of the parser. Returns whether to store the value.
  bool operator()(int depth, Json::parse_event_t event, Json& value) {
    if (depth == 1 && event == Json::parse_event_t::key) insideEntries_ = value == kEntriesKey;
    if (depth <= 1) return true;
    if (depth == kEntryDepth && event == Json::parse_event_t::object_end) {
      if (insideEntries_) onEntry_(value);
      return false;
    }
    return insideEntries_ && depth <= kEntryDepth + 1;
  }

 private:
  std::function<void(const Json&)> onEntry_;
  bool insideEntries_ = false;
};

}  // namespace

EngineListUpdate EngineListMessage::toUpdate() const {
  EngineListUpdate update;
  update.scope = scope();
  for (const EngineListMessageEntry& engine : engines) update.entries.push_back(engine.entry);
  return update;
}

// FNV-1a, 32 bits. The preferred engines of sessions are derived from these ids, so all versions of the node
// must compute the same ids; another hash would move every session to another engine.
EngineId engineIdOf(const std::string& name) {
  constexpr std::uint32_t kOffsetBasis = 2166136261U;
  constexpr std::uint32_t kPrime = 16777619U;
  std::uint32_t hash = kOffsetBasis;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  return {hash};
}

std::optional<EngineListMessage> parseEngineListMessage(const Json& object,
                                                        const instance::InstanceNames& names,
                                                        const net::WallClock& clock) {
  if (!object.is_object()) return std::nullopt;
  EngineListMessage message;
  try {
    message.index = instance::unsignedOr(object, "index", 0, UINT64_MAX);
    message.isSnapshot = instance::boolOrFalse(object, "snapshot");
    for (const Json& entry : instance::arrayOrEmpty(object, kEntriesKey))
      addEntry(message, entry, names, clock);
  } catch (const instance::MalformedInput&) {
    return std::nullopt;
  }
  return message;
}

std::optional<EngineListMessage> parseEngineListText(const std::string& text,
                                                     const instance::InstanceNames& names,
                                                     const net::WallClock& clock) {
  EngineListMessage entries;
  const auto onEntry = [&](const Json& entry) { addEntry(entries, entry, names, clock); };
  const Json object = Json::parse(text, EntryFilter(onEntry), false);
  if (object.is_discarded()) return std::nullopt;
  auto message = parseEngineListMessage(object, names, clock);
  if (message) message->engines = std::move(entries.engines);
  return message;
}

EngineListVersion::Decision EngineListVersion::classify(std::uint64_t index, bool isSnapshot, Instant now) {
  if (index < latestIndex_) {
    if (!staleSince_) staleSince_ = now;
    const bool staleForLong = now - *staleSince_ >= kStaleLimit;
    if (!isSnapshot || !staleForLong) return Decision::kResync;
  }
  latestIndex_ = index;
  staleSince_.reset();
  return Decision::kApply;
}

}  // namespace gannetcourse::platform
