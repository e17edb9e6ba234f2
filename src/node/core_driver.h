// Runs a core on an event loop: feeds it, carries its commands out at clients and engines, keeps its timer.
// Every kind of node has one; protocols stay with the components on both sides of it.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "engines/engine_transport.h"
#include "frontend/client_stream.h"
#include "gannetcourse/router.h"
#include "net/loop.h"

namespace gannetcourse::node {

/// Owns the core and the clients' streams of its open requests. All calls are made on the loop's thread.
class CoreDriver : public engines::EngineEventHandler {
 public:
  /// Any of them may be empty.
  struct Hooks {
    std::function<void(const router::Record&)> onRecord;  ///< Each decision; must not block.
    std::function<void()> subscribe;                      ///< The core wants the engine list.
    std::function<void(EngineId)> onEngineGoAway;         ///< An engine has announced its shutdown.
    std::function<void()> onTimerTurn;                    ///< After the core has done what was due.
  };

  CoreDriver(net::Loop& loop, const Settings& settings, router::Options options, Hooks hooks);
  ~CoreDriver() override;
  CoreDriver(const CoreDriver&) = delete;
  CoreDriver& operator=(const CoreDriver&) = delete;

  /// To be called before anything else; the transport must outlive the last call before stop().
  void attach(engines::EngineTransport& engines) { engines_ = &engines; }
  /// From now on no input reaches the core and no command is carried out.
  void stop();

  const router::Core& core() const { return core_; }

  /// Gives the core an input, `input(core, now)`, and carries out the commands that answer it.
  template <class Input>
  void step(const Input& input) {
    if (stopped_) return;
    input(core_, loop_.now());
    runCommands();
  }

  // ---- From clients ----
  void openRequest(router::RequestKey key, router::NewRequest request,
                   std::shared_ptr<frontend::ClientStream> client);
  router::RequestKey nextRequestKey() { return ++lastRequestKey_; }
  void onClientDisconnected(router::RequestKey request);
  void pauseRequest(router::RequestKey request, bool paused);

  /// Carries one command out. Virtual for hosts that put faults in its way.
  virtual void execute(const router::Command& command);

  // ---- engines::EngineEventHandler ----
  void onPrefillEnded(router::CallKey call, std::string stateHandle, double cachedTokens,
                      std::optional<LoadReport> load) override;
  void onToken(router::CallKey call, std::uint32_t index, std::string text) override;
  void onCallEnded(router::CallKey call, Outcome outcome, double cachedTokens, std::optional<LoadReport> load,
                   const std::string& reason, recovery::AttemptEnd attemptEnd) override;
  void onAttemptFenced(router::RequestKey request, int attempt) override;
  void onGoAway(EngineId engine) override;
  void onProbeEnded(EngineId engine, Outcome outcome, Duration elapsed,
                    std::optional<LoadReport> load) override;
  void onReservationResult(router::RequestKey request, EngineId engine, bool reserved) override;

 private:
  void runCommands();
  void setTimer();
  std::shared_ptr<frontend::ClientStream> findClient(router::RequestKey request) const;

  net::Loop& loop_;
  Hooks hooks_;
  router::Core core_;
  engines::EngineTransport* engines_ = nullptr;
  std::unordered_map<router::RequestKey, std::shared_ptr<frontend::ClientStream>> clients_;
  std::vector<router::Command> commands_;  // those being carried out
  router::RequestKey lastRequestKey_ = 0;
  net::TimerId timer_ = 0;
  Instant timerDueAt_{};
  bool runningCommands_ = false;
  bool stopped_ = false;
};

}  // namespace gannetcourse::node
