#include "config/settings_reader.h"

#include <algorithm>
#include <set>

#include "net/connection.h"

namespace gannetcourse::config {
namespace {

constexpr std::uint64_t kMinMessageLimitBytes = 1024;
constexpr std::uint64_t kMinMetadataLimitBytes = 512;
constexpr double kMaxQuotaSum = 1.0001;  // 1, with a tolerance for rounding errors of the sum
constexpr double kTokensPerObjectiveUnit = 1000;
const Duration kTimerDelay{0.005};  // a busy event loop runs its timers up to this late
const Duration kMinEngineLease{0.4};
const Duration kMinSilence{0.2};
constexpr double kMinSlowFactor = 1.5;

Idempotency idempotencyOf(const std::string& effect) {
  if (effect == "safe") return Idempotency::kIdempotent;
  if (effect == "keyed") return Idempotency::kIdempotencyKey;
  return Idempotency::kAtMostOnce;
}

DedupScope dedupScopeOf(const std::string& group) {
  if (group == "all") return DedupScope::kAll;
  if (group == "zone") return DedupScope::kZone;
  return DedupScope::kCell;
}

LoadReportSource loadReportSourceOf(const std::string& reports) {
  if (reports == "answers") return LoadReportSource::kResponses;
  if (reports == "probes") return LoadReportSource::kProbes;
  return LoadReportSource::kNone;
}

ClassSettings readClassSettings(const Element& element) {
  ClassSettings settings;
  settings.ttftObjective = element.duration("aim", Duration(1));
  settings.ttftObjectivePerToken =
      element.duration("aim-per-1000-tokens", Duration(0)) / kTokensPerObjectiveUnit;
  settings.interTokenObjective = element.duration("token-aim", Duration(0));
  settings.priorityWeight = element.number("worth", 1);
  settings.lateWeight = element.number("late-worth", 0);
  settings.idempotency = idempotencyOf(element.text("effect", "safe"));
  settings.dedupScope = dedupScopeOf(element.text("group", "all"));
  settings.dedupWindow = element.duration("dedup-window", Duration(0));
  return settings;
}

ClassLimits readClassLimits(const Element& element) {
  ClassLimits limits;
  limits.name = element.text("name");
  limits.firstTokenTimeout = element.duration("first-token-within", Duration(0));
  limits.maxPromptTokens =
      static_cast<std::uint32_t>(element.count("max-prompt-tokens", limits.maxPromptTokens));
  limits.maxOutputTokens =
      static_cast<std::uint32_t>(element.count("max-output-tokens", limits.maxOutputTokens));
  return limits;
}

class SettingsReader {
 public:
  SettingsReader(const Element& root, std::vector<Fault>& faults) : root_(root), faults_(faults) {}

  NodeSettings read() {
    readNode();
    readListener();
    readClasses();
    readTenants();
    readLimits();
    readSlowStart();
    readEngines();
    readRecovery();
    readFiles();
    readLog();
    return std::move(settings_);
  }

 private:
  // The child element of this name. If absent, the root element: it has no attributes, so defaults apply.
  Element optionalChild(std::string_view name) const { return root_.child(name).value_or(root_); }

  void addFault(const Element& at, std::string reason, std::string remedy) {
    faults_.push_back(at.fault(std::move(reason), std::move(remedy)));
  }

  void readNode() {
    const Element node = *root_.child("node");
    settings_.name = node.text("name");
    settings_.zone = node.text("zone");
    std::vector<std::string>& zones = settings_.zones;
    for (const Element& zone : root_.child("zones")->children()) zones.push_back(zone.text("name"));
    const auto own = std::find(zones.begin(), zones.end(), settings_.zone);
    if (own == zones.end())
      addFault(node, "node zone '" + settings_.zone + "' is not one of <zones>",
               "add it to <zones> or correct the name");
    settings_.policy.zone = static_cast<std::uint32_t>(own - zones.begin());
    settings_.policy.routerCount = static_cast<int>(node.count("nodes", 1));
    settings_.policy.seed = node.count("seed", 0);
  }

