// A complete router on one event loop: frontends, core, client of the engines and sources of the engine list.
// The daemon runs one; an embedding program may run several, which share nothing.
#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/settings.h"
#include "discovery/engine_list_cache.h"
#include "discovery/registry_watch.h"
#include "engines/grpc_engine_transport.h"
#include "frontend/health_service.h"
#include "frontend/router_handle.h"
#include "gannetcourse/router.h"
#include "grpc/server.h"
#include "node/core_driver.h"

namespace gannetcourse::node {

/// Thrown by Node::reload() for a changed setting that only a restart can apply.
class RestartRequired : public std::invalid_argument {
 public:
  explicit RestartRequired(std::string setting);
  /// Name of the first changed setting that requires a restart, written as in the log of a reload.
  const std::string& setting() const { return setting_; }

 private:
  std::string setting_;
};

/// Owns all components of a router. All calls are made on the loop's thread; the loop must outlive the node.
class Node final : private frontend::RouterHandle {
 public:
  /// Callbacks of the node; each may be empty.
  struct Hooks {
    std::function<void(const router::Record&)> onRecord;  ///< Called for each decision; must not block.
    std::function<void(const std::string& package, const std::string& level, const std::string& text)> log;
  };
  /// Creates the driver of the core.
  using DriverFactory = std::function<std::unique_ptr<CoreDriver>(net::Loop&, const Settings&,
                                                                  router::Options, CoreDriver::Hooks)>;

  /// Listens, reads its engine list and starts. `incarnation` must differ for each start of a node, because
  /// it is part of the ids that the node gives to requests. If `makeDriver` is null, a CoreDriver is used.
  /// Throws std::system_error if it cannot listen, config::InvalidFile if the engine list file or the key
  /// file is invalid.
  Node(net::Loop& loop, config::NodeSettings settings, const std::string& incarnation, Hooks hooks,
       const DriverFactory& makeDriver = nullptr);
  ~Node() override;

  std::uint16_t port() const { return server_.port(); }
  const router::Core& core() const { return driver_->core(); }
  std::size_t engineCount() const { return engineList_.engines().size(); }

  /// Applies new settings and reads the engine list file and the key file again. Throws config::InvalidFile
  /// or RestartRequired; if it throws, the node keeps its earlier settings.
  void reload(const config::NodeSettings& settings);

  /// Rejects new requests. Calls `onDrained` from the loop once every accepted request has its response and
  /// all states and reservations are released.
  void drain(std::function<void()> onDrained);

  net::Loop& loop() override { return loop_; }
  const config::NodeSettings& settings() const override { return settings_; }
  const resume::Sealer& sealer() const override { return sealer_; }

 private:
  // ---- frontend::RouterHandle ----
  void openRequest(router::RequestKey key, router::NewRequest request,
                   std::shared_ptr<frontend::ClientStream> client) override;
  router::RequestKey nextRequestKey() override { return driver_->nextRequestKey(); }
  void onClientDisconnected(router::RequestKey request) override;
  void pauseRequest(router::RequestKey request, bool paused) override;
  bool isServing() const override;

  CoreDriver::Hooks driverHooks();
  void watchRegistry();
  discovery::EngineList loadInitialList() const;
  discovery::EngineList loadCachedList() const;
  void onEngineList(const discovery::EngineList& list);
  void cacheEngineList(std::uint64_t version);
  void completeDrainIfIdle();
  void log(const char* package, const char* level, const std::string& text) const;

  net::Loop& loop_;
  config::NodeSettings settings_;
  resume::Sealer sealer_;
  Hooks hooks_;
  discovery::EntryResolver resolver_;
  std::unique_ptr<CoreDriver> driver_;
  engines::GrpcEngineTransport transport_;
  grpc::Server server_;
  frontend::HealthService health_;
  discovery::EngineListState engineList_;
  discovery::EngineListCache engineListCache_;
  std::uint64_t loggedCacheFailures_ = 0;
  std::unique_ptr<discovery::RegistryWatch> registry_;  // null: the list comes from a file
  std::function<void()> onDrained_;                     // set while draining
};

}  // namespace gannetcourse::node
