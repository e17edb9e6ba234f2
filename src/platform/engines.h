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

class Engines final : public engines::EngineTransport {
 public:
  Engines(net::Loop& loop, const http1::ClientOptions& options, engines::EngineEventHandler& sink);
  ~Engines() override;
  Engines(const Engines&) = delete;
  Engines& operator=(const Engines&) = delete;

  void update(const ToldList& list);
  void take(const http1::ClientOptions& options) { client_.setOptions(options); }
  void takePinLimit(Duration limit) { releases_.takePinLimit(limit); }

  void start(const router::StartPrefill& read) override;
  void start(const router::StartDecode& write) override;
  void cancelCall(router::CallKey call) override;
  void reserve(const router::ReserveCapacity& seat) override;
  void releaseState(const router::ReleaseState& letGo) override;
  // The protocol has none: streams do not go on elsewhere.
  void fenceAttempt(const router::FenceAttempt&) override {}
  void probe(EngineId engine) override;
  void pauseStream(router::CallKey call, bool paused) override;
  std::size_t auxiliaryCalls() const override { return releases_.owed(); }

  // ---- For the node's account of itself ----
  std::size_t known() const { return engines_.size(); }
  std::size_t open() const { return calls_.size(); }
  std::size_t connections() const { return client_.connectionCount(); }
  std::size_t idleConnections() const { return client_.idleConnectionCount(); }
  std::uint64_t opened() const { return client_.connectionsOpened(); }
  std::uint64_t localFaults() const { return client_.localConnectFailures(); }
  std::map<EngineId, std::size_t> openByEngine() const;
  Releases& releases() { return releases_; }
  const Releases& releases() const { return releases_; }

 private:
  class Attempt;
  void take(const ToldEngine& told);
  std::set<net::Endpoint> servingAddresses() const;
  void begin(router::CallKey call, EngineId engine, const std::string& id, Duration waits,
             const std::shared_ptr<const router::RequestPayload>& work, bool reads);
  void ended(router::CallKey call) { calls_.erase(call); }
  void heardFrom(EngineId engine);
  void sweep();

  net::Loop& loop_;
  http1::Client client_;
  engines::EngineEventHandler& sink_;
  EngineTable engines_;
  Releases releases_;
  std::unordered_map<router::CallKey, std::shared_ptr<Attempt>> calls_;
  net::TimerId sweepTimer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gannetcourse::platform
