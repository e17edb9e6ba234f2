// A whole node on the platform's protocol: front, core, engines' client and discovery on one loop. The same
// core and module as every other node; only the protocol differs.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "node/core_driver.h"
#include "platform/configuration.h"
#include "platform/discovery.h"
#include "platform/engines.h"
#include "platform/front.h"

namespace gannetcourse::platform {

class Node {
 public:
  using Log =
      std::function<void(const std::string& package, const std::string& level, const std::string& text)>;
  // Listens, takes the known list and opens the watch. Throws std::system_error where it cannot listen.
  Node(net::Loop& loop, Configuration configuration, Log log,
       const std::function<void(const router::Record&)>& record = nullptr);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Takes a new configuration: settings, limits and where discovery is. Name and address stay as they are.
  // Throws std::invalid_argument where a class, tenant or zone lost its place; then everything stays as it
  // was.
  void reload(Configuration configuration);
  // Nothing new; `done` is told once connections have stopped coming, every taken request has its answer and
  // every connection that a client may still ask on has been ended.
  void drain(std::function<void()> done);

  std::uint16_t port() const { return frontend_.port(); }
  const router::Core& core() const { return driver_.core(); }
  const EngineClient& engineClient() const { return engineClient_; }
  const Frontend& frontend() const { return frontend_; }
  std::uint64_t listIndex() const { return listVersion_.latestIndex(); }  // of the newest list of engines
  // One line of what is open on the sockets and what the core has of it, for the log.
  std::string statisticsLine() const;

 private:
  void logViolation(const router::Record& record);
  void onDiscoveryObject(const std::string& text);
  void applyEngineList(const instance::Json& object, bool saved);
  void watchMissed(const char* why);
  void becomeReady(const char* how);
  node::CoreDriver::Hooks driverHooks(const std::function<void(const router::Record&)>& record);
  void checkDrained();
  void logStatistics();

  net::Loop& loop_;
  Configuration configuration_;
  Log log_;
  net::WallClock clock_;
  node::CoreDriver driver_;
  EngineClient engineClient_;
  Frontend frontend_;
  EngineListVersion listVersion_;
  std::unique_ptr<DiscoveryWatch> watch_;
  bool listening_ = true, ready_ = false;
  std::function<void()> onDrained_;
  Instant drainStartedAt_{};
  net::TimerId statisticsTimer_ = 0, readyTimer_ = 0;
};

}  // namespace gannetcourse::platform
