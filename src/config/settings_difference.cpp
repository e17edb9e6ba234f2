#include "config/settings_difference.h"

#include "config/reload.h"

namespace gannetcourse::config {
namespace {

std::string formatNumber(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

const char* formatFlag(bool value) { return value ? "true" : "false"; }

// Formats all recovery limits as one text: a change of any of them needs a restart.
std::string formatRecovery(const NodeSettings& settings) {
  const recovery::Limits& limits = settings.recovery;
  std::string text = limits.enabled ? "on" : "off";
  for (const double number :
       {static_cast<double>(limits.maxContinuations), limits.rebuildShare, limits.rebuildBurst,
        limits.silenceFactor, limits.slowFactor, static_cast<double>(limits.maxBufferedBytesPerStream),
        static_cast<double>(limits.maxBufferedBytes)})
    text += ' ' + std::to_string(number);
  for (const Duration duration : {limits.minTimeLeft, limits.maxWait, limits.minSilence, limits.slowDuration,
                                  limits.engineLease, limits.migrationLeadTime, limits.goAwayGrace})
    text += ' ' + formatDuration(duration);
  return text;
}

std::string formatClass(const std::string& name, const ClassSettings& settings) {
  static constexpr const char* kEffects[] = {"safe", "keyed", "unsafe"};
  static constexpr const char* kGroups[] = {"all", "zone", "cell"};
  std::string text = name + " (aim " + formatDuration(settings.ttftObjective) + " + " +
                     formatDuration(settings.ttftObjectivePerToken * 1000) + " per 1000 tokens, token-aim " +
                     formatDuration(settings.interTokenObjective) + ", worth " +
                     formatNumber(settings.priorityWeight) + ", late-worth " +
                     formatNumber(settings.lateWeight) + ", " +
                     kEffects[static_cast<int>(settings.idempotency)];
  if (settings.idempotency == Idempotency::kIdempotencyKey)
    text += std::string(" by ") + kGroups[static_cast<int>(settings.dedupScope)] + " for " +
            formatDuration(settings.dedupWindow);
  return text + ") ";
}

std::string formatClasses(const NodeSettings& settings) {
  std::string text;
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    if (settings.policy.classes[i].inService)
      text += formatClass(settings.classes[i].name, settings.policy.classes[i]);
  }
  return text;
}

std::string formatTenants(const NodeSettings& settings) {
  std::string text;
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    const TenantSettings& tenant = settings.policy.tenants[i];
    if (!tenant.inService) continue;
    text += settings.tenants[i] + " (share " + formatNumber(tenant.quotaShare) + ", quota " +
            formatNumber(tenant.quotaPerSecond) + ") ";
  }
  return text;
}

std::string formatZones(const NodeSettings& settings) {
  std::string text;
  for (const std::string& zone : settings.zones) text += zone + ' ';
  return text;
}

std::string formatSlowStart(const NodeSettings& settings) {
  const Settings& policy = settings.policy;
  return "start-capacity " + formatNumber(policy.slowStartInitialCapacity) + ", warm-after " +
         formatDuration(policy.slowStartDuration) + ", overload-factor " +
         formatNumber(policy.slowStartOverloadFactor) + ", window " + formatDuration(policy.slowStartWindow);
}

std::string formatEngines(const NodeSettings& settings) {
  static constexpr const char* kReports[] = {"none", "answers", "probes"};
  const Settings& policy = settings.policy;
  return std::string("reports ") + kReports[static_cast<int>(policy.loadReportSource)] + ", probes " +
         formatFlag(policy.probesAllowed) + ", probe-price " + formatNumber(policy.probeCost) + ", reserve " +
         formatFlag(policy.reserveAllowed) + ", decode-may-prefill " + formatFlag(policy.decodeCanPrefill);
}

std::string formatListenLimits(const NodeSettings& settings) {
  return "max-connections " + std::to_string(settings.maxConnections) + ", max-streams " +
         std::to_string(settings.maxStreamsPerConnection) + ", max-message " +
         std::to_string(settings.maxMessageBytes) + ", max-metadata " +
         std::to_string(settings.maxMetadataBytes) + ", max-request-memory " +
         std::to_string(settings.maxRequestMemoryBytes);
}

std::string formatEngineConnections(const NodeSettings& settings) {
  return "connections " + std::to_string(settings.maxConnectionsPerEngine) + ", keepalive " +
         formatDuration(settings.keepaliveInterval) + ", keepalive-timeout " +
         formatDuration(settings.keepaliveTimeout);
}

enum class AppliedBy { kReload, kRestart };

struct ComparedSetting {
  const char* name;
  std::string (*format)(const NodeSettings&);
  AppliedBy appliedBy;
};

using S = NodeSettings;

constexpr ComparedSetting kComparedSettings[] = {
    {"node name", [](const S& s) { return s.name; }, AppliedBy::kRestart},
    {"node zone", [](const S& s) { return s.zone; }, AppliedBy::kRestart},
    {"listen grpc", [](const S& s) { return s.listenAddress; }, AppliedBy::kRestart},
    {"fleet registry", [](const S& s) { return s.registryAddress; }, AppliedBy::kRestart},
    {"fleet saved", [](const S& s) { return s.engineListCacheFile; }, AppliedBy::kRestart},
    {"log file", [](const S& s) { return s.logFile; }, AppliedBy::kRestart},
    {"fleet file", [](const S& s) { return s.engineListFile; }, AppliedBy::kReload},
    {"recovery", formatRecovery, AppliedBy::kRestart},
    {"resume key-file", [](const S& s) { return s.resumeKeyFile; }, AppliedBy::kReload},
    {"log level", [](const S& s) { return s.logLevel; }, AppliedBy::kReload},
    {"listen stream-buffer", [](const S& s) { return std::to_string(s.streamBufferBytes); },
     AppliedBy::kReload},
    {"limits longest-deadline", [](const S& s) { return formatDuration(s.maxDeadline); }, AppliedBy::kReload},
    {"node nodes", [](const S& s) { return std::to_string(s.policy.routerCount); }, AppliedBy::kReload},
    {"zones", formatZones, AppliedBy::kReload},
    {"classes", formatClasses, AppliedBy::kReload},
    {"tenants", formatTenants, AppliedBy::kReload},
    {"limits max-attempts", [](const S& s) { return std::to_string(s.policy.maxAttempts); },
     AppliedBy::kReload},
    {"limits pin-limit", [](const S& s) { return formatDuration(s.policy.stateLeaseLimit); },
     AppliedBy::kReload},
    {"limits max-retry-after", [](const S& s) { return formatDuration(s.policy.maxRetryAfter); },
     AppliedBy::kReload},
    {"limits worth-by", [](const S& s) { return std::string(s.policy.weightByTokens ? "work" : "request"); },
     AppliedBy::kReload},
    {"limits drain-grace", [](const S& s) { return formatDuration(s.drainGrace); }, AppliedBy::kReload},
    {"tenants over-share-worth", [](const S& s) { return formatNumber(s.policy.overQuotaWeight); },
     AppliedBy::kReload},
    {"listen limits", formatListenLimits, AppliedBy::kRestart},
    {"engines connections and keepalive", formatEngineConnections, AppliedBy::kRestart},
    {"cold-start", formatSlowStart, AppliedBy::kReload},
    {"engines", formatEngines, AppliedBy::kReload},
    {"limits answer-margin", [](const S& s) { return formatDuration(s.responseMargin); },
     AppliedBy::kRestart},
    {"engines connect-timeout", [](const S& s) { return formatDuration(s.connectTimeout); },
     AppliedBy::kRestart},
};

void addDifference(const std::string& name, const std::string& before, const std::string& after,
                   std::vector<std::string>& differences) {
  if (before != after) differences.push_back(name + ": " + before + " -> " + after);
}

void addClassDifferences(const ClassLimits& before, const ClassLimits& after,
                         std::vector<std::string>& differences) {
  const std::string name = "class " + after.name;
  addDifference(name + " max-prompt-tokens", std::to_string(before.maxPromptTokens),
                std::to_string(after.maxPromptTokens), differences);
  addDifference(name + " max-output-tokens", std::to_string(before.maxOutputTokens),
                std::to_string(after.maxOutputTokens), differences);
  if (before.firstTokenTimeout != after.firstTokenTimeout)
    differences.push_back(name + " first-token-within: " + formatDuration(before.firstTokenTimeout) + " -> " +
                          formatDuration(after.firstTokenTimeout));
}

}  // namespace

std::vector<std::string> describeDifferences(const NodeSettings& before, const NodeSettings& after) {
  std::vector<std::string> differences;
  for (const ComparedSetting& setting : kComparedSettings)
    addDifference(setting.name, setting.format(before), setting.format(after), differences);
  for (std::size_t i = 0; i < after.classes.size(); ++i) {
    if (!after.policy.classes[i].inService) continue;
    const auto earlier = findClassInService(before, after.classes[i].name);
    if (earlier) addClassDifferences(before.classes[*earlier], after.classes[i], differences);
  }
  return differences;
}

std::string firstRestartOnlyDifference(const NodeSettings& before, const NodeSettings& after) {
  for (const ComparedSetting& setting : kComparedSettings) {
    if (setting.appliedBy != AppliedBy::kRestart) continue;
    if (setting.format(before) != setting.format(after)) return setting.name;
  }
  return {};
}

}  // namespace gannetcourse::config