  void readListener() {
    const Element listen = *root_.child("listen");
    NodeSettings& s = settings_;
    s.listenAddress = listen.text("grpc");
    if (!net::parseEndpoint(s.listenAddress))
      addFault(listen,
               "listen grpc '" + s.listenAddress + "' must be an IPv4 address with a port of at most 65535",
               "write it as a.b.c.d:port");
    s.maxConnections = static_cast<std::uint32_t>(listen.count("max-connections", s.maxConnections));
    s.maxStreamsPerConnection =
        static_cast<std::uint32_t>(listen.count("max-streams", s.maxStreamsPerConnection));
    s.maxMessageBytes = listen.bytes("max-message", s.maxMessageBytes);
    s.maxMetadataBytes = listen.bytes("max-metadata", s.maxMetadataBytes);
    s.streamBufferBytes = listen.bytes("stream-buffer", s.streamBufferBytes);
    s.maxRequestMemoryBytes = listen.bytes("max-request-memory", s.maxRequestMemoryBytes);
    if (s.maxRequestMemoryBytes < s.maxMessageBytes)
      addFault(listen, "listen max-request-memory must be at least max-message", "increase it");
    if (s.maxMessageBytes < kMinMessageLimitBytes)
      addFault(listen, "listen max-message must be at least 1KiB", "increase it");
    if (s.maxMetadataBytes < kMinMetadataLimitBytes)
      addFault(listen, "listen max-metadata must be at least 512 bytes", "increase it");
  }

  void readClasses() {
    std::set<std::string> names;
    for (const Element& element : root_.child("classes")->children()) {
      const ClassSettings objectives = readClassSettings(element);
      const ClassLimits limits = readClassLimits(element);
      if (!names.insert(limits.name).second)
        addFault(element, "class '" + limits.name + "' is defined more than once", "rename or remove one");
      if (objectives.ttftObjective.count() <= 0)
        addFault(element, "class aim must be more than 0s",
                 "set it to the time within which a first token earns the class's full worth");
      checkDedupWindow(element, objectives);
      settings_.policy.classes.push_back(objectives);
      settings_.classes.push_back(limits);
    }
  }

  void checkDedupWindow(const Element& element, const ClassSettings& objectives) {
    const bool hasKey = objectives.idempotency == Idempotency::kIdempotencyKey;
    const bool hasWindow = objectives.dedupWindow.count() > 0;
    if (hasKey && !hasWindow)
      addFault(element, "rule 2 (no effect twice): dedup-window of a keyed class must be set to more than 0s",
               "set it to the time for which engines drop duplicates, or set effect=\"unsafe\"");
    if (!hasKey && hasWindow)
      addFault(element, "dedup-window must be set only for a class with effect=\"keyed\"",
               "remove it or set effect=\"keyed\"");
  }

  void readTenants() {
    const auto tenants = root_.child("tenants");
    if (!tenants) return;
    settings_.policy.overQuotaWeight = tenants->number("over-share-worth", 1);
    std::set<std::string> names;
    double quotaSum = 0;
    for (const Element& element : tenants->children()) {
      const std::string name = element.text("name");
      const TenantSettings quota{element.number("share", 0), element.number("quota-per-second", 0)};
      quotaSum += quota.quotaShare;
      settings_.tenants.push_back(name);
      settings_.policy.tenants.push_back(quota);
      if (!names.insert(name).second)
        addFault(element, "tenant '" + name + "' is defined more than once", "rename or remove one");
    }
    if (quotaSum > kMaxQuotaSum)
      addFault(*tenants, "the shares of all tenants must not add up to more than 1", "decrease them");
  }

  void readLimits() {
    const Element limits = optionalChild("limits");
    Settings& policy = settings_.policy;
    policy.maxAttempts = static_cast<int>(limits.count("max-attempts", 4));
    policy.stateLeaseLimit = limits.duration("pin-limit", Duration(1));
    policy.maxRetryAfter = limits.duration("max-retry-after", Duration(1));
    policy.weightByTokens = limits.text("worth-by", "request") == "work";
    policy.clientsHonorRetryAfter = true;
    policy.cancelAllowed = true;
    policy.responseGrace = Duration(0);
    policy.tick = kTimerDelay;
    settings_.responseMargin = limits.duration("answer-margin", settings_.responseMargin);
    settings_.drainGrace = limits.duration("drain-grace", settings_.drainGrace);
    settings_.maxDeadline = limits.duration("longest-deadline", settings_.maxDeadline);
  }

  void readSlowStart() {
    const Element slowStart = optionalChild("cold-start");
    Settings& policy = settings_.policy;
    policy.slowStartInitialCapacity = slowStart.number("start-capacity", 0.25);
    policy.slowStartDuration = slowStart.duration("warm-after", Duration(15));
    policy.slowStartOverloadFactor = slowStart.number("overload-factor", 2);
    policy.slowStartWindow = slowStart.duration("window", Duration(2));
  }

