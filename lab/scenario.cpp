#include "scenario.h"

#include <cstdio>

#include "config/xml.h"

namespace gannetcourse::lab {
namespace {

constexpr std::uint32_t kMaxRetries = 14;  // because a ClientAttemptId has 4 bits for the attempt number
constexpr double kQuotaHeadroom = 1.3;     // ratio of a tenant's quota to its share of the traffic

Role parseRole(const std::string& name) {
  return name == "prefill" ? Role::kPrefill : name == "decode" ? Role::kDecode : Role::kMixed;
}

double seconds(const config::Element& e, const char* attribute, double fallback) {
  return e.duration(attribute, Duration(fallback)).count();
}

std::string formatNumber(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.9g", value);
  return text;
}

void readEngines(const config::Element& fleet, Scenario& scenario) {
  scenario.sameCellRate = fleet.number("near-tokens-per-second", scenario.sameCellRate);
  scenario.otherCellRate = fleet.number("far-tokens-per-second", scenario.otherCellRate);
  scenario.zoneFactor = fleet.number("zone-factor", scenario.zoneFactor);
  scenario.registryDelay = seconds(fleet, "notice", scenario.registryDelay);
  std::uint32_t firstCell = 0;
  for (const config::Element& e : fleet.children()) {
    EngineSpec spec;
    spec.role = parseRole(e.text("role"));
    spec.slots = static_cast<int>(e.count("slots", spec.role == Role::kPrefill ? 8 : 64));
    spec.maxQueued = static_cast<int>(e.count("queue", 32));
    spec.memoryTokens = e.number("memory-tokens", spec.memoryTokens);
    spec.tokensPerSecond = e.number("tokens-per-second", spec.tokensPerSecond);
    spec.tokenTime = seconds(e, "token-time", spec.tokenTime);
    spec.contention = e.number("crowding", spec.contention);
    spec.reportPeriod = seconds(fleet, "report-every", spec.reportPeriod);
    const std::uint32_t cells = static_cast<std::uint32_t>(e.count("cells", scenario.zones.size()));
    for (std::uint64_t i = 0; i < e.count("count", 1); ++i) {
      // All engine elements share the same cells; each cell is in one zone.
      spec.cell = firstCell + static_cast<std::uint32_t>(i % cells);
      spec.zone = scenario.zones[spec.cell % scenario.zones.size()];
      spec.id = static_cast<std::uint32_t>(1000 + 7 * scenario.engines.size());
      scenario.engines.push_back(spec);
    }
  }
}

void readClasses(const config::Element& classes, Scenario& scenario) {
  for (const config::Element& e : classes.children()) {
    ScenarioClass c;
    c.name = e.text("name");
    c.trafficShare = e.number("share", c.trafficShare);
    c.ttftObjective = seconds(e, "aim", c.ttftObjective);
    c.interTokenObjective = seconds(e, "token-aim", c.interTokenObjective);
    c.firstTokenTimeout = seconds(e, "first-token-within", c.firstTokenTimeout);
    c.deadline = seconds(e, "deadline", c.deadline);
    c.priorityWeight = e.number("worth", c.priorityWeight);
    c.effect = e.text("effect", c.effect);
    c.dedupScope = e.text("group", c.dedupScope);
    c.dedupWindow = seconds(e, "dedup-window", c.dedupWindow);
    c.promptTokens = e.number("prompt-tokens", c.promptTokens);
    c.sharedTokens = e.number("shared-tokens", c.sharedTokens);
    c.sharedShare = e.number("shared-share", c.sharedShare);
    c.prefixes = static_cast<std::uint32_t>(e.count("prefixes", c.prefixes));
    c.outputTokens = static_cast<std::uint32_t>(e.count("output-tokens", c.outputTokens));
    c.turns = std::max(1.0, e.number("turns", c.turns));
    scenario.classes.push_back(c);
  }
}

void readFaults(const config::Element& elements, Scenario& scenario, std::vector<config::Fault>& faults) {
  const auto hasName = [](const auto& list, const std::string& name) {
    for (const auto& item : list) {
      if (item.name == name) return true;
    }
    return false;
  };
  for (const config::Element& e : elements.children()) {
    Fault fault;
    fault.kind = e.text("kind");
    fault.startsAt = seconds(e, "at", 0);
    fault.duration = seconds(e, "for", 0);
    fault.engineShare = e.number("part", fault.engineShare);
    if (e.has("role")) fault.role = parseRole(e.text("role"));
    if (e.has("size")) fault.size = e.number("size", 0);
    if (e.has("extra")) fault.extra = e.number("extra", 0);
    fault.waves = static_cast<std::uint32_t>(e.count("waves", 1));
    fault.requestClass = e.text("class", scenario.classes.front().name);
    fault.tenant = e.text("tenant", scenario.tenants.empty() ? "" : scenario.tenants.front().name);
    fault.variant = e.text("how");
    if (!hasName(scenario.classes, fault.requestClass))
      faults.push_back(e.fault("class '" + fault.requestClass + "' is not in <classes>", "correct the name"));
    if (!fault.tenant.empty() && !hasName(scenario.tenants, fault.tenant))
      faults.push_back(e.fault("tenant '" + fault.tenant + "' is not in <tenants>", "correct the name"));
    if (fault.startsAt + fault.duration > scenario.duration)
      faults.push_back(
          e.fault("the fault ends after the scenario ends", "make at + for at most the scenario's length"));
    if ((fault.kind == "retry_abuse" || fault.variant == "tenant") && scenario.tenants.size() < 2)
      faults.push_back(e.fault(fault.kind + " needs at least two tenants", "add them to <tenants>"));
    scenario.faults.push_back(fault);
  }
}

void readTenants(const config::Element& tenants, Scenario& scenario) {
  scenario.overQuotaWeight = tenants.number("over-share-worth", scenario.overQuotaWeight);
  for (const config::Element& tenant : tenants.children())
    scenario.tenants.push_back({tenant.text("name"), tenant.number("share", 1)});
}

void readTraffic(const config::Element& traffic, Scenario& scenario, std::vector<config::Fault>& faults) {
  scenario.requestsPerSecond = traffic.number("rate", scenario.requestsPerSecond);
  scenario.shape = traffic.text("shape", scenario.shape);
  scenario.maxRetries = static_cast<std::uint32_t>(traffic.count("retries", scenario.maxRetries));
  scenario.retryBackoff = seconds(traffic, "back-off", scenario.retryBackoff);
  scenario.retryAfterHonoredShare = traffic.number("heed", scenario.retryAfterHonoredShare);
  scenario.impatientShare = traffic.number("impatient", 0);
  scenario.slowReaderShare = traffic.number("slow-readers", 0);
  if (scenario.maxRetries > kMaxRetries)
    faults.push_back(traffic.fault("retries is above the maximum of 14", "lower it"));
}

void readRules(const config::Element& rules, Scenario& scenario) {
  scenario.maxAttempts = static_cast<int>(rules.count("max-attempts", 5));
  scenario.stateLeaseLimit = seconds(rules, "pin-limit", scenario.stateLeaseLimit);
  scenario.drainGrace = seconds(rules, "drain-grace", scenario.drainGrace);
  scenario.responseMargin = seconds(rules, "answer-margin", scenario.responseMargin);
  scenario.slowStartInitialCapacity = rules.number("start-capacity", scenario.slowStartInitialCapacity);
  scenario.slowStartDuration = seconds(rules, "warm-after", scenario.slowStartDuration);
  scenario.slowStartOverloadFactor = rules.number("overload-factor", scenario.slowStartOverloadFactor);
  scenario.slowStartWindow = seconds(rules, "window", scenario.slowStartWindow);
  scenario.reports = rules.text("reports", scenario.reports);
  scenario.minSilence = seconds(rules, "silence-at-least", scenario.minSilence);
}

// ---- The settings of a scenario's nodes ----
std::string quotedTime(double seconds) {
  return config::quotedAttribute(config::formatDuration(Duration(seconds)));
}

std::string formatClass(const ScenarioClass& c) {
  std::string text =
      "    <class name=" + config::quotedAttribute(c.name) + " aim=" + quotedTime(c.ttftObjective) +
      " token-aim=" + quotedTime(c.interTokenObjective) +
      " first-token-within=" + quotedTime(c.firstTokenTimeout) + " worth=\"" +
      formatNumber(c.priorityWeight) + "\" effect=\"" + c.effect + "\" group=\"" + c.dedupScope + "\"";
  if (c.dedupWindow > 0) text += " dedup-window=" + quotedTime(c.dedupWindow);
  return text + " max-prompt-tokens=\"200000\" max-output-tokens=\"4096\"/>\n";
}

std::string formatTenants(const Scenario& scenario) {
  if (scenario.tenants.empty()) return {};
  std::string text = "  <tenants over-share-worth=\"" + formatNumber(scenario.overQuotaWeight) + "\">\n";
  for (const ScenarioTenant& tenant : scenario.tenants) {
    const double quotaPerSecond = tenant.quotaShare * scenario.requestsPerSecond * kQuotaHeadroom;
    text += "    <tenant name=" + config::quotedAttribute(tenant.name) + " share=\"" +
            formatNumber(tenant.quotaShare) + "\" quota-per-second=\"" + formatNumber(quotaPerSecond) +
            "\"/>\n";
  }
  return text + "  </tenants>\n";
}

std::string formatLimits(const Scenario& s) {
  std::string text = "  <limits max-attempts=\"" + std::to_string(s.maxAttempts) +
                     "\" answer-margin=" + quotedTime(s.responseMargin) +
                     " pin-limit=" + quotedTime(s.stateLeaseLimit) +
                     " drain-grace=" + quotedTime(s.drainGrace) + " max-retry-after=\"500ms\"/>\n";
  text += "  <cold-start start-capacity=\"" + formatNumber(s.slowStartInitialCapacity) +
          "\" warm-after=" + quotedTime(s.slowStartDuration) + " overload-factor=\"" +
          formatNumber(s.slowStartOverloadFactor) + "\" window=" + quotedTime(s.slowStartWindow) + "/>\n";
  return text;
}

}  // namespace

std::string Fault::describe() const {
  return kind + " at " + formatNumber(startsAt) + "s for " + formatNumber(duration) + "s";
}

Scenario loadScenario(const std::string& path) {
  const config::Document document = config::Document::load(path, scenarioSchema());
  const config::Element root = document.root();
  Scenario scenario;
  std::vector<config::Fault> faults;
  scenario.name = root.text("name");
  scenario.duration = seconds(root, "length", scenario.duration);
  scenario.nodeCount = static_cast<std::uint32_t>(root.count("nodes", 1));
  scenario.seed = root.count("seed", 1);
  for (const config::Element& zone : root.child("zones")->children())
    scenario.zones.push_back(zone.text("name"));
  readEngines(*root.child("fleet"), scenario);
  readClasses(*root.child("classes"), scenario);
  if (const auto tenants = root.child("tenants")) readTenants(*tenants, scenario);
  readTraffic(*root.child("traffic"), scenario, faults);
  if (const auto rules = root.child("rules")) readRules(*rules, scenario);
  for (EngineSpec& spec : scenario.engines) {
    spec.initialCapacity = scenario.slowStartInitialCapacity;
    spec.slowStartDuration = scenario.slowStartDuration;
  }
  if (const auto elements = root.child("troubles")) readFaults(*elements, scenario, faults);
  if (!faults.empty()) throw config::InvalidFile(std::move(faults));
  return scenario;
}

AuditRules Scenario::auditRules() const {
  AuditRules rules;
  rules.drainGrace = drainGrace;
  rules.stateLeaseLimit = stateLeaseLimit;
  rules.slowStartOverloadFactor = slowStartOverloadFactor;
  rules.slowStartWindow = slowStartWindow;
  for (const ScenarioClass& c : classes) {
    AuditRules::Class auditClass;
    auditClass.idempotency = c.effect == "safe"    ? Idempotency::kIdempotent
                             : c.effect == "keyed" ? Idempotency::kIdempotencyKey
                                                   : Idempotency::kAtMostOnce;
    auditClass.dedupScope = c.dedupScope == "all"    ? DedupScope::kAll
                            : c.dedupScope == "zone" ? DedupScope::kZone
                                                     : DedupScope::kCell;
    auditClass.dedupWindow = c.dedupWindow;
    rules.classes.push_back(auditClass);
  }
  return rules;
}

std::string Scenario::nodeSettings(std::uint32_t index, const std::string& registry) const {
  std::string text = "<gannetcourse xmlns=\"urn:gannetcourse:settings:1\">\n";
  text += "  <node name=\"node-" + std::to_string(index) +
          "\" zone=" + config::quotedAttribute(zones[index % zones.size()]) + " nodes=\"" +
          std::to_string(nodeCount) + "\" seed=\"" + std::to_string(seed * 1000 + index + 1) + "\"/>\n";
  text += "  <listen grpc=\"127.0.0.1:0\"/>\n  <zones>\n";
  for (const std::string& zone : zones) text += "    <zone name=" + config::quotedAttribute(zone) + "/>\n";
  text += "  </zones>\n  <classes>\n";
  for (const ScenarioClass& c : classes) text += formatClass(c);
  text += "  </classes>\n" + formatTenants(*this) + formatLimits(*this);
  text += "  <engines reports=\"" + reports + "\"/>\n";
  text += std::string("  <recovery enabled=\"") + (recoveryEnabled ? "true" : "false") +
          "\" silence-at-least=" + quotedTime(minSilence) + "/>\n";
  text += "  <fleet registry=" + config::quotedAttribute(registry) +
          "/>\n  <log level=\"debug\"/>\n</gannetcourse>\n";
  return text;
}

}  // namespace gannetcourse::lab
