#include "node/node.h"

#include <algorithm>
#include <utility>

#include "config/reload.h"
#include "config/settings_difference.h"
#include "discovery/engine_list_file.h"
#include "frontend/chat_service.h"

namespace gannetcourse::node {
namespace {

constexpr std::uint64_t kMinStreamWindow = 1024;
constexpr std::uint64_t kMaxStreamWindow = 1 << 30;

grpc::ServerOptions serverOptions(const config::NodeSettings& settings) {
  grpc::ServerOptions options;
  options.http2.maxStreams = settings.maxStreamsPerConnection;
  options.http2.maxHeaderBytes = settings.maxMetadataBytes;
  options.maxMessageBytes = settings.maxMessageBytes;
  options.maxRequestMemory = settings.maxRequestMemoryBytes;
  options.maxConnections = settings.maxConnections;
  return options;
}

grpc::ChannelOptions channelOptions(const config::NodeSettings& settings) {
  grpc::ChannelOptions options;
  // Limits how much an engine can send while the client's buffer is full.
  options.http2.streamWindow =
      static_cast<std::uint32_t>(std::clamp(settings.streamBufferBytes, kMinStreamWindow, kMaxStreamWindow));
  options.maxConnections = settings.maxConnectionsPerEngine;
  options.connectTimeout = settings.connectTimeout;
  // An engine ends a node's streams if it receives nothing from the node for the duration of the lease.
  // PINGs must therefore be sent several times within a lease.
  options.keepaliveInterval = std::min(settings.keepaliveInterval, settings.recovery.engineLease / 4);
  options.keepaliveTimeout = settings.keepaliveTimeout;
  options.userAgent = "gannetcourse node/" + settings.name + " zone/" + settings.zone;
  return options;
}

Settings policySettings(const config::NodeSettings& settings) {
  Settings policy = settings.policy;
  policy.subscribeToDiscovery = !settings.registryAddress.empty();
  return policy;
}

router::Options routerOptions(const config::NodeSettings& settings, const std::string& incarnation,
                              bool recordsEnabled) {
  router::Options options;
  options.nodeName = settings.name + "-" + incarnation;
  options.responseMargin = settings.responseMargin;
  options.recordsEnabled = recordsEnabled;
  options.recovery = settings.recovery;
  return options;
}

std::unique_ptr<CoreDriver> makePlainDriver(net::Loop& loop, const Settings& settings,
                                            router::Options options, CoreDriver::Hooks hooks) {
  return std::make_unique<CoreDriver>(loop, settings, std::move(options), std::move(hooks));
}

resume::Sealer loadSealer(const config::NodeSettings& settings) {
  if (settings.resumeKeyFile.empty()) return {};
  return resume::Sealer::load(settings.resumeKeyFile);
}

}  // namespace

RestartRequired::RestartRequired(std::string setting)
    : std::invalid_argument("'" + setting + "' changes only with a restart; nothing was changed"),
      setting_(std::move(setting)) {}

Node::Node(net::Loop& loop, config::NodeSettings settings, const std::string& incarnation, Hooks hooks,
           const DriverFactory& makeDriver)
    : loop_(loop),
      settings_(std::move(settings)),
      sealer_(loadSealer(settings_)),
      hooks_(std::move(hooks)),
      resolver_(settings_.zones, net::monotonicNow(), net::unixMillis()),
      driver_((makeDriver ? makeDriver : makePlainDriver)(
          loop, policySettings(settings_), routerOptions(settings_, incarnation, bool(hooks_.onRecord)),
          driverHooks())),
      transport_(loop, settings_.name, settings_.recovery.engineLease, channelOptions(settings_), *driver_),
      server_(loop, *net::parseEndpoint(settings_.listenAddress), serverOptions(settings_)),
      health_(server_, *this),
      engineListCache_(settings_.engineListCacheFile) {
  driver_->attach(transport_);
  frontend::registerChatService(server_, *this);
  if (!settings_.registryAddress.empty()) watchRegistry();
  onEngineList(loadInitialList());
}

Node::~Node() {
  driver_->stop();  // destroying the members ends calls, whose events must not reach the core
  hooks_ = {};
}

CoreDriver::Hooks Node::driverHooks() {
  CoreDriver::Hooks hooks;
  hooks.onRecord = hooks_.onRecord;
  hooks.subscribe = [this] {
    if (registry_) registry_->subscribe();
  };
  hooks.onEngineGoAway = [this](EngineId engine) {
    log("engines", "info", "engine " + std::to_string(engine.value) + " announces its shutdown (GOAWAY)");
  };
  hooks.onTimerHandled = [this] { completeDrainIfIdle(); };
  return hooks;
}

// ---- Engine list ----
void Node::watchRegistry() {
  registry_ = std::make_unique<discovery::RegistryWatch>(
      loop_, *net::parseEndpoint(settings_.registryAddress), settings_.name, resolver_,
      channelOptions(settings_), [this](const discovery::EngineList& list) { onEngineList(list); });
}

// The initial list is always marked as cached, because it may be out of date or empty.
discovery::EngineList Node::loadInitialList() const {
  discovery::EngineList list =
      registry_ ? loadCachedList() : discovery::loadEngineListFile(settings_.engineListFile, resolver_);
  list.scope = EngineListUpdate::Scope::kCached;
  return list;
}

discovery::EngineList Node::loadCachedList() const {
  discovery::EngineList list;
  if (settings_.engineListCacheFile.empty()) return list;
  try {
    list.engines = discovery::loadEngineListFile(settings_.engineListCacheFile, resolver_).engines;
  } catch (const config::InvalidFile& invalid) {
    log("discovery", "warn", std::string("cannot read the cached engine list: ") + invalid.what());
  }
  return list;
}

void Node::onEngineList(const discovery::EngineList& list) {
  using Scope = EngineListUpdate::Scope;
  if (list.scope == Scope::kFetchFailed)
    log("discovery", "warn", "registry watch ended or failed to open; the engine list is kept");
  engineList_.apply(list);
  transport_.updateEngines(list);
  driver_->step([&list](router::Core& core, Instant now) {
    core.onEngineListUpdate(now, list.toPolicyUpdate());
    for (const discovery::Engine& engine : list.engines)
      core.onEngineShutdownNotice(now, engine.entry.id, engine.shutdownAt);
  });
  health_.onServingMayHaveChanged();
  if (list.scope == Scope::kFetchFailed || list.scope == Scope::kCached) return;
  log("discovery", "info",
      "engine list version " + std::to_string(list.version) + ": " + std::to_string(list.engines.size()) +
          " entries, " + std::to_string(engineCount()) + " engines in total");
  cacheEngineList(list.version);
}

void Node::cacheEngineList(std::uint64_t version) {
  const std::uint64_t failures = engineListCache_.failures();
  if (failures > loggedCacheFailures_)
    log("discovery", "warn", "cannot write the cached engine list: " + settings_.engineListCacheFile);
  loggedCacheFailures_ = failures;
  engineListCache_.save(
      discovery::formatEngineList({EngineListUpdate::Scope::kSnapshot, version, engineList_.engines()}));
}

// ---- Reload ----
// All steps that may throw come before the first change, because a failed reload must change nothing.
void Node::reload(const config::NodeSettings& settings) {
  const std::string restartOnly = config::firstRestartOnlyDifference(settings_, settings);
  if (!restartOnly.empty()) throw RestartRequired(restartOnly);
  config::NodeSettings merged = config::mergeForReload(settings_, settings);
  resume::Sealer sealer = loadSealer(merged);
  discovery::EntryResolver resolver = resolver_;
  resolver.setZones(merged.zones);
  std::optional<discovery::EngineList> list;
  if (!merged.engineListFile.empty()) list = discovery::loadEngineListFile(merged.engineListFile, resolver);
  for (const std::string& difference : config::describeDifferences(settings_, settings))
    log("config", "info", difference);
  driver_->step([&](router::Core& core, Instant now) { core.reconfigure(now, policySettings(merged)); });
  sealer_ = std::move(sealer);
  resolver_ = std::move(resolver);
  settings_ = std::move(merged);
  if (list) onEngineList(*list);
}

// ---- Drain ----
void Node::drain(std::function<void()> onDrained) {
  onDrained_ = std::move(onDrained);
  driver_->step([](router::Core& core, Instant now) { core.drain(now); });
  server_.drain();
  health_.onServingMayHaveChanged();
  health_.endWatches();
  completeDrainIfIdle();
}

void Node::completeDrainIfIdle() {
  if (!onDrained_) return;
  const bool idle =
      core().pendingObligations() == 0 && transport_.auxiliaryCalls() == 0 && server_.callCount() == 0;
  if (idle) loop_.defer(std::exchange(onDrained_, nullptr));
}

// ---- From frontends ----
bool Node::isServing() const { return !core().isDraining() && engineCount() > 0; }

void Node::openRequest(router::RequestKey key, router::NewRequest request,
                       std::shared_ptr<frontend::ClientStream> client) {
  driver_->openRequest(key, std::move(request), std::move(client));
}

void Node::onClientDisconnected(router::RequestKey request) { driver_->onClientDisconnected(request); }

void Node::pauseRequest(router::RequestKey request, bool paused) { driver_->pauseRequest(request, paused); }

void Node::log(const char* package, const char* level, const std::string& text) const {
  if (hooks_.log) hooks_.log(package, level, text);
}

}  // namespace gannetcourse::node
