#include "wire.h"

#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::wire {
namespace {

using Json = nlohmann::json;

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

const Json* find(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& need(const Json& object, const char* key) {
  const Json* value = find(object, key);
  if (value == nullptr) throw Malformed(std::string("field '") + key + "' is missing");
  return *value;
}

[[noreturn]] void wrongType(const char* key, const char* wanted) {
  throw Malformed(std::string("field '") + key + "' is not " + wanted);
}

std::string asText(const Json& value, const char* key) {
  if (!value.is_string()) wrongType(key, "a string");
  return value.get<std::string>();
}

double asNumber(const Json& value, const char* key) {
  if (!value.is_number()) wrongType(key, "a number");
  return value.get<double>();
}

bool asBool(const Json& value, const char* key) {
  if (!value.is_boolean()) wrongType(key, "true or false");
  return value.get<bool>();
}

std::uint64_t asUnsigned(const Json& value, const char* key, std::uint64_t most) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > most) wrongType(key, "an integer in range");
  return value.get<std::uint64_t>();
}

std::string text(const Json& object, const char* key) { return asText(need(object, key), key); }

double number(const Json& object, const char* key, double otherwise) {
  const Json* value = find(object, key);
  return value == nullptr ? otherwise : asNumber(*value, key);
}

Duration seconds(const Json& object, const char* key, double otherwise) {
  return Duration(number(object, key, otherwise));
}

bool flag(const Json& object, const char* key) {
  const Json* value = find(object, key);
  return value != nullptr && asBool(*value, key);
}

std::string word(const Json& object, const char* key, const char* otherwise) {
  const Json* value = find(object, key);
  return value == nullptr ? otherwise : asText(*value, key);
}

std::size_t integer(const Json& object, const char* key, std::uint64_t otherwise, std::uint64_t most) {
  const Json* value = find(object, key);
  return value == nullptr ? otherwise : asUnsigned(*value, key, most);
}

int attemptNumber(const Json& fields) { return static_cast<int>(integer(fields, "sendNo", 0, 1U << 30)); }

ServerId serverId(const Json& fields) {
  return {static_cast<std::uint32_t>(asUnsigned(need(fields, "engine"), "engine", 0xffffffffU))};
}

RequestId requestId(const Json& fields) { return {text(fields, "tid")}; }

std::uint64_t key(const Json& object, const char* name) {
  const Json* value = find(object, name);
  if (value == nullptr) return 0;
  const std::string digits = asText(*value, name);
  if (digits.empty() || digits.size() > 16 ||
      digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    wrongType(name, "a key of hex digits");
  }
  return std::stoull(digits, nullptr, 16);
}

const Json& part(const Json& object, const char* name) {
  static const Json kEmpty = Json::object();
  const Json* value = find(object, name);
  if (value == nullptr) return kEmpty;
  if (!value->is_object()) wrongType(name, "an object");
  return *value;
}

const Json& list(const Json& object, const char* name) {
  static const Json kEmpty = Json::array();
  const Json* value = find(object, name);
  if (value == nullptr) return kEmpty;
  if (!value->is_array()) wrongType(name, "an array");
  return *value;
}

std::optional<std::size_t> position(const std::vector<std::string>& names, const std::string& name) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return i;
  }
  return std::nullopt;
}

// The names of one instance's settings, which the interface knows by number only.
struct Names {
  std::vector<std::string> classes, tenants, zones, kinds, roles;
  std::vector<double> memory;
  std::vector<double> tokenAim;
};

std::vector<std::string> strings(const Json& object, const char* name) {
  std::vector<std::string> values;
  for (const Json& value : list(object, name)) values.push_back(asText(value, name));
  return values;
}

std::vector<double> numbers(const Json& object, const char* name) {
  std::vector<double> values;
  for (const Json& value : list(object, name)) values.push_back(asNumber(value, name));
  return values;
}

