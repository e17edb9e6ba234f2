// Runs a core on an event loop: passes events to it, executes its commands and sets its timer. Used by every
// kind of node; independent of the protocols, which its ClientStreams and its EngineTransport implement.
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

/// Owns the core and the client streams of its open requests. All calls are made on the loop's thread.
class CoreDriver : public engines::EngineEventHandler {
 public:
  /// Callbacks, called on the loop's thread; each may be empty.
  struct Hooks {
    std::function<void(const router::Record&)> onRecord;  ///< Called for each decision; must not block.
    std::function<void()> subscribe;                      ///< Opens a subscription to the engine list.
    std::function<void(EngineId)> onEngineGoAway;         ///< An engine has announced its shutdown.
    std::function<void()> onTimerHandled;                 ///< Called after a timer's commands were executed.
  };

  CoreDriver(net::Loop& loop, const Settings& settings, router::Options options, Hooks hooks);
  ~CoreDriver() override;
  CoreDriver(const CoreDriver&) = delete;
  CoreDriver& operator=(const CoreDriver&) = delete;

  /// Must be called before all other functions. `engines` must remain valid until stop() is called.
  void attach(engines::EngineTransport& engines) { engines_ = &engines; }
  /// Ends the driver's work: from then on it passes no events to the core and executes no commands.
  void stop();

  const router::Core& core() const { return core_; }

  /// Passes an event to the core by calling `input(core, now)`, then executes the resulting commands.
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

  /// Executes one command. Virtual so that an embedding program can inject faults.
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
  std::vector<router::Command> commands_;  // the commands that runCommands() is executing
  router::RequestKey lastRequestKey_ = 0;
  net::TimerId timer_ = 0;
  Instant timerDueAt_{};
  bool runningCommands_ = false;
  bool stopped_ = false;
};

}  // namespace gannetcourse::node
