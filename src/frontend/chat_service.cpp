#include "frontend/chat_service.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "config/reload.h"
#include "gannetcourse/v1/chat.pb.h"
#include "gannetcourse/v1/resume.pb.h"

namespace gannetcourse::frontend {
namespace {

// A client that does not take its last bytes has this long for it after the answer.
const Duration kLinger{1};

class Stream final : public ClientStream {
 public:
  Stream(RouterHandle& router, std::shared_ptr<grpc::ServerCall> call, router::RequestKey key,
         v1::ResumePoint point)
      : router_(router), call_(std::move(call)), key_(key), point_(std::move(point)) {}

  void sendResumePoint(const router::ResumePoint& from) override {
    if (!router_.sealer().hasKey()) return;
    point_.set_request(from.id);
    point_.set_attempt(static_cast<std::uint32_t>(from.attempt));
    point_.set_engine(from.engine.value);
    point_.set_issued_unix_ms(net::unixMillis());
    resume_ = router_.sealer().seal(point_.SerializeAsString());
  }

  void sendToken(const router::SendToken& token) override {
    token_.set_index(token.index);
    token_.set_text(token.text);
    if (!resume_.empty()) token_.set_resume(std::exchange(resume_, {}));
    token_.SerializeToString(&bytes_);
    token_.clear_resume();
    const std::size_t waiting = call_->send(bytes_);
    // Said again for each token that still comes: a further writer does not know of it yet.
    if (waiting >= router_.settings().streamBufferBytes) {
      paused_ = true;
      router_.pauseRequest(key_, true);
    }
  }

  void sendFinalResponse(const router::FinalResponse& answer) override {
    call_->onCancelled = nullptr;
    call_->onDrained = nullptr;
    call_->finish(toGrpcStatus(answer), toTrailers(answer));
    // Most answers are out by the end of this iteration.
    if (call_->pendingBytes() > 0)
      router_.loop().defer([&loop = router_.loop(), call = std::weak_ptr(call_)] { linger(loop, call); });
  }

  static void linger(net::Loop& loop, const std::weak_ptr<grpc::ServerCall>& call) {
    const auto open = call.lock();
    if (!open || open->pendingBytes() == 0) return;
    loop.runAfter(kLinger, [call] {
      if (const auto late = call.lock()) late->abandon();
    });
  }

  void drained() {
    if (!paused_) return;
    paused_ = false;
    router_.pauseRequest(key_, false);
  }

 private:
  RouterHandle& router_;
  std::shared_ptr<grpc::ServerCall> call_;
  router::RequestKey key_;
  v1::ResumePoint point_;    // what its resume tokens say of it
  v1::GenerateToken token_;  // the one at hand
  std::string bytes_;
  std::string resume_;  // goes out with the next token
  bool paused_ = false;
};

// What of a request must be the same when its answer is resumed.
v1::ResumePoint pointOf(const v1::GenerateRequest& ask) {
  v1::ResumePoint point;
  point.set_request_class(ask.request_class());
  point.set_tenant(ask.tenant());
  point.set_prompt_hash(XXH3_64bits(ask.prompt().data(), ask.prompt().size()));
  point.set_seed(ask.seed());
  point.set_max_output_tokens(ask.max_output_tokens());
  return point;
}

bool sameRequest(const v1::ResumePoint& a, const v1::ResumePoint& b) {
  return a.request_class() == b.request_class() && a.tenant() == b.tenant() &&
         a.prompt_hash() == b.prompt_hash() && a.seed() == b.seed() &&
         a.max_output_tokens() == b.max_output_tokens();
}

grpc::Status invalid(std::string message) { return {grpc::Code::kInvalidArgument, std::move(message)}; }

// Turns a message into an arrival, or tells what is wrong with it, naming the field.
class Checker {
 public:
  Checker(const config::NodeSettings& settings, const resume::Sealer& sealer, const v1::GenerateRequest& ask)
      : settings_(settings), sealer_(sealer), ask_(ask) {}

  std::optional<grpc::Status> check(Duration timeLeft, router::NewRequest& arrival) const {
    const auto classAt = config::findClassInService(settings_, ask_.request_class());
    if (!classAt) return invalid("request_class: '" + ask_.request_class() + "' is not a class of this node");
    const config::ClassLimits& limits = settings_.classes[*classAt];
    if (auto fault = checkTenant(arrival)) return fault;
    if (auto fault = checkSizes(limits)) return fault;
    arrival.classIndex = *classAt;
    arrival.timeUntilDeadline = std::min(timeLeft, settings_.maxDeadline);
    arrival.firstTokenTimeout = limits.firstTokenTimeout;
    arrival.isRetry = ask_.is_retry();
    arrival.sessionKey = hashKey(ask_.session());
    arrival.prefixKey = hashKey(ask_.prefix_key());
    const Duration pace = settings_.policy.classes[*classAt].interTokenObjective;
    if (ask_.expected_output_tokens() > 0 && pace.count() > 0)
      arrival.expectedOutputDuration = pace * ask_.expected_output_tokens();
    arrival.payload = work(limits);
    return checkResume(arrival);
  }

 private:
  std::optional<grpc::Status> checkTenant(router::NewRequest& arrival) const {
    const auto& tenants = settings_.policy.tenants;
    const bool none = std::none_of(tenants.begin(), tenants.end(), [](const auto& t) { return t.inService; });
    if (none && ask_.tenant().empty()) return std::nullopt;
    arrival.tenant = config::findTenantInService(settings_, ask_.tenant());
    if (!arrival.tenant) return invalid("tenant: '" + ask_.tenant() + "' is not a tenant of this node");
    return std::nullopt;
  }

