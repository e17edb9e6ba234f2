#include "wire.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"
#include "instance/instance.h"

namespace gannetcourse::wire {
namespace {

using instance::asNumber;
using instance::asUnsigned;
using instance::findField;
using instance::boolOrFalse;
using instance::unsignedOr;
using instance::Json;
using instance::arrayOrEmpty;
using instance::MalformedInput;
using instance::InstanceNames;
using instance::requireField;
using instance::numberOr;
using instance::indexOf;
using instance::secondsOr;
using instance::requireString;
using instance::stringOr;
using instance::throwWrongType;

int attemptNumber(const Json& fields) { return static_cast<int>(unsignedOr(fields, "sendNo", 0, 1U << 30)); }

EngineId serverId(const Json& fields) {
  return {static_cast<std::uint32_t>(asUnsigned(requireField(fields, "engine"), "engine", 0xffffffffU))};
}

RequestId requestId(const Json& fields) { return {requireString(fields, "tid")}; }

EngineEntry readEntry(const Json& entry, const InstanceNames& names) {
  if (!entry.is_object()) throwWrongType("lines", "an array of objects");
  EngineEntry s;
  s.id = serverId(entry);
  const std::string status = requireString(entry, "status");
  if (status == "SERVING") {
    s.state = EngineEntry::State::kServing;
  } else if (status == "DRAINING") {
    s.state = EngineEntry::State::kDraining;
  } else if (status == "DELETED") {
    s.state = EngineEntry::State::kRemoved;
  } else {
    throw MalformedInput("unknown status '" + status + "'");
  }
  names.describeEngine(s, stringOr(entry, "classOfHost", ""), stringOr(entry, "rackZone", ""));
  s.cell = static_cast<std::uint32_t>(unsignedOr(entry, "cell", 0, 0xffffffffU));
  const double launched = numberOr(entry, "launchedS", 0);
  if (launched > 0) s.startedAt = Instant(Duration(launched));
  return s;
}

EngineListUpdate readList(const Json& fields, const InstanceNames& names) {
  static const std::map<std::string, EngineListUpdate::Scope> kScopes = {
      {"INCREMENTAL", EngineListUpdate::Scope::kDelta},
      {"FULL", EngineListUpdate::Scope::kSnapshot},
      {"SAVED", EngineListUpdate::Scope::kCached},
      {"FAILED", EngineListUpdate::Scope::kFetchFailed}};
  const auto scope = kScopes.find(requireString(fields, "scope"));
  if (scope == kScopes.end()) throw MalformedInput("unknown scope '" + requireString(fields, "scope") + "'");
  EngineListUpdate result{scope->second, {}};
  for (const Json& entry : arrayOrEmpty(fields, "lines")) result.entries.push_back(readEntry(entry, names));
  return result;
}

RequestArrived readRequest(const Json& fields, const InstanceNames& names) {
  RequestArrived r;
  r.id = requestId(fields);
  const auto category = indexOf(names.classes, requireString(fields, "category"));
  if (!category) throw MalformedInput("unknown category '" + requireString(fields, "category") + "'");
  r.classIndex = *category;
  const Json* tenant = findField(fields, "tenant");
  if (tenant != nullptr && tenant->is_string()) r.tenant = indexOf(names.tenants, tenant->get<std::string>());
  r.isRetry = boolOrFalse(fields, "isRetry");
  r.timeUntilDeadline = Duration(asNumber(requireField(fields, "timeBudgetS"), "timeBudgetS"));
  r.sessionKey = instance::hexKeyOrZero(fields, "session");
  r.prefixKey = instance::hexKeyOrZero(fields, "prefix");
  r.prefixTokens = numberOr(fields, "sharedLen", 0);
  r.promptTokens = numberOr(fields, "promptLen", 0);
  r.maxOutputTokens = numberOr(fields, "nMax", 0);
  const double hint = numberOr(fields, "estimateS", 0);
  if (hint > 0) r.expectedOutputDuration = Duration(hint);
  return r;
}

std::optional<LoadReport> readLoad(const Json& fields) {
  const Json* metrics = findField(fields, "metrics");
  if (metrics == nullptr) return std::nullopt;
  if (!metrics->is_object()) throwWrongType("metrics", "an object");
  LoadReport load;
  for (const auto& [name, value] : metrics->items()) {
    if (instance::isLoadMetric(name) && !value.is_null())
      instance::setLoadMetric(load, name, asNumber(value, name.c_str()));
  }
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
  const auto found = kOutcomes.find(requireString(fields, "outcome"));
  if (found == kOutcomes.end()) throw MalformedInput("unknown outcome '" + requireString(fields, "outcome") + "'");
  const bool stateLost = found->second == Outcome::kRejected && numberOr(fields, "detail", 0) == 1;
  return stateLost ? Outcome::kStateLost : found->second;
}

AttemptEnded readAttemptEnded(const Json& fields) {
  AttemptEnded e;
  e.id = requestId(fields);
  e.attempt = attemptNumber(fields);
  e.engine = serverId(fields);
  e.outcome = readOutcome(fields);
  e.requestFinished = boolOrFalse(fields, "settled");
  if (e.outcome == Outcome::kOk || e.outcome == Outcome::kPrefilled)
    e.cachedTokens = numberOr(fields, "detail", 0);
  e.elapsed = secondsOr(fields, "delaySeenS", 0);
  e.load = readLoad(fields);
  return e;
}

// Events that the module has no use for give nothing; unknown names are malformed.
std::optional<Event> readEvent(const std::string& name, const Json& fields, const InstanceNames& names) {
  if (name == "sync") return readList(fields, names);
  if (name == "demand") return readRequest(fields, names);
  if (name == "resolved") return readAttemptEnded(fields);
  if (name == "streaming") {
    return StreamStarted{requestId(fields), attemptNumber(fields), serverId(fields),
                         secondsOr(fields, "delaySeenS", 0)};
  }
  if (name == "probeResult") {
    return ProbeEnded{serverId(fields), readOutcome(fields), secondsOr(fields, "delaySeenS", 0),
                      readLoad(fields)};
  }
  if (name == "holdResult") {
    return ReservationResult{requestId(fields), serverId(fields),
                             asUnsigned(requireField(fields, "kind"), "kind", 255) == 1};
  }
  if (name == "elapsed") return TimerFired{requireString(fields, "cookie")};
  if (name == "vanished") return ClientDisconnected{requestId(fields)};
  if (name == "inbox") return std::nullopt;
  throw MalformedInput("unknown message '" + name + "'");
}

struct ActionWriter {
  const std::string& who;

