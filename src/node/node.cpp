#include "node/node.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "config/in_service.h"
#include "frontend/chat.h"

namespace gannetcourse::node {
namespace {

grpc::ServerOptions serverOptions(const config::NodeSettings& s) {
  grpc::ServerOptions options;
  options.http2.maxStreams = s.maxStreams;
  options.http2.maxHeaderBytes = s.maxMetadata;
  options.maxMessageBytes = s.maxMessage;
  options.maxConnections = s.maxConnections;
  return options;
}

grpc::ChannelOptions channelOptions(const config::NodeSettings& s) {
  grpc::ChannelOptions options;
  // Past the buffer for a slow client an engine may be this much ahead, no more.
  options.http2.streamWindow =
      static_cast<std::uint32_t>(std::clamp<std::uint64_t>(s.streamBuffer, 1024, 1 << 30));
  options.maxConnections = s.engineConnections;
  options.connectTimeout = s.connectTimeout;
  // Engines must hear of this node often enough to keep its streams.
  options.keepaliveEvery = std::min(s.keepalive, s.recovery.engineLease / 4);
  options.keepaliveTimeout = s.keepaliveTimeout;
  options.userAgent = "gannetcourse node/" + s.name + " zone/" + s.zone;
  return options;
}

Settings policySettings(const config::NodeSettings& s) {
  Settings settings = s.policy;
  settings.subscribeToDiscovery = !s.registry.empty();
  return settings;
}

std::unique_ptr<CoreDriver> plainDriver(net::Loop& loop, const Settings& settings, router::Options options,
                                        CoreDriver::Hooks hooks) {
  return std::make_unique<CoreDriver>(loop, settings, std::move(options), std::move(hooks));
}

resume::Sealer sealerOf(const config::NodeSettings& s) {
  return s.resumeKeys.empty() ? resume::Sealer() : resume::Sealer::load(s.resumeKeys);
}

}  // namespace

Node::Node(net::Loop& loop, config::NodeSettings settings, const std::string& start, Hooks hooks,
           const DriverFactory& makeDriver)
    : loop_(loop),
      settings_(std::move(settings)),
      sealer_(sealerOf(settings_)),
      hooks_(std::move(hooks)),
      translator_(settings_.zones, net::monotonicNow(), net::unixMillis()),
      driver_((makeDriver ? makeDriver : plainDriver)(
          loop, policySettings(settings_),
          {settings_.name + "-" + start, settings_.answerMargin, bool(hooks_.record), settings_.recovery},
          driverHooks())),
      fleet_(loop, settings_.name, settings_.recovery.engineLease, channelOptions(settings_), *driver_),
      server_(loop, *net::parseEndpoint(settings_.listen), serverOptions(settings_)),
      health_(server_, *this),
      saved_(settings_.savedFleet) {
  driver_->attach(fleet_);
  frontend::serveChat(server_, *this);
  loadLists();
}

Node::~Node() {
  driver_->stop();  // calls that end with the server are nobody's any more
  hooks_ = {};
}

CoreDriver::Hooks Node::driverHooks() {
  CoreDriver::Hooks hooks;
  hooks.onRecord = hooks_.record;
  hooks.subscribe = [this] {
    if (registry_) registry_->subscribe();
  };
  hooks.onEngineGoAway = [this](EngineId engine) {
    log("engines", "info", "engine " + std::to_string(engine.value) + " says that it ends");
  };
  hooks.onTimerTurn = [this] { checkDrained(); };
  return hooks;
}

// The first list is the saved one, which may be old or empty; then come the sources.
void Node::loadLists() {
  discovery::EngineList first;
  first.scope = EngineListUpdate::Scope::kCached;
  if (!settings_.registry.empty()) {
    registry_ = std::make_unique<discovery::RegistryWatch>(
        loop_, *net::parseEndpoint(settings_.registry), settings_.name, translator_,
        channelOptions(settings_), [this](const discovery::EngineList& list) { takeList(list); });
    if (!settings_.savedFleet.empty()) {
      try {
        first.engines = discovery::loadFleetFile(settings_.savedFleet, translator_).engines;
      } catch (const config::Faults& faults) {
        log("discovery", "warn", std::string("no saved list: ") + faults.what());
      }
    }
  } else {
    first = discovery::loadFleetFile(settings_.fleetFile, translator_);
    first.scope = EngineListUpdate::Scope::kCached;
  }
  takeList(first);
}

void Node::takeList(const discovery::EngineList& list) {
  if (list.scope == EngineListUpdate::Scope::kFetchFailed)
    log("discovery", "warn", "the registry cannot be heard");
  merged_.apply(list);
  fleet_.update(list);
  driver_->step([&](router::Core& core, Instant now) {
    core.onEngineListUpdate(now, list.forPolicy());
    for (const discovery::Engine& engine : list.engines)
      core.onEngineShutdownNotice(now, engine.entry.id, engine.leavesAt);
  });
  health_.changed();
  if (list.scope == EngineListUpdate::Scope::kFetchFailed || list.scope == EngineListUpdate::Scope::kCached)
    return;
  log("discovery", "info",
      "list version " + std::to_string(list.version) + ": " + std::to_string(list.engines.size()) +
          " entries, " + std::to_string(merged_.engines().size()) + " engines in all");
  if (saved_.failures() > std::exchange(savedFailures_, saved_.failures()))
    log("discovery", "warn", "the list could not be saved: " + settings_.savedFleet);
  saved_.save(discovery::formatFleet({EngineListUpdate::Scope::kSnapshot, list.version, merged_.engines()}));
}

void Node::reload(const config::NodeSettings& settings) {
  const std::string fixed = config::fixedDifference(settings_, settings);
  if (!fixed.empty())
    throw std::invalid_argument("'" + fixed + "' changes only with a restart; nothing was changed");
  config::NodeSettings fresh = config::carriedOver(settings_, settings);
  resume::Sealer sealer = sealerOf(fresh);
  discovery::Translator translator = translator_;
  translator.take(fresh.zones);
  std::optional<discovery::EngineList> list;
  if (!fresh.fleetFile.empty()) list = discovery::loadFleetFile(fresh.fleetFile, translator);
  for (const std::string& line : config::differences(settings_, settings)) log("config", "info", line);
  driver_->step([&](router::Core& core, Instant now) { core.reconfigure(now, policySettings(fresh)); });
  sealer_ = std::move(sealer);
  translator_ = std::move(translator);
  settings_ = std::move(fresh);
  if (list) takeList(*list);
}

void Node::drain(std::function<void()> done) {
  drained_ = std::move(done);
  driver_->step([](router::Core& core, Instant now) { core.drain(now); });
  server_.drain();
  health_.changed();
  health_.end();
  checkDrained();
}

void Node::checkDrained() {
  if (!drained_ || core().pendingObligations() > 0 || fleet_.auxiliaryCalls() > 0 || server_.calls() > 0)
    return;
  loop_.defer(std::exchange(drained_, nullptr));
}

bool Node::isServing() const { return !core().isDraining() && !merged_.engines().empty(); }

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