  void readEngines() {
    const Element engines = optionalChild("engines");
    const std::string reports = engines.text("reports", "answers");
    Settings& policy = settings_.policy;
    policy.loadReportSource = loadReportSourceOf(reports);
    policy.probesAllowed = engines.flag("probes", reports == "probes");
    policy.probeCost = engines.number("probe-price", 0);
    policy.reserveAllowed = engines.flag("reserve", false);
    policy.decodeCanPrefill = engines.flag("decode-may-prefill", false);
    settings_.connectTimeout = engines.duration("connect-timeout", settings_.connectTimeout);
    policy.connectTimeout = settings_.connectTimeout;
    settings_.maxConnectionsPerEngine =
        static_cast<std::uint32_t>(engines.count("connections", settings_.maxConnectionsPerEngine));
    settings_.keepaliveInterval = engines.duration("keepalive", settings_.keepaliveInterval);
    settings_.keepaliveTimeout = engines.duration("keepalive-timeout", settings_.keepaliveTimeout);
    if (reports == "probes" && !policy.probesAllowed)
      addFault(engines, "engines reports=\"probes\" requires probes=\"true\"",
               "set probes=\"true\" or choose another value for reports");
  }

  void readRecovery() {
    const auto element = root_.child("recovery");
    if (!element) return;
    recovery::Limits& limits = settings_.recovery;
    limits.enabled = element->flag("enabled", limits.enabled);
    limits.maxContinuations =
        static_cast<int>(element->count("max-moves", static_cast<std::uint64_t>(limits.maxContinuations)));
    limits.minTimeLeft = element->duration("least-time-left", limits.minTimeLeft);
    limits.maxWait = element->duration("most-wait", limits.maxWait);
    limits.rebuildShare = element->number("rebuild-share", limits.rebuildShare);
    limits.rebuildBurst = element->number("rebuild-burst-tokens", limits.rebuildBurst);
    limits.minSilence = element->duration("silence-at-least", limits.minSilence);
    limits.silenceFactor = element->number("silence-factor", limits.silenceFactor);
    limits.slowFactor = element->number("slow-factor", limits.slowFactor);
    limits.slowDuration = element->duration("slow-for", limits.slowDuration);
    limits.engineLease = element->duration("lease", limits.engineLease);
    limits.migrationLeadTime = element->duration("move-early", limits.migrationLeadTime);
    limits.goAwayGrace = element->duration("engine-grace", limits.goAwayGrace);
    limits.maxBufferedBytesPerStream = element->bytes("kept-per-stream", limits.maxBufferedBytesPerStream);
    limits.maxBufferedBytes = element->bytes("kept-per-node", limits.maxBufferedBytes);
    checkRecovery(*element, limits);
  }

  void checkRecovery(const Element& element, const recovery::Limits& limits) {
    if (limits.engineLease < kMinEngineLease)
      addFault(element,
               "recovery lease must be at least 400ms: with less, a short stall ends streams (rule 2 depends "
               "on the lease)",
               "increase it");
    if (limits.slowFactor < kMinSlowFactor)
      addFault(element, "recovery slow-factor must be at least 1.5: with less, normal streams count as slow",
               "increase it");
    if (limits.minSilence < kMinSilence)
      addFault(element,
               "recovery silence-at-least must be at least 200ms: with less, a short pause migrates streams",
               "increase it");
  }

  void readFiles() {
    if (const auto resume = root_.child("resume")) settings_.resumeKeyFile = resume->text("key-file");
    const Element fleet = *root_.child("fleet");
    settings_.registryAddress = fleet.text("registry");
    settings_.engineListFile = fleet.text("file");
    settings_.engineListCacheFile = fleet.text("saved");
    if (settings_.registryAddress.empty() == settings_.engineListFile.empty())
      addFault(fleet, "fleet must have exactly one source: registry or file", "set one of the two");
  }

  void readLog() {
    const auto log = root_.child("log");
    if (!log) return;
    settings_.logLevel = log->text("level", settings_.logLevel);
    settings_.logFile = log->text("file");
    for (const Element& package : log->children())
      settings_.packageLogLevels[package.text("name")] = package.text("level");
  }

  Element root_;
  std::vector<Fault>& faults_;
  NodeSettings settings_;
};

}  // namespace

NodeSettings readSettings(const Element& root, std::vector<Fault>& faults) {
  return SettingsReader(root, faults).read();
}

}  // namespace gannetcourse::config
