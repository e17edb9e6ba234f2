// The client of a registry that streams the engine list.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "discovery/engine_list.h"
#include "grpc/channel.h"

namespace gannetcourse::discovery {

/// One watch at a time of one registry. When to subscribe again is the decision module's choice.
class RegistryWatch {
 public:
  /// Receives each message of the watch; scope kFetchFailed: it could not be opened or has ended.
  using UpdateHandler = std::function<void(EngineList list)>;

  /// `node` is the name that the registry sees. The loop and the resolver must outlive the watch.
  RegistryWatch(net::Loop& loop, const net::Endpoint& registry, std::string node,
                const EntryResolver& resolver, const grpc::ChannelOptions& options, UpdateHandler onUpdate);
  ~RegistryWatch();
  RegistryWatch(const RegistryWatch&) = delete;
  RegistryWatch& operator=(const RegistryWatch&) = delete;

  /// Opens a watch; an open one is cancelled first, without an update.
  void subscribe();

 private:
  void onMessage(std::string_view message);
  void onEnd();

  std::string node_;
  const EntryResolver& resolver_;
  UpdateHandler onUpdate_;
  grpc::Channel channel_;
  std::shared_ptr<grpc::ClientCall> watch_;
};

}  // namespace gannetcourse::discovery
