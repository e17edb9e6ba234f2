// The engine client for the platform's HTTP protocol: executes the core's commands for engines and reports
// their results. Makes no routing decisions and does not retry attempts.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "engines/engine_transport.h"
#include "http1/client.h"
#include "platform/engine_attempt.h"
#include "platform/engine_list_message.h"
#include "platform/engine_table.h"
#include "platform/release_dispatcher.h"

namespace gannetcourse::platform {

/// Owns the engine table, the pool of connections to engines, the open attempts and the release dispatcher.
/// Not thread-safe; everything runs on the loop. `handler` must outlive the client.
class EngineClient final : public engines::EngineTransport, private EngineAttempt::Owner {
 public:
  EngineClient(net::Loop& loop, const http1::ClientOptions& options, engines::EngineEventHandler& handler);
  ~EngineClient() override;
  EngineClient(const EngineClient&) = delete;
  EngineClient& operator=(const EngineClient&) = delete;

  /// Updates the engine table. Cancels calls that are not yet sent if their engine is now draining or
  /// removed.
  void applyEngineList(const EngineListMessage& list);
  void setConnectionOptions(const http1::ClientOptions& options) { client_.setOptions(options); }
  /// How long an engine keeps an unused state; 0 = no limit.
  void setStateLeaseLimit(Duration limit) { releases_.setStateLeaseLimit(limit); }
  void setReleaseLog(ReleaseDispatcher::Log log) { releases_.setLog(std::move(log)); }

  // ---- engines::EngineTransport ----
  void start(const router::StartPrefill& prefill) override;
  void start(const router::StartDecode& decode) override;
  void cancelCall(router::CallKey call) override;
  void reserve(const router::ReserveCapacity& reservation) override;
  void releaseState(const router::ReleaseState& release) override;
  /// Does nothing, because the protocol has no fences. They are not needed: a stream is never continued at
  /// another engine.
  void fenceAttempt(const router::FenceAttempt&) override {}
  /// Reports the probe as not sent, because the protocol has no probes.
  void probe(EngineId engine) override;
  void pauseStream(router::CallKey call, bool paused) override;
  std::size_t auxiliaryCalls() const override { return releases_.releasesBlockingShutdown(); }

  // ---- For the node's statistics ----
  std::size_t knownEngineCount() const { return engines_.size(); }
  bool knowsEngine(EngineId engine) const { return engines_.count(engine) > 0; }
  std::size_t openCallCount() const { return attempts_.size(); }
  /// The longest time for which an open stream has been without an event.
  Duration longestEventGap() const;
  std::size_t connectionCount() const { return client_.connectionCount(); }
  std::size_t idleConnectionCount() const { return client_.idleConnectionCount(); }
  std::uint64_t connectionsOpened() const { return client_.connectionsOpened(); }
  std::uint64_t localConnectFailures() const { return client_.localConnectFailures(); }
  std::map<EngineId, std::size_t> openCallsByEngine() const;
  const ReleaseDispatcher& releases() const { return releases_; }

 private:
  /// Parameters of an attempt. The references are valid only during startAttempt().
  struct AttemptStart {
    router::CallKey call = 0;
    EngineId engine;
    const std::string& id;  ///< The request's id.
    Duration timeout{0};
    const std::shared_ptr<const router::RequestPayload>& payload;
    AttemptKind kind;
  };

  // ---- EngineAttempt::Owner ----
  void onEngineActivity(EngineId engine) override;
  void onEvent(router::CallKey key, std::uint32_t index, std::string event) override;
  void onAttemptEnded(router::CallKey key, const AttemptResult& result) override;

  void updateRecord(const EngineListMessageEntry& listed);
  void stopUsing(EngineRecord& engine, bool addressReused);
  std::set<net::Endpoint> servingAddresses() const;
  void startAttempt(const AttemptStart& start);
  void sweep();
  void eraseRemovedEngines();
  bool hasOpenAttempt(EngineId engine) const;

  net::Loop& loop_;
  http1::Client client_;
  engines::EngineEventHandler& handler_;
  EngineTable engines_;
  ReleaseDispatcher releases_;
  std::unordered_map<router::CallKey, std::shared_ptr<EngineAttempt>> attempts_;  // open attempts
  net::TimerId sweepTimer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false after destruction; for late callbacks
};

}  // namespace gannetcourse::platform
