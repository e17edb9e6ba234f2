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

struct ToldEngine {
  EngineEntry entry;
  std::optional<net::Endpoint> address;  // an engine that drains or is gone may be told without
};
struct ToldList {
  std::uint64_t index = 0;
  bool full = false;
  std::vector<ToldEngine> engines;
  EngineListUpdate forPolicy() const;
};

// The module's number of an engine: the same at every node, whatever it has seen before.
EngineId numberOf(const std::string& name);

// Reads one object of the protocol. Unknown fields, states and kinds are passed over; an entry that has no
// name or address is left out. Nothing where the object itself cannot be read.
std::optional<ToldList> readTargets(const instance::Json& object, const instance::Names& names,
                                    const net::WallClock& clock);

// Cuts a stream of JSON objects, however they are laid out over lines and pieces.
class ObjectCutter {
 public:
  // Calls `tell` with each object that is whole. True where the bytes were a sign of life: the end of a line
  // between objects, or of an object.
  bool take(std::string_view bytes, const std::function<void(std::string object)>& tell);

 private:
  std::string object_;
  int depth_ = 0;
  bool quoted_ = false, escaped_ = false;
};

// Tells news from lists that are older than the one held. A discovery that counts anew is believed once it
// has told nothing else for a while.
class ListVersion {
 public:
  enum class Verdict { kTake, kAskWhole };
  Verdict look(std::uint64_t index, bool whole, Instant now);
  std::uint64_t held() const { return held_; }

 private:
  std::uint64_t held_ = 0;
  std::optional<Instant> olderSince_;
};

// One watch that is believed alive only while it shows life. Where it does not, a second one is opened beside
// it; whichever speaks stays. At most two connections.
class Watch {
 public:
  using Told = std::function<void(const std::string& object)>;
  using Note = std::function<void(const std::string& text)>;  // for the log; may be null
  Watch(net::Loop& loop, const net::Endpoint& at, std::uint64_t from, std::uint64_t seed, Told told,
        Note note = nullptr);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;
  void reached(std::uint64_t index) { index_ = index; }  // the version at which to go on
  void moveTo(const net::Endpoint& at);                  // the open one stays until the new address speaks
  void askWhole();                                  // what came cannot be used: soon anew, from the start
  std::uint64_t opened() const { return opened_; }  // watches, since the start
  std::uint64_t wholeAsked() const { return wholeAsked_; }  // times that something could not be used

 private:
  class Stream;
  void openBeside();
  void look();
  void spoke(Stream& stream, const std::string* object);
  void ended(const std::shared_ptr<Stream>& stream);
  void openAfter(Duration pause);

  net::Loop& loop_;
  net::Endpoint at_;
  std::uint64_t index_ = 0;
  std::mt19937_64 random_;
  Told told_;
  Note note_;
  http1::Client client_;
  std::shared_ptr<Stream> older_, newer_;
  bool askWhole_ = false, replacing_ = false, silent_ = false;
  std::uint64_t opened_ = 0, wholeAsked_ = 0;
  Duration pause_{0.1};
  net::TimerId retry_ = 0, look_ = 0;
};

}  // namespace gannetcourse::platform
