#include "config/settings.h"

#include <algorithm>
#include <set>

#include "config/reload.h"
#include "net/connection.h"

namespace gannetcourse::config {
namespace {

class Reader {
 public:
  explicit Reader(const Element& root) : root_(root) {}

  NodeSettings read() {
    readNode();
    readClasses();
    readTenants();
    readLimits();
    readColdStart();
    readEngines();
    readRecovery();
    readFleetAndLog();
    checkRules();
    if (!faults_.empty()) throw InvalidFile(std::move(faults_));
    return std::move(s_);
  }

 private:
  void fault(const Element& at, std::string what, std::string mend) {
    faults_.push_back(at.fault(std::move(what), std::move(mend)));
  }

  void readNode() {
    const Element node = *root_.child("node"), listen = *root_.child("listen");
    s_.name = node.text("name");
    s_.zone = node.text("zone");
    for (const Element& zone : root_.child("zones")->children()) s_.zones.push_back(zone.text("name"));
    const auto at = std::find(s_.zones.begin(), s_.zones.end(), s_.zone);
    if (at == s_.zones.end())
      fault(node, "zone '" + s_.zone + "' is not one of <zones>", "add it there or correct it");
    s_.policy.zone = static_cast<std::uint32_t>(at - s_.zones.begin());
    s_.policy.routerCount = static_cast<int>(node.count("nodes", 1));
    s_.policy.seed = node.count("seed", 0);
    s_.listenAddress = listen.text("grpc");
    if (!net::parseEndpoint(s_.listenAddress))
      fault(listen, "grpc '" + s_.listenAddress + "' is no address", "write a.b.c.d:port");
    s_.maxConnections = static_cast<std::uint32_t>(listen.count("max-connections", s_.maxConnections));
    s_.maxStreamsPerConnection =
        static_cast<std::uint32_t>(listen.count("max-streams", s_.maxStreamsPerConnection));
    s_.maxMessageBytes = listen.bytes("max-message", s_.maxMessageBytes);
    s_.maxMetadataBytes = listen.bytes("max-metadata", s_.maxMetadataBytes);
    s_.streamBufferBytes = listen.bytes("stream-buffer", s_.streamBufferBytes);
    if (s_.maxMessageBytes < 1024) fault(listen, "max-message is under 1KiB", "raise it");
    if (s_.maxMetadataBytes < 512) fault(listen, "max-metadata is under 512 bytes", "raise it");
  }

  void readClasses() {
    std::set<std::string> names;
    for (const Element& e : root_.child("classes")->children()) {
      ClassSettings c;
      c.ttftObjective = e.duration("aim", Duration(1));
      c.ttftObjectivePerToken = e.duration("aim-per-1000-tokens", Duration(0)) / 1000;
      c.interTokenObjective = e.duration("token-aim", Duration(0));
      c.priorityWeight = e.number("worth", 1);
      c.lateWeight = e.number("late-worth", 0);
      const std::string effect = e.text("effect", "safe"), group = e.text("group", "all");
      c.idempotency = effect == "safe"    ? Idempotency::kIdempotent
                      : effect == "keyed" ? Idempotency::kIdempotencyKey
                                          : Idempotency::kAtMostOnce;
      c.dedupScope = group == "all"    ? DedupScope::kAll
                     : group == "zone" ? DedupScope::kZone
                                       : DedupScope::kCell;
      c.dedupWindow = e.duration("dedup-window", Duration(0));
      ClassLimits limits;
      limits.name = e.text("name");
      limits.firstTokenTimeout = e.duration("first-token-within", Duration(0));
      limits.maxPromptTokens =
          static_cast<std::uint32_t>(e.count("max-prompt-tokens", limits.maxPromptTokens));
      limits.maxOutputTokens =
          static_cast<std::uint32_t>(e.count("max-output-tokens", limits.maxOutputTokens));
      if (!names.insert(limits.name).second)
        fault(e, "class '" + limits.name + "' is there twice", "rename or remove one");
      if (c.ttftObjective.count() <= 0)
        fault(e, "aim is 0", "give the time within which a first token has its full worth");
      checkEffect(e, c);
      s_.policy.classes.push_back(c);
      s_.classes.push_back(limits);
    }
  }

