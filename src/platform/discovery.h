// The list of engines from the platform's discovery: a watch that is opened again whenever it ends.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http1/client.h"
#include "instance/instance.h"

namespace gannetcourse::platform {

struct ToldEngine {
  ServerEntry entry;
  net::Endpoint address;
};
struct ToldList {
  std::uint64_t index = 0;
  bool full = false;
  std::vector<ToldEngine> engines;
  ServerList forPolicy() const;
};

// The module's number of an engine: the same at every node, whatever it has seen before.
ServerId numberOf(const std::string& name);

// Reads one object of the protocol. Unknown fields, states and kinds are passed over; an entry that has no
// name or address is left out. Nothing where the object itself cannot be read.
std::optional<ToldList> readTargets(const instance::Json& object, const instance::Names& names,
                                    const net::WallClock& clock);

class Watch {
 public:
  using Told = std::function<void(const std::string& line)>;  // one object each
  Watch(net::Loop& loop, const net::Endpoint& at, std::uint64_t from, Told told);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;
  void reached(std::uint64_t index) { index_ = index; }  // the version at which to go on

 private:
  class Stream;
  void open();
  void again();
  void look();
  void bytes(std::string_view bytes);

  net::Loop& loop_;
  net::Endpoint at_;
  std::uint64_t index_ = 0;
  Told told_;
  http1::Client client_;
  http1::CallId call_ = 0;
  std::shared_ptr<Stream> stream_;
  std::string line_;
  Instant heardAt_{};
  net::TimerId retry_ = 0, look_ = 0;
};

}  // namespace gannetcourse::platform
