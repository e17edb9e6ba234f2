// grpc.health.v1: SERVING while the node has engines and does not drain.
#pragma once

#include <memory>
#include <vector>

#include "frontend/router_handle.h"
#include "grpc/server.h"

namespace gannetcourse::frontend {

class HealthService {
 public:
  HealthService(grpc::Server& server, RouterHandle& router);
  void onServingMayHaveChanged();  // to be called whenever RouterSide::serving() may have changed; tells the
                                   // watchers
  void endWatches();               // ends the watches: the node goes down

 private:
  RouterHandle& router_;
  std::vector<std::weak_ptr<grpc::ServerCall>> watches_;
  bool lastReported_ = false;
};

}  // namespace gannetcourse::frontend