Effect effectOf(const std::string& name) {
  if (name == "idempotent") return Effect::kSafe;
  if (name == "deduplicated") return Effect::kKeyed;
  if (name == "at_most_once") return Effect::kUnsafe;
  throw Malformed("unknown idempotency '" + name + "'");
}

DedupGroup groupOf(const std::string& name) {
  if (name == "all") return DedupGroup::kAll;
  if (name == "zone") return DedupGroup::kZone;
  if (name == "cell") return DedupGroup::kCell;
  throw Malformed("unknown group '" + name + "'");
}

Role roleOf(const std::string& name) {
  if (name == "read") return Role::kPrefill;
  if (name == "write") return Role::kDecode;
  return name == "both" ? Role::kMixed : Role::kUnknown;
}

std::vector<ClassSettings> readClasses(const Json& options, const Json& family, Names& names) {
  const std::vector<double> perThousand = numbers(family, "aimUsPer1000PromptTokens");
  names.tokenAim = numbers(family, "tokenAimS");
  std::vector<ClassSettings> classes;
  for (const Json& entry : list(options, "classes")) {
    if (!entry.is_object()) wrongType("classes", "an array of objects");
    const std::size_t at = classes.size();
    names.classes.push_back(text(entry, "name"));
    ClassSettings one;
    one.aim = Duration(asNumber(need(entry, "aimS"), "aimS"));
    if (at < perThousand.size()) one.aimPerToken = Duration(perThousand[at] * 1e-9);
    if (at < names.tokenAim.size()) one.tokenAim = Duration(names.tokenAim[at]);
    one.worth = number(entry, "worth", 1);
    one.lateWorth = number(entry, "lateWorth", 0);
    one.effect = effectOf(text(entry, "idempotency"));
    one.group = groupOf(word(entry, "group", "all"));
    one.dedupWindow = seconds(entry, "dedupWindowS", 0);
    classes.push_back(one);
  }
  return classes;
}

std::vector<TenantSettings> readTenants(const Json& options, Names& names) {
  std::vector<TenantSettings> tenants;
  for (const Json& entry : list(options, "tenants")) {
    if (!entry.is_object()) wrongType("tenants", "an array of objects");
    names.tenants.push_back(text(entry, "name"));
    tenants.push_back({number(entry, "portion", 0), number(entry, "quotaRps", 0)});
  }
  return tenants;
}

Settings readSettings(const Json& fields, Names& names) {
  const Json& options = need(fields, "options");
  if (!options.is_object()) wrongType("options", "an object");
  const Json& family = part(options, "familyInfo");
  const Json& limits = part(options, "limits");
  const Json& rules = part(options, "rules");
  Settings s;
  s.seed = asUnsigned(need(fields, "prng"), "prng", UINT64_MAX);
  s.nodes = static_cast<int>(integer(options, "balancers", 1, 1U << 20));
  names.zones = strings(options, "zones");
  names.kinds = strings(options, "kinds");
  names.roles = strings(family, "kindRole");
  names.memory = numbers(family, "kindMemoryTokens");
  s.zone = static_cast<std::uint32_t>(
      position(names.zones, word(options, "zone", "")).value_or(names.zones.size()));
  s.classes = readClasses(options, family, names);
  s.tenants = readTenants(options, names);
  s.overShareWorth = number(options, "overShareWorth", 1);
  s.worthByWork = word(options, "worthBy", "request") == "work";
  s.askDiscovery = word(options, "membershipMode", "push") == "ask";
  const std::string via = word(part(options, "reporting"), "via", "silent");
  s.reporting = via == "piggyback" ? Reporting::kAnswers
                : via == "pull"    ? Reporting::kProbes
                                   : Reporting::kNone;
  s.probesAllowed = flag(limits, "probes");
  s.cancelAllowed = flag(limits, "mayCancel");
  s.reserveAllowed = flag(family, "mayReserve");
  s.retryAfterHeeded = flag(limits, "retryAfter");
  s.decodeMayPrefill = flag(family, "selfPrefill");
  s.maxAttempts = static_cast<int>(integer(limits, "maxAttempts", 1, 1U << 20));
  s.maxRetryAfter = seconds(limits, "maxRetryAfterS", 0);
  s.pinLimit = seconds(family, "pinLimitS", 0);
  s.answerSlack = seconds(rules, "answerSlackS", 0);
  s.tick = seconds(options, "tickS", 0);
  s.coldWindow = seconds(rules, "fallS", 0);
  s.coldOverloadFactor = number(rules, "overloadFactor", 1);
  s.coldStartCapacity = number(rules, "startCapacity", 1);
  s.coldWarmAfter = seconds(rules, "warmAfterS", 0);
  s.probePrice = number(part(options, "tariffs"), "probe", 0);
  return s;
}

