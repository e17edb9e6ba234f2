// The list of engines from the platform's discovery: a watch that is opened again whenever it ends.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "http1/client.h"
#include "instance/instance.h"

namespace gannetcourse::platform {

struct EngineListMessageEntry {
  EngineEntry entry;
  std::optional<net::Endpoint> address;  // an engine that drains or is gone may be told without
};
struct EngineListMessage {
  std::uint64_t index = 0;
  bool isSnapshot = false;
  std::vector<EngineListMessageEntry> engines;
  EngineListUpdate toUpdate() const;
};

// The module's number of an engine: the same at every node, whatever it has seen before.
EngineId engineIdOf(const std::string& name);

// Reads one object of the protocol. Unknown fields, states and kinds are passed over; an entry that has no
// name or address is left out. Nothing where the object itself cannot be read.
std::optional<EngineListMessage> parseEngineListMessage(const instance::Json& object,
                                                        const instance::InstanceNames& names,
                                                        const net::WallClock& clock);

// Cuts a stream of JSON objects, however they are laid out over lines and pieces.
class JsonStreamSplitter {
 public:
  // Calls `tell` with each object that is whole. True where the bytes were a sign of life: the end of a line
  // between objects, or of an object.
  bool feed(std::string_view bytes, const std::function<void(std::string object)>& tell);

 private:
  std::string object_;
  int depth_ = 0;
  bool inString_ = false, escaped_ = false;
};

// Tells news from lists that are older than the one held. A discovery that counts anew is believed once it
// has told nothing else for a while.
class EngineListVersion {
 public:
  enum class Decision { kApply, kResync };
  Decision classify(std::uint64_t index, bool whole, Instant now);
  std::uint64_t latestIndex() const { return latestIndex_; }

 private:
  std::uint64_t latestIndex_ = 0;
  std::optional<Instant> staleSince_;
};

// One watch that is believed alive only while it shows life. Where it does not, a second one is opened beside
// it; whichever speaks stays. At most two connections.
class DiscoveryWatch {
 public:
  using ObjectHandler = std::function<void(const std::string& object)>;
  using LogHandler = std::function<void(const std::string& text)>;  // for the log; may be null
  DiscoveryWatch(net::Loop& loop, const net::Endpoint& at, std::uint64_t from, std::uint64_t seed,
                 ObjectHandler told, LogHandler note = nullptr);
  ~DiscoveryWatch();
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;
  void setResumeIndex(std::uint64_t index) { resumeIndex_ = index; }  // the version at which to go on
  void changeEndpoint(const net::Endpoint& at);  // the open one stays until the new address speaks
  void requestSnapshot();                        // what came cannot be used: soon anew, from the start
  std::uint64_t watchesOpened() const { return watchesOpened_; }  // watches, since the start
  std::uint64_t snapshotRequests() const {
    return snapshotRequests_;
  }  // times that something could not be used

 private:
  class Stream;
  void openStream();
  void checkLiveness();
  void onActivity(Stream& stream, const std::string* object);
  void onStreamEnded(const std::shared_ptr<Stream>& stream);
  void openStreamAfter(Duration pause);

  net::Loop& loop_;
  net::Endpoint endpoint_;
  std::uint64_t resumeIndex_ = 0;
  std::mt19937_64 random_;
  ObjectHandler onObject_;
  LogHandler log_;
  http1::Client client_;
  std::shared_ptr<Stream> active_, replacement_;
  bool snapshotRequested_ = false, replacingActive_ = false, silenceLogged_ = false;
  std::uint64_t watchesOpened_ = 0, snapshotRequests_ = 0;
  Duration backoff_{0.1};
  net::TimerId reopenTimer_ = 0, livenessTimer_ = 0;
};

}  // namespace gannetcourse::platform
