#include "day.h"

#include <cstdio>

#include "config/xml.h"

namespace gannetcourse::lab {
namespace {

Role roleOf(const std::string& name) {
  return name == "prefill" ? Role::kPrefill : name == "decode" ? Role::kDecode : Role::kMixed;
}

double seconds(const config::Element& e, const char* attribute, double otherwise) {
  return e.duration(attribute, Duration(otherwise)).count();
}

std::string plain(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.9g", value);
  return text;
}

void readFleet(const config::Element& fleet, Day& day) {
  day.nearRate = fleet.number("near-tokens-per-second", day.nearRate);
  day.farRate = fleet.number("far-tokens-per-second", day.farRate);
  day.zoneFactor = fleet.number("zone-factor", day.zoneFactor);
  day.notice = seconds(fleet, "notice", day.notice);
  std::uint32_t firstCell = 0;
  for (const config::Element& e : fleet.children()) {
    EngineSpec spec;
    spec.role = roleOf(e.text("role"));
    spec.slots = static_cast<int>(e.count("slots", spec.role == Role::kPrefill ? 8 : 64));
    spec.queue = static_cast<int>(e.count("queue", 32));
    spec.memoryTokens = e.number("memory-tokens", spec.memoryTokens);
    spec.tokensPerSecond = e.number("tokens-per-second", spec.tokensPerSecond);
    spec.tokenTime = seconds(e, "token-time", spec.tokenTime);
    spec.crowding = e.number("crowding", spec.crowding);
    spec.reportPeriod = seconds(fleet, "report-every", spec.reportPeriod);
    const std::uint32_t cells = static_cast<std::uint32_t>(e.count("cells", day.zones.size()));
    for (std::uint64_t i = 0; i < e.count("count", 1); ++i) {
      // Cells of all lines are the same ones; a cell lies in one zone.
      spec.cell = firstCell + static_cast<std::uint32_t>(i % cells);
      spec.zone = day.zones[spec.cell % day.zones.size()];
      spec.id = static_cast<std::uint32_t>(1000 + 7 * day.engines.size());
      day.engines.push_back(spec);
    }
  }
}

void readClasses(const config::Element& classes, Day& day) {
  for (const config::Element& e : classes.children()) {
    DayClass c;
    c.name = e.text("name");
    c.share = e.number("share", c.share);
    c.aim = seconds(e, "aim", c.aim);
    c.tokenAim = seconds(e, "token-aim", c.tokenAim);
    c.firstTokenWithin = seconds(e, "first-token-within", c.firstTokenWithin);
    c.deadline = seconds(e, "deadline", c.deadline);
    c.worth = e.number("worth", c.worth);
    c.effect = e.text("effect", c.effect);
    c.group = e.text("group", c.group);
    c.dedupWindow = seconds(e, "dedup-window", c.dedupWindow);
    c.promptTokens = e.number("prompt-tokens", c.promptTokens);
    c.sharedTokens = e.number("shared-tokens", c.sharedTokens);
    c.sharedShare = e.number("shared-share", c.sharedShare);
    c.prefixes = static_cast<std::uint32_t>(e.count("prefixes", c.prefixes));
    c.outputTokens = static_cast<std::uint32_t>(e.count("output-tokens", c.outputTokens));
    c.turns = std::max(1.0, e.number("turns", c.turns));
    day.classes.push_back(c);
  }
}

void readTroubles(const config::Element& troubles, Day& day, std::vector<config::Fault>& faults) {
  const auto named = [](const auto& list, const std::string& name) {
    for (const auto& one : list) {
      if (one.name == name) return true;
    }
    return false;
  };
  for (const config::Element& e : troubles.children()) {
    Trouble t;
    t.kind = e.text("kind");
    t.at = seconds(e, "at", 0);
    t.length = seconds(e, "for", 0);
    t.part = e.number("part", t.part);
    if (e.has("role")) t.role = roleOf(e.text("role"));
    if (e.has("size")) t.size = e.number("size", 0);
    if (e.has("extra")) t.extra = e.number("extra", 0);
    t.waves = static_cast<std::uint32_t>(e.count("waves", 1));
    t.requestClass = e.text("class", day.classes.front().name);
    t.tenant = e.text("tenant", day.tenants.empty() ? "" : day.tenants.front().name);
    t.how = e.text("how");
    if (!named(day.classes, t.requestClass))
      faults.push_back(e.fault("class '" + t.requestClass + "' is not one of <classes>", "correct the name"));
    if (!t.tenant.empty() && !named(day.tenants, t.tenant))
      faults.push_back(e.fault("tenant '" + t.tenant + "' is not one of <tenants>", "correct the name"));
    if (t.at + t.length > day.length)
      faults.push_back(e.fault("the trouble outlasts the day", "make it shorter or the day longer"));
    if ((t.kind == "retry_abuse" || t.how == "tenant") && day.tenants.size() < 2)
      faults.push_back(e.fault(t.kind + " needs two tenants or more", "add <tenants>"));
    day.troubles.push_back(t);
  }
}

}  // namespace

std::string Trouble::text() const { return kind + " at " + plain(at) + "s for " + plain(length) + "s"; }

Day loadDay(const std::string& path) {
  const config::Document document = config::Document::load(path, daySchema());
  const config::Element root = document.root();
  Day day;
  std::vector<config::Fault> faults;
  day.name = root.text("name");
  day.length = seconds(root, "length", day.length);
  day.nodes = static_cast<std::uint32_t>(root.count("nodes", 1));
  day.seed = root.count("seed", 1);
  for (const config::Element& zone : root.child("zones")->children()) day.zones.push_back(zone.text("name"));
  readFleet(*root.child("fleet"), day);
  readClasses(*root.child("classes"), day);
  if (const auto tenants = root.child("tenants")) {
    day.overShareWorth = tenants->number("over-share-worth", day.overShareWorth);
    for (const config::Element& e : tenants->children())
      day.tenants.push_back({e.text("name"), e.number("share", 1)});
  }
  const config::Element traffic = *root.child("traffic");
  day.rate = traffic.number("rate", day.rate);
  day.shape = traffic.text("shape", day.shape);
  day.retries = static_cast<std::uint32_t>(traffic.count("retries", day.retries));
  day.backOff = seconds(traffic, "back-off", day.backOff);
  day.heed = traffic.number("heed", day.heed);
  day.impatient = traffic.number("impatient", 0);
  day.slowReaders = traffic.number("slow-readers", 0);
  if (day.retries > 14) faults.push_back(traffic.fault("retries is over 14", "lower it"));
  if (const auto rules = root.child("rules")) {
    day.maxAttempts = static_cast<int>(rules->count("max-attempts", 5));
    day.pinLimit = seconds(*rules, "pin-limit", day.pinLimit);
    day.drainGrace = seconds(*rules, "drain-grace", day.drainGrace);
    day.answerMargin = seconds(*rules, "answer-margin", day.answerMargin);
    day.startCapacity = rules->number("start-capacity", day.startCapacity);
    day.warmAfter = seconds(*rules, "warm-after", day.warmAfter);
    day.overloadFactor = rules->number("overload-factor", day.overloadFactor);
    day.window = seconds(*rules, "window", day.window);
    day.reports = rules->text("reports", day.reports);
    day.silence = seconds(*rules, "silence-at-least", day.silence);
  }
  for (EngineSpec& spec : day.engines) {
    spec.startCapacity = day.startCapacity;
    spec.warmAfter = day.warmAfter;
  }
  if (const auto troubles = root.child("troubles")) readTroubles(*troubles, day, faults);
  if (!faults.empty()) throw config::InvalidFile(std::move(faults));
  return day;
}

AuditRules Day::auditRules() const {
  AuditRules rules;
  rules.drainGrace = drainGrace;
  rules.pinLimit = pinLimit;
  rules.coldFactor = overloadFactor;
  rules.coldWindow = window;
  for (const DayClass& c : classes) {
    AuditRules::Class one;
    one.effect = c.effect == "safe"    ? Idempotency::kIdempotent
                 : c.effect == "keyed" ? Idempotency::kIdempotencyKey
                                       : Idempotency::kAtMostOnce;
    one.group = c.group == "all"    ? DedupScope::kAll
                : c.group == "zone" ? DedupScope::kZone
                                    : DedupScope::kCell;
    one.dedupWindow = c.dedupWindow;
    rules.classes.push_back(one);
  }
  return rules;
}

std::string Day::nodeSettings(std::uint32_t number, const std::string& registry) const {
  const auto time = [](double seconds) {
    return config::quotedAttribute(config::formatDuration(Duration(seconds)));
  };
  std::string text = "<gannetcourse xmlns=\"urn:gannetcourse:settings:1\">\n";
  text += "  <node name=\"node-" + std::to_string(number) +
          "\" zone=" + config::quotedAttribute(zones[number % zones.size()]) + " nodes=\"" +
          std::to_string(nodes) + "\" seed=\"" + std::to_string(seed * 1000 + number + 1) + "\"/>\n";
  text += "  <listen grpc=\"127.0.0.1:0\"/>\n  <zones>\n";
  for (const std::string& zone : zones) text += "    <zone name=" + config::quotedAttribute(zone) + "/>\n";
  text += "  </zones>\n  <classes>\n";
  for (const DayClass& c : classes) {
    text += "    <class name=" + config::quotedAttribute(c.name) + " aim=" + time(c.aim) +
            " token-aim=" + time(c.tokenAim) + " first-token-within=" + time(c.firstTokenWithin) +
            " worth=\"" + plain(c.worth) + "\" effect=\"" + c.effect + "\" group=\"" + c.group + "\"";
    if (c.dedupWindow > 0) text += " dedup-window=" + time(c.dedupWindow);
    text += " max-prompt-tokens=\"200000\" max-output-tokens=\"4096\"/>\n";
  }
  text += "  </classes>\n";
  if (!tenants.empty()) {
    text += "  <tenants over-share-worth=\"" + plain(overShareWorth) + "\">\n";
    for (const DayTenant& t : tenants) {
      text += "    <tenant name=" + config::quotedAttribute(t.name) + " share=\"" + plain(t.share) +
              "\" quota-per-second=\"" + plain(t.share * rate * 1.3) + "\"/>\n";
    }
    text += "  </tenants>\n";
  }
  text += "  <limits max-attempts=\"" + std::to_string(maxAttempts) +
          "\" answer-margin=" + time(answerMargin) + " pin-limit=" + time(pinLimit) +
          " drain-grace=" + time(drainGrace) + " max-retry-after=\"500ms\"/>\n";
  text += "  <cold-start start-capacity=\"" + plain(startCapacity) + "\" warm-after=" + time(warmAfter) +
          " overload-factor=\"" + plain(overloadFactor) + "\" window=" + time(window) + "/>\n";
  text += "  <engines reports=\"" + reports + "\"/>\n";
  text += std::string("  <recovery enabled=\"") + (recovery ? "true" : "false") +
          "\" silence-at-least=" + time(silence) + "/>\n";
  text += "  <fleet registry=" + config::quotedAttribute(registry) +
          "/>\n  <log level=\"debug\"/>\n</gannetcourse>\n";
  return text;
}

}  // namespace gannetcourse::lab
