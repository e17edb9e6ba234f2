// A whole router on one event loop: fronts, core, engines' client and list sources. What the daemon runs, and
// what an embedding program may run as well; two of them share nothing.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "discovery/engine_list_cache.h"
#include "discovery/engine_list_file.h"
#include "discovery/registry_watch.h"
#include "engines/grpc_engine_transport.h"
#include "frontend/health_service.h"
#include "frontend/router_handle.h"
#include "gannetcourse/router.h"
#include "grpc/server.h"
#include "node/core_driver.h"

namespace gannetcourse::node {

class Node final : private frontend::RouterHandle {
 public:
  struct Hooks {
    std::function<void(const router::Record&)> onRecord;  // each decision; must not block
    std::function<void(const std::string& package, const std::string& level, const std::string& text)> log;
  };
  // Makes what runs the core and carries its commands out.
  using DriverFactory = std::function<std::unique_ptr<CoreDriver>(net::Loop&, const Settings&,
                                                                  router::Options, CoreDriver::Hooks)>;

  // Listens, reads its lists and starts. `start` tells apart the node's lives (request names carry it).
  // Throws std::system_error where it cannot listen, config::Faults where the fleet file is unusable.
  // Without a factory it is a plain Driver.
  Node(net::Loop& loop, config::NodeSettings settings, const std::string& start, Hooks hooks,
       const DriverFactory& makeDriver = nullptr);
  ~Node() override;

  std::uint16_t port() const { return server_.port(); }
  const router::Core& core() const { return driver_->core(); }
  std::size_t engineCount() const { return engineList_.engines().size(); }

  // Takes what may change in service, and reads the fleet file again. Throws config::Faults, or
  // std::invalid_argument naming what needs a restart; then everything stays as it was.
  void reload(const config::NodeSettings& settings);

  // Nothing new; `done` is told once every taken request has its answer and all that was held is let go.
  void drain(std::function<void()> done);

  net::Loop& loop() override { return loop_; }
  const config::NodeSettings& settings() const override { return settings_; }
  const resume::Sealer& sealer() const override { return sealer_; }

 private:
  // ---- frontend::RouterSide ----
  void openRequest(router::RequestKey key, router::NewRequest arrival,
                   std::shared_ptr<frontend::ClientStream> client) override;
  router::RequestKey nextRequestKey() override { return driver_->nextRequestKey(); }
  void onClientDisconnected(router::RequestKey request) override;
  void pauseRequest(router::RequestKey request, bool paused) override;
  bool isServing() const override;

  CoreDriver::Hooks driverHooks();
  void onEngineList(const discovery::EngineList& list);
  void loadInitialList();
  void completeDrainIfIdle();
  void log(const char* package, const char* level, const std::string& text);

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
  std::uint64_t loggedCacheFailures_ = 0;  // of which the log has been told
  std::unique_ptr<discovery::RegistryWatch> registry_;
  std::function<void()> onDrained_;
};

}  // namespace gannetcourse::node
