// A fake registry: streams the engine list to the nodes. It sends updates immediately; the delays of a
// scenario are applied by the code that calls it.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fake_engine.h"
#include "gannetcourse/v1/registry.pb.h"
#include "grpc/server.h"

namespace gannetcourse::lab {

/// Runs on the testbed's loop; the testbed must outlive it. Records each notification in the audit.
class FakeRegistry {
 public:
  explicit FakeRegistry(Testbed& testbed);
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }

  /// Sets an engine's entry in the engine list and notifies all watching nodes immediately. `leavesUnixMs`:
  /// time at which a draining engine shuts down, in Unix milliseconds; 0 = unknown.
  void set(const FakeEngine& engine, v1::EngineEntry::State state, std::int64_t leavesUnixMs = 0);
  void remove(std::uint32_t engine);
  void setDown(bool down);  ///< While down, has no connections and rejects new ones, as after a crash.

 private:
  struct Watcher {
    std::string node;
    std::weak_ptr<grpc::ServerCall> call;
  };
  void watch(const std::shared_ptr<grpc::ServerCall>& call, std::string_view bytes);
  void notifyWatchers(const v1::EngineList& list);
  void recordNotification(const std::string& node, const v1::EngineEntry& entry);

  Testbed& testbed_;
  grpc::Server server_;
  std::uint64_t version_ = 0;
  std::map<std::uint32_t, v1::EngineEntry> entries_;
  std::vector<std::uint32_t> removed_;
  std::vector<Watcher> watchers_;
};

}  // namespace gannetcourse::lab
