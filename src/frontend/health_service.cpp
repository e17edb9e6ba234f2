#include "frontend/health_service.h"

#include "gannetcourse/v1/health.pb.h"

namespace gannetcourse::frontend {
namespace {

using ::grpc::health::v1::HealthCheckRequest;
using ::grpc::health::v1::HealthCheckResponse;

std::string message(bool serving) {
  HealthCheckResponse response;
  response.set_status(serving ? HealthCheckResponse::SERVING : HealthCheckResponse::NOT_SERVING);
  return response.SerializeAsString();
}

// The services that are known by name; the empty name stands for the whole node.
bool known(const std::string& service) { return service.empty() || service == "gannetcourse.v1.Chat"; }

}  // namespace

HealthService::HealthService(grpc::Server& server, RouterHandle& router) : router_(router) {
  server.handle("/grpc.health.v1.Health/Check", [this](const std::shared_ptr<grpc::ServerCall>& call,
                                                       std::string_view bytes) {
    HealthCheckRequest ask;
    if (!ask.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
      return call->finish({grpc::Code::kInvalidArgument, "request: is not a HealthCheckRequest"});
    if (!known(ask.service())) return call->finish({grpc::Code::kNotFound, "unknown service"});
    call->send(message(router_.isServing()));
    call->finish({});
  });
  server.handle("/grpc.health.v1.Health/Watch",
                [this](const std::shared_ptr<grpc::ServerCall>& call, std::string_view bytes) {
                  HealthCheckRequest ask;
                  HealthCheckResponse response;
                  ask.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
                  if (!known(ask.service())) {  // as the protocol has it, the call stays open
                    response.set_status(HealthCheckResponse::SERVICE_UNKNOWN);
                    call->send(response.SerializeAsString());
                    return;
                  }
                  call->send(message(router_.isServing()));
                  std::erase_if(watches_, [](const auto& watch) { return watch.expired(); });
                  watches_.push_back(call);
                });
}

void HealthService::onServingMayHaveChanged() {
  const bool now = router_.isServing();
  if (now == lastReported_) return;
  lastReported_ = now;
  std::erase_if(watches_, [](const auto& watch) { return watch.expired(); });
  for (const auto& watch : watches_) {
    if (const auto call = watch.lock()) call->send(message(now));
  }
}

void HealthService::endWatches() {
  for (const auto& watch : std::exchange(watches_, {})) {
    if (const auto call = watch.lock()) call->finish({grpc::Code::kUnavailable, "node goes down"});
  }
}

}  // namespace gannetcourse::frontend