  std::optional<grpc::Status> checkSizes(const config::ClassLimits& limits) const {
    if (ask_.prompt().empty()) return invalid("prompt: is empty");
    if (promptTokens() > limits.maxPromptTokens)
      return invalid("prompt_tokens: " + std::to_string(promptTokens()) + " is over the class's limit of " +
                     std::to_string(limits.maxPromptTokens));
    if (ask_.max_output_tokens() > limits.maxOutputTokens)
      return invalid("max_output_tokens: " + std::to_string(ask_.max_output_tokens()) +
                     " is over the class's limit of " + std::to_string(limits.maxOutputTokens));
    if (ask_.prefix_tokens() > promptTokens())
      return invalid("prefix_tokens: " + std::to_string(ask_.prefix_tokens()) +
                     " is more than the prompt has");
    return std::nullopt;
  }

  std::optional<grpc::Status> checkResume(router::NewRequest& arrival) const {
    if (ask_.resume().empty()) return std::nullopt;
    if (!sealer_.hasKey()) return invalid("resume: this node has no key (settings, resume key-file)");
    const std::optional<std::string> opened = sealer_.open(ask_.resume());
    v1::ResumePoint point;
    if (!opened || !point.ParseFromString(*opened))
      return invalid("resume: is damaged, or sealed under a key that this node does not have");
    if (!sameRequest(point, pointOf(ask_))) return invalid("resume: belongs to another request");
    if (settings_.policy.classes[arrival.classIndex].idempotency != Idempotency::kIdempotent)
      return invalid("resume: the effect of this class may have happened");
    if (net::unixMillis() - point.issued_unix_ms() > settings_.maxDeadline.count() * 1000)
      return invalid("resume: is older than longest-deadline");
    if (ask_.received_tokens() == 0) return invalid("received_tokens: is missing");
    if (ask_.received_tokens() > arrival.payload->maxOutputTokens)
      return invalid("received_tokens: are more than max_output_tokens");
    arrival.resumedStream = {point.request(), static_cast<int>(point.attempt()), EngineId{point.engine()},
                             ask_.received_tokens(), ask_.received_text()};
    return std::nullopt;
  }

  std::uint32_t promptTokens() const {
    if (ask_.prompt_tokens() > 0) return ask_.prompt_tokens();
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, ask_.prompt().size() / 4));
  }

  std::shared_ptr<const router::RequestPayload> work(const config::ClassLimits& limits) const {
    auto work = std::make_shared<router::RequestPayload>();
    work->requestClass = ask_.request_class();
    work->tenant = ask_.tenant();
    work->session = ask_.session();
    work->prefixKey = ask_.prefix_key();
    work->prompt = ask_.prompt();
    work->prefixTokens = ask_.prefix_tokens();
    work->promptTokens = promptTokens();
    work->maxOutputTokens = ask_.max_output_tokens() > 0 ? ask_.max_output_tokens() : limits.maxOutputTokens;
    work->seed = ask_.seed();
    return work;
  }

  const config::NodeSettings& settings_;
  const resume::Sealer& sealer_;
  const v1::GenerateRequest& ask_;
};

void take(RouterHandle& router, const std::shared_ptr<grpc::ServerCall>& call, std::string_view bytes) {
  if (!call->timeout())
    return call->finish(invalid("grpc-timeout: is missing; a call must carry a deadline"));
  v1::GenerateRequest ask;
  if (!ask.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return call->finish(invalid("request: is not a GenerateRequest"));
  const Duration left = *call->timeout() - (router.loop().now() - call->receivedAt());
  if (left <= router.settings().responseMargin)
    return call->finish(
        {grpc::Code::kDeadlineExceeded, "grpc-timeout: is past, or shorter than this node needs"});
  router::NewRequest arrival;
  if (const auto fault = Checker(router.settings(), router.sealer(), ask).check(left, arrival))
    return call->finish(*fault);
  const router::RequestKey key = arrival.key = router.nextRequestKey();
  const auto stream = std::make_shared<Stream>(router, call, key, pointOf(ask));
  call->onCancelled = [&router, key] { router.onClientDisconnected(key); };
  call->onDrained = [stream = std::weak_ptr(stream)] {
    if (const auto open = stream.lock()) open->drained();
  };
  router.openRequest(key, std::move(arrival), stream);
}

}  // namespace

void registerChatService(grpc::Server& server, RouterHandle& router) {
  server.handle("/gannetcourse.v1.Chat/Generate",
                [&router](const std::shared_ptr<grpc::ServerCall>& call, std::string_view request) {
                  take(router, call, request);
                });
}

std::uint64_t hashKey(const std::string& name) {
  if (name.empty()) return 0;
  return std::max<std::uint64_t>(1, XXH3_64bits(name.data(), name.size()));
}

grpc::Status toGrpcStatus(const router::FinalResponse& answer) {
  switch (answer.status) {
    case router::FinalStatus::kServed:
      return {};
    case router::FinalStatus::kRejected:
      return {grpc::Code::kUnavailable, answer.reason};
    case router::FinalStatus::kFailed:
      return {grpc::Code::kAborted, answer.reason};
    case router::FinalStatus::kDeadlineExceeded:
      return {grpc::Code::kDeadlineExceeded, answer.reason};
  }
  return {grpc::Code::kUnknown, {}};
}

http2::Headers toTrailers(const router::FinalResponse& answer) {
  http2::Headers trailers = {{"gannetcourse-verdict", router::nameOf(answer.status)}};
  if (answer.status == router::FinalStatus::kRejected)
    trailers.push_back(
        {"grpc-retry-pushback-ms", std::to_string(std::lround(answer.retryAfter.count() * 1000))});
  return trailers;
}

}  // namespace gannetcourse::frontend
