// The engines' client: carries out the core's calls over gRPC and tells it how each ended. Decides nothing.
#pragma once

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

// Every way a call can end, as the module knows it. "Known not to have run" is kept apart from "may have
// run".
Outcome outcomeOf(const grpc::CallEnd& end);

class GrpcEngineTransport final : public EngineTransport {
 public:
  // `lease`: what engines are told of how long a stream outlives the last that they hear of this node.
  GrpcEngineTransport(net::Loop& loop, std::string node, Duration lease, const grpc::ChannelOptions& options,
                      EngineEventHandler& sink);
  ~GrpcEngineTransport() override;
  GrpcEngineTransport(const GrpcEngineTransport&) = delete;
  GrpcEngineTransport& operator=(const GrpcEngineTransport&) = delete;

  void updateEngines(const discovery::EngineList& list);

  void start(const router::StartPrefill& read) override;
  void start(const router::StartDecode& write) override;
  void cancelCall(router::CallKey call) override;
  void reserve(const router::ReserveCapacity& seat) override;
  void releaseState(const router::ReleaseState& letGo) override;
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
  struct Call {
    std::shared_ptr<grpc::ClientCall> call;
    bool isPrefill = false, answered = false;
    double cachedTokens = 0;
    std::optional<LoadReport> load;
  };

  // A release that its engine has to take: the state is with it alone.
  struct PendingRelease {
    EngineId engine;
    std::string message;
    Instant giveUpAt;  // then it is given up
  };

  void retireChannel(Engine& engine);
  void sendRelease(const std::shared_ptr<const PendingRelease>& release);
  void retryRelease(const std::shared_ptr<const PendingRelease>& release);
  grpc::Channel* findChannel(EngineId id);
  void failUnreachable(router::CallKey key, const char* why);
  void onCallEnd(router::CallKey key, const grpc::CallEnd& end);
  void onPrefillReply(router::CallKey key, std::string_view message);
  void onDecodeToken(router::CallKey key, std::string_view message);
  // A short call whose end is told to `then`, cut off after `most`.
  void startAuxiliaryCall(EngineId engine, const std::string& method, const std::string& message,
                          Duration most,
                          std::function<void(const grpc::CallEnd&, const std::string& reply)> then);

  net::Loop& loop_;
  std::string node_;
  std::uint32_t leaseMs_;
  grpc::ChannelOptions options_;
  EngineEventHandler& handler_;
  std::unique_ptr<v1::DecodeToken> decodeToken_;  // the one at hand
  std::map<EngineId, Engine> engines_;
  std::unordered_map<router::CallKey, Call> calls_;
  struct AuxiliaryCall {
    std::shared_ptr<grpc::ClientCall> call;
    net::TimerId timer = 0;
  };
  std::unordered_map<std::uint64_t, AuxiliaryCall> auxiliaryCalls_;
  std::uint64_t lastAuxiliaryCall_ = 0;
  std::size_t releasesAwaitingRetry_ = 0;  // to be sent again
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gannetcourse::engines
