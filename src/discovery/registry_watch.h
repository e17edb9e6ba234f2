// The client of a registry that streams the list of engines. When to ask again is the module's decision.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "discovery/engine_list.h"
#include "grpc/channel.h"

namespace gannetcourse::discovery {

class RegistryWatch {
 public:
  using UpdateHandler =
      std::function<void(EngineList list)>;  // scope kFailed: the call failed or its stream ended
  RegistryWatch(net::Loop& loop, const net::Endpoint& registry, std::string node,
                const EntryResolver& translator, const grpc::ChannelOptions& options, UpdateHandler tell);
  ~RegistryWatch();
  RegistryWatch(const RegistryWatch&) = delete;
  RegistryWatch& operator=(const RegistryWatch&) = delete;

  void subscribe();  // a watch that stands is ended first

 private:
  void onMessage(std::string_view message);

  std::string node_;
  const EntryResolver& resolver_;
  UpdateHandler onUpdate_;
  grpc::Channel channel_;
  std::shared_ptr<grpc::ClientCall> watch_;
};

}  // namespace gannetcourse::discovery
