// grpc.health.v1: SERVING while the node has engines and does not drain.
#pragma once

#include <memory>
#include <vector>

#include "fronts/router_side.h"
#include "grpc/server.h"

namespace gannetcourse::fronts {

class Health {
 public:
  Health(grpc::Server& server, RouterSide& router);
  void changed();  // to be called whenever RouterSide::serving() may have changed; tells the watchers
  void end();      // ends the watches: the node goes down

 private:
  RouterSide& router_;
  std::vector<std::weak_ptr<grpc::ServerCall>> watches_;
  bool last_ = false;
};

}  // namespace gannetcourse::fronts
