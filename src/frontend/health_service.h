// The standard gRPC health service: SERVING while the node has engines and is not draining.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "frontend/router_handle.h"
#include "grpc/server.h"

namespace gannetcourse::frontend {

/// Implements Check and Watch of grpc.health.v1.Health. The server and the router must outlive the last
/// health call.
class HealthService {
 public:
  HealthService(grpc::Server& server, RouterHandle& router);

  /// Must be called when RouterHandle::isServing() may have changed. Notifies the watches if the value is
  /// new.
  void onServingMayHaveChanged();
  /// Ends all watches, for the node's shutdown.
  void endWatches();

 private:
  using Call = std::shared_ptr<grpc::ServerCall>;
  void check(const Call& call, std::string_view bytes);
  void watch(const Call& call, std::string_view bytes);

  RouterHandle& router_;
  std::vector<std::weak_ptr<grpc::ServerCall>> watches_;
  bool lastReported_ = false;
};

}  // namespace gannetcourse::frontend