  Json operator()(const StartAttempt& a) const {
    return {
        {"attempt",
         {{"who", who}, {"tid", a.id.value}, {"maxWaitS", a.timeout.count()}, {"engine", a.engine.value}}}};
  }
  Json operator()(const Reserve& a) const {
    return {{"bookSeat", {{"who", who}, {"tid", a.id.value}, {"engine", a.engine.value}}}};
  }
  Json operator()(const Release& a) const { return {{"discard", {{"who", who}, {"tid", a.id.value}}}}; }
  Json operator()(const RejectRequest& a) const {
    Json fields = {{"who", who}, {"tid", a.id.value}};
    if (a.retryAfter.count() > 0) fields["notBeforeForS"] = a.retryAfter.count();
    return {{"shed", std::move(fields)}};
  }
  Json operator()(const FailRequest& a) const { return {{"lose", {{"who", who}, {"tid", a.id.value}}}}; }
  Json operator()(const CancelAttempt& a) const {
    return {{"cancel", {{"who", who}, {"tid", a.id.value}, {"sendNo", a.attempt}}}};
  }
  Json operator()(const Probe& a) const { return {{"soundOut", {{"who", who}, {"engine", a.engine.value}}}}; }
  Json operator()(const SubscribeToEngineList&) const {
    return {{"observe", {{"who", who}, {"enable", true}}}};
  }
  Json operator()(const FetchEngineList&) const { return {{"reload", {{"who", who}}}}; }
  Json operator()(const SetTimer& a) const {
    return {
        {"wakeMe", {{"who", who}, {"instantS", a.at.time_since_epoch().count()}, {"cookie", a.timer.value}}}};
  }
  Json operator()(const Log& a) const { return {{"debug", {{"who", who}, {"message", a.text}}}}; }
};

struct Instance {
  InstanceNames names;
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
    if (!inBatch_) throw MalformedInput("'" + name + "' outside a batch");
    if (name == "eob") return close();
    event(name, fields);
    return {};
  }

  bool inBatch() const { return inBatch_; }

 private:
  static Json parse(const std::string& line) {
    Json message = Json::parse(line, nullptr, false);
    if (message.is_discarded()) throw MalformedInput("not valid JSON");
    if (!message.is_object() || message.size() != 1) throw MalformedInput("not an object with a single key");
    if (!message.begin().value().is_object()) throw MalformedInput("the message's fields are not an object");
    return message;
  }

  std::string open(const Json& fields) {
    if (inBatch_) throw MalformedInput("'frame' before the batch's end");
    now_ = Instant(Duration(asNumber(requireField(fields, "nowS"), "nowS")));
    batch_ = asUnsigned(requireField(fields, "batch"), "batch", UINT64_MAX);
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
    const std::string who = requireString(fields, "who");
    if (name == "attach") {
      InstanceNames names;
      const Json& options = requireField(fields, "options");
      if (!options.is_object()) throwWrongType("options", "an object");
      Policy policy(instance::readSettings(
          options, asUnsigned(requireField(fields, "prng"), "prng", UINT64_MAX), names));
      instances_.insert_or_assign(who, Instance{std::move(names), std::move(policy)});
      return;
    }
    const auto it = instances_.find(who);
    if (it == instances_.end()) throw MalformedInput("'" + name + "' for an instance that is not attached");
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
    } catch (const MalformedInput& fault) {
      err << "gannetcourse_wirehost: line " << at << ": " << fault.what() << '\n';
      return 1;
    }
  }
  if (!host.inBatch()) return 0;
  err << "gannetcourse_wirehost: input ends inside a batch\n";
  return 1;
}

}  // namespace gannetcourse::wire
