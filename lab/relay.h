// A baseline for measurements: forwards chat requests to the engines in round-robin order, on the same
// network layer as the router, but without its decisions, health checks, limits and retries.
#pragma once

#include <memory>
#include <vector>

#include "grpc/channel.h"
#include "grpc/server.h"

namespace gannetcourse::lab {

/// Serves the chat service on a local port. Runs on the loop, which must outlive it.
class Relay {
 public:
  Relay(net::Loop& loop, const std::vector<net::Endpoint>& prefillAddresses,
        const std::vector<net::Endpoint>& decodeAddresses);
  std::uint16_t port() const { return server_.port(); }

 private:
  using Channels = std::vector<std::unique_ptr<grpc::Channel>>;
  void onGenerate(const std::shared_ptr<grpc::ServerCall>& call, std::string_view bytes);
  void startDecode(const std::shared_ptr<grpc::ServerCall>& call, const std::string& decode);

  grpc::Server server_;
  Channels prefillEngines_, decodeEngines_;
  std::vector<net::Endpoint> prefillAddresses_;
  std::size_t nextEngine_ = 0;
};

}  // namespace gannetcourse::lab
