// Runs a core on an event loop: feeds it, carries its commands out at fronts and engines, keeps its timer.
// Every kind of node has one; protocols stay with the rooms on both sides of it.
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

class CoreDriver : public engines::EngineEventHandler {
 public:
  struct Hooks {
    std::function<void(const router::Record&)> onRecord;  // each decision; must not block
    std::function<void()> subscribe;                      // the core asks for the list of engines
    std::function<void(EngineId)> onEngineGoAway;         // an engine says that it ends
    std::function<void()> onTimerTurn;                    // after each turn of its timer
  };

  CoreDriver(net::Loop& loop, const Settings& settings, router::Options options, Hooks hooks);
  ~CoreDriver() override;
  CoreDriver(const CoreDriver&) = delete;
  CoreDriver& operator=(const CoreDriver&) = delete;

  void attach(engines::EngineTransport& engines) { engines_ = &engines; }  // before anything else
  void stop();  // nothing is carried out any more: the sides are about to go

  const router::Core& core() const { return core_; }
  // One step of the core, then what it has to say.
  template <class Step>
  void step(const Step& what) {
    if (stopped_) return;
    what(core_, loop_.now());
    runCommands();
  }

  // ---- From the fronts ----
  void openRequest(router::RequestKey key, router::NewRequest arrival,
                   std::shared_ptr<frontend::ClientStream> client);
  router::RequestKey nextRequestKey() { return ++lastKey_; }
  void onClientDisconnected(router::RequestKey request);
  void pauseRequest(router::RequestKey request, bool paused);

  // Carries one command out at the fronts or the engines.
  virtual void execute(const router::Command& command);

  // ---- engines::Sink ----
  void onPrefillEnded(router::CallKey call, std::string state, double kept,
                      std::optional<LoadReport> load) override;
  void onToken(router::CallKey call, std::uint32_t index, std::string text) override;
  void onCallEnded(router::CallKey call, Outcome outcome, double kept, std::optional<LoadReport> load,
                   const std::string& why, recovery::AttemptEnd ending) override;
  void onAttemptFenced(router::RequestKey request, int attempt) override;
  void onGoAway(EngineId engine) override;
  void onProbeEnded(EngineId engine, Outcome outcome, Duration elapsed,
                    std::optional<LoadReport> load) override;
  void onReservationResult(router::RequestKey request, EngineId engine, bool held) override;

 private:
  void runCommands();  // carries out what the core has to say, and sets its timer

  net::Loop& loop_;
  Hooks hooks_;
  router::Core core_;
  engines::EngineTransport* engines_ = nullptr;
  std::unordered_map<router::RequestKey, std::shared_ptr<frontend::ClientStream>> clients_;
  std::vector<router::Command> commands_;  // being carried out
  router::RequestKey lastKey_ = 0;
  net::TimerId timer_ = 0;
  Instant timerDueAt_{};
  bool runningCommands_ = false, stopped_ = false;
};

}  // namespace gannetcourse::node
