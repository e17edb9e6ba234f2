#include "platform/node.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace gannetcourse::platform {
namespace {

using instance::Json;

const Duration kLinger{1.2};  // after SIGTERM new connections keep coming for a while: each gets its answer
const Duration kReport{10};   // between two lines of the node's account
const Duration kAnswerMargin{0.01};
// The list that a node is started with may be old, and what discovery knows counts as told from the first
// moment: the node waits this long for its word before it says that it is ready.
const Duration kFirstWord{0.3};
// ... and this long where it knows no engine: without a word by then it is ready and refuses, with a time to
// come back.
const Duration kNoListWithin{5};

http1::ClientOptions clientOptions(const Configuration& c) {
  http1::ClientOptions options;
  options.maxConnections = limitsOf(c).maxEngineConnections;
  options.connectTimeout = c.engineConnectTimeout;
  options.idleTimeout = c.engineIdleTimeout / 2;
  return options;
}

// The module and open requests know names by their places: more may follow, none may move.
bool keepsPlaces(const std::vector<std::string>& before, const std::vector<std::string>& after) {
  return before.size() <= after.size() && std::equal(before.begin(), before.end(), after.begin());
}

router::Options coreOptions(const Configuration& c, bool records) {
  router::Options options;
  options.nodeName = c.name;
  options.responseMargin = kAnswerMargin;
  options.recordsEnabled = records;
  options.recovery.enabled = false;  // the events of one engine's stream, unchanged
  return options;
}

}  // namespace

Node::Node(net::Loop& loop, Configuration configuration, Log log,
           const std::function<void(const router::Record&)>& record)
    : loop_(loop),
      configuration_(std::move(configuration)),
      log_(std::move(log)),
      clock_(loop.now(), net::unixMillis()),
      driver_(loop, configuration_.policySettings, coreOptions(configuration_, record != nullptr),
              driverHooks(record)),
      engineClient_(loop, clientOptions(configuration_), driver_),
      frontend_(loop, configuration_, driver_) {
  driver_.attach(engineClient_);
  engineClient_.setStateLeaseLimit(configuration_.policySettings.stateLeaseLimit);
  engineClient_.releases().setLog(
      [this](const std::string& level, const std::string& text) { log_("engines", level, text); });
  applyEngineList(
      configuration_.knownEngineList.is_object() ? configuration_.knownEngineList : Json::object(), true);
  readyTimer_ = loop_.runAfter(engineClient_.knownEngineCount() > 0 ? kFirstWord : kNoListWithin,
                               [this] { becomeReady("without a word of discovery"); });
  watch_ = std::make_unique<DiscoveryWatch>(
      loop_, configuration_.discoveryEndpoint, listVersion_.latestIndex(), configuration_.policySettings.seed,
      [this](const std::string& object) { onDiscoveryObject(object); },
      [this](const std::string& text) { log_("discovery", "info", text); });
  logStatistics();
}

Node::~Node() {
  driver_.stop();
  loop_.cancelTimer(statisticsTimer_);
  loop_.cancelTimer(readyTimer_);
}

node::CoreDriver::Hooks Node::driverHooks(const std::function<void(const router::Record&)>& record) {
  node::CoreDriver::Hooks hooks;
  hooks.onRecord = record;
  if (!record) hooks.onRecord = [this](const router::Record& r) { logViolation(r); };
  hooks.onTimerTurn = [this] { checkDrained(); };
  return hooks;
}

// Where no records are asked for, a rule that was broken is still told of, with its request.
void Node::logViolation(const router::Record& record) {
  if (record.kind != router::RecordKind::kInvariantViolation) return;
  log_("router", "error", "violation: " + record.reason + " by request " + record.request);
}

void Node::onDiscoveryObject(const std::string& text) {
  const Json object = Json::parse(text, nullptr, false);
  if (object.is_discarded()) return watchMissed("an object of the watch is no JSON");
  applyEngineList(object, false);
}

// What could not be read may have told of a drain: the whole list is asked for.
void Node::watchMissed(const char* why) {
  log_("discovery", "warn", why);
  if (watch_) watch_->requestSnapshot();
}

void Node::applyEngineList(const Json& object, bool saved) {
  auto list = parseEngineListMessage(object, configuration_.names, clock_);
  if (!list) watchMissed(saved ? "the known list cannot be read" : "an object of the watch cannot be read");
  if (!list && !saved) return;
  if (!list) list.emplace();  // the core has to hear a first list, be it an empty one
  if (listVersion_.classify(list->index, list->isSnapshot || saved, loop_.now()) ==
      EngineListVersion::Decision::kResync)
    return watch_->requestSnapshot();
  if (watch_) watch_->setResumeIndex(list->index);
  engineClient_.applyEngineList(*list);
  EngineListUpdate told = list->toUpdate();
  if (saved) told.scope = EngineListUpdate::Scope::kCached;
  driver_.step([&](router::Core& core, Instant now) { core.onEngineListUpdate(now, told); });
  if (!saved) becomeReady("with discovery's list");
}

