#include "platform/node.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "instance/json_fields.h"

namespace gannetcourse::platform {
namespace {

using instance::Json;

// Minimum time between the start of a drain and the closing of the listener. Clients open connections for a
// while after SIGTERM, and each of these must get a response.
const Duration kMinDrainDuration{1.2};
const Duration kStatisticsInterval{10};
const Duration kResponseMargin{0.01};
// A node without engines in its configuration becomes ready after this time without a list, and then rejects
// requests with a Retry-After.
const Duration kDiscoveryWaitWithoutEngines{5};

// Free memory is returned to the kernel once this much less is held than at the last peak, and after a list
// or a configuration of this length has been parsed.
constexpr std::uint64_t kTrimBytes = 1 << 20;
constexpr std::size_t kLongListBytes = 64 * 1024;
const Duration kMemoryCheckInterval{0.1};
const Duration kShortageLogInterval{10};

http1::ClientOptions engineConnectionOptions(const Configuration& configuration, const NodeLimits& limits,
                                             const std::shared_ptr<net::MemoryBudget>& memory) {
  http1::ClientOptions options;
  options.maxConnections = limits.maxEngineConnections;
  options.connectTimeout = configuration.engineConnectTimeout;
  options.idleTimeout = configuration.engineIdleTimeout / 2;
  options.memory = memory;
  return options;
}

router::Options coreOptions(const Configuration& configuration, bool recordsEnabled) {
  router::Options options;
  options.nodeName = configuration.name;
  options.responseMargin = kResponseMargin;
  options.recordsEnabled = recordsEnabled;
  options.recovery.enabled = false;  // the protocol has no continuation at another engine
  return options;
}

// Whether each name has the same index in `after` as in `before`. The decision module and open requests refer
// to names by index, so a reload may only append names.
bool keepsIndices(const std::vector<std::string>& before, const std::vector<std::string>& after) {
  return before.size() <= after.size() && std::equal(before.begin(), before.end(), after.begin());
}

bool keepsIndices(const instance::InstanceNames& before, const instance::InstanceNames& after) {
  return keepsIndices(before.classes, after.classes) && keepsIndices(before.tenants, after.tenants) &&
         keepsIndices(before.zones, after.zones);
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
      engineClient_(loop, engineConnectionOptions(configuration_, limitsOf(configuration_), memory_),
                    driver_),
      frontend_(loop, configuration_, driver_, memory_),
      freshness_(loop.now()) {
  driver_.attach(engineClient_);
  engineClient_.setStateLeaseLimit(configuration_.policySettings.stateLeaseLimit);
  engineClient_.setReleaseLog(
      [this](const std::string& level, const std::string& text) { log_("engines", level, text); });
  applyLimits();
  applyKnownEngineList();
  readyTimer_ = loop_.runAfter(kDiscoveryWaitWithoutEngines, [this] {
    if (engineClient_.knownEngineCount() == 0) becomeReady("without an answer from discovery");
  });
  openWatch();
  updateFreshness();
  logStatistics();
  checkMemory();
}

Node::~Node() {
  driver_.stop();
  loop_.cancelTimer(statisticsTimer_);
  loop_.cancelTimer(readyTimer_);
  loop_.cancelTimer(memoryTimer_);
  loop_.cancelTimer(freshnessTimer_);
}

node::CoreDriver::Hooks Node::driverHooks(const std::function<void(const router::Record&)>& record) {
  node::CoreDriver::Hooks hooks;
  hooks.onRecord = record;
  if (!record) hooks.onRecord = [this](const router::Record& r) { logViolation(r); };
  hooks.onTimerHandled = [this] { checkDrained(); };
  return hooks;
}

// Logs the record if it is an invariant violation. Used if no records are written.
void Node::logViolation(const router::Record& record) {
  if (record.kind != router::RecordKind::kInvariantViolation) return;
  log_("router", "error", "violation: " + record.reason + " by request " + record.request);
}

// ---- The engine list ----

void Node::openWatch() {
  watch_ = std::make_unique<DiscoveryWatch>(
      loop_, configuration_.discoveryEndpoint, listVersion_.latestIndex(), configuration_.policySettings.seed,
      [this](const std::string& object) { onDiscoveryObject(object); },
      [this](const std::string& text) { log_("discovery", "info", text); }, memory_);
  watch_->setProgressHandler([this] { updateFreshness(); });
}

// Holds requests while discovery is about to answer the node's first question. The node becomes ready once it
// is not awaited any more.
void Node::updateFreshness() {
  if (watch_->hasToldNothingNew()) freshness_.confirm();
  freshness_.setQuestionTaken(watch_->isQuestionTaken());
  const Instant now = loop_.now();
  const bool awaited = freshness_.isAwaited(now);
  if (awaited != std::exchange(listAwaited_, awaited))
    driver_.step([awaited](router::Core& core, Instant at) { core.onEngineListAwaited(at, awaited); });
  loop_.cancelTimer(std::exchange(freshnessTimer_, 0));
  if (const std::optional<Instant> change = freshness_.nextChange(now))
    freshnessTimer_ = loop_.runAt(*change, [this] { updateFreshness(); });
  if (awaited || engineClient_.knownEngineCount() == 0) return;
  becomeReady(freshness_.isConfirmed() ? "with discovery's list" : "without an answer from discovery");
}

void Node::onDiscoveryObject(const std::string& text) {
  auto message = parseEngineListText(text, configuration_.names, clock_);
  if (!message) {
    onUnreadableObject("discovery sent an object that is not a valid engine list");
    return;
  }
  const auto decision = listVersion_.classify(message->index, message->isSnapshot, loop_.now());
  if (decision == EngineListVersion::Decision::kResync) {
    watch_->requestSnapshot();
    return;
  }
  watch_->setResumeIndex(message->index);
  dropEnginesBeyondMemory(*message);
  applyEngineList(*message, message->scope());
  if (text.size() > kLongListBytes) trimHeap();
  freshness_.confirm();
  updateFreshness();
  becomeReady("with discovery's list");
}

// Requests a snapshot, because the unreadable object may have contained a drain or removal.
void Node::onUnreadableObject(const char* reason) {
  log_("discovery", "warn", reason);
  watch_->requestSnapshot();
}

// Applies the engine list of the configuration, or an empty list if it has none or an invalid one. The core
// needs a list at its start.
void Node::applyKnownEngineList() {
  const Json known = std::exchange(configuration_.knownEngineList, nullptr);
  auto message =
      parseEngineListMessage(known.is_object() ? known : Json::object(), configuration_.names, clock_);
  if (!message) {
    log_("discovery", "warn",
         "the engine list in the configuration (field 'known') is invalid; starting without engines");
    message.emplace();
  }
  listVersion_.classify(message->index, true, loop_.now());
  dropEnginesBeyondMemory(*message);
  applyEngineList(*message, EngineListUpdate::Scope::kCached);
}

// Keeps only as many new engines as the memory allows. What the list says of known engines always counts.
void Node::dropEnginesBeyondMemory(EngineListMessage& message) {
  const std::size_t known = engineClient_.knownEngineCount();
  const std::size_t most = maxEngineCount(configuration_);
  std::size_t room = most > known ? most - known : 0;
  const std::size_t dropped = std::erase_if(message.engines, [&](const EngineListMessageEntry& engine) {
    if (engineClient_.knowsEngine(engine.entry.id)) return false;
    if (room == 0) return true;
    --room;
    return false;
  });
  if (dropped == 0 || std::exchange(droppedEnginesLogged_, true)) return;
  log_("discovery", "error",
       "the memory suffices for " + std::to_string(most) + " engines; " + std::to_string(dropped) +
           " further engines of the list are not used");
}

void Node::applyEngineList(const EngineListMessage& message, EngineListUpdate::Scope scope) {
  engineClient_.applyEngineList(message);
  EngineListUpdate update = message.toUpdate();
  update.scope = scope;
  driver_.step([&](router::Core& core, Instant now) { core.onEngineListUpdate(now, update); });
  applyLimits();
}

// Derives the limits from the configuration and the number of engines, and applies them.
void Node::applyLimits() {
  const NodeLimits limits = limitsOf(configuration_, engineClient_.knownEngineCount());
  memory_->setLimits(limits.memory);
  frontend_.setLimits(limits);
  engineClient_.setConnectionOptions(engineConnectionOptions(configuration_, limits, memory_));
}

void Node::checkMemory() {
  memoryTimer_ = loop_.runAfter(kMemoryCheckInterval, [this] { checkMemory(); });
  if (memory_->recentPeak() >= memory_->held().total() + kTrimBytes) {
    memory_->restartRecentPeak();
    trimHeap();
  }
  if (!memory_->isShort() || loop_.now() < nextShortageLogAt_) return;
  nextShortageLogAt_ = loop_.now() + kShortageLogInterval;
  log_("node", "warn", "memory is short: " + memoryLine(statistics()));
}

void Node::becomeReady(const char* reason) {
  if (ready_) return;
  ready_ = true;
  log_("node", "info",
       std::string("ready ") + reason +
           ", engines known: " + std::to_string(engineClient_.knownEngineCount()));
  frontend_.setReady(true);
}

// ---- Reload and shutdown ----

void Node::reload(Configuration configuration) {
  configuration.name = configuration_.name;
  configuration.listenEndpoint = configuration_.listenEndpoint;
  if (!keepsIndices(configuration_.names, configuration.names))
    throw std::invalid_argument(
        "rule 2 (no effect twice): classes, tenants and zones must keep their order; only append to them");
  driver_.step([&](router::Core& core, Instant now) { core.reconfigure(now, configuration.policySettings); });
  const bool discoveryMoved = configuration.discoveryEndpoint != configuration_.discoveryEndpoint;
  configuration_ = std::move(configuration);
  configuration_.knownEngineList = nullptr;
  applyLimits();
  engineClient_.setStateLeaseLimit(configuration_.policySettings.stateLeaseLimit);
  frontend_.applyConfiguration(configuration_);
  if (discoveryMoved) watch_->changeEndpoint(configuration_.discoveryEndpoint);
  trimHeap();
}

void Node::drain(std::function<void()> done) {
  if (onDrained_) return;
  onDrained_ = std::move(done);
  drainStartedAt_ = loop_.now();
  driver_.step([](router::Core& core, Instant now) { core.drain(now); });
  frontend_.drain();
}

// Called after each run of the core's timer. Closes the listener once no work is pending. Ends the drain in a
// later run, because connections that were accepted before the listener closed must be served first.
void Node::checkDrained() {
  if (!onDrained_ || loop_.now() - drainStartedAt_ < kMinDrainDuration) return;
  const bool pending = core().pendingObligations() > 0 || engineClient_.auxiliaryCalls() > 0 ||
                       frontend_.server().busyCount() > 0;
  if (pending) return;
  if (listening_) {
    log_("node", "info", "nothing is pending: the listener closes");
    listening_ = false;
    frontend_.shutdown();
    return;
  }
  loop_.defer(std::exchange(onDrained_, nullptr));
}

// ---- Statistics ----

NodeStatistics Node::statistics() const {
  NodeStatistics statistics;
  statistics.requests = core().counters();
  statistics.violations = core().violations();
  statistics.rejectedMalformed = frontend_.rejectedMalformed();
  statistics.rejectedForMemory = frontend_.rejectedForMemory();
  statistics.openRequests = core().openRequests();
  statistics.openCalls = engineClient_.openCallCount();
  statistics.longestEventGap = engineClient_.longestEventGap();
  statistics.releasesPending = engineClient_.releases().pending();
  statistics.releases = engineClient_.releases().counters();
  statistics.clientConnections = frontend_.server().connectionCount();
  statistics.engineConnections = engineClient_.connectionCount();
  statistics.engineConnectionsOpened = engineClient_.connectionsOpened();
  statistics.clients = frontend_.server().counters();
  statistics.failedAccepts = frontend_.server().failedAccepts();
  statistics.failedWatches = loop_.failedWatches();
  statistics.localConnectFailures = engineClient_.localConnectFailures();
  statistics.memoryLimits = memory_->limits();
  statistics.held = memory_->held();
  statistics.heldPeak = memory_->peak();
  statistics.process = processMemory();
  statistics.listIndex = listIndex();
  statistics.discoveryWatches = watch_ ? watch_->watchesOpened() : 0;
  statistics.snapshotRequests = watch_ ? watch_->snapshotRequests() : 0;
  return statistics;
}

void Node::logStatistics() {
  log_("node", "info", statisticsLine());
  statisticsTimer_ = loop_.runAfter(kStatisticsInterval, [this] { logStatistics(); });
}

}  // namespace gannetcourse::platform
