#include "node/node.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "config/in_service.h"
#include "fronts/chat.h"

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
  options.keepaliveEvery = std::min(s.keepalive, s.recovery.lease / 4);
  options.keepaliveTimeout = s.keepaliveTimeout;
  options.userAgent = "gannetcourse node/" + s.name + " zone/" + s.zone;
  return options;
}

Settings policySettings(const config::NodeSettings& s) {
  Settings settings = s.policy;
  settings.askDiscovery = !s.registry.empty();
  return settings;
}

resume::Sealer sealerOf(const config::NodeSettings& s) {
  return s.resumeKeys.empty() ? resume::Sealer() : resume::Sealer::load(s.resumeKeys);
}

template <class... Fs>
struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <class... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

}  // namespace

Node::Node(net::Loop& loop, config::NodeSettings settings, const std::string& start, Hooks hooks)
    : loop_(loop),
      settings_(std::move(settings)),
      sealer_(sealerOf(settings_)),
      hooks_(std::move(hooks)),
      translator_(settings_.zones, net::monotonicNow(), net::unixMillis()),
      core_(policySettings(settings_),
            {settings_.name + "-" + start, settings_.answerMargin, bool(hooks_.record), settings_.recovery}),
      fleet_(loop, settings_.name, settings_.recovery.lease, channelOptions(settings_), *this),
      server_(loop, *net::parseEndpoint(settings_.listen), serverOptions(settings_)),
      health_(server_, *this),
      saved_(settings_.savedFleet) {
  fronts::serveChat(server_, *this);
  loadLists();
}

Node::~Node() {
  ending_ = true;
  loop_.cancel(timer_);
  hooks_ = {};
}

// The first list is the saved one, which may be old or empty; then come the sources.
void Node::loadLists() {
  discovery::EngineList first;
  first.scope = ServerList::Scope::kSaved;
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
    first.scope = ServerList::Scope::kSaved;
  }
  takeList(first);
}

void Node::takeList(const discovery::EngineList& list) {
  if (list.scope == ServerList::Scope::kFailed) log("discovery", "warn", "the registry cannot be heard");
  merged_.apply(list);
  fleet_.update(list);
  core_.serverList(loop_.now(), list.forPolicy());
  for (const discovery::Engine& engine : list.engines)
    core_.leaving(loop_.now(), engine.entry.id, engine.leavesAt);
  run();
  health_.changed();
  if (list.scope == ServerList::Scope::kFailed || list.scope == ServerList::Scope::kSaved) return;
  log("discovery", "info",
      "list version " + std::to_string(list.version) + ": " + std::to_string(list.engines.size()) +
          " entries, " + std::to_string(merged_.engines().size()) + " engines in all");
  saved_.save(discovery::formatFleet({ServerList::Scope::kFull, list.version, merged_.engines()}));
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
  core_.reconfigure(loop_.now(), policySettings(fresh));
  sealer_ = std::move(sealer);
  translator_ = std::move(translator);
  settings_ = std::move(fresh);
  if (list) takeList(*list);
  run();
}

void Node::drain(std::function<void()> done) {
  drained_ = std::move(done);
  core_.drain(loop_.now());
  server_.drain();
  health_.changed();
  health_.end();
  run();
  checkDrained();
}

void Node::checkDrained() {
  if (!drained_ || core_.owed() > 0 || fleet_.smallCalls() > 0 || server_.calls() > 0) return;
  loop_.defer(std::exchange(drained_, nullptr));
}

bool Node::serving() const { return !core_.draining() && !merged_.engines().empty(); }

// ---- From the fronts ----
void Node::open(router::RequestKey key, router::Arrival arrival, std::shared_ptr<fronts::ClientSide> client) {
  clients_.emplace(key, std::move(client));
  core_.arrived(loop_.now(), std::move(arrival));
  run();
}

void Node::clientGone(router::RequestKey request) {
  if (ending_) return;
  clients_.erase(request);
  core_.clientGone(loop_.now(), request);
  run();
}