  void checkEffect(const Element& e, const ClassSettings& c) {
    if (c.idempotency == Idempotency::kIdempotencyKey && c.dedupWindow.count() <= 0)
      fault(e, "rule 2 (no effect twice): a keyed class without dedup-window",
            "say how long engines drop its repeats, or make it unsafe");
    if (c.idempotency != Idempotency::kIdempotencyKey && c.dedupWindow.count() > 0)
      fault(e, "dedup-window on a class that is not keyed", "remove it or set effect=\"keyed\"");
  }

  void readTenants() {
    const auto tenants = root_.child("tenants");
    if (!tenants) return;
    s_.policy.overQuotaWeight = tenants->number("over-share-worth", 1);
    std::set<std::string> names;
    double shares = 0;
    for (const Element& e : tenants->children()) {
      s_.tenants.push_back(e.text("name"));
      s_.policy.tenants.push_back({e.number("share", 0), e.number("quota-per-second", 0)});
      shares += s_.policy.tenants.back().quotaShare;
      if (!names.insert(s_.tenants.back()).second)
        fault(e, "tenant '" + s_.tenants.back() + "' is there twice", "rename or remove one");
    }
    if (shares > 1.0001) fault(*tenants, "the tenants' shares add up to more than 1", "lower them");
  }

  void readLimits() {
    const Element limits = root_.child("limits").value_or(root_);
    Settings& p = s_.policy;
    p.maxAttempts = static_cast<int>(limits.count("max-attempts", 4));
    p.stateLeaseLimit = limits.duration("pin-limit", Duration(1));
    p.maxRetryAfter = limits.duration("max-retry-after", Duration(1));
    p.weightByTokens = limits.text("worth-by", "request") == "work";
    p.clientsHonorRetryAfter = true;
    p.cancelAllowed = true;
    s_.responseMargin = limits.duration("answer-margin", s_.responseMargin);
    s_.drainGrace = limits.duration("drain-grace", s_.drainGrace);
    s_.maxDeadline = limits.duration("longest-deadline", s_.maxDeadline);
    p.responseGrace = Duration(0);
    p.tick = Duration(0.005);  // how late a loop that is busy runs its timers
  }

  void readColdStart() {
    const Element cold = root_.child("cold-start").value_or(root_);
    s_.policy.slowStartInitialCapacity = cold.number("start-capacity", 0.25);
    s_.policy.slowStartDuration = cold.duration("warm-after", Duration(15));
    s_.policy.slowStartOverloadFactor = cold.number("overload-factor", 2);
    s_.policy.slowStartWindow = cold.duration("window", Duration(2));
  }

  void readEngines() {
    const Element engines = root_.child("engines").value_or(root_);
    const std::string reports = engines.text("reports", "answers");
    s_.policy.loadReportSource = reports == "answers"  ? LoadReportSource::kResponses
                                 : reports == "probes" ? LoadReportSource::kProbes
                                                       : LoadReportSource::kNone;
    s_.policy.probesAllowed = engines.flag("probes", reports == "probes");
    s_.policy.probeCost = engines.number("probe-price", 0);
    s_.policy.reserveAllowed = engines.flag("reserve", false);
    s_.policy.decodeCanPrefill = engines.flag("decode-may-prefill", false);
    s_.connectTimeout = engines.duration("connect-timeout", s_.connectTimeout);
    s_.policy.connectTimeout = s_.connectTimeout;
    s_.maxConnectionsPerEngine =
        static_cast<std::uint32_t>(engines.count("connections", s_.maxConnectionsPerEngine));
    s_.keepaliveInterval = engines.duration("keepalive", s_.keepaliveInterval);
    s_.keepaliveTimeout = engines.duration("keepalive-timeout", s_.keepaliveTimeout);
    if (reports == "probes" && !s_.policy.probesAllowed)
      fault(engines, "reports=\"probes\" needs probes=\"true\"", "allow probes or choose other reports");
  }

