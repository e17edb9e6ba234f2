// The chat service: accepts valid requests from gRPC clients and passes them to the router.
#pragma once

#include "frontend/router_handle.h"
#include "grpc/server.h"

namespace gannetcourse::frontend {

/// Registers gannetcourse.v1.Chat on the server. The server and the router must outlive the last Chat call.
void registerChatService(grpc::Server& server, RouterHandle& router);

}  // namespace gannetcourse::frontend
