#include "frontend/chat_service.h"

#include <memory>
#include <utility>

#include "frontend/chat_stream.h"
#include "frontend/request_validator.h"
#include "frontend/resume_point.h"
#include "gannetcourse/v1/chat.pb.h"

namespace gannetcourse::frontend {
namespace {

void generate(RouterHandle& router, const std::shared_ptr<grpc::ServerCall>& call, std::string_view bytes) {
  if (!call->timeout())
    return call->finish(invalidArgument("grpc-timeout: is missing; a call must carry a deadline"));
  v1::GenerateRequest message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return call->finish(invalidArgument("request: is not a GenerateRequest"));
  const Duration timeUntilDeadline = *call->timeout() - (router.loop().now() - call->receivedAt());
  if (timeUntilDeadline <= router.settings().responseMargin)
    return call->finish(
        {grpc::Code::kDeadlineExceeded, "grpc-timeout: is past, or shorter than this node needs"});
  router::NewRequest request;
  const RequestValidator validator(router.settings(), router.sealer(), message);
  if (const auto status = validator.validate(timeUntilDeadline, request)) return call->finish(*status);
  const router::RequestKey key = router.nextRequestKey();
  request.key = key;
  const auto stream = std::make_shared<ChatStream>(router, call, key, makeResumePoint(message));
  call->onClientDisconnected = [&router, key] { router.onClientDisconnected(key); };
  call->onDrained = [stream = std::weak_ptr(stream)] {
    if (const auto open = stream.lock()) open->onDrained();
  };
  router.openRequest(key, std::move(request), stream);
}

}  // namespace

void registerChatService(grpc::Server& server, RouterHandle& router) {
  server.handle("/gannetcourse.v1.Chat/Generate",
                [&router](const std::shared_ptr<grpc::ServerCall>& call, std::string_view bytes) {
                  generate(router, call, bytes);
                });
}

}  // namespace gannetcourse::frontend