ServerEntry readEntry(const Json& entry, const Names& names) {
  if (!entry.is_object()) wrongType("lines", "an array of objects");
  ServerEntry s;
  s.id = serverId(entry);
  const std::string status = text(entry, "status");
  if (status == "SERVING") {
    s.state = ServerEntry::State::kServing;
  } else if (status == "DRAINING") {
    s.state = ServerEntry::State::kDraining;
  } else if (status == "DELETED") {
    s.state = ServerEntry::State::kGone;
  } else {
    throw Malformed("unknown status '" + status + "'");
  }
  const auto kind = position(names.kinds, word(entry, "classOfHost", ""));
  if (kind && *kind < names.roles.size()) s.role = roleOf(names.roles[*kind]);
  if (kind && *kind < names.memory.size()) s.memoryTokens = names.memory[*kind];
  s.zone = static_cast<std::uint32_t>(
      position(names.zones, word(entry, "rackZone", "")).value_or(names.zones.size()));
  s.cell = static_cast<std::uint32_t>(integer(entry, "cell", 0, 0xffffffffU));
  const double launched = number(entry, "launchedS", 0);
  if (launched > 0) s.startedAt = Instant(Duration(launched));
  return s;
}

ServerList readList(const Json& fields, const Names& names) {
  static const std::map<std::string, ServerList::Scope> kScopes = {
      {"INCREMENTAL", ServerList::Scope::kChanges},
      {"FULL", ServerList::Scope::kFull},
      {"SAVED", ServerList::Scope::kSaved},
      {"FAILED", ServerList::Scope::kFailed}};
  const auto scope = kScopes.find(text(fields, "scope"));
  if (scope == kScopes.end()) throw Malformed("unknown scope '" + text(fields, "scope") + "'");
  ServerList result{scope->second, {}};
  for (const Json& entry : list(fields, "lines")) result.entries.push_back(readEntry(entry, names));
  return result;
}

RequestArrived readRequest(const Json& fields, const Names& names) {
  RequestArrived r;
  r.id = requestId(fields);
  const auto category = position(names.classes, text(fields, "category"));
  if (!category) throw Malformed("unknown category '" + text(fields, "category") + "'");
  r.classIndex = *category;
  const Json* tenant = find(fields, "tenant");
  if (tenant != nullptr && tenant->is_string())
    r.tenant = position(names.tenants, tenant->get<std::string>());
  r.isRetry = flag(fields, "isRetry");
  r.timeLeft = Duration(asNumber(need(fields, "timeBudgetS"), "timeBudgetS"));
  r.session = key(fields, "session");
  r.prefix = key(fields, "prefix");
  r.prefixTokens = number(fields, "sharedLen", 0);
  r.promptTokens = number(fields, "promptLen", 0);
  r.maxOutputTokens = number(fields, "nMax", 0);
  const double hint = number(fields, "estimateS", 0);
  if (hint > 0) r.answerHint = Duration(hint);
  return r;
}

