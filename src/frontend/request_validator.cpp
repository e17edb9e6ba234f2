#include "frontend/request_validator.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "config/reload.h"
#include "frontend/resume_point.h"
#include "net/loop.h"

namespace gannetcourse::frontend {
namespace {

constexpr std::size_t kBytesPerToken = 4;  // estimate, for requests without prompt_tokens

}  // namespace

std::uint64_t hashKey(const std::string& name) {
  if (name.empty()) return 0;
  return std::max<std::uint64_t>(1, XXH3_64bits(name.data(), name.size()));
}

grpc::Status invalidArgument(std::string message) {
  return {grpc::Code::kInvalidArgument, std::move(message)};
}

std::optional<grpc::Status> RequestValidator::validate(Duration timeUntilDeadline,
                                                       router::NewRequest& request) const {
  const auto classIndex = config::findClassInService(settings_, message_.request_class());
  if (!classIndex)
    return invalidArgument("request_class: '" + message_.request_class() + "' is not a class of this node");
  const config::ClassLimits& limits = settings_.classes[*classIndex];
  if (auto status = checkTenant(request)) return status;
  if (auto status = checkSizes(limits)) return status;
  request.classIndex = *classIndex;
  request.timeUntilDeadline = std::min(timeUntilDeadline, settings_.maxDeadline);
  request.firstTokenTimeout = limits.firstTokenTimeout;
  request.isRetry = message_.is_retry();
  request.sessionKey = hashKey(message_.session());
  request.prefixKey = hashKey(message_.prefix_key());
  request.expectedOutputDuration = expectedOutputDuration(*classIndex);
  request.payload = makePayload(limits);
  return checkResume(request);
}

// A request must name a tenant in service. If no tenant is in service, it must name none.
std::optional<grpc::Status> RequestValidator::checkTenant(router::NewRequest& request) const {
  const std::vector<TenantSettings>& tenants = settings_.policy.tenants;
  const bool anyTenant =
      std::any_of(tenants.begin(), tenants.end(), [](const TenantSettings& t) { return t.inService; });
  if (!anyTenant && message_.tenant().empty()) return std::nullopt;
  request.tenant = config::findTenantInService(settings_, message_.tenant());
  if (request.tenant) return std::nullopt;
  return invalidArgument("tenant: '" + message_.tenant() + "' is not a tenant of this node");
}

std::optional<grpc::Status> RequestValidator::checkSizes(const config::ClassLimits& limits) const {
  if (message_.prompt().empty()) return invalidArgument("prompt: is empty");
  if (promptTokens() > limits.maxPromptTokens)
    return invalidArgument("prompt_tokens: " + std::to_string(promptTokens()) +
                           " is over the class's limit of " + std::to_string(limits.maxPromptTokens));
  if (message_.max_output_tokens() > limits.maxOutputTokens)
    return invalidArgument("max_output_tokens: " + std::to_string(message_.max_output_tokens()) +
                           " is over the class's limit of " + std::to_string(limits.maxOutputTokens));
  if (message_.prefix_tokens() > promptTokens())
    return invalidArgument("prefix_tokens: " + std::to_string(message_.prefix_tokens()) +
                           " is more than the prompt has");
  return std::nullopt;
}

std::optional<grpc::Status> RequestValidator::checkResume(router::NewRequest& request) const {
  if (message_.resume().empty()) return std::nullopt;
  if (!sealer_.hasKey()) return invalidArgument("resume: this node has no key (settings, resume key-file)");
  const std::optional<std::string> opened = sealer_.open(message_.resume());
  v1::ResumePoint point;
  if (!opened || !point.ParseFromString(*opened))
    return invalidArgument("resume: is damaged, or sealed under a key that this node does not have");
  if (!describeSameRequest(point, makeResumePoint(message_)))
    return invalidArgument("resume: belongs to another request");
  if (settings_.policy.classes[request.classIndex].idempotency != Idempotency::kIdempotent)
    return invalidArgument("resume: the effect of this class may have happened");
  if (net::unixMillis() - point.issued_unix_ms() > settings_.maxDeadline.count() * 1000)
    return invalidArgument("resume: is older than longest-deadline");
  if (message_.received_tokens() == 0) return invalidArgument("received_tokens: is missing");
  if (message_.received_tokens() > request.payload->maxOutputTokens)
    return invalidArgument("received_tokens: are more than max_output_tokens");
  request.resumedStream = {point.request(), static_cast<int>(point.attempt()), EngineId{point.engine()},
                           message_.received_tokens(), message_.received_text()};
  return std::nullopt;
}

std::optional<Duration> RequestValidator::expectedOutputDuration(std::size_t classIndex) const {
  const Duration interToken = settings_.policy.classes[classIndex].interTokenObjective;
  if (message_.expected_output_tokens() == 0 || interToken.count() <= 0) return std::nullopt;
  return interToken * message_.expected_output_tokens();
}

std::uint32_t RequestValidator::promptTokens() const {
  if (message_.prompt_tokens() > 0) return message_.prompt_tokens();
  return static_cast<std::uint32_t>(std::max<std::size_t>(1, message_.prompt().size() / kBytesPerToken));
}

std::shared_ptr<const router::RequestPayload> RequestValidator::makePayload(
    const config::ClassLimits& limits) const {
  auto payload = std::make_shared<router::RequestPayload>();
  payload->requestClass = message_.request_class();
  payload->tenant = message_.tenant();
  payload->session = message_.session();
  payload->prefixKey = message_.prefix_key();
  payload->prompt = message_.prompt();
  payload->prefixTokens = message_.prefix_tokens();
  payload->promptTokens = promptTokens();
  payload->maxOutputTokens =
      message_.max_output_tokens() > 0 ? message_.max_output_tokens() : limits.maxOutputTokens;
  payload->seed = message_.seed();
  return payload;
}

}  // namespace gannetcourse::frontend
