#include "frontend/chat_stream.h"

#include <cmath>
#include <utility>

namespace gannetcourse::frontend {
namespace {

// Time for a client to receive the remaining output after the final response. A call that takes longer is
// abandoned.
const Duration kLingerTimeout{1};

void abandonAfterLinger(net::Loop& loop, const std::weak_ptr<grpc::ServerCall>& call) {
  const auto open = call.lock();
  if (!open || open->pendingBytes() == 0) return;
  loop.runAfter(kLingerTimeout, [call] {
    if (const auto late = call.lock()) late->abandon();
  });
}

}  // namespace

ChatStream::ChatStream(RouterHandle& router, std::shared_ptr<grpc::ServerCall> call, router::RequestKey key,
                       v1::ResumePoint resumePoint)
    : router_(router), call_(std::move(call)), key_(key), resumePoint_(std::move(resumePoint)) {}

void ChatStream::sendResumePoint(const router::ResumePoint& point) {
  if (!router_.sealer().hasKey()) return;
  resumePoint_.set_request(point.id);
  resumePoint_.set_attempt(static_cast<std::uint32_t>(point.attempt));
  resumePoint_.set_engine(point.engine.value);
  resumePoint_.set_issued_unix_ms(net::unixMillis());
  resumeToken_ = router_.sealer().seal(resumePoint_.SerializeAsString());
}

void ChatStream::sendToken(const router::SendToken& token) {
  message_.set_index(token.index);
  message_.set_text(token.text);
  if (!resumeToken_.empty()) message_.set_resume(std::exchange(resumeToken_, {}));
  message_.SerializeToString(&messageBytes_);
  message_.clear_resume();
  const std::size_t waitingBytes = call_->send(messageBytes_);
  if (waitingBytes < router_.settings().streamBufferBytes) return;
  // Called again for each token above the limit: if the request is continued at another engine, the new
  // engine's stream starts unpaused.
  paused_ = true;
  router_.pauseRequest(key_, true);
}

void ChatStream::sendFinalResponse(const router::FinalResponse& response) {
  call_->onClientDisconnected = nullptr;
  call_->onDrained = nullptr;
  call_->finish(toGrpcStatus(response), toTrailers(response));
  if (call_->pendingBytes() == 0) return;
  // Deferred because most responses have been sent by the end of this iteration of the loop and need no
  // timer.
  router_.loop().defer(
      [&loop = router_.loop(), call = std::weak_ptr(call_)] { abandonAfterLinger(loop, call); });
}

void ChatStream::onDrained() {
  if (!paused_) return;
  paused_ = false;
  router_.pauseRequest(key_, false);
}

grpc::Status toGrpcStatus(const router::FinalResponse& response) {
  switch (response.status) {
    case router::FinalStatus::kServed:
      return {};
    case router::FinalStatus::kRejected:
      return {grpc::Code::kUnavailable, response.reason};
    case router::FinalStatus::kFailed:
      return {grpc::Code::kAborted, response.reason};
    case router::FinalStatus::kDeadlineExceeded:
      return {grpc::Code::kDeadlineExceeded, response.reason};
  }
  return {grpc::Code::kUnknown, {}};
}

http2::Headers toTrailers(const router::FinalResponse& response) {
  http2::Headers trailers = {{"gannetcourse-verdict", router::nameOf(response.status)}};
  if (response.status == router::FinalStatus::kRejected) {
    const long retryAfterMs = std::lround(response.retryAfter.count() * 1000);
    trailers.push_back({"grpc-retry-pushback-ms", std::to_string(retryAfterMs)});
  }
  return trailers;
}

}  // namespace gannetcourse::frontend
