#include "fake_registry.h"

namespace gannetcourse::lab {

FakeRegistry::FakeRegistry(Testbed& testbed) : testbed_(testbed), server_(testbed.loop, net::Endpoint{}) {
  server_.handle("/gannetcourse.v1.Registry/Watch", [this](const std::shared_ptr<grpc::ServerCall>& call,
                                                           std::string_view bytes) { watch(call, bytes); });
}

void FakeRegistry::watch(const std::shared_ptr<grpc::ServerCall>& call, std::string_view bytes) {
  v1::WatchRequest request;
  if (!request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return call->finish({grpc::Code::kInvalidArgument, "request"});
  v1::EngineList list;
  list.set_full(true);
  list.set_version(version_);
  for (const auto& [id, entry] : entries_) {
    *list.add_entries() = entry;
    recordNotification(request.node(), entry);
  }
  for (const std::uint32_t id : removed_)
    testbed_.ledger.onNotifiedNotServing(request.node(), id, testbed_.now());
  watchers_.push_back({request.node(), call});
  call->send(list.SerializeAsString());
}

void FakeRegistry::set(const FakeEngine& engine, v1::EngineEntry::State state, std::int64_t leavesUnixMs) {
  const EngineSpec& spec = engine.spec();
  v1::EngineEntry& entry = entries_[spec.id];
  entry.set_id(spec.id);
  entry.set_address(engine.address());
  entry.set_role(spec.role == Role::kPrefill  ? v1::EngineEntry::PREFILL
                 : spec.role == Role::kDecode ? v1::EngineEntry::DECODE
                                              : v1::EngineEntry::MIXED);
  entry.set_zone(spec.zone);
  entry.set_cell(spec.cell);
  entry.set_memory_tokens(spec.memoryTokens);
  entry.set_state(state);
  entry.set_leaves_unix_ms(leavesUnixMs);
  entry.set_started_unix_ms(engine.startedUnixMs());
  std::erase(removed_, spec.id);
  v1::EngineList list;
  *list.add_entries() = entry;
  notifyWatchers(list);
}

void FakeRegistry::remove(std::uint32_t engine) {
  const auto it = entries_.find(engine);
  if (it == entries_.end()) return;
  v1::EngineList list;
  *list.add_entries() = it->second;
  list.mutable_entries(0)->set_state(v1::EngineEntry::GONE);
  entries_.erase(it);
  removed_.push_back(engine);
  notifyWatchers(list);
}

void FakeRegistry::notifyWatchers(const v1::EngineList& list) {
  v1::EngineList update = list;
  update.set_version(++version_);
  std::erase_if(watchers_, [](const Watcher& w) { return w.call.expired(); });
  for (const Watcher& watcher : watchers_) {
    const auto call = watcher.call.lock();
    if (!call || !call->isOpen()) continue;
    for (const v1::EngineEntry& entry : update.entries()) recordNotification(watcher.node, entry);
    call->send(update.SerializeAsString());
  }
}

void FakeRegistry::recordNotification(const std::string& node, const v1::EngineEntry& entry) {
  if (entry.state() != v1::EngineEntry::SERVING)
    return testbed_.ledger.onNotifiedNotServing(node, entry.id(), testbed_.now());
  testbed_.ledger.onNotifiedServing(node, entry.id());
  if (entry.started_unix_ms() > 0) testbed_.ledger.onNotifiedStart(node, entry.id(), testbed_.now());
}

void FakeRegistry::setDown(bool down) {
  server_.rejectConnections(down);
  if (down) server_.abortAll();
}

}  // namespace gannetcourse::lab
