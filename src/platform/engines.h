// The engines' client over the platform's protocol: carries out the core's calls and tells it how each ended.
// Decides nothing, sends nothing again.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "engines/engine_transport.h"
#include "http1/client.h"
#include "platform/discovery.h"
#include "platform/engine_table.h"
#include "platform/events.h"
#include "platform/releases.h"

namespace gannetcourse::platform {

// How an answer with this status ended its attempt. `notRun`: it says that the request has not run.
Outcome outcomeOf(int status, bool notRun, bool reads);
Outcome outcomeOf(http1::CallResult how);

class EngineClient final : public engines::EngineTransport {
 public:
  EngineClient(net::Loop& loop, const http1::ClientOptions& options, engines::EngineEventHandler& sink);
  ~EngineClient() override;
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;

  void applyEngineList(const EngineListMessage& list);
  void take(const http1::ClientOptions& options) { client_.setOptions(options); }
  void setStateLeaseLimit(Duration limit) { releases_.setStateLeaseLimit(limit); }

  void start(const router::StartPrefill& read) override;
  void start(const router::StartDecode& write) override;
  void cancelCall(router::CallKey call) override;
  void reserve(const router::ReserveCapacity& seat) override;
  void releaseState(const router::ReleaseState& letGo) override;
  // The protocol has none: streams do not go on elsewhere.
  void fenceAttempt(const router::FenceAttempt&) override {}
  void probe(EngineId engine) override;
  void pauseStream(router::CallKey call, bool paused) override;
  std::size_t auxiliaryCalls() const override { return releases_.awaitedByShutdown(); }

  // ---- For the node's account of itself ----
  std::size_t knownEngineCount() const { return engines_.size(); }
  std::size_t openCallCount() const { return calls_.size(); }
  std::size_t connectionCount() const { return client_.connectionCount(); }
  std::size_t idleConnectionCount() const { return client_.idleConnectionCount(); }
  std::uint64_t connectionsOpened() const { return client_.connectionsOpened(); }
  std::uint64_t localConnectFailures() const { return client_.localConnectFailures(); }
  std::map<EngineId, std::size_t> openCallsByEngine() const;
  ReleaseDispatcher& releases() { return releases_; }
  const ReleaseDispatcher& releases() const { return releases_; }

 private:
  class Attempt;
  void take(const EngineListMessageEntry& told);
  std::set<net::Endpoint> servingAddresses() const;
  void startAttempt(router::CallKey call, EngineId engine, const std::string& id, Duration waits,
                    const std::shared_ptr<const router::RequestPayload>& work, bool reads);
  void removeAttempt(router::CallKey call) { calls_.erase(call); }
  void recordActivity(EngineId engine);
  void sweep();

  net::Loop& loop_;
  http1::Client client_;
  engines::EngineEventHandler& handler_;
  EngineTable engines_;
  ReleaseDispatcher releases_;
  std::unordered_map<router::CallKey, std::shared_ptr<Attempt>> calls_;
  net::TimerId sweepTimer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gannetcourse::platform