std::optional<LoadReport> readLoad(const Json& fields) {
  const Json* metrics = find(fields, "metrics");
  if (metrics == nullptr) return std::nullopt;
  if (!metrics->is_object()) wrongType("metrics", "an object");
  const auto value = [&](const char* name) -> std::optional<double> {
    const Json* found = find(*metrics, name);
    return found == nullptr ? std::nullopt : std::optional<double>(asNumber(*found, name));
  };
  LoadReport load;
  load.inHand = value("concurrent");
  load.queued = value("depth");
  load.busyShare = value("load_share");
  load.memoryShare = value("x0");
  load.waitingTokens = value("x1");
  if (load.waitingTokens) *load.waitingTokens *= 1000;
  return load;
}

Outcome readOutcome(const Json& fields) {
  static const std::map<std::string, Outcome> kOutcomes = {{"OK", Outcome::kOk},
                                                           {"INTERNAL", Outcome::kError},
                                                           {"RESOURCE_EXHAUSTED", Outcome::kRejected},
                                                           {"DEADLINE_EXCEEDED", Outcome::kTimeout},
                                                           {"UNAVAILABLE", Outcome::kConnectFailed},
                                                           {"ABORTED", Outcome::kReset},
                                                           {"CANCELLED", Outcome::kCancelled},
                                                           {"TOO_LATE", Outcome::kNotSent},
                                                           {"prefilled", Outcome::kPrefilled}};
  const auto found = kOutcomes.find(text(fields, "outcome"));
  if (found == kOutcomes.end()) throw Malformed("unknown outcome '" + text(fields, "outcome") + "'");
  const bool stateLost = found->second == Outcome::kRejected && number(fields, "detail", 0) == 1;
  return stateLost ? Outcome::kStateLost : found->second;
}

AttemptEnded readAttemptEnded(const Json& fields) {
  AttemptEnded e;
  e.id = requestId(fields);
  e.attempt = attemptNumber(fields);
  e.server = serverId(fields);
  e.outcome = readOutcome(fields);
  e.requestOver = flag(fields, "settled");
  if (e.outcome == Outcome::kOk || e.outcome == Outcome::kPrefilled)
    e.keptTokens = number(fields, "detail", 0);
  e.elapsed = seconds(fields, "delaySeenS", 0);
  e.load = readLoad(fields);
  return e;
}

// Events that the module has no use for give nothing; unknown names are malformed.
std::optional<Event> readEvent(const std::string& name, const Json& fields, const Names& names) {
  if (name == "sync") return readList(fields, names);
  if (name == "demand") return readRequest(fields, names);
  if (name == "resolved") return readAttemptEnded(fields);
  if (name == "streaming") {
    return StreamStarted{requestId(fields), attemptNumber(fields), serverId(fields),
                         seconds(fields, "delaySeenS", 0)};
  }
  if (name == "probeResult") {
    return ProbeEnded{serverId(fields), readOutcome(fields), seconds(fields, "delaySeenS", 0),
                      readLoad(fields)};
  }
  if (name == "holdResult") {
    return HoldAnswered{requestId(fields), serverId(fields),
                        asUnsigned(need(fields, "kind"), "kind", 255) == 1};
  }
  if (name == "elapsed") return TimerFired{text(fields, "cookie")};
  if (name == "vanished") return ClientGone{requestId(fields)};
  if (name == "inbox") return std::nullopt;
  throw Malformed("unknown message '" + name + "'");
}

struct ActionWriter {
  const std::string& who;

