#include "engines/grpc_engine_transport.h"

#include <utility>

#include "engines/call_outcome.h"
#include "gannetcourse/v1/engine.pb.h"

namespace gannetcourse::engines {
namespace {

const Duration kAuxiliaryCallTimeout{1};  // for reservations, fences and probes
const Duration kReleaseTimeout{0.5};      // for each attempt of a release
const Duration kReleaseRetryDelay{0.1};
const Duration kReleaseRetryLimit{5};  // a release is not sent again after this time
constexpr std::size_t kMaxReleasesAwaitingRetry = 4096;

constexpr const char* kNoAddress = "engine has no address";

std::optional<LoadReport> loadOf(bool present, const v1::LoadReport& message) {
  if (!present) return std::nullopt;
  LoadReport load;
  if (message.has_in_hand()) load.requestsInFlight = message.in_hand();
  if (message.has_queued()) load.requestsQueued = message.queued();
  if (message.has_busy_share()) load.slotUtilization = message.busy_share();
  if (message.has_memory_share()) load.memoryUtilization = message.memory_share();
  if (message.has_waiting_tokens()) load.queuedPrefillTokens = message.waiting_tokens();
  return load;
}

template <class Message>
bool parse(Message& message, std::string_view bytes) {
  return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

void setAttempt(v1::AttemptName* name, const std::string& request, int attempt, const std::string& node) {
  name->set_request(request);
  name->set_attempt(static_cast<std::uint32_t>(attempt));
  name->set_node(node);
}

std::string reasonOf(Outcome outcome, const grpc::Status& status) {
  if (outcome == Outcome::kOk) return {};
  return std::string(grpc::nameOf(status.code)) + ": " + status.message;
}

// A cancelled probe has timed out: probes are cancelled for no other reason.
Outcome probeOutcomeOf(const grpc::CallEnd& end) {
  const Outcome outcome = outcomeOf(end);
  return outcome == Outcome::kCancelled ? Outcome::kTimeout : outcome;
}

}  // namespace

GrpcEngineTransport::GrpcEngineTransport(net::Loop& loop, std::string nodeName, Duration lease,
                                         const grpc::ChannelOptions& options, EngineEventHandler& handler)
    : loop_(loop),
      nodeName_(std::move(nodeName)),
      leaseMs_(static_cast<std::uint32_t>(lease.count() * 1000)),
      options_(options),
      handler_(handler),
      decodeToken_(std::make_unique<v1::DecodeToken>()) {}

GrpcEngineTransport::~GrpcEngineTransport() {
  *alive_ = false;
  for (auto& [key, call] : auxiliaryCalls_) loop_.cancelTimer(call.timeout);
}

// ---- Engines and their connections ----
void GrpcEngineTransport::updateEngines(const discovery::EngineList& list) {
  if (list.scope == EngineListUpdate::Scope::kFetchFailed) return;
  if (list.scope != EngineListUpdate::Scope::kDelta) {
    for (auto& [id, engine] : engines_) engine.removed = true;
  }
  for (const discovery::Engine& listed : list.engines) updateEngine(listed);
  closeRemovedEngines();
}

void GrpcEngineTransport::updateEngine(const discovery::Engine& listed) {
  const EngineId id = listed.entry.id;
  Engine& engine = engines_[id];
  engine.removed = listed.entry.state == EngineEntry::State::kRemoved;
  const bool connected = engine.channel && engine.address == listed.address;
  if (engine.removed || connected) return;
  engine.address = listed.address;
  retireChannel(engine);
  engine.channel = std::make_shared<grpc::Channel>(loop_, listed.address, options_);
  engine.channel->onGoaway = [this, id] { handler_.onGoAway(id); };
}

// Closes the idle connections of removed engines. Erases a removed engine if it has no connection any more.
void GrpcEngineTransport::closeRemovedEngines() {
  for (auto& [id, engine] : engines_) {
    if (engine.removed && engine.channel) engine.channel->closeIdle();
  }
  for (auto it = engines_.begin(); it != engines_.end();) {
    Engine& engine = it->second;
    const bool unused = engine.removed && (!engine.channel || engine.channel->connectionCount() == 0);
    if (!unused) {
      ++it;
      continue;
    }
    retireChannel(engine);
    it = engines_.erase(it);
  }
}

// Ends the channel's calls with an error and destroys the channel, both in the next iteration of the loop:
// the channel may be in use further up the call stack.
void GrpcEngineTransport::retireChannel(Engine& engine) {
  if (!engine.channel) return;
  const std::shared_ptr<grpc::Channel> retired = std::move(engine.channel);
  loop_.defer([retired] { retired->closeAll(); });
  loop_.runAfter(Duration(0), [retired] {});
}

grpc::Channel* GrpcEngineTransport::findChannel(EngineId id) {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : it->second.channel.get();
}

// ---- Prefills and decodes ----
void GrpcEngineTransport::failUnreachable(router::CallKey key) {
  loop_.defer([this, alive = alive_, key] {
    if (!*alive) return;
    handler_.onCallEnded(key, Outcome::kConnectFailed, 0, {}, kNoAddress, recovery::AttemptEnd::kConfirmed);
  });
}

void GrpcEngineTransport::startCall(grpc::Channel& channel, router::CallKey key, const std::string& method,
                                    const std::string& message, Duration timeout, bool isPrefill) {
  const auto call = channel.start(method, message, timeout);
  calls_[key] = {call, isPrefill, 0, {}};
  if (isPrefill) {
    call->onMessage = [this, key](std::string_view reply) { onPrefillReply(key, reply); };
  } else {
    call->onMessage = [this, key](std::string_view token) { onDecodeToken(key, token); };
  }
  call->onEnd = [this, key](const grpc::CallEnd& end) { onCallEnd(key, end); };
}

void GrpcEngineTransport::start(const router::StartPrefill& prefill) {
  grpc::Channel* const channel = findChannel(prefill.engine);
  if (channel == nullptr) return failUnreachable(prefill.call);
  const router::RequestPayload& payload = *prefill.payload;
  v1::PrefillRequest request;
  setAttempt(request.mutable_name(), prefill.id, prefill.attempt, nodeName_);
  request.set_request_class(payload.requestClass);
  request.set_tenant(payload.tenant);
  request.set_session(payload.session);
  request.set_prefix_key(payload.prefixKey);
  request.set_prefix_tokens(payload.prefixTokens);
  request.set_prompt(payload.prompt);
  request.set_prompt_tokens(payload.promptTokens);
  startCall(*channel, prefill.call, "/gannetcourse.v1.Engine/Prefill", request.SerializeAsString(),
            prefill.timeUntilDeadline, true);
}

void GrpcEngineTransport::start(const router::StartDecode& decode) {
  grpc::Channel* const channel = findChannel(decode.engine);
  if (channel == nullptr) return failUnreachable(decode.call);
  const router::RequestPayload& payload = *decode.payload;
  v1::DecodeRequest request;
  setAttempt(request.mutable_name(), decode.id, decode.attempt, nodeName_);
  request.set_request_class(payload.requestClass);
  request.set_tenant(payload.tenant);
  request.set_session(payload.session);
  request.set_prompt_tokens(payload.promptTokens);
  request.set_max_output_tokens(payload.maxOutputTokens);
  request.set_seed(payload.seed);
  request.set_first_index(payload.firstTokenIndex);
  request.set_lease_ms(leaseMs_);
  if (decode.prefillEngine) {
    const auto prefillEngine = engines_.find(*decode.prefillEngine);
    request.set_state(decode.stateHandle);
    if (prefillEngine != engines_.end()) request.set_reader_address(prefillEngine->second.address.text());
  } else {
    request.set_prompt(payload.prompt);
    request.set_prefix_key(payload.prefixKey);
    request.set_prefix_tokens(payload.prefixTokens);
  }
  startCall(*channel, decode.call, "/gannetcourse.v1.Engine/Decode", request.SerializeAsString(),
            decode.timeUntilDeadline, false);
}

void GrpcEngineTransport::onPrefillReply(router::CallKey key, std::string_view message) {
  const auto it = calls_.find(key);
  if (it == calls_.end()) return;
  v1::PrefillReply reply;
  if (!parse(reply, message)) return;
  // A complete reply means that the prefill has succeeded; the call's status is not awaited.
  const std::shared_ptr<grpc::ClientCall> call = it->second.call;
  calls_.erase(it);
  call->onEnd = nullptr;
  handler_.onPrefillEnded(key, reply.state(), reply.kept_tokens(), loadOf(reply.has_load(), reply.load()));
}

void GrpcEngineTransport::onDecodeToken(router::CallKey key, std::string_view message) {
  const auto it = calls_.find(key);
  if (it == calls_.end()) return;
  Call& call = it->second;
  v1::DecodeToken& token = *decodeToken_;
  if (!parse(token, message)) return call.call->cancel();
  if (token.has_load()) call.load = loadOf(true, token.load());
  if (token.kept_tokens() > 0) call.cachedTokens = token.kept_tokens();
  handler_.onToken(key, token.index(), std::move(*token.mutable_text()));
}

void GrpcEngineTransport::onCallEnd(router::CallKey key, const grpc::CallEnd& end) {
  const auto node = calls_.extract(key);
  if (node.empty()) return;
  const Call& call = node.mapped();
  Outcome outcome = outcomeOf(end);
  const bool withoutReply = call.isPrefill && outcome == Outcome::kOk;
  if (withoutReply) outcome = Outcome::kError;
  handler_.onCallEnded(key, outcome, call.cachedTokens, call.load, reasonOf(outcome, end.status),
                       attemptEndOf(end));
}

void GrpcEngineTransport::cancelCall(router::CallKey key) {
  const auto node = calls_.extract(key);
  if (!node.empty()) node.mapped().call->cancel();
}

void GrpcEngineTransport::pauseStream(router::CallKey key, bool paused) {
  const auto it = calls_.find(key);
  if (it == calls_.end()) return;
  const std::shared_ptr<grpc::ClientCall> call = it->second.call;  // pause() may invalidate `it`
  call->pause(paused);
}

// ---- Auxiliary calls ----
void GrpcEngineTransport::startAuxiliaryCall(EngineId engine, const std::string& method,
                                             const std::string& message, Duration timeout,
                                             AuxiliaryCallEnd onEnd) {
  grpc::Channel* const channel = findChannel(engine);
  if (channel == nullptr) {
    loop_.defer([alive = alive_, onEnd = std::move(onEnd)] {
      if (*alive) onEnd({grpc::CallEnd::Kind::kNotSent, {grpc::Code::kUnavailable, kNoAddress}, {}}, {});
    });
    return;
  }
  const std::uint64_t key = ++lastAuxiliaryCall_;
  const auto call = channel->start(method, message, timeout);
  const auto reply = std::make_shared<std::string>();
  call->onMessage = [reply](std::string_view bytes) { reply->assign(bytes); };
  call->onEnd = [this, alive = alive_, key, reply, onEnd = std::move(onEnd)](const grpc::CallEnd& end) {
    if (!*alive) return;
    const auto node = auxiliaryCalls_.extract(key);
    if (!node.empty()) loop_.cancelTimer(node.mapped().timeout);
    onEnd(end, *reply);
  };
  auxiliaryCalls_[key] = {call, loop_.runAfter(timeout, [call] { call->cancel(); })};
}

void GrpcEngineTransport::reserve(const router::ReserveCapacity& reservation) {
  v1::ReserveRequest request;
  setAttempt(request.mutable_name(), reservation.id, reservation.attempt, nodeName_);
  request.set_tokens(reservation.tokens);
  startAuxiliaryCall(reservation.engine, "/gannetcourse.v1.Engine/Reserve", request.SerializeAsString(),
                     kAuxiliaryCallTimeout,
                     [this, key = reservation.request, engine = reservation.engine](
                         const grpc::CallEnd& end, const std::string& bytes) {
                       v1::ReserveReply reply;
                       const bool answered = outcomeOf(end) == Outcome::kOk && parse(reply, bytes);
                       handler_.onReservationResult(key, engine, answered && reply.held());
                     });
}

void GrpcEngineTransport::releaseState(const router::ReleaseState& release) {
  v1::ReleaseRequest request;
  setAttempt(request.mutable_name(), release.id, release.attempt, nodeName_);
  sendRelease(std::make_shared<const PendingRelease>(
      PendingRelease{release.engine, request.SerializeAsString(), loop_.now() + kReleaseRetryLimit}));
}

void GrpcEngineTransport::sendRelease(const std::shared_ptr<const PendingRelease>& release) {
  startAuxiliaryCall(release->engine, "/gannetcourse.v1.Engine/Release", release->message, kReleaseTimeout,
                     [this, release](const grpc::CallEnd& end, const std::string&) {
                       if (outcomeOf(end) != Outcome::kOk) retryRelease(release);
                     });
}

void GrpcEngineTransport::retryRelease(const std::shared_ptr<const PendingRelease>& release) {
  // For an engine that is no longer known, no release is sent: its last connection has closed, and its states
  // ended with it.
  if (engines_.count(release->engine) == 0) return;
  if (releasesAwaitingRetry_ >= kMaxReleasesAwaitingRetry || loop_.now() >= release->giveUpAt) return;
  ++releasesAwaitingRetry_;
  loop_.runAfter(kReleaseRetryDelay, [this, alive = alive_, release] {
    if (!*alive) return;
    --releasesAwaitingRetry_;
    sendRelease(release);
  });
}

void GrpcEngineTransport::fenceAttempt(const router::FenceAttempt& fence) {
  v1::FenceRequest request;
  setAttempt(request.mutable_name(), fence.id, fence.attempt, nodeName_);
  startAuxiliaryCall(
      fence.engine, "/gannetcourse.v1.Engine/Fence", request.SerializeAsString(), kAuxiliaryCallTimeout,
      [this, key = fence.request, attempt = fence.attempt](const grpc::CallEnd& end, const std::string&) {
        if (outcomeOf(end) == Outcome::kOk) handler_.onAttemptFenced(key, attempt);
      });
}

void GrpcEngineTransport::probe(EngineId engine) {
  startAuxiliaryCall(
      engine, "/gannetcourse.v1.Engine/Probe", v1::ProbeRequest().SerializeAsString(), kAuxiliaryCallTimeout,
      [this, engine, startedAt = loop_.now()](const grpc::CallEnd& end, const std::string& bytes) {
        v1::ProbeReply reply;
        const bool answered = outcomeOf(end) == Outcome::kOk && parse(reply, bytes);
        const std::optional<LoadReport> load = loadOf(answered && reply.has_load(), reply.load());
        handler_.onProbeEnded(engine, probeOutcomeOf(end), loop_.now() - startedAt, load);
      });
}

}  // namespace gannetcourse::engines
