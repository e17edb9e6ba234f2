// A baseline for measurements: a relay on the same net layer that forwards chat to engines in turn, without
// any of the router's decisions, health checks, limits or retries.
#pragma once

#include <memory>
#include <vector>

#include "grpc/channel.h"
#include "grpc/server.h"

namespace gannetcourse::lab {

/// Runs on the loop, which must outlive it.
class Relay {
 public:
  Relay(net::Loop& loop, const std::vector<net::Endpoint>& readers,
        const std::vector<net::Endpoint>& writers);
  std::uint16_t port() const { return server_.port(); }

 private:
  using Channels = std::vector<std::unique_ptr<grpc::Channel>>;
  void onGenerate(const std::shared_ptr<grpc::ServerCall>& call, std::string_view bytes);
  void startDecode(const std::shared_ptr<grpc::ServerCall>& call, const std::string& decode);

  grpc::Server server_;
  Channels prefillEngines_, decodeEngines_;
  std::vector<net::Endpoint> readerAddresses_;
  std::size_t nextEngine_ = 0;
};

}  // namespace gannetcourse::lab
