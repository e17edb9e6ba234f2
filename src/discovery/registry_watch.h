// The client of a registry that streams the engine list.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "discovery/engine_list.h"
#include "grpc/channel.h"

namespace gannetcourse::discovery {

/// Keeps at most one watch open on one registry. The decision module decides when to subscribe again.
class RegistryWatch {
 public:
  /// Receives each update. Scope kFetchFailed means that the watch could not be opened or has ended.
  using UpdateHandler = std::function<void(EngineList list)>;

  /// `node` is the name of this node, which is sent to the registry. The loop and the resolver must outlive
  /// the watch.
  RegistryWatch(net::Loop& loop, const net::Endpoint& registry, std::string node,
                const EntryResolver& resolver, const grpc::ChannelOptions& options, UpdateHandler onUpdate);
  ~RegistryWatch();
  RegistryWatch(const RegistryWatch&) = delete;
  RegistryWatch& operator=(const RegistryWatch&) = delete;

  /// Opens a watch. Cancels an open watch first, without reporting an update for it.
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