  void readRecovery() {
    const auto recovery = root_.child("recovery");
    if (!recovery) return;
    recovery::Limits& r = s_.recovery;
    r.enabled = recovery->flag("enabled", r.enabled);
    r.maxContinuations =
        static_cast<int>(recovery->count("max-moves", static_cast<std::uint64_t>(r.maxContinuations)));
    r.minTimeLeft = recovery->duration("least-time-left", r.minTimeLeft);
    r.maxWait = recovery->duration("most-wait", r.maxWait);
    r.rebuildShare = recovery->number("rebuild-share", r.rebuildShare);
    r.rebuildBurst = recovery->number("rebuild-burst-tokens", r.rebuildBurst);
    r.minSilence = recovery->duration("silence-at-least", r.minSilence);
    r.silenceFactor = recovery->number("silence-factor", r.silenceFactor);
    r.slowFactor = recovery->number("slow-factor", r.slowFactor);
    r.slowDuration = recovery->duration("slow-for", r.slowDuration);
    r.engineLease = recovery->duration("lease", r.engineLease);
    r.migrationLeadTime = recovery->duration("move-early", r.migrationLeadTime);
    r.goAwayGrace = recovery->duration("engine-grace", r.goAwayGrace);
    r.maxBufferedBytesPerStream = recovery->bytes("kept-per-stream", r.maxBufferedBytesPerStream);
    r.maxBufferedBytes = recovery->bytes("kept-per-node", r.maxBufferedBytes);
    if (r.engineLease < Duration(0.4))
      fault(*recovery, "lease is under 400ms: a short stall would end streams (rule 2 rests on it)",
            "raise it");
    if (r.slowFactor < 1.5)
      fault(*recovery, "slow-factor is under 1.5: ordinary streams would count as slow", "raise it");
    if (r.minSilence < Duration(0.2))
      fault(*recovery, "silence-at-least is under 200ms: a pause would move streams", "raise it");
  }

  void readFleetAndLog() {
    if (const auto resume = root_.child("resume")) s_.resumeKeyFile = resume->text("key-file");
    const Element fleet = *root_.child("fleet");
    s_.registryAddress = fleet.text("registry");
    s_.engineListFile = fleet.text("file");
    s_.engineListCacheFile = fleet.text("saved");
    if (s_.registryAddress.empty() == s_.engineListFile.empty())
      fault(fleet, "the fleet needs one source", "give either registry or file");
    const auto log = root_.child("log");
    if (!log) return;
    s_.logLevel = log->text("level", s_.logLevel);
    s_.logFile = log->text("file");
    for (const Element& e : log->children()) s_.packageLogLevels[e.text("name")] = e.text("level");
  }

  // What would let a node break a rule is refused here, whatever the module would make of it.
  void checkRules() {
    const Element limits = root_.child("limits").value_or(root_);
    const Element cold = root_.child("cold-start").value_or(root_);
    const Element engines = root_.child("engines").value_or(root_);
    const Settings& p = s_.policy;
    const Duration least(0.02);  // the module looks round this often
    if (s_.responseMargin < least || s_.responseMargin > Duration(5))
      fault(limits,
            "rule 1 (one answer in time): answer-margin " + formatDuration(s_.responseMargin) +
                " is not in 20ms..5s",
            "choose what covers the network and a busy loop, such as 60ms");
    const auto elements = root_.child("classes")->children();
    for (std::size_t i = 0; i < s_.classes.size(); ++i) {
      const Duration within = s_.classes[i].firstTokenTimeout;
      if (within.count() > 0 && within <= s_.responseMargin + 4 * least)
        fault(elements[i],
              "rule 1 (one answer in time): first-token-within of '" + s_.classes[i].name +
                  "' leaves nothing after answer-margin",
              "raise it or lower answer-margin");
      if (within.count() > 0 && within < p.classes[i].ttftObjective)
        fault(elements[i], "first-token-within of '" + s_.classes[i].name + "' is shorter than its aim",
              "raise it or lower the aim");
    }
    if (p.maxAttempts < 2) fault(limits, "max-attempts is under 2: a read and a write are two", "raise it");
    if (s_.connectTimeout >= s_.drainGrace)
      fault(engines,
            "rule 3 (drains are kept): connect-timeout " + formatDuration(s_.connectTimeout) +
                " is not under drain-grace " + formatDuration(s_.drainGrace) +
                ": a call could reach a draining engine too late",
            "lower connect-timeout");
    if (p.slowStartInitialCapacity <= 0 || p.slowStartOverloadFactor <= 1 || p.slowStartWindow.count() <= 0 ||
        p.slowStartDuration < p.slowStartWindow)
      fault(cold,
            "rule 4 (no cold engine pushed over): start-capacity must be over 0, overload-factor over 1, "
            "window over 0 and warm-after at least the window",
            "state what an engine bears right after its start");
    if (p.stateLeaseLimit < 6 * least)
      fault(limits,
            "rule 5 (nothing left pinned): pin-limit " + formatDuration(p.stateLeaseLimit) +
                " is under 120ms, too short for a state to be handed on",
            "raise it");
  }

