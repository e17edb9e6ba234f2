// grpc.health.v1: SERVING while the node has engines and does not drain.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "frontend/router_handle.h"
#include "grpc/server.h"

namespace gannetcourse::frontend {

/// Answers Check and Watch. The server and the router must outlive its last call.
class HealthService {
 public:
  HealthService(grpc::Server& server, RouterHandle& router);

  /// To be called whenever RouterHandle::isServing() may have changed: notifies the watchers of a change.
  void onServingMayHaveChanged();
  /// Ends all watches: the node shuts down.
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
