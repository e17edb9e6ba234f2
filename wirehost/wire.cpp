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
using instance::find;
using instance::flag;
using instance::integer;
using instance::Json;
using instance::list;
using instance::Malformed;
using instance::Names;
using instance::need;
using instance::number;
using instance::position;
using instance::seconds;
using instance::text;
using instance::word;
using instance::wrongType;

int attemptNumber(const Json& fields) { return static_cast<int>(integer(fields, "sendNo", 0, 1U << 30)); }

EngineId serverId(const Json& fields) {
  return {static_cast<std::uint32_t>(asUnsigned(need(fields, "engine"), "engine", 0xffffffffU))};
}

RequestId requestId(const Json& fields) { return {text(fields, "tid")}; }

EngineEntry readEntry(const Json& entry, const Names& names) {
  if (!entry.is_object()) wrongType("lines", "an array of objects");
  EngineEntry s;
  s.id = serverId(entry);
  const std::string status = text(entry, "status");
  if (status == "SERVING") {
    s.state = EngineEntry::State::kServing;
  } else if (status == "DRAINING") {
    s.state = EngineEntry::State::kDraining;
  } else if (status == "DELETED") {
    s.state = EngineEntry::State::kRemoved;
  } else {
    throw Malformed("unknown status '" + status + "'");
  }
  names.describe(s, word(entry, "classOfHost", ""), word(entry, "rackZone", ""));
  s.cell = static_cast<std::uint32_t>(integer(entry, "cell", 0, 0xffffffffU));
  const double launched = number(entry, "launchedS", 0);
  if (launched > 0) s.startedAt = Instant(Duration(launched));
  return s;
}

EngineListUpdate readList(const Json& fields, const Names& names) {
  static const std::map<std::string, EngineListUpdate::Scope> kScopes = {
      {"INCREMENTAL", EngineListUpdate::Scope::kDelta},
      {"FULL", EngineListUpdate::Scope::kSnapshot},
      {"SAVED", EngineListUpdate::Scope::kCached},
      {"FAILED", EngineListUpdate::Scope::kFetchFailed}};
  const auto scope = kScopes.find(text(fields, "scope"));
  if (scope == kScopes.end()) throw Malformed("unknown scope '" + text(fields, "scope") + "'");
  EngineListUpdate result{scope->second, {}};
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
  r.timeUntilDeadline = Duration(asNumber(need(fields, "timeBudgetS"), "timeBudgetS"));
  r.sessionKey = instance::key(fields, "session");
  r.prefixKey = instance::key(fields, "prefix");
  r.prefixTokens = number(fields, "sharedLen", 0);
  r.promptTokens = number(fields, "promptLen", 0);
  r.maxOutputTokens = number(fields, "nMax", 0);
  const double hint = number(fields, "estimateS", 0);
  if (hint > 0) r.expectedOutputDuration = Duration(hint);
  return r;
}

std::optional<LoadReport> readLoad(const Json& fields) {
  const Json* metrics = find(fields, "metrics");
  if (metrics == nullptr) return std::nullopt;
  if (!metrics->is_object()) wrongType("metrics", "an object");
  LoadReport load;
  for (const auto& [name, value] : metrics->items()) {
    if (instance::isIndicator(name) && !value.is_null())
      instance::take(load, name, asNumber(value, name.c_str()));
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
  const auto found = kOutcomes.find(text(fields, "outcome"));
  if (found == kOutcomes.end()) throw Malformed("unknown outcome '" + text(fields, "outcome") + "'");
  const bool stateLost = found->second == Outcome::kRejected && number(fields, "detail", 0) == 1;
  return stateLost ? Outcome::kStateLost : found->second;
}

AttemptEnded readAttemptEnded(const Json& fields) {
  AttemptEnded e;
  e.id = requestId(fields);
  e.attempt = attemptNumber(fields);
  e.engine = serverId(fields);
  e.outcome = readOutcome(fields);
  e.requestFinished = flag(fields, "settled");
  if (e.outcome == Outcome::kOk || e.outcome == Outcome::kPrefilled)
    e.cachedTokens = number(fields, "detail", 0);
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
    return ReservationResult{requestId(fields), serverId(fields),
                             asUnsigned(need(fields, "kind"), "kind", 255) == 1};
  }
  if (name == "elapsed") return TimerFired{text(fields, "cookie")};
  if (name == "vanished") return ClientDisconnected{requestId(fields)};
  if (name == "inbox") return std::nullopt;
  throw Malformed("unknown message '" + name + "'");
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
    return {{"wakeMe", {{"who", who}, {"instantS", a.at.time_since_epoch().count()}, {"cookie", a.timer.value}}}};
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
      const Json& options = need(fields, "options");
      if (!options.is_object()) wrongType("options", "an object");
      Policy policy(
          instance::readSettings(options, asUnsigned(need(fields, "prng"), "prng", UINT64_MAX), names));
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
