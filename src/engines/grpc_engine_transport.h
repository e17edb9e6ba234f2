// The gRPC client of the engines: executes the core's calls and reports how each ended. Makes no decisions.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "discovery/engine_list.h"
#include "engines/engine_transport.h"
#include "grpc/channel.h"

namespace gannetcourse::v1 {
class DecodeToken;
}

namespace gannetcourse::engines {

/// Owns the connections to all engines and the calls on them. Not thread-safe: runs on the loop's thread.
class GrpcEngineTransport final : public EngineTransport {
 public:
  /// `nodeName` identifies this node to the engines; `lease` is how long an engine continues a stream
  /// without receiving anything from this node. The loop and the handler must outlive the transport.
  GrpcEngineTransport(net::Loop& loop, std::string nodeName, Duration lease,
                      const grpc::ChannelOptions& options, EngineEventHandler& handler);
  ~GrpcEngineTransport() override;
  GrpcEngineTransport(const GrpcEngineTransport&) = delete;
  GrpcEngineTransport& operator=(const GrpcEngineTransport&) = delete;

  /// Applies an update of the engine list: creates channels for new addresses and closes the connections of
  /// removed engines that have no calls. A connection that still has calls is closed at a later update.
  void updateEngines(const discovery::EngineList& list);

  void start(const router::StartPrefill& prefill) override;
  void start(const router::StartDecode& decode) override;
  void cancelCall(router::CallKey call) override;
  void reserve(const router::ReserveCapacity& reservation) override;
  void releaseState(const router::ReleaseState& release) override;
  void fenceAttempt(const router::FenceAttempt& fence) override;
  void probe(EngineId engine) override;
  void pauseStream(router::CallKey call, bool paused) override;

  std::size_t auxiliaryCalls() const override { return auxiliaryCalls_.size() + releasesAwaitingRetry_; }

 private:
  struct Engine {
    net::Endpoint address;
    std::shared_ptr<grpc::Channel> channel;
    bool removed = false;
  };
  // A prefill or a decode.
  struct Call {
    std::shared_ptr<grpc::ClientCall> call;
    bool isPrefill = false;
    double cachedTokens = 0;
    std::optional<LoadReport> load;
  };
  // A release, fence, probe or reservation; cancelled after a time-out.
  struct AuxiliaryCall {
    std::shared_ptr<grpc::ClientCall> call;
    net::TimerId timeout = 0;
  };
  using AuxiliaryCallEnd = std::function<void(const grpc::CallEnd&, const std::string& reply)>;
  // The release of a prefilled state. Sent again until the engine confirms it or giveUpAt is reached, because
  // an unreleased state occupies the engine's memory.
  struct PendingRelease {
    EngineId engine;
    std::string message;
    Instant giveUpAt;
  };

  void updateEngine(const discovery::Engine& listed);
  void closeRemovedEngines();
  void retireChannel(Engine& engine);
  grpc::Channel* findChannel(EngineId id);

  void startCall(grpc::Channel& channel, router::CallKey key, const std::string& method,
                 const std::string& message, Duration timeout, bool isPrefill);
  void failUnreachable(router::CallKey key);
  void onPrefillReply(router::CallKey key, std::string_view message);
  void onDecodeToken(router::CallKey key, std::string_view message);
  void onCallEnd(router::CallKey key, const grpc::CallEnd& end);

  void startAuxiliaryCall(EngineId engine, const std::string& method, const std::string& message,
                          Duration timeout, AuxiliaryCallEnd onEnd);
  void sendRelease(const std::shared_ptr<const PendingRelease>& release);
  void retryRelease(const std::shared_ptr<const PendingRelease>& release);

  net::Loop& loop_;
  std::string nodeName_;
  std::uint32_t leaseMs_;
  grpc::ChannelOptions options_;
  EngineEventHandler& handler_;
  std::unique_ptr<v1::DecodeToken> decodeToken_;  // reused for each message
  std::map<EngineId, Engine> engines_;
  std::unordered_map<router::CallKey, Call> calls_;
  std::unordered_map<std::uint64_t, AuxiliaryCall> auxiliaryCalls_;
  std::uint64_t lastAuxiliaryCall_ = 0;
  std::size_t releasesAwaitingRetry_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed, for later callbacks
};

}  // namespace gannetcourse::engines