void Node::becomeReady(const char* how) {
  if (std::exchange(ready_, true)) return;
  log_("node", "info",
       std::string("ready ") + how + ", engines known: " + std::to_string(engineClient_.knownEngineCount()));
  frontend_.setReady(true);
}

void Node::reload(Configuration fresh) {
  fresh.name = configuration_.name;
  fresh.listenEndpoint = configuration_.listenEndpoint;
  const instance::InstanceNames &was = configuration_.names, &is = fresh.names;
  for (const auto& [before, after] :
       {std::pair(&was.classes, &is.classes), std::pair(&was.tenants, &is.tenants),
        std::pair(&was.zones, &is.zones)}) {
    if (!keepsPlaces(*before, *after))
      throw std::invalid_argument("rule 2 (no effect twice): a class, tenant or zone lost its place");
  }
  driver_.step([&](router::Core& core, Instant now) { core.reconfigure(now, fresh.policySettings); });
  const bool moved = fresh.discoveryEndpoint != configuration_.discoveryEndpoint;
  configuration_ = std::move(fresh);
  engineClient_.take(clientOptions(configuration_));
  engineClient_.setStateLeaseLimit(configuration_.policySettings.stateLeaseLimit);
  frontend_.applyConfiguration(configuration_);
  if (moved) watch_->changeEndpoint(configuration_.discoveryEndpoint);
}

void Node::drain(std::function<void()> done) {
  if (onDrained_) return;
  onDrained_ = std::move(done);
  drainStartedAt_ = loop_.now();
  driver_.step([](router::Core& core, Instant now) { core.drain(now); });
  frontend_.drain();
}

void Node::checkDrained() {
  if (!onDrained_ || loop_.now() - drainStartedAt_ < kLinger) return;
  if (core().pendingObligations() > 0 || engineClient_.auxiliaryCalls() > 0 ||
      frontend_.server().busyCount() > 0)
    return;
  if (listening_) log_("node", "info", "nothing is owed: the listener closes");
  if (!std::exchange(listening_, false)) return loop_.defer(std::exchange(onDrained_, nullptr));
  frontend_.shutdown();
}

std::string Node::statisticsLine() const {
  const router::Counters& c = core().counters();
  const http1::ServerCounters& clients = frontend_.server().counters();
  std::string text;
  const auto add = [&text](const char* name, std::uint64_t value) {
    text += std::string(text.empty() ? "" : " ") + name + "=" + std::to_string(value);
  };
  add("taken", c.accepted);
  add("served", c.served);
  add("refused", c.rejected);
  add("failed", c.failed);
  add("deadline", c.deadlineExceeded);
  add("gone", c.clientsDisconnected);
  add("turned_away", frontend_.rejectedMalformed());
  add("attempts", c.attempts);
  add("guarded", c.actionsBlocked);
  text += " violations=" + router::textOf(core().violations());
  add("open", core().openRequests());
  add("calls_open", engineClient_.openCallCount());
  const ReleaseDispatcher::Counters& releases = engineClient_.releases().counters();
  add("releases_open", engineClient_.releases().pending());
  add("releases", releases.started);
  add("releases_taken", releases.confirmed);
  add("releases_given_up", releases.abandoned);
  add("release_asks", releases.calls);
  add("slowest_release_ms", static_cast<std::uint64_t>(releases.slowestConfirmation.count() * 1000));
  add("client_connections", frontend_.server().connectionCount());
  add("engine_connections", engineClient_.connectionCount());
  add("engine_connections_opened", engineClient_.connectionsOpened());
  add("accepted", clients.accepted);
  add("evicted", clients.evicted);
  add("shut_at_bound", clients.closedAtLimit);
  add("rejected", clients.rejected);
  add("timed_out", clients.timedOut);
  add("abandoned", clients.abandoned);
  add("failed_accepts", frontend_.server().failedAccepts());
  add("failed_watches", loop_.failedWatches());
  add("local_faults", engineClient_.localConnectFailures());
  add("list_index", listIndex());
  add("discovery_watches", watch_ ? watch_->watchesOpened() : 0);
  add("whole_lists_asked", watch_ ? watch_->snapshotRequests() : 0);
  return text;
}

void Node::logStatistics() {
  log_("node", "info", statisticsLine());
  statisticsTimer_ = loop_.runAfter(kReport, [this] { logStatistics(); });
}

}  // namespace gannetcourse::platform