void Node::pause(router::RequestKey request, bool paused) {
  if (ending_) return;
  core_.paused(loop_.now(), request, paused);
  fleet_.pause(core_.streamOf(request), paused);
}

// ---- From the engines ----
void Node::readEnded(router::CallKey call, std::string state, double kept, std::optional<LoadReport> load) {
  core_.readEnded(loop_.now(), call, std::move(state), kept, load);
  run();
}

void Node::token(router::CallKey call, std::uint32_t index, std::string text) {
  core_.token(loop_.now(), call, index, std::move(text));
  run();
}

void Node::callEnded(router::CallKey call, Outcome outcome, double kept, std::optional<LoadReport> load,
                     const std::string& why, recovery::Ending ending) {
  core_.callEnded(loop_.now(), call, outcome, kept, load, why, ending);
  run();
}

void Node::fenced(router::RequestKey request, int attempt) {
  core_.fenced(loop_.now(), request, attempt);
  run();
}

void Node::goesAway(ServerId engine) {
  log("engines", "info", "engine " + std::to_string(engine.value) + " says that it ends");
  core_.goesAway(loop_.now(), engine);
  run();
}

void Node::probeEnded(ServerId engine, Outcome outcome, Duration elapsed, std::optional<LoadReport> load) {
  core_.probeEnded(loop_.now(), engine, outcome, elapsed, load);
  run();
}

void Node::seatAnswered(router::RequestKey request, ServerId engine, bool held) {
  core_.seatAnswered(loop_.now(), request, engine, held);
  run();
}

// ---- To both ----
void Node::carryOut(const router::Command& command) {
  std::visit(Overloaded{
                 [this](const router::StartRead& c) { fleet_.start(c); },
                 [this](const router::StartWrite& c) { fleet_.start(c); },
                 [this](const router::CallOff& c) { fleet_.callOff(c.call); },
                 [this](const router::ReserveSeat& c) { fleet_.reserve(c); },
                 [this](const router::LetGo& c) { fleet_.letGo(c); },
                 [this](const router::FenceAttempt& c) { fleet_.fence(c); },
                 [this](const router::ResumeFrom& c) {
                   const auto it = clients_.find(c.request);
                   if (it != clients_.end()) it->second->resumeFrom(c);
                 },
                 [this](const router::Deliver& c) {
                   const auto it = clients_.find(c.request);
                   if (it != clients_.end()) it->second->deliver(c);
                 },
                 [this](const router::Answer& c) {
                   const auto node = clients_.extract(c.request);
                   if (!node.empty()) node.mapped()->answer(c);
                 },
                 [this](const router::ProbeEngine& c) { fleet_.probe(c.engine); },
                 [this](const router::Subscribe&) {
                   if (registry_) registry_->subscribe();
                 },
                 [](const router::Fetch&) {},  // a watch begins with the full list
                 [this](const router::Record& c) {
                   if (hooks_.record) hooks_.record(c);
                 },
             },
             command);
}

void Node::answerTwice(router::RequestKey request) {
  const auto it = clients_.find(request);
  if (it != clients_.end()) it->second->answerTwiceForTests();
}

void Node::run() {
  // What is carried out may call back in here; the outermost run does it all, in order.
  if (std::exchange(running_, true)) return;
  while (core_.takeInto(commands_)) {
    if (hooks_.tamper) hooks_.tamper(*this, commands_);
    for (const router::Command& command : commands_) carryOut(command);
  }
  running_ = false;
  const std::optional<Instant> wake = core_.nextWake();
  if (wake && (timer_ == 0 || *wake != timerAt_)) {
    loop_.cancel(timer_);
    timerAt_ = *wake;
    timer_ = loop_.at(*wake, [this] {
      timer_ = 0;
      core_.advance(loop_.now());
      run();
      checkDrained();
    });
  }
}

void Node::log(const char* package, const char* level, const std::string& text) {
  if (hooks_.log) hooks_.log(package, level, text);
}

}  // namespace gannetcourse::node
