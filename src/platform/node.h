// A node that uses the platform's HTTP protocol: frontend, core, engine client and discovery watch on one
// loop. The core and the decision module are the same as in a gRPC node; only the protocol differs.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "node/core_driver.h"
#include "node/engine_list_freshness.h"
#include "platform/configuration.h"
#include "platform/discovery_watch.h"
#include "platform/engine_client.h"
#include "platform/engine_list_message.h"
#include "platform/frontend.h"
#include "platform/node_statistics.h"

namespace gannetcourse::platform {

/// Owns all parts of a node. Not thread-safe: all calls must be made on the thread of `loop`, which must
/// outlive the node.
class Node {
 public:
  using Log =
      std::function<void(const std::string& package, const std::string& level, const std::string& text)>;

  /// Starts listening, applies the engine list of the configuration and opens the discovery watch. `log` and
  /// `record` must not block. Without `record`, only invariant violations are logged. Throws
  /// std::system_error if the node cannot listen.
  Node(net::Loop& loop, Configuration configuration, Log log,
       const std::function<void(const router::Record&)>& record = nullptr);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Applies a new configuration: settings, limits and the endpoint of discovery. The node's name and
  /// listening address are unchanged. Throws std::invalid_argument, and changes nothing, if an existing
  /// class, tenant or zone has another index in the new configuration.
  void reload(Configuration configuration);

  /// Shuts down gracefully. Calls `done` once the listener is closed, each accepted request has its final
  /// response and each connection that a client may still use has been closed. Later calls do nothing.
  void drain(std::function<void()> done);

  std::uint16_t port() const { return frontend_.port(); }
  const router::Core& core() const { return driver_.core(); }
  const EngineClient& engineClient() const { return engineClient_; }
  const Frontend& frontend() const { return frontend_; }
  /// Index of the engine list in use.
  std::uint64_t listIndex() const { return listVersion_.latestIndex(); }
  NodeStatistics statistics() const;
  /// The statistics as one line for the log.
  std::string statisticsLine() const { return toLogLine(statistics()); }

 private:
  node::CoreDriver::Hooks driverHooks(const std::function<void(const router::Record&)>& record);
  void logViolation(const router::Record& record);
  void openWatch();
  void onDiscoveryObject(const std::string& text);
  void onUnreadableObject(const char* reason);
  void updateFreshness();
  void applyKnownEngineList();
  void applyEngineList(const EngineListMessage& message, EngineListUpdate::Scope scope);
  void dropEnginesBeyondMemory(EngineListMessage& message);
  void applyLimits();
  void checkMemory();
  void becomeReady(const char* reason);
  void checkDrained();
  void logStatistics();

  net::Loop& loop_;
  Configuration configuration_;
  Log log_;
  net::WallClock clock_;
  std::shared_ptr<net::MemoryBudget> memory_ = std::make_shared<net::MemoryBudget>();
  node::CoreDriver driver_;
  EngineClient engineClient_;
  Frontend frontend_;
  EngineListVersion listVersion_;
  node::EngineListFreshness freshness_;
  bool listAwaited_ = false;
  std::unique_ptr<DiscoveryWatch> watch_;
  bool listening_ = true, ready_ = false;
  bool droppedEnginesLogged_ = false;
  Instant nextShortageLogAt_{};
  std::function<void()> onDrained_;  // null unless the node is draining
  Instant drainStartedAt_{};
  net::TimerId statisticsTimer_ = 0, readyTimer_ = 0, memoryTimer_ = 0, freshnessTimer_ = 0;
};

}  // namespace gannetcourse::platform
