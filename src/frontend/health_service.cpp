#include "frontend/health_service.h"

#include <utility>

#include "gannetcourse/v1/health.pb.h"

namespace gannetcourse::frontend {
namespace {

using ::grpc::health::v1::HealthCheckRequest;
using ::grpc::health::v1::HealthCheckResponse;

std::string responseOf(HealthCheckResponse::ServingStatus status) {
  HealthCheckResponse response;
  response.set_status(status);
  return response.SerializeAsString();
}

std::string servingResponse(bool serving) {
  return responseOf(serving ? HealthCheckResponse::SERVING : HealthCheckResponse::NOT_SERVING);
}

// Whether the health of the service is known. The empty name means the whole node.
bool isKnownService(const std::string& service) {
  return service.empty() || service == "gannetcourse.v1.Chat";
}

bool isExpired(const std::weak_ptr<grpc::ServerCall>& watch) { return watch.expired(); }

}  // namespace

HealthService::HealthService(grpc::Server& server, RouterHandle& router) : router_(router) {
  server.handle("/grpc.health.v1.Health/Check",
                [this](const Call& call, std::string_view bytes) { check(call, bytes); });
  server.handle("/grpc.health.v1.Health/Watch",
                [this](const Call& call, std::string_view bytes) { watch(call, bytes); });
}

void HealthService::check(const Call& call, std::string_view bytes) {
  HealthCheckRequest request;
  if (!request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return call->finish({grpc::Code::kInvalidArgument, "request: is not a HealthCheckRequest"});
  if (!isKnownService(request.service())) return call->finish({grpc::Code::kNotFound, "unknown service"});
  call->send(servingResponse(router_.isServing()));
  call->finish({});
}

void HealthService::watch(const Call& call, std::string_view bytes) {
  HealthCheckRequest request;
  request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (!isKnownService(request.service())) {
    // The health protocol requires that the watch of an unknown service stays open, because the service might
    // be registered later.
    call->send(responseOf(HealthCheckResponse::SERVICE_UNKNOWN));
    return;
  }
  call->send(servingResponse(router_.isServing()));
  std::erase_if(watches_, isExpired);
  watches_.push_back(call);
}

void HealthService::onServingMayHaveChanged() {
  const bool serving = router_.isServing();
  if (serving == lastReported_) return;
  lastReported_ = serving;
  std::erase_if(watches_, isExpired);
  for (const auto& watch : watches_) {
    if (const auto call = watch.lock()) call->send(servingResponse(serving));
  }
}

void HealthService::endWatches() {
  for (const auto& watch : std::exchange(watches_, {})) {
    if (const auto call = watch.lock()) call->finish({grpc::Code::kUnavailable, "node goes down"});
  }
}

}  // namespace gannetcourse::frontend
