#include "discovery/registry_watch.h"

#include "gannetcourse/v1/registry.pb.h"

namespace gannetcourse::discovery {
namespace {

Role roleOf(v1::EngineEntry::Role role) {
  switch (role) {
    case v1::EngineEntry::PREFILL:
      return Role::kPrefill;
    case v1::EngineEntry::DECODE:
      return Role::kDecode;
    case v1::EngineEntry::MIXED:
      return Role::kMixed;
    default:
      return Role::kUnknown;
  }
}

EngineEntry::State stateOf(v1::EngineEntry::State state) {
  switch (state) {
    case v1::EngineEntry::SERVING:
      return EngineEntry::State::kServing;
    case v1::EngineEntry::DRAINING:
      return EngineEntry::State::kDraining;
    default:
      return EngineEntry::State::kRemoved;
  }
}

Engine toEngine(const v1::EngineEntry& message, const EntryResolver& resolver) {
  Engine engine;
  engine.entry.id = {message.id()};
  engine.entry.role = roleOf(message.role());
  engine.entry.cell = message.cell();
  engine.entry.memoryTokens = message.memory_tokens();
  engine.entry.state = stateOf(message.state());
  engine.zone = message.zone();
  engine.startedUnixMs = message.started_unix_ms();
  engine.shutdownUnixMs = message.leaves_unix_ms();
  const auto address = net::parseEndpoint(message.address());
  if (address) {
    engine.address = *address;
  } else {
    // An engine without a valid address cannot be used and is treated as removed.
    engine.entry.state = EngineEntry::State::kRemoved;
  }
  resolver.resolve(engine);
  return engine;
}

}  // namespace

RegistryWatch::RegistryWatch(net::Loop& loop, const net::Endpoint& registry, std::string node,
                             const EntryResolver& resolver, const grpc::ChannelOptions& options,
                             UpdateHandler onUpdate)
    : node_(std::move(node)),
      resolver_(resolver),
      onUpdate_(std::move(onUpdate)),
      channel_(loop, registry, options) {}

RegistryWatch::~RegistryWatch() {
  if (watch_) watch_->onEnd = nullptr;
}

void RegistryWatch::subscribe() {
  if (watch_) {
    watch_->onEnd = nullptr;
    watch_->cancel();
  }
  v1::WatchRequest request;
  request.set_node(node_);
  watch_ = channel_.start("/gannetcourse.v1.Registry/Watch", request.SerializeAsString());
  watch_->onMessage = [this](std::string_view message) { onMessage(message); };
  watch_->onEnd = [this](const grpc::CallEnd&) { onEnd(); };
}

void RegistryWatch::onMessage(std::string_view message) {
  v1::EngineList received;
  if (!received.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    watch_->cancel();
    return;
  }
  EngineList list;
  list.scope = received.full() ? EngineListUpdate::Scope::kSnapshot : EngineListUpdate::Scope::kDelta;
  list.version = received.version();
  for (const v1::EngineEntry& entry : received.entries()) list.engines.push_back(toEngine(entry, resolver_));
  onUpdate_(std::move(list));
}

void RegistryWatch::onEnd() {
  watch_.reset();
  onUpdate_({EngineListUpdate::Scope::kFetchFailed, 0, {}});
}

}  // namespace gannetcourse::discovery
