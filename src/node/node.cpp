#include "node/node.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "config/reload.h"
#include "config/settings_difference.h"
#include "frontend/chat_service.h"

namespace gannetcourse::node {
namespace {

grpc::ServerOptions serverOptions(const config::NodeSettings& s) {
  grpc::ServerOptions options;
  options.http2.maxStreams = s.maxStreamsPerConnection;
  options.http2.maxHeaderBytes = s.maxMetadataBytes;
  options.maxMessageBytes = s.maxMessageBytes;
  options.maxConnections = s.maxConnections;
  return options;
}

grpc::ChannelOptions channelOptions(const config::NodeSettings& s) {
  grpc::ChannelOptions options;
  // Past the buffer for a slow client an engine may be this much ahead, no more.
  options.http2.streamWindow =
      static_cast<std::uint32_t>(std::clamp<std::uint64_t>(s.streamBufferBytes, 1024, 1 << 30));
  options.maxConnections = s.maxConnectionsPerEngine;
  options.connectTimeout = s.connectTimeout;
  // Engines must hear of this node often enough to keep its streams.
  options.keepaliveEvery = std::min(s.keepaliveInterval, s.recovery.engineLease / 4);
  options.keepaliveTimeout = s.keepaliveTimeout;
  options.userAgent = "gannetcourse node/" + s.name + " zone/" + s.zone;
  return options;
}

Settings policySettings(const config::NodeSettings& s) {
  Settings settings = s.policy;
  settings.subscribeToDiscovery = !s.registryAddress.empty();
  return settings;
}

std::unique_ptr<CoreDriver> plainDriver(net::Loop& loop, const Settings& settings, router::Options options,
                                        CoreDriver::Hooks hooks) {
  return std::make_unique<CoreDriver>(loop, settings, std::move(options), std::move(hooks));
}

resume::Sealer sealerOf(const config::NodeSettings& s) {
  return s.resumeKeyFile.empty() ? resume::Sealer() : resume::Sealer::load(s.resumeKeyFile);
}

}  // namespace

Node::Node(net::Loop& loop, config::NodeSettings settings, const std::string& start, Hooks hooks,
           const DriverFactory& makeDriver)
    : loop_(loop),
      settings_(std::move(settings)),
      sealer_(sealerOf(settings_)),
      hooks_(std::move(hooks)),
      resolver_(settings_.zones, net::monotonicNow(), net::unixMillis()),
      driver_((makeDriver ? makeDriver : plainDriver)(
          loop, policySettings(settings_),
          {settings_.name + "-" + start, settings_.responseMargin, bool(hooks_.onRecord), settings_.recovery},
          driverHooks())),
      transport_(loop, settings_.name, settings_.recovery.engineLease, channelOptions(settings_), *driver_),
      server_(loop, *net::parseEndpoint(settings_.listenAddress), serverOptions(settings_)),
      health_(server_, *this),
      engineListCache_(settings_.engineListCacheFile) {
  driver_->attach(transport_);
  frontend::registerChatService(server_, *this);
  loadInitialList();
}

Node::~Node() {
  driver_->stop();  // calls that end with the server are nobody's any more
  hooks_ = {};
}

CoreDriver::Hooks Node::driverHooks() {
  CoreDriver::Hooks hooks;
  hooks.onRecord = hooks_.onRecord;
  hooks.subscribe = [this] {
    if (registry_) registry_->subscribe();
  };
  hooks.onEngineGoAway = [this](EngineId engine) {
    log("engines", "info", "engine " + std::to_string(engine.value) + " says that it ends");
  };
  hooks.onTimerTurn = [this] { completeDrainIfIdle(); };
  return hooks;
}

// The first list is the saved one, which may be old or empty; then come the sources.
void Node::loadInitialList() {
  discovery::EngineList first;
  first.scope = EngineListUpdate::Scope::kCached;
  if (!settings_.registryAddress.empty()) {
    registry_ = std::make_unique<discovery::RegistryWatch>(
        loop_, *net::parseEndpoint(settings_.registryAddress), settings_.name, resolver_,
        channelOptions(settings_), [this](const discovery::EngineList& list) { onEngineList(list); });
    if (!settings_.engineListCacheFile.empty()) {
      try {
        first.engines = discovery::loadEngineListFile(settings_.engineListCacheFile, resolver_).engines;
      } catch (const config::InvalidFile& faults) {
        log("discovery", "warn", std::string("no saved list: ") + faults.what());
      }
    }
  } else {
    first = discovery::loadEngineListFile(settings_.engineListFile, resolver_);
    first.scope = EngineListUpdate::Scope::kCached;
  }
  onEngineList(first);
}

void Node::onEngineList(const discovery::EngineList& list) {
  if (list.scope == EngineListUpdate::Scope::kFetchFailed)
    log("discovery", "warn", "the registry cannot be heard");
  engineList_.apply(list);
  transport_.updateEngines(list);
  driver_->step([&](router::Core& core, Instant now) {
    core.onEngineListUpdate(now, list.toPolicyUpdate());
    for (const discovery::Engine& engine : list.engines)
      core.onEngineShutdownNotice(now, engine.entry.id, engine.shutdownAt);
  });
  health_.onServingMayHaveChanged();
  if (list.scope == EngineListUpdate::Scope::kFetchFailed || list.scope == EngineListUpdate::Scope::kCached)
    return;
  log("discovery", "info",
      "list version " + std::to_string(list.version) + ": " + std::to_string(list.engines.size()) +
          " entries, " + std::to_string(engineList_.engines().size()) + " engines in all");
  if (engineListCache_.failures() > std::exchange(loggedCacheFailures_, engineListCache_.failures()))
    log("discovery", "warn", "the list could not be saved: " + settings_.engineListCacheFile);
  engineListCache_.save(
      discovery::formatEngineList({EngineListUpdate::Scope::kSnapshot, list.version, engineList_.engines()}));
}

void Node::reload(const config::NodeSettings& settings) {
  const std::string fixed = config::firstRestartOnlyDifference(settings_, settings);
  if (!fixed.empty())
    throw std::invalid_argument("'" + fixed + "' changes only with a restart; nothing was changed");
  config::NodeSettings fresh = config::mergeForReload(settings_, settings);
  resume::Sealer sealer = sealerOf(fresh);
  discovery::EntryResolver translator = resolver_;
  translator.setZones(fresh.zones);
  std::optional<discovery::EngineList> list;
  if (!fresh.engineListFile.empty()) list = discovery::loadEngineListFile(fresh.engineListFile, translator);
  for (const std::string& line : config::describeDifferences(settings_, settings))
    log("config", "info", line);
  driver_->step([&](router::Core& core, Instant now) { core.reconfigure(now, policySettings(fresh)); });
  sealer_ = std::move(sealer);
  resolver_ = std::move(translator);
  settings_ = std::move(fresh);
  if (list) onEngineList(*list);
}

void Node::drain(std::function<void()> done) {
  onDrained_ = std::move(done);
  driver_->step([](router::Core& core, Instant now) { core.drain(now); });
  server_.drain();
  health_.onServingMayHaveChanged();
  health_.endWatches();
  completeDrainIfIdle();
}

void Node::completeDrainIfIdle() {
  if (!onDrained_ || core().pendingObligations() > 0 || transport_.auxiliaryCalls() > 0 ||
      server_.calls() > 0)
    return;
  loop_.defer(std::exchange(onDrained_, nullptr));
}

bool Node::isServing() const { return !core().isDraining() && !engineList_.engines().empty(); }

// ---- From the fronts ----
void Node::openRequest(router::RequestKey key, router::NewRequest arrival,
                       std::shared_ptr<frontend::ClientStream> client) {
  driver_->openRequest(key, std::move(arrival), std::move(client));
}

void Node::onClientDisconnected(router::RequestKey request) { driver_->onClientDisconnected(request); }
void Node::pauseRequest(router::RequestKey request, bool paused) { driver_->pauseRequest(request, paused); }

void Node::log(const char* package, const char* level, const std::string& text) {
  if (hooks_.log) hooks_.log(package, level, text);
}

}  // namespace gannetcourse::node
