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

}  // namespace

RegistryWatch::RegistryWatch(net::Loop& loop, const net::Endpoint& registry, std::string node,
                             const EntryResolver& translator, const grpc::ChannelOptions& options,
                             UpdateHandler tell)
    : node_(std::move(node)),
      resolver_(translator),
      onUpdate_(std::move(tell)),
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
  watch_->onEnd = [this](const grpc::CallEnd&) {
    watch_.reset();
    onUpdate_({EngineListUpdate::Scope::kFetchFailed, 0, {}});
  };
}

void RegistryWatch::onMessage(std::string_view message) {
  v1::EngineList told;
  if (!told.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    watch_->cancel();
    return;
  }
  EngineList list;
  list.scope = told.full() ? EngineListUpdate::Scope::kSnapshot : EngineListUpdate::Scope::kDelta;
  list.version = told.version();
  for (const v1::EngineEntry& e : told.entries()) {
    Engine engine;
    engine.entry.id = {e.id()};
    engine.entry.role = roleOf(e.role());
    engine.entry.cell = e.cell();
    engine.entry.memoryTokens = e.memory_tokens();
    engine.entry.state = stateOf(e.state());
    engine.zone = e.zone();
    engine.startedUnixMs = e.started_unix_ms();
    engine.shutdownUnixMs = e.leaves_unix_ms();
    const auto address = net::parseEndpoint(e.address());
    // An engine without a usable address can be sent nothing: it counts as gone.
    if (address)
      engine.address = *address;
    else
      engine.entry.state = EngineEntry::State::kRemoved;
    resolver_.resolve(engine);
    list.engines.push_back(std::move(engine));
  }
  onUpdate_(std::move(list));
}

}  // namespace gannetcourse::discovery
