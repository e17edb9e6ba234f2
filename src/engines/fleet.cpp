#include "engines/fleet.h"

#include <utility>

#include "gannetcourse/v1/engine.pb.h"

namespace gannetcourse::engines {
namespace {

const Duration kSmallCall{1};                        // reservations and fences that take longer are given up
const Duration kReleaseAnswer{0.5};                  // a release that takes longer is sent again
const Duration kReleaseAgain{0.1};                   // after one that was not taken
const Duration kReleaseWithin{5};                    // one that was not taken by then is given up
constexpr std::size_t kMostReleasesThatWait = 4096;  // to be sent again; past it they are given up

std::optional<LoadReport> loadOf(bool present, const v1::LoadReport& told) {
  if (!present) return std::nullopt;
  LoadReport load;
  if (told.has_in_hand()) load.requestsInFlight = told.in_hand();
  if (told.has_queued()) load.requestsQueued = told.queued();
  if (told.has_busy_share()) load.slotUtilization = told.busy_share();
  if (told.has_memory_share()) load.memoryUtilization = told.memory_share();
  if (told.has_waiting_tokens()) load.queuedPrefillTokens = told.waiting_tokens();
  return load;
}

template <class Message>
bool parse(Message& message, std::string_view bytes) {
  return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

void setName(v1::AttemptName* name, const std::string& id, int attempt, const std::string& node) {
  name->set_request(id);
  name->set_attempt(static_cast<std::uint32_t>(attempt));
  name->set_node(node);
}

}  // namespace

Outcome outcomeOf(const grpc::CallEnd& end) {
  switch (end.kind) {
    case grpc::CallEnd::Kind::kNotSent:
      return Outcome::kConnectFailed;
    case grpc::CallEnd::Kind::kRefusedStream:
      return Outcome::kRejected;
    case grpc::CallEnd::Kind::kConnectionLost:
    case grpc::CallEnd::Kind::kAbandoned:
    case grpc::CallEnd::Kind::kReset:
      return Outcome::kReset;
    case grpc::CallEnd::Kind::kCancelled:
      return Outcome::kCancelled;
    case grpc::CallEnd::Kind::kMalformed:
      return Outcome::kError;
    case grpc::CallEnd::Kind::kStatus:
      break;
  }
  switch (end.status.code) {
    case grpc::Code::kOk:
      return Outcome::kOk;
    case grpc::Code::kResourceExhausted:
    case grpc::Code::kFailedPrecondition:
      return Outcome::kRejected;
    case grpc::Code::kNotFound:
      return Outcome::kStateLost;
    case grpc::Code::kDeadlineExceeded:
      return Outcome::kTimeout;
    default:
      return Outcome::kError;
  }
}

// Whether the engine itself has ended the call, by word or by ending the connection that it was on.
recovery::AttemptEnd endingOf(const grpc::CallEnd& end) {
  switch (end.kind) {
    case grpc::CallEnd::Kind::kAbandoned:
    case grpc::CallEnd::Kind::kMalformed:
    case grpc::CallEnd::Kind::kCancelled:
      return recovery::AttemptEnd::kAbandoned;
    default:
      return recovery::AttemptEnd::kConfirmed;
  }
}

Fleet::Fleet(net::Loop& loop, std::string node, Duration lease, const grpc::ChannelOptions& options,
             EngineEventHandler& sink)
    : loop_(loop),
      node_(std::move(node)),
      leaseMs_(static_cast<std::uint32_t>(lease.count() * 1000)),
      options_(options),
      sink_(sink),
      token_(std::make_unique<v1::DecodeToken>()) {}

Fleet::~Fleet() {
  *alive_ = false;
  for (auto& [id, small] : small_) loop_.cancelTimer(small.timer);
}

void Fleet::update(const discovery::EngineList& list) {
  if (list.scope == EngineListUpdate::Scope::kFetchFailed) return;
  if (list.scope != EngineListUpdate::Scope::kDelta) {
    for (auto& [id, engine] : engines_) engine.gone = true;
  }
  for (const discovery::Engine& told : list.engines) {
    Engine& engine = engines_[told.entry.id];
    engine.gone = told.entry.state == EngineEntry::State::kRemoved;
    if (engine.gone || (engine.channel && engine.address == told.address)) continue;
    engine.address = told.address;
    retire(engine);
    engine.channel = std::make_shared<grpc::Channel>(loop_, told.address, options_);
    engine.channel->onGoaway = [this, id = told.entry.id] { sink_.onGoAway(id); };
  }
  for (auto& [id, engine] : engines_) {
    if (engine.gone && engine.channel) engine.channel->closeIdle();
  }
  for (auto it = engines_.begin(); it != engines_.end();) {
    Engine& engine = it->second;
    const bool unused = engine.gone && (!engine.channel || engine.channel->connectionCount() == 0);
    if (unused) retire(engine);
    it = unused ? engines_.erase(it) : std::next(it);
  }
}

// Calls on it end as broken; the channel itself goes once nobody is inside it.
void Fleet::retire(Engine& engine) {
  if (!engine.channel) return;
  const std::shared_ptr<grpc::Channel> old = std::move(engine.channel);
  loop_.defer([old] { old->closeAll(); });
  loop_.runAfter(Duration(0), [old] {});
}

grpc::Channel* Fleet::channelOf(EngineId id) {
  const auto it = engines_.find(id);
  return it == engines_.end() ? nullptr : it->second.channel.get();
}

void Fleet::failAtOnce(router::CallKey key, const char* why) {
  loop_.defer([this, alive = alive_, key, why] {
    if (*alive) sink_.onCallEnded(key, Outcome::kConnectFailed, 0, {}, why, recovery::AttemptEnd::kConfirmed);
  });
}

void Fleet::start(const router::StartPrefill& read) {
  grpc::Channel* const channel = channelOf(read.engine);
  if (channel == nullptr) return failAtOnce(read.call, "engine has no address");
  v1::PrefillRequest request;
  setName(request.mutable_name(), read.id, read.attempt, node_);
  request.set_request_class(read.payload->requestClass);
  request.set_tenant(read.payload->tenant);
  request.set_session(read.payload->session);
  request.set_prefix_key(read.payload->prefixKey);
  request.set_prefix_tokens(read.payload->prefixTokens);
  request.set_prompt(read.payload->prompt);
  request.set_prompt_tokens(read.payload->promptTokens);
  const auto call =
      channel->start("/gannetcourse.v1.Engine/Prefill", request.SerializeAsString(), read.timeUntilDeadline);
  calls_[read.call] = {call, true, false, 0, {}};
  call->onMessage = [this, key = read.call](std::string_view message) { takeRead(key, message); };
  call->onEnd = [this, key = read.call](const grpc::CallEnd& end) { ended(key, end); };
}

void Fleet::takeRead(router::CallKey key, std::string_view message) {
  const auto it = calls_.find(key);
  v1::PrefillReply reply;
  if (it == calls_.end() || !parse(reply, message)) return;
  Call& call = it->second;
  // The reply is whole: the read has ended well, and its status need not be waited for.
  const std::shared_ptr<grpc::ClientCall> done = call.call;
  calls_.erase(it);
  done->onEnd = nullptr;
  sink_.onPrefillEnded(key, reply.state(), reply.kept_tokens(), loadOf(reply.has_load(), reply.load()));
}

void Fleet::start(const router::StartDecode& write) {
  grpc::Channel* const channel = channelOf(write.engine);
  if (channel == nullptr) return failAtOnce(write.call, "engine has no address");
  v1::DecodeRequest request;
  setName(request.mutable_name(), write.id, write.attempt, node_);
  request.set_request_class(write.payload->requestClass);
  request.set_tenant(write.payload->tenant);
  request.set_session(write.payload->session);
  request.set_prompt_tokens(write.payload->promptTokens);
  request.set_max_output_tokens(write.payload->maxOutputTokens);
  request.set_seed(write.payload->seed);
  request.set_first_index(write.payload->firstTokenIndex);
  request.set_lease_ms(leaseMs_);
  if (write.prefillEngine) {
    const auto reader = engines_.find(*write.prefillEngine);
    request.set_state(write.stateHandle);
    if (reader != engines_.end()) request.set_reader_address(reader->second.address.text());
  } else {
    request.set_prompt(write.payload->prompt);
    request.set_prefix_key(write.payload->prefixKey);
    request.set_prefix_tokens(write.payload->prefixTokens);
  }
  const auto call =
      channel->start("/gannetcourse.v1.Engine/Decode", request.SerializeAsString(), write.timeUntilDeadline);
  calls_[write.call] = {call, false, false, 0, {}};
  call->onMessage = [this, key = write.call](std::string_view message) { takeToken(key, message); };
  call->onEnd = [this, key = write.call](const grpc::CallEnd& end) { ended(key, end); };
}

void Fleet::takeToken(router::CallKey key, std::string_view message) {
  const auto it = calls_.find(key);
  if (it == calls_.end()) return;
  v1::DecodeToken& token = *token_;
  if (!parse(token, message)) return it->second.call->cancel();
  if (token.has_load()) it->second.load = loadOf(true, token.load());
  if (token.kept_tokens() > 0) it->second.kept = token.kept_tokens();
  sink_.onToken(key, token.index(), std::move(*token.mutable_text()));
}

void Fleet::ended(router::CallKey key, const grpc::CallEnd& end) {
  auto node = calls_.extract(key);
  if (node.empty()) return;
  const Call& call = node.mapped();
  Outcome outcome = outcomeOf(end);
  if (call.reads && outcome == Outcome::kOk) outcome = Outcome::kError;  // a status without a reply
  const std::string why =
      outcome == Outcome::kOk ? "" : std::string(grpc::nameOf(end.status.code)) + ": " + end.status.message;
  sink_.onCallEnded(key, outcome, call.kept, call.load, why, endingOf(end));
}

void Fleet::cancelCall(router::CallKey key) {
  auto node = calls_.extract(key);
  if (!node.empty()) node.mapped().call->cancel();
}

void Fleet::pauseStream(router::CallKey key, bool paused) {
  const auto it = calls_.find(key);
  if (it == calls_.end()) return;
  const std::shared_ptr<grpc::ClientCall> call = it->second.call;
  call->pause(paused);
}

void Fleet::startSmall(EngineId engine, const std::string& method, const std::string& message, Duration most,
                       std::function<void(const grpc::CallEnd&, const std::string&)> then) {
  grpc::Channel* const channel = channelOf(engine);
  if (channel == nullptr) {
    loop_.defer([alive = alive_, then = std::move(then)] {
      if (*alive)
        then({grpc::CallEnd::Kind::kNotSent, {grpc::Code::kUnavailable, "engine has no address"}, {}}, {});
    });
    return;
  }
  const std::uint64_t key = ++lastSmall_;
  const auto call = channel->start(method, message, most);
  const auto reply = std::make_shared<std::string>();
  call->onMessage = [reply](std::string_view bytes) { reply->assign(bytes); };
  call->onEnd = [this, alive = alive_, key, reply, then = std::move(then)](const grpc::CallEnd& end) {
    if (!*alive) return;
    const auto node = small_.extract(key);
    if (!node.empty()) loop_.cancelTimer(node.mapped().timer);
    then(end, *reply);
  };
  small_[key] = {call, loop_.runAfter(most, [call] { call->cancel(); })};
}

void Fleet::reserve(const router::ReserveCapacity& seat) {
  v1::ReserveRequest request;
  setName(request.mutable_name(), seat.id, seat.attempt, node_);
  request.set_tokens(seat.tokens);
  startSmall(
      seat.engine, "/gannetcourse.v1.Engine/Reserve", request.SerializeAsString(), kSmallCall,
      [this, key = seat.request, engine = seat.engine](const grpc::CallEnd& end, const std::string& bytes) {
        v1::ReserveReply reply;
        const bool held = outcomeOf(end) == Outcome::kOk && parse(reply, bytes) && reply.held();
        sink_.onReservationResult(key, engine, held);
      });
}

void Fleet::releaseState(const router::ReleaseState& letGo) {
  v1::ReleaseRequest request;
  setName(request.mutable_name(), letGo.id, letGo.attempt, node_);
  sendRelease(std::make_shared<const Release>(
      Release{letGo.engine, request.SerializeAsString(), loop_.now() + kReleaseWithin}));
}

void Fleet::sendRelease(const std::shared_ptr<const Release>& release) {
  startSmall(release->engine, "/gannetcourse.v1.Engine/Release", release->message, kReleaseAnswer,
             [this, release](const grpc::CallEnd& end, const std::string&) {
               // The states of an engine that is off the list have ended with the connection to it.
               const bool known = engines_.count(release->engine) > 0;
               const bool room = releasesThatWait_ < kMostReleasesThatWait;
               if (outcomeOf(end) != Outcome::kOk && known && room && loop_.now() < release->until)
                 sendReleaseLater(release);
             });
}

void Fleet::sendReleaseLater(const std::shared_ptr<const Release>& release) {
  ++releasesThatWait_;
  loop_.runAfter(kReleaseAgain, [this, alive = alive_, release] {
    if (!*alive) return;
    --releasesThatWait_;
    sendRelease(release);
  });
}

void Fleet::fenceAttempt(const router::FenceAttempt& fence) {
  v1::FenceRequest request;
  setName(request.mutable_name(), fence.id, fence.attempt, node_);
  startSmall(
      fence.engine, "/gannetcourse.v1.Engine/Fence", request.SerializeAsString(), kSmallCall,
      [this, key = fence.request, attempt = fence.attempt](const grpc::CallEnd& end, const std::string&) {
        if (outcomeOf(end) == Outcome::kOk) sink_.onAttemptFenced(key, attempt);
      });
}

void Fleet::probe(EngineId engine) {
  startSmall(
      engine, "/gannetcourse.v1.Engine/Probe", v1::ProbeRequest().SerializeAsString(), kSmallCall,
      [this, engine, from = loop_.now()](const grpc::CallEnd& end, const std::string& bytes) {
        v1::ProbeReply reply;
        const Outcome told = outcomeOf(end);
        const bool good = told == Outcome::kOk && parse(reply, bytes);
        const Outcome outcome = good ? Outcome::kOk : told == Outcome::kCancelled ? Outcome::kTimeout : told;
        sink_.onProbeEnded(engine, outcome, loop_.now() - from,
                           loadOf(good && reply.has_load(), reply.load()));
      });
}

}  // namespace gannetcourse::engines
