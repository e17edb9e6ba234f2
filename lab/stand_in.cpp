#include "stand_in.h"

#include <algorithm>
#include <cstdlib>

#include "gannetcourse/v1/engine.pb.h"
#include "grpc/server_connection.h"

namespace gannetcourse::lab {
namespace {

const Duration kErrorAfter{0.003};       // a fast failure takes this long
constexpr double kFenceKept = 60;        // seconds for which a fence is remembered
const Duration kLookAgain{0.03};         // an overlap that is seen is looked at again after this
constexpr double kTransferBase = 0.002;  // of a state, whatever its size

template <class Message>
bool parse(Message& message, std::string_view bytes) {
  return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

// Prompts of the lab begin with "#TRY ", so that what clients and engines saw can be joined.
TryId tryOf(const std::string& prompt) {
  return prompt.empty() || prompt.front() != '#' ? 0 : std::strtoull(prompt.c_str() + 1, nullptr, 10);
}

// The zone that a node names in its user-agent: "gannetcourse node/NAME zone/ZONE".
std::string zoneOf(const std::string& peer) {
  const auto at = peer.find("zone/");
  return at == std::string::npos ? std::string() : peer.substr(at + 5);
}

void fill(v1::LoadReport* told, const LoadReport& load) {
  if (load.requestsInFlight) told->set_in_hand(*load.requestsInFlight);
  if (load.requestsQueued) told->set_queued(*load.requestsQueued);
  if (load.slotUtilization) told->set_busy_share(*load.slotUtilization);
  if (load.memoryUtilization) told->set_memory_share(*load.memoryUtilization);
  if (load.queuedPrefillTokens) told->set_waiting_tokens(*load.queuedPrefillTokens);
}

}  // namespace

std::uint32_t Fabric::zoneIndex(const std::string& zone) const {
  return static_cast<std::uint32_t>(std::find(zones.begin(), zones.end(), zone) - zones.begin());
}

StandIn::StandIn(Fabric& fabric, EngineSpec spec)
    : fabric_(fabric), model_(std::move(spec)), server_(fabric.loop, net::Endpoint{}) {
  fabric_.byAddress[address()] = this;
  serve();
  server_.silentTo = [this](const std::string& peer) {
    return silent_ || fabric_.cut(model_.spec().zone, zoneOf(peer));
  };
  server_.onHeld = [this](const Call& call, std::string_view bytes) { bookHeld(call, bytes); };
  server_.onConnectionEnded = [this](const grpc::ServerConnection& connection) {
    std::vector<std::string> lost;
    for (const auto& [name, state] : states_) {
      if (state.connection == connection.id() && !state.fetching) lost.push_back(name);
    }
    for (const std::string& name : lost) dropState(name);
  };
}

StandIn::~StandIn() {
  *alive_ = false;
  fabric_.byAddress.erase(address());
}

void StandIn::serve() {
  const std::string service = "/gannetcourse.v1.Engine/";
  const auto with = [this](void (StandIn::*method)(const Call&, std::string_view)) {
    return [this, method](const Call& call, std::string_view bytes) { (this->*method)(call, bytes); };
  };
  server_.handle(service + "Prefill", with(&StandIn::prefill));
  server_.handle(service + "Decode", with(&StandIn::decode));
  server_.handle(service + "Reserve", with(&StandIn::reserve));
  server_.handle(service + "Release", with(&StandIn::release));
  server_.handle(service + "Fence", with(&StandIn::fence));
  server_.handle(service + "Probe", [this](const Call& call, std::string_view) { probe(call); });
}

Ledger::EngineName StandIn::name() const {
  return {model_.spec().id, fabric_.zoneIndex(model_.spec().zone), model_.spec().cell};
}

void StandIn::step(double now, double span) {
  if (dead_) return;
  if (silent_ || fabric_.cutZone) poll();  // what comes is booked, though nothing is done about it
  model_.step(now, silent_ ? 0 : span);
  if (!silent_) endLeases(now);
}

// ---- Calls ----
AttemptKey StandIn::book(const Call& call, const Named& named) {
  const auto held = held_.extract(call.get());
  if (!held.empty()) return held.mapped();
  return fabric_.ledger.attemptOpened(name(), named.node, named.request, named.id, fabric_.now());
}

void StandIn::bookHeld(const Call& call, std::string_view bytes) {
  // Both requests begin with the attempt's name, and only that is wanted.
  v1::PrefillRequest read;
  v1::DecodeRequest write;
  const bool reads = call->method() == "/gannetcourse.v1.Engine/Prefill";
  if (!reads && call->method() != "/gannetcourse.v1.Engine/Decode") return;
  if (reads ? !parse(read, bytes) : !parse(write, bytes)) return;
  const v1::AttemptName& told = reads ? read.name() : write.name();
  const TryId id = reads ? tryOf(read.prompt()) : write.seed();
  held_[call.get()] = fabric_.ledger.attemptOpened(name(), told.node(), told.request(), id, fabric_.now());
  call->onClosed = [this, key = call.get(), alive = alive_] {
    if (!*alive) return;
    const auto held = held_.extract(key);
    if (!held.empty()) fabric_.ledger.attemptClosed(held.mapped(), fabric_.now());
  };
}

std::optional<std::uint64_t> StandIn::open(const Call& call, const Named& named) {
  const double now = fabric_.now();
  const AttemptKey key = book(call, named);
  const std::uint64_t handle = ++last_;
  open_[handle] = {call, key, {}, nullptr, named.request, named.attempt, 0, 0};
  call->onClosed = [this, handle, alive = alive_] {
    if (*alive) closed(handle);
  };
  checkOverlap(key);
  Fenced& fenced = fences_[named.request];
  fenced.at = now;
  if (named.attempt < fenced.below) {
    call->finish({grpc::Code::kFailedPrecondition, "fenced: a newer attempt is known"});
    return std::nullopt;
  }
  if (named.attempt > 0) endAttempts(named.request, named.attempt - 1, "a newer attempt came");
  const auto at = std::find(fabric_.classes.begin(), fabric_.classes.end(), named.requestClass);
  const double mean = at == fabric_.classes.end()
                          ? 1000
                          : fabric_.meanPrompt[static_cast<std::size_t>(at - fabric_.classes.begin())];
  const double share = model_.capacityShare(now);
  if (share < 1) {
    const EngineSpec& s = model_.spec();
    const double warm = s.role == Role::kPrefill ? s.tokensPerSecond / fabric_.meanFresh
                                                 : s.slots / (s.tokenTime * 40 * (1 + s.crowding));
    if (fabric_.ledger.coldLoad(s.id, named.node, std::max(1.0, named.promptTokens / mean), warm * share,
                                now)) {
      fabric_.loop.defer([this, alive = alive_] {
        if (!*alive) return;
        crash();
        fallen_ = true;
      });
      return std::nullopt;
    }
  }
  if (troubled(call, named)) return std::nullopt;
  return handle;
}

// Two attempts of a request may only seem to be out because a close has not been read yet.
void StandIn::checkOverlap(AttemptKey key) {
  const auto suspects = fabric_.ledger.othersOpen(key);
  if (suspects.empty()) return;
  fabric_.loop.defer([this, key, alive = alive_] {
    if (!*alive) return;
    for (auto& [address, engine] : fabric_.byAddress) engine->poll();
    if (fabric_.ledger.othersOpen(key).empty()) return;
    fabric_.loop.runAfter(kLookAgain, [this, key, suspects = fabric_.ledger.othersOpen(key), alive] {
      if (!*alive) return;
      for (auto& [address, engine] : fabric_.byAddress) engine->poll();
      for (const auto& [other, engine] : suspects) {
        if (fabric_.ledger.isOpen(other)) fabric_.ledger.overlap();
      }
    });
  });
}

bool StandIn::troubled(const Call& call, const Named& named) {
  const auto failSoon = [&](grpc::Code code, const char* text, Duration after) {
    fabric_.loop.runAfter(after, [call, code, text] { call->finish({code, text}); });
    return true;
  };
  if (calls.errorShare > 0 && fabric_.draw() < calls.errorShare)
    return failSoon(grpc::Code::kInternal, "trouble: fails fast", kErrorAfter);
  if (calls.lostClass == named.requestClass && fabric_.draw() < calls.lostShare)
    return !calls.lostByError || failSoon(grpc::Code::kInternal, "trouble: fails one class", kErrorAfter);
  if (calls.throttledTenant == named.tenant || calls.throttledClass == named.requestClass) {
    const double now = fabric_.now();
    throttleLeft_ = std::min(1.0, throttleLeft_ + (now - throttleAt_) * calls.throttleRate);
    throttleAt_ = now;
    if (throttleLeft_ < 1)
      return failSoon(grpc::Code::kResourceExhausted, "full", Duration(calls.throttleDelay));
    throttleLeft_ -= 1;
  }
  return false;
}

void StandIn::closed(std::uint64_t handle) {
  const auto node = open_.extract(handle);
  if (node.empty()) return;
  fabric_.ledger.attemptClosed(node.mapped().key, fabric_.now());
  if (node.mapped().written != 0) fabric_.ledger.streamCut(node.mapped().written, fabric_.now());
  model_.drop(handle);
  if (node.mapped().reader != nullptr) node.mapped().reader->pinForFetch(node.mapped().state, false);
}

void StandIn::prefill(const Call& call, std::string_view bytes) {
  v1::PrefillRequest ask;
  if (!parse(ask, bytes)) return call->finish({grpc::Code::kInvalidArgument, "request"});
  const Named named{ask.name().request(),
                    ask.name().node(),
                    ask.request_class(),
                    ask.tenant(),
                    ask.name().attempt(),
                    tryOf(ask.prompt()),
                    static_cast<double>(ask.prompt_tokens())};
  const auto handle = open(call, named);
  if (!handle) return;
  if (model_.spec().role != Role::kPrefill)
    return call->finish({grpc::Code::kFailedPrecondition, "not a reader"});
  ReadJob job;
  job.session = ask.session();
  job.prefix = ask.prefix_key();
  job.promptTokens = ask.prompt_tokens();
  job.prefixTokens = ask.prefix_tokens();
  job.done = [this, call, named](double kept) {
    if (!call->isOpen()) return;
    const std::string state = std::to_string(model_.spec().id) + "/" + std::to_string(++last_);
    states_[state] = {named.request, named.attempt, named.promptTokens, call->connectionId(), false};
    model_.holdState(named.promptTokens);
    fabric_.ledger.promptRead(named.id, named.promptTokens - kept);
    fabric_.ledger.stateHeld(name(), named.request, state, fabric_.now(), call->silenced());
    v1::PrefillReply reply;
    reply.set_state(state);
    reply.set_kept_tokens(static_cast<std::uint32_t>(kept));
    fill(reply.mutable_load(), model_.report(fabric_.now()));
    call->send(reply.SerializeAsString());
    call->finish({});
  };
  if (!model_.addRead(*handle, std::move(job))) call->finish({grpc::Code::kResourceExhausted, "full"});
}

void StandIn::decode(const Call& call, std::string_view bytes) {
  v1::DecodeRequest ask;
  if (!parse(ask, bytes)) return call->finish({grpc::Code::kInvalidArgument, "request"});
  const Named named{ask.name().request(),
                    ask.name().node(),
                    ask.request_class(),
                    ask.tenant(),
                    ask.name().attempt(),
                    ask.seed(),
                    static_cast<double>(ask.prompt_tokens())};
  const auto handle = open(call, named);
  if (!handle) return;
  model_.unreserve(named.request);
  if (model_.spec().role == Role::kPrefill)
    return call->finish({grpc::Code::kFailedPrecondition, "not a writer"});
  if (ask.state().empty() && model_.spec().role != Role::kMixed)
    return call->finish({grpc::Code::kNotFound, "no state"});
  open_.at(*handle).lease = ask.lease_ms() / 1000.0;
  if (ask.first_index() > 0) fabric_.ledger.streamResumed(named.id);
  WriteJob job = writeJob(call, *handle, named);
  job.outputTokens = answerLength(ask.seed(), std::max<std::uint32_t>(1, ask.max_output_tokens()));
  job.next = std::min(ask.first_index(), job.outputTokens);
  job.mustRead = ask.state().empty();
  const std::string state = ask.state(), address = ask.reader_address();
  job.fetch = [this, state, address, handle = *handle, tokens = named.promptTokens] {
    const auto takes = fetchTime(state, address, tokens);
    const auto open = open_.find(handle);
    if (takes && *takes >= 0 && open != open_.end()) {
      open->second.state = state;
      open->second.reader = fabric_.byAddress[address];
      open->second.reader->pinForFetch(state, true);
    }
    return takes;
  };
  const bool taken = model_.addWrite(*handle, std::move(job));
  if (!taken) call->finish({grpc::Code::kResourceExhausted, "full"});
}

WriteJob StandIn::writeJob(const Call& call, std::uint64_t handle, const Named& named) {
  WriteJob job;
  job.promptTokens = named.promptTokens;
  job.seed = named.id;
  job.lost = [call] { call->finish({grpc::Code::kNotFound, "the state is gone"}); };
  job.fetched = [this, handle] {
    const auto it = open_.find(handle);
    if (it == open_.end()) return;
    fabric_.ledger.effect(it->second.key, fabric_.now());
    if (it->second.reader != nullptr) it->second.reader->stateTaken(it->second.state);
    it->second.reader = nullptr;
  };
  job.token = [this, call, handle, seed = named.id](std::uint32_t index) {
    const auto it = open_.find(handle);
    if (it != open_.end()) it->second.written = seed;
    v1::DecodeToken token;
    token.set_index(index);
    token.set_text(answerText(seed, index));
    if (index == 0) fill(token.mutable_load(), model_.report(fabric_.now()));
    call->send(token.SerializeAsString());
    if (calls.repeatShare > 0 && fabric_.draw() < calls.repeatShare) call->send(token.SerializeAsString());
  };
  job.done = [this, call, handle] {
    const bool cut = calls.cutAtEndShare > 0 && fabric_.draw() < calls.cutAtEndShare;
    const auto it = open_.find(handle);
    if (!cut && it != open_.end()) it->second.written = 0;
    cut ? call->reset(http2::kInternalError) : call->finish({});
  };
  return job;
}

std::optional<double> StandIn::fetchTime(const std::string& state, const std::string& readerAddress,
                                         double tokens) {
  const auto it = fabric_.byAddress.find(readerAddress);
  if (it == fabric_.byAddress.end() || it->second->dead()) return -1;
  StandIn& reader = *it->second;
  if (reader.silent() || fabric_.cut(model_.spec().zone, reader.spec().zone)) return std::nullopt;
  if (!reader.hasState(state)) return -1;
  const bool sameZone = model_.spec().zone == reader.spec().zone;
  const bool sameCell = sameZone && model_.spec().cell == reader.spec().cell;
  const double rate = sameCell ? fabric_.nearRate : fabric_.farRate / fabric_.linkSlow;
  return kTransferBase + tokens / rate * (sameZone ? 1 : fabric_.zoneFactor);
}

void StandIn::reserve(const Call& call, std::string_view bytes) {
  v1::ReserveRequest ask;
  v1::ReserveReply reply;
  if (!parse(ask, bytes)) return call->finish({grpc::Code::kInvalidArgument, "request"});
  reply.set_held(model_.reserve(ask.name().request(), ask.tokens()));
  call->send(reply.SerializeAsString());
  call->finish({});
}

void StandIn::release(const Call& call, std::string_view bytes) {
  v1::ReleaseRequest ask;
  if (!parse(ask, bytes)) return call->finish({grpc::Code::kInvalidArgument, "request"});
  model_.unreserve(ask.name().request());
  std::vector<std::string> gone;
  for (const auto& [name, state] : states_) {
    if (state.request == ask.name().request() && state.attempt <= ask.name().attempt() && !state.fetching)
      gone.push_back(name);
  }
  for (const std::string& name : gone) dropState(name);
  call->send(v1::ReleaseReply().SerializeAsString());
  call->finish({});
}

// ---- Fences and leases ----
// Ends what runs for the request up to that attempt; whether there was anything.
bool StandIn::endAttempts(const std::string& request, std::uint32_t upTo, const char* why) {
  Fenced& fenced = fences_[request];
  fenced = {std::max(fenced.below, upTo + 1), fabric_.now()};
  std::vector<Call> ending;
  for (const auto& [handle, open] : open_) {
    if (open.request != request || open.attempt > upTo) continue;
    if (const Call call = open.call.lock()) ending.push_back(call);
  }
  for (const Call& call : ending) call->finish({grpc::Code::kAborted, why});
  return !ending.empty();
}

void StandIn::fence(const Call& call, std::string_view bytes) {
  v1::FenceRequest ask;
  if (!parse(ask, bytes)) return call->finish({grpc::Code::kInvalidArgument, "request"});
  v1::FenceReply reply;
  reply.set_ended(endAttempts(ask.name().request(), ask.name().attempt(), "fenced"));
  call->send(reply.SerializeAsString());
  call->finish({});
}

void StandIn::endLeases(double now) {
  std::vector<Call> ending;
  for (const auto& [handle, open] : open_) {
    const Call call = open.lease > 0 ? open.call.lock() : nullptr;
    if (call && now - call->lastReceivedAt().time_since_epoch().count() > open.lease) ending.push_back(call);
  }
  for (const Call& call : ending)
    call->finish({grpc::Code::kAborted, "its node was not heard for the lease"});
  if (now < pruneAt_) return;
  pruneAt_ = now + 1;
  std::erase_if(fences_, [now](const auto& f) { return f.second.at < now - kFenceKept; });
}

void StandIn::probe(const Call& call) {
  v1::ProbeReply reply;
  fill(reply.mutable_load(), model_.report(fabric_.now()));
  if (model_.speed <= 0) return;  // hangs
  call->send(reply.SerializeAsString());
  call->finish({});
}

// ---- States ----
void StandIn::dropState(const std::string& state) {
  const auto it = states_.find(state);
  if (it == states_.end()) return;
  model_.releaseState(it->second.tokens);
  states_.erase(it);
  fabric_.ledger.stateEnded(state, fabric_.now());
}

void StandIn::stateTaken(const std::string& state) { dropState(state); }

void StandIn::pinForFetch(const std::string& state, bool on) {
  const auto it = states_.find(state);
  if (it != states_.end()) it->second.fetching = on;
}

// ---- Troubles ----
void StandIn::crash() {
  if (std::exchange(dead_, true)) return;
  poll();  // what nodes had closed before is on the books
  silent_ = false;
  server_.refuse(true);
  server_.abortAll();
  while (!open_.empty()) closed(open_.begin()->first);
  while (!states_.empty()) dropState(std::string(states_.begin()->first));  // a copy: its entry goes
  model_.restart(std::nullopt);
}

void StandIn::silence(bool silent) {
  if (dead_ || silent_ == silent) return;
  silent_ = silent;
  if (silent) fabric_.ledger.engineSilent(model_.spec().id);
  server_.freeze(silent);
}

void StandIn::comeBack() {
  if (fallen_) return;
  crash();  // of a silent machine: its old connections are gone
  dead_ = false;
  startedUnixMs_ = net::unixMillis();
  model_.restart(fabric_.now());
  fabric_.ledger.engineStarted(model_.spec().id, fabric_.now());
  server_.refuse(false);
}

void StandIn::applyCut() {
  if (fabric_.cutZone) fabric_.ledger.engineSilent(model_.spec().id);
  if (silent_ || dead_) return;
  if (!fabric_.cutZone) return server_.freeze(false);
  server_.freeze(true,
                 [this](const std::string& peer) { return fabric_.cut(model_.spec().zone, zoneOf(peer)); });
}

}  // namespace gannetcourse::lab