  Json operator()(const Send& a) const {
    return {
        {"attempt",
         {{"who", who}, {"tid", a.id.value}, {"maxWaitS", a.timeout.count()}, {"engine", a.server.value}}}};
  }
  Json operator()(const Reserve& a) const {
    return {{"bookSeat", {{"who", who}, {"tid", a.id.value}, {"engine", a.server.value}}}};
  }
  Json operator()(const Release& a) const { return {{"discard", {{"who", who}, {"tid", a.id.value}}}}; }
  Json operator()(const Refuse& a) const {
    Json fields = {{"who", who}, {"tid", a.id.value}};
    if (a.retryAfter.count() > 0) fields["notBeforeForS"] = a.retryAfter.count();
    return {{"shed", std::move(fields)}};
  }
  Json operator()(const Fail& a) const { return {{"lose", {{"who", who}, {"tid", a.id.value}}}}; }
  Json operator()(const Cancel& a) const {
    return {{"cancel", {{"who", who}, {"tid", a.id.value}, {"sendNo", a.attempt}}}};
  }
  Json operator()(const Probe& a) const { return {{"soundOut", {{"who", who}, {"engine", a.server.value}}}}; }
  Json operator()(const SubscribeServers&) const { return {{"observe", {{"who", who}, {"enable", true}}}}; }
  Json operator()(const FetchServers&) const { return {{"reload", {{"who", who}}}}; }
  Json operator()(const SetTimer& a) const {
    return {{"wakeMe", {{"who", who}, {"instantS", a.at.time_since_epoch().count()}, {"cookie", a.token}}}};
  }
  Json operator()(const Log& a) const { return {{"debug", {{"who", who}, {"message", a.text}}}}; }
};

struct Instance {
  Names names;
  Policy policy;
};

class Host {
 public:
  // Takes one line; a finished batch's reply is returned, else an empty string.
  std::string take(const std::string& line) {
    const Json message = parse(line);
    const std::string& name = message.begin().key();
    const Json& fields = message.begin().value();
    if (name == "frame") return open(fields);
    if (!inBatch_) throw Malformed("'" + name + "' outside a batch");
    if (name == "eob") return close();
    event(name, fields);
    return {};
  }

  bool inBatch() const { return inBatch_; }

 private:
  static Json parse(const std::string& line) {
    Json message = Json::parse(line, nullptr, false);
    if (message.is_discarded()) throw Malformed("not valid JSON");
    if (!message.is_object() || message.size() != 1) throw Malformed("not an object with a single key");
    if (!message.begin().value().is_object()) throw Malformed("the message's fields are not an object");
    return message;
  }

  std::string open(const Json& fields) {
    if (inBatch_) throw Malformed("'frame' before the batch's end");
    now_ = Instant(Duration(asNumber(need(fields, "nowS"), "nowS")));
    batch_ = asUnsigned(need(fields, "batch"), "batch", UINT64_MAX);
    inBatch_ = true;
    reply_.clear();
    return {};
  }

  std::string close() {
    inBatch_ = false;
    write({{"yield", {{"batch", batch_}}}});
    return std::move(reply_);
  }

  void event(const std::string& name, const Json& fields) {
    const std::string who = text(fields, "who");
    if (name == "attach") {
      Names names;
      Policy policy(readSettings(fields, names));
      instances_.insert_or_assign(who, Instance{std::move(names), std::move(policy)});
      return;
    }
    const auto it = instances_.find(who);
    if (it == instances_.end()) throw Malformed("'" + name + "' for an instance that is not attached");
    if (name == "destroy") {
      instances_.erase(it);
      return;
    }
    const std::optional<Event> event = readEvent(name, fields, it->second.names);
    if (!event) return;
    actions_.clear();
    it->second.policy.handle(now_, *event, actions_);
    for (const Action& action : actions_) write(std::visit(ActionWriter{who}, action));
  }

  void write(const Json& message) { reply_.append(message.dump()).push_back('\n'); }

  std::map<std::string, Instance> instances_;
  std::vector<Action> actions_;
  std::string reply_;
  Instant now_;
  std::uint64_t batch_ = 0;
  bool inBatch_ = false;
};

}  // namespace

int serve(std::istream& in, std::ostream& out, std::ostream& err) {
  Host host;
  std::string line;
  for (std::uint64_t at = 1; std::getline(in, line); ++at) {
    try {
      const std::string reply = host.take(line);
      if (!reply.empty()) out << reply << std::flush;
    } catch (const Malformed& fault) {
      err << "gannetcourse_wirehost: line " << at << ": " << fault.what() << '\n';
      return 1;
    }
  }
  if (!host.inBatch()) return 0;
  err << "gannetcourse_wirehost: input ends inside a batch\n";
  return 1;
}

}  // namespace gannetcourse::wire
