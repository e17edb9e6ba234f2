// The chat service: checks what clients ask, and carries tokens and answers back. Decides nothing of routing.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "frontend/router_handle.h"
#include "grpc/server.h"

namespace gannetcourse::frontend {

// Registers gannetcourse.v1.Chat on the server. Both must outlive it and each other's last call.
void registerChatService(grpc::Server& server, RouterHandle& router);

// The key of a session or prefix name, alike on all nodes; 0 = none.
std::uint64_t hashKey(const std::string& name);

// The status and trailers that a final answer goes out with.
grpc::Status toGrpcStatus(const router::FinalResponse& answer);
http2::Headers toTrailers(const router::FinalResponse& answer);

}  // namespace gannetcourse::frontend
