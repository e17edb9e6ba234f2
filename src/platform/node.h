// A node on the platform's protocol: frontend, core, engine client and discovery watch on one loop. The core
// and the decision module are those of every other node; only the protocol differs.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "node/core_driver.h"
#include "platform/configuration.h"
#include "platform/discovery_watch.h"
#include "platform/engine_client.h"
#include "platform/engine_list_message.h"
#include "platform/frontend.h"
#include "platform/node_statistics.h"

namespace gannetcourse::platform {

/// Owns all parts of a node. Not thread-safe; everything runs on `loop`, which must outlive it.
class Node {
 public:
  using Log =
      std::function<void(const std::string& package, const std::string& level, const std::string& text)>;

  /// Listens, applies the known engine list and opens the watch. `log` and `record` must not block; without
  /// `record` only violations are logged. Throws std::system_error where it cannot listen.
  Node(net::Loop& loop, Configuration configuration, Log log,
       const std::function<void(const router::Record&)>& record = nullptr);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Applies a new configuration: settings, limits and the endpoint of discovery. Name and address stay.
  /// Throws std::invalid_argument where a class, tenant or zone lost its place; then everything stays as it
  /// was.
  void reload(Configuration configuration);

  /// Shuts down gracefully. Calls `done` once: when no new connections come any more, each accepted request
  /// has its final response, and each connection that a client may still use has been ended. Later calls do
  /// nothing.
  void drain(std::function<void()> done);

  std::uint16_t port() const { return frontend_.port(); }
  const router::Core& core() const { return driver_.core(); }
  const EngineClient& engineClient() const { return engineClient_; }
  const Frontend& frontend() const { return frontend_; }
  /// Index of the newest engine list.
  std::uint64_t listIndex() const { return listVersion_.latestIndex(); }
  NodeStatistics statistics() const;
  /// The statistics as one line for the log.
  std::string statisticsLine() const { return toLogLine(statistics()); }

 private:
  node::CoreDriver::Hooks driverHooks(const std::function<void(const router::Record&)>& record);
  void logViolation(const router::Record& record);
  void openWatch();
  void onDiscoveryObject(const std::string& text);
  void watchMissed(const char* reason);
  void applyKnownEngineList();
  void applyEngineList(const EngineListMessage& message, EngineListUpdate::Scope scope);
  void becomeReady(const char* reason);
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
  std::function<void()> onDrained_;  // null unless the node is draining
  Instant drainStartedAt_{};
  net::TimerId statisticsTimer_ = 0, readyTimer_ = 0;
};

}  // namespace gannetcourse::platform