  Element root_;
  NodeSettings s_;
  std::vector<Fault> faults_;
};

// All of it in one line; what differs there needs a restart.
std::string recoveryText(const recovery::Limits& r) {
  std::string text = r.enabled ? "on" : "off";
  for (const double n : {static_cast<double>(r.maxContinuations), r.rebuildShare, r.rebuildBurst,
                         r.silenceFactor, r.slowFactor, static_cast<double>(r.maxBufferedBytesPerStream),
                         static_cast<double>(r.maxBufferedBytes)})
    text += ' ' + std::to_string(n);
  for (const Duration d : {r.minTimeLeft, r.maxWait, r.minSilence, r.slowDuration, r.engineLease,
                           r.migrationLeadTime, r.goAwayGrace})
    text += ' ' + formatDuration(d);
  return text;
}

std::string number(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

std::string classText(const std::string& name, const ClassSettings& c) {
  static constexpr const char* kEffects[] = {"safe", "keyed", "unsafe"};
  static constexpr const char* kGroups[] = {"all", "zone", "cell"};
  std::string text = name + " (aim " + formatDuration(c.ttftObjective) + " + " +
                     formatDuration(c.ttftObjectivePerToken * 1000) + " per 1000 tokens, token-aim " +
                     formatDuration(c.interTokenObjective) + ", worth " + number(c.priorityWeight) +
                     ", late-worth " + number(c.lateWeight) + ", " +
                     kEffects[static_cast<int>(c.idempotency)];
  if (c.idempotency == Idempotency::kIdempotencyKey)
    text += std::string(" by ") + kGroups[static_cast<int>(c.dedupScope)] + " for " +
            formatDuration(c.dedupWindow);
  return text + ") ";
}

std::string coldText(const Settings& p) {
  return "start-capacity " + number(p.slowStartInitialCapacity) + ", warm-after " +
         formatDuration(p.slowStartDuration) + ", overload-factor " + number(p.slowStartOverloadFactor) +
         ", window " + formatDuration(p.slowStartWindow);
}

std::string engineText(const Settings& p) {
  static constexpr const char* kReports[] = {"none", "answers", "probes"};
  return std::string("reports ") + kReports[static_cast<int>(p.loadReportSource)] + ", probes " +
         (p.probesAllowed ? "true" : "false") + ", probe-price " + number(p.probeCost) + ", reserve " +
         (p.reserveAllowed ? "true" : "false") + ", decode-may-prefill " +
         (p.decodeCanPrefill ? "true" : "false");
}

std::string listenText(const NodeSettings& s) {
  return "max-connections " + std::to_string(s.maxConnections) + ", max-streams " +
         std::to_string(s.maxStreamsPerConnection) + ", max-message " + std::to_string(s.maxMessageBytes) +
         ", max-metadata " + std::to_string(s.maxMetadataBytes);
}

std::string connectionText(const NodeSettings& s) {
  return "connections " + std::to_string(s.maxConnectionsPerEngine) + ", keepalive " +
         formatDuration(s.keepaliveInterval) + ", keepalive-timeout " + formatDuration(s.keepaliveTimeout);
}

struct Line {
  const char* name;
  std::string (*value)(const NodeSettings&);
  bool fixed;
};

const std::vector<Line>& lines() {
  static const std::vector<Line> kLines = {
      {"node name", [](const NodeSettings& s) { return s.name; }, true},
      {"node zone", [](const NodeSettings& s) { return s.zone; }, true},
      {"listen grpc", [](const NodeSettings& s) { return s.listenAddress; }, true},
      {"fleet registry", [](const NodeSettings& s) { return s.registryAddress; }, true},
      {"fleet saved", [](const NodeSettings& s) { return s.engineListCacheFile; }, true},
      {"log file", [](const NodeSettings& s) { return s.logFile; }, true},
      {"fleet file", [](const NodeSettings& s) { return s.engineListFile; }, false},
      {"recovery", [](const NodeSettings& s) { return recoveryText(s.recovery); }, true},
      {"resume key-file", [](const NodeSettings& s) { return s.resumeKeyFile; }, false},
      {"log level", [](const NodeSettings& s) { return s.logLevel; }, false},
      {"listen stream-buffer", [](const NodeSettings& s) { return std::to_string(s.streamBufferBytes); },
       false},
      {"limits longest-deadline", [](const NodeSettings& s) { return formatDuration(s.maxDeadline); }, false},
      {"node nodes", [](const NodeSettings& s) { return std::to_string(s.policy.routerCount); }, false},
      {"zones",
       [](const NodeSettings& s) {
         std::string all;
         for (const auto& zone : s.zones) all += zone + ' ';
         return all;
       },
       false},
      {"classes",
       [](const NodeSettings& s) {
         std::string all;
         for (std::size_t i = 0; i < s.classes.size(); ++i) {
           if (s.policy.classes[i].inService) all += classText(s.classes[i].name, s.policy.classes[i]);
         }
         return all;
       },
       false},
      {"tenants",
       [](const NodeSettings& s) {
         std::string all;
         for (std::size_t i = 0; i < s.tenants.size(); ++i) {
           const TenantSettings& t = s.policy.tenants[i];
           if (t.inService)
             all += s.tenants[i] + " (share " + number(t.quotaShare) + ", quota " + number(t.quotaPerSecond) +
                    ") ";
         }
         return all;
       },
       false},
      {"limits max-attempts", [](const NodeSettings& s) { return std::to_string(s.policy.maxAttempts); },
       false},
      {"limits pin-limit", [](const NodeSettings& s) { return formatDuration(s.policy.stateLeaseLimit); },
       false},
      {"limits max-retry-after", [](const NodeSettings& s) { return formatDuration(s.policy.maxRetryAfter); },
       false},
      {"limits worth-by",
       [](const NodeSettings& s) { return std::string(s.policy.weightByTokens ? "work" : "request"); },
       false},
      {"limits drain-grace", [](const NodeSettings& s) { return formatDuration(s.drainGrace); }, false},
      {"tenants over-share-worth", [](const NodeSettings& s) { return number(s.policy.overQuotaWeight); },
       false},
      {"listen limits", listenText, true},
      {"engines connections and keepalive", connectionText, true},
      {"cold-start", [](const NodeSettings& s) { return coldText(s.policy); }, false},
      {"engines", [](const NodeSettings& s) { return engineText(s.policy); }, false},
      {"limits answer-margin", [](const NodeSettings& s) { return formatDuration(s.responseMargin); }, true},
      {"engines connect-timeout", [](const NodeSettings& s) { return formatDuration(s.connectTimeout); },
       true},
  };
  return kLines;
}

}  // namespace

NodeSettings loadSettings(const std::string& path) {
  const Document document = Document::load(path, settingsSchema());
  return Reader(document.root()).read();
}

NodeSettings parseSettings(std::string_view text, const std::string& name) {
  const Document document = Document::parse(text, name, settingsSchema());
  return Reader(document.root()).read();
}

std::vector<std::string> describeDifferences(const NodeSettings& before, const NodeSettings& after) {
  std::vector<std::string> found;
  for (const Line& line : lines()) {
    const std::string was = line.value(before), is = line.value(after);
    if (was != is) found.push_back(std::string(line.name) + ": " + was + " -> " + is);
  }
  for (std::size_t i = 0; i < after.classes.size(); ++i) {
    const auto at = findClassInService(before, after.classes[i].name);
    if (!at || !after.policy.classes[i].inService) continue;
    const ClassLimits &was = before.classes[*at], &is = after.classes[i];
    const std::string name = "class " + is.name;
    if (was.maxPromptTokens != is.maxPromptTokens)
      found.push_back(name + " max-prompt-tokens: " + std::to_string(was.maxPromptTokens) + " -> " +
                      std::to_string(is.maxPromptTokens));
    if (was.maxOutputTokens != is.maxOutputTokens)
      found.push_back(name + " max-output-tokens: " + std::to_string(was.maxOutputTokens) + " -> " +
                      std::to_string(is.maxOutputTokens));
    if (was.firstTokenTimeout != is.firstTokenTimeout)
      found.push_back(name + " first-token-within: " + formatDuration(was.firstTokenTimeout) + " -> " +
                      formatDuration(is.firstTokenTimeout));
  }
  return found;
}

std::string firstRestartOnlyDifference(const NodeSettings& before, const NodeSettings& after) {
  for (const Line& line : lines()) {
    if (line.fixed && line.value(before) != line.value(after)) return line.name;
  }
  return {};
}

}  // namespace gannetcourse::config
