// The engine service of a fake engine: handles calls, fences and leases.
#include <algorithm>
#include <cstdlib>

#include "fake_engine.h"
#include "gannetcourse/v1/engine.pb.h"

namespace gannetcourse::lab {
namespace {

const Duration kErrorDelay{0.003};       // delay of a fast failure
constexpr double kFenceRetention = 60;   // seconds for which a fence is kept
const Duration kRecheckDelay{0.03};      // concurrent attempts are checked again after this delay
constexpr double kTransferBase = 0.002;  // seconds; part of a state transfer that does not depend on the size

template <class Message>
bool parse(Message& message, std::string_view bytes) {
  return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

// The lab's prompts begin with "#" and the id of the client's attempt, so that the audit can match what
// clients and engines observed.
ClientAttemptId clientAttemptOf(const std::string& prompt) {
  return prompt.empty() || prompt.front() != '#' ? 0 : std::strtoull(prompt.c_str() + 1, nullptr, 10);
}

void setLoadReport(v1::LoadReport* message, const LoadReport& load) {
  if (load.requestsInFlight) message->set_in_hand(*load.requestsInFlight);
  if (load.requestsQueued) message->set_queued(*load.requestsQueued);
  if (load.slotUtilization) message->set_busy_share(*load.slotUtilization);
  if (load.memoryUtilization) message->set_memory_share(*load.memoryUtilization);
  if (load.queuedPrefillTokens) message->set_waiting_tokens(*load.queuedPrefillTokens);
}

}  // namespace

EngineAttemptKey FakeEngine::recordAttempt(const Call& call, const AttemptInfo& attempt) {
  const auto recorded = unhandledAttempts_.extract(call.get());
  if (!recorded.empty()) return recorded.mapped();
  return testbed_.ledger.onEngineAttemptOpened(engineInfo(), attempt.node, attempt.request, attempt.id,
                                               testbed_.now());
}

void FakeEngine::recordUnhandledCall(const Call& call, std::string_view bytes) {
  // Prefill and decode requests both name the attempt, and only that is needed here.
  v1::PrefillRequest prefill;
  v1::DecodeRequest decode;
  const bool isPrefill = call->method() == "/gannetcourse.v1.Engine/Prefill";
  if (!isPrefill && call->method() != "/gannetcourse.v1.Engine/Decode") return;
  const bool parsed = isPrefill ? parse(prefill, bytes) : parse(decode, bytes);
  if (!parsed) return;
  const v1::AttemptName& attempt = isPrefill ? prefill.name() : decode.name();
  const ClientAttemptId id = isPrefill ? clientAttemptOf(prefill.prompt()) : decode.seed();
  unhandledAttempts_[call.get()] = testbed_.ledger.onEngineAttemptOpened(
      engineInfo(), attempt.node(), attempt.request(), id, testbed_.now());
  call->onClosed = [this, key = call.get(), alive = alive_] {
    if (!*alive) return;
    const auto recorded = unhandledAttempts_.extract(key);
    if (!recorded.empty()) testbed_.ledger.onEngineAttemptClosed(recorded.mapped(), testbed_.now());
  };
}

std::optional<std::uint64_t> FakeEngine::admit(const Call& call, const AttemptInfo& attempt) {
  const double now = testbed_.now();
  const EngineAttemptKey key = recordAttempt(call, attempt);
  const std::uint64_t handle = ++lastId_;
  openCalls_[handle] = {call, key, {}, nullptr, attempt.request, attempt.attempt, 0, 0};
  call->onClosed = [this, handle, alive = alive_] {
    if (*alive) onCallClosed(handle);
  };
  checkConcurrentAttempts(key);
  Fence& fenced = fences_[attempt.request];
  fenced.updatedAt = now;
  if (attempt.attempt < fenced.firstAllowedAttempt) {
    call->finish({grpc::Code::kFailedPrecondition, "fenced: a newer attempt is known"});
    return std::nullopt;
  }
  if (attempt.attempt > 0) endAttempts(attempt.request, attempt.attempt - 1, "a newer attempt came");
  const auto requestClass = std::find(testbed_.classes.begin(), testbed_.classes.end(), attempt.requestClass);
  const double mean =
      requestClass == testbed_.classes.end()
          ? 1000
          : testbed_.meanPrompt[static_cast<std::size_t>(requestClass - testbed_.classes.begin())];
  const double share = model_.capacityShare(now);
  if (share < 1) {
    const EngineSpec& s = model_.spec();
    const double warmRequestsPerSecond = s.role == Role::kPrefill
                                             ? s.tokensPerSecond / testbed_.meanUncachedPrefill
                                             : s.slots / (s.tokenTime * 40 * (1 + s.contention));
    if (testbed_.ledger.onSlowStartLoad(s.id, attempt.node, std::max(1.0, attempt.promptTokens / mean),
                                        warmRequestsPerSecond * share, now)) {
      testbed_.loop.defer([this, alive = alive_] {
        if (!*alive) return;
        crash();
        failedFromOverload_ = true;
      });
      return std::nullopt;
    }
  }
  if (applyCallFaults(call, attempt)) return std::nullopt;
  return handle;
}

// Reports attempts of the same request that are open at the same time. An attempt may seem to be open only
// because the lab has not read its close yet. The sockets of all engines are therefore read, and the attempts
// checked again, at once and after kRecheckDelay.
void FakeEngine::checkConcurrentAttempts(EngineAttemptKey key) {
  const auto suspects = testbed_.ledger.otherOpenAttempts(key);
  if (suspects.empty()) return;
  testbed_.loop.defer([this, key, alive = alive_] {
    if (!*alive) return;
    for (auto& [address, engine] : testbed_.byAddress) engine->poll();
    if (testbed_.ledger.otherOpenAttempts(key).empty()) return;
    testbed_.loop.runAfter(kRecheckDelay, [this, suspects = testbed_.ledger.otherOpenAttempts(key), alive] {
      if (!*alive) return;
      for (auto& [address, engine] : testbed_.byAddress) engine->poll();
      for (const auto& [other, engine] : suspects) {
        if (testbed_.ledger.isOpen(other)) testbed_.ledger.onConcurrentAttempts();
      }
    });
  });
}

bool FakeEngine::applyCallFaults(const Call& call, const AttemptInfo& attempt) {
  const auto failSoon = [&](grpc::Code code, const char* text, Duration after) {
    testbed_.loop.runAfter(after, [call, code, text] { call->finish({code, text}); });
    return true;
  };
  if (callFaults.errorShare > 0 && testbed_.randomUnit() < callFaults.errorShare)
    return failSoon(grpc::Code::kInternal, "trouble: fails fast", kErrorDelay);
  if (callFaults.failingClass == attempt.requestClass && testbed_.randomUnit() < callFaults.failingShare)
    return !callFaults.failByError ||
           failSoon(grpc::Code::kInternal, "trouble: fails one class", kErrorDelay);
  if (callFaults.throttledTenant == attempt.tenant || callFaults.throttledClass == attempt.requestClass) {
    const double now = testbed_.now();
    throttleLeft_ = std::min(1.0, throttleLeft_ + (now - throttleAt_) * callFaults.throttleRate);
    throttleAt_ = now;
    if (throttleLeft_ < 1)
      return failSoon(grpc::Code::kResourceExhausted, "full", Duration(callFaults.throttleDelay));
    throttleLeft_ -= 1;
  }
  return false;
}

void FakeEngine::onCallClosed(std::uint64_t handle) {
  const auto node = openCalls_.extract(handle);
  if (node.empty()) return;
  testbed_.ledger.onEngineAttemptClosed(node.mapped().key, testbed_.now());
  if (node.mapped().unfinishedStream != 0)
    testbed_.ledger.onStreamInterrupted(node.mapped().unfinishedStream, testbed_.now());
  model_.remove(handle);
  if (node.mapped().prefillEngine != nullptr)
    node.mapped().prefillEngine->setFetching(node.mapped().state, false);
}

void FakeEngine::prefill(const Call& call, std::string_view bytes) {
  v1::PrefillRequest request;
  if (!parse(request, bytes)) return call->finish({grpc::Code::kInvalidArgument, "request"});
  const AttemptInfo attempt{request.name().request(),
                            request.name().node(),
                            request.request_class(),
                            request.tenant(),
                            request.name().attempt(),
                            clientAttemptOf(request.prompt()),
                            static_cast<double>(request.prompt_tokens())};
  const auto handle = admit(call, attempt);
  if (!handle) return;
  if (model_.spec().role != Role::kPrefill)
    return call->finish({grpc::Code::kFailedPrecondition, "not a reader"});
  PrefillJob job;
  job.session = request.session();
  job.prefix = request.prefix_key();
  job.promptTokens = request.prompt_tokens();
  job.prefixTokens = request.prefix_tokens();
  job.onDone = [this, call, attempt](double cachedTokens) {
    if (!call->isOpen()) return;
    const std::string state = std::to_string(model_.spec().id) + "/" + std::to_string(++lastId_);
    states_[state] = {attempt.request, attempt.attempt, attempt.promptTokens, call->connectionId(), false};
    model_.addState(attempt.promptTokens);
    testbed_.ledger.onPromptPrefilled(attempt.id, attempt.promptTokens - cachedTokens);
    testbed_.ledger.onStateCreated(engineInfo(), attempt.request, state, testbed_.now(), call->isSuspended());
    v1::PrefillReply reply;
    reply.set_state(state);
    reply.set_kept_tokens(static_cast<std::uint32_t>(cachedTokens));
    setLoadReport(reply.mutable_load(), model_.report(testbed_.now()));
    call->send(reply.SerializeAsString());
    call->finish({});
  };
  if (!model_.addPrefill(*handle, std::move(job))) call->finish({grpc::Code::kResourceExhausted, "full"});
}

void FakeEngine::decode(const Call& call, std::string_view bytes) {
  v1::DecodeRequest request;
  if (!parse(request, bytes)) return call->finish({grpc::Code::kInvalidArgument, "request"});
  const AttemptInfo attempt{request.name().request(),
                            request.name().node(),
                            request.request_class(),
                            request.tenant(),
                            request.name().attempt(),
                            request.seed(),
                            static_cast<double>(request.prompt_tokens())};
  const auto handle = admit(call, attempt);
  if (!handle) return;
  model_.releaseReservation(attempt.request);
  if (model_.spec().role == Role::kPrefill)
    return call->finish({grpc::Code::kFailedPrecondition, "not a writer"});
  if (request.state().empty() && model_.spec().role != Role::kMixed)
    return call->finish({grpc::Code::kNotFound, "no state"});
  openCalls_.at(*handle).lease = request.lease_ms() / 1000.0;
  if (request.first_index() > 0) testbed_.ledger.onStreamContinued(attempt.id);
  DecodeJob job = makeDecodeJob(call, *handle, attempt);
  job.outputTokens = answerLength(request.seed(), std::max<std::uint32_t>(1, request.max_output_tokens()));
  job.nextIndex = std::min(request.first_index(), job.outputTokens);
  job.needsPrefill = request.state().empty();
  const std::string state = request.state(), address = request.reader_address();
  job.startFetch = [this, state, address, handle = *handle, tokens = attempt.promptTokens] {
    const auto fetchSeconds = fetchTime(state, address, tokens);
    const auto open = openCalls_.find(handle);
    if (fetchSeconds && *fetchSeconds >= 0 && open != openCalls_.end()) {
      open->second.state = state;
      open->second.prefillEngine = testbed_.byAddress[address];
      open->second.prefillEngine->setFetching(state, true);
    }
    return fetchSeconds;
  };
  const bool taken = model_.addDecode(*handle, std::move(job));
  if (!taken) call->finish({grpc::Code::kResourceExhausted, "full"});
}

DecodeJob FakeEngine::makeDecodeJob(const Call& call, std::uint64_t handle, const AttemptInfo& attempt) {
  DecodeJob job;
  job.promptTokens = attempt.promptTokens;
  job.seed = attempt.id;
  job.onStateLost = [call] { call->finish({grpc::Code::kNotFound, "the state is gone"}); };
  job.onFetched = [this, handle] {
    const auto it = openCalls_.find(handle);
    if (it == openCalls_.end()) return;
    testbed_.ledger.onEffect(it->second.key, testbed_.now());
    if (it->second.prefillEngine != nullptr) it->second.prefillEngine->onStateFetched(it->second.state);
    it->second.prefillEngine = nullptr;
  };
  job.onToken = [this, call, handle, seed = attempt.id](std::uint32_t index) {
    const auto it = openCalls_.find(handle);
    if (it != openCalls_.end()) it->second.unfinishedStream = seed;
    v1::DecodeToken token;
    token.set_index(index);
    token.set_text(answerText(seed, index));
    if (index == 0) setLoadReport(token.mutable_load(), model_.report(testbed_.now()));
    call->send(token.SerializeAsString());
    if (callFaults.repeatShare > 0 && testbed_.randomUnit() < callFaults.repeatShare)
      call->send(token.SerializeAsString());
  };
  job.onDone = [this, call, handle] {
    const bool resetStream =
        callFaults.resetAtEndShare > 0 && testbed_.randomUnit() < callFaults.resetAtEndShare;
    const auto it = openCalls_.find(handle);
    if (!resetStream && it != openCalls_.end()) it->second.unfinishedStream = 0;
    if (resetStream) {
      call->reset(http2::kInternalError);
    } else {
      call->finish({});
    }
  };
  return job;
}

std::optional<double> FakeEngine::fetchTime(const std::string& state, const std::string& prefillAddress,
                                            double tokens) {
  const auto it = testbed_.byAddress.find(prefillAddress);
  if (it == testbed_.byAddress.end() || it->second->isCrashed()) return -1;
  FakeEngine& prefillEngine = *it->second;
  if (prefillEngine.isSilent() || testbed_.isUnreachable(model_.spec().zone, prefillEngine.spec().zone))
    return std::nullopt;
  if (!prefillEngine.hasState(state)) return -1;
  const bool sameZone = model_.spec().zone == prefillEngine.spec().zone;
  const bool sameCell = sameZone && model_.spec().cell == prefillEngine.spec().cell;
  const double rate = sameCell ? testbed_.sameCellRate : testbed_.otherCellRate / testbed_.crossCellSlowdown;
  return kTransferBase + tokens / rate * (sameZone ? 1 : testbed_.zoneFactor);
}

void FakeEngine::reserve(const Call& call, std::string_view bytes) {
  v1::ReserveRequest request;
  v1::ReserveReply reply;
  if (!parse(request, bytes)) return call->finish({grpc::Code::kInvalidArgument, "request"});
  reply.set_held(model_.reserve(request.name().request(), request.tokens()));
  call->send(reply.SerializeAsString());
  call->finish({});
}

void FakeEngine::release(const Call& call, std::string_view bytes) {
  v1::ReleaseRequest request;
  if (!parse(request, bytes)) return call->finish({grpc::Code::kInvalidArgument, "request"});
  model_.releaseReservation(request.name().request());
  std::vector<std::string> released;
  for (const auto& [name, state] : states_) {
    if (state.request == request.name().request() && state.attempt <= request.name().attempt() &&
        !state.fetching)
      released.push_back(name);
  }
  for (const std::string& name : released) dropState(name);
  call->send(v1::ReleaseReply().SerializeAsString());
  call->finish({});
}

// ---- Fences and leases ----
// Ends the request's attempts with numbers up to `upTo` and rejects attempts with these numbers from then on.
// Returns whether any of these attempts was open.
bool FakeEngine::endAttempts(const std::string& request, std::uint32_t upTo, const char* why) {
  Fence& fenced = fences_[request];
  fenced = {std::max(fenced.firstAllowedAttempt, upTo + 1), testbed_.now()};
  std::vector<Call> ending;
  for (const auto& [handle, open] : openCalls_) {
    if (open.request != request || open.attempt > upTo) continue;
    if (const Call call = open.call.lock()) ending.push_back(call);
  }
  for (const Call& call : ending) call->finish({grpc::Code::kAborted, why});
  return !ending.empty();
}

void FakeEngine::fence(const Call& call, std::string_view bytes) {
  v1::FenceRequest request;
  if (!parse(request, bytes)) return call->finish({grpc::Code::kInvalidArgument, "request"});
  v1::FenceReply reply;
  reply.set_ended(endAttempts(request.name().request(), request.name().attempt(), "fenced"));
  call->send(reply.SerializeAsString());
  call->finish({});
}

void FakeEngine::endLeases(double now) {
  std::vector<Call> ending;
  for (const auto& [handle, open] : openCalls_) {
    const Call call = open.lease > 0 ? open.call.lock() : nullptr;
    if (call && now - call->lastReceivedAt().time_since_epoch().count() > open.lease) ending.push_back(call);
  }
  for (const Call& call : ending)
    call->finish({grpc::Code::kAborted, "its node was not heard for the lease"});
  if (now < pruneAt_) return;
  pruneAt_ = now + 1;
  std::erase_if(fences_, [now](const auto& f) { return f.second.updatedAt < now - kFenceRetention; });
}

void FakeEngine::probe(const Call& call) {
  v1::ProbeReply reply;
  setLoadReport(reply.mutable_load(), model_.report(testbed_.now()));
  if (model_.speed <= 0) return;  // a hanging engine does not respond
  call->send(reply.SerializeAsString());
  call->finish({});
}

}  // namespace gannetcourse::lab
