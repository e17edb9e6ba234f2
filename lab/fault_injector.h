// Injects the faults of a scenario into its fake engines, registry and clients.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "clients.h"
#include "fake_engine.h"
#include "fake_registry.h"
#include "scenario.h"

namespace gannetcourse::lab {

/// Refers to the testbed, scenario, engines, registry and clients, which must outlive it. Pushes replacement
/// engines to `engines`.
class FaultInjector {
 public:
  using Engines = std::vector<std::unique_ptr<FakeEngine>>;
  FaultInjector(Testbed& testbed, const Scenario& scenario, Engines& engines, FakeRegistry& registry,
                Clients& clients);

  /// Schedules all faults of the scenario; their start times count from now.
  void schedule();
  /// Called with a line of text for each fault that starts; may be empty.
  std::function<void(const std::string&)> onProgress;

 private:
  using Picked = std::vector<FakeEngine*>;
  void inject(const Fault& fault);
  Picked pickEngines(const Fault& fault);
  void undoAfter(const Fault& fault, std::function<void()> undo);
  void runAfter(double seconds, std::function<void()> task);

  void applyToEngines(const Fault& fault);
  // Calls `begin` for each engine now and `end` for each engine after the fault's duration.
  void applyForDuration(const Fault& fault, const Picked& picked,
                        const std::function<void(FakeEngine&)>& begin, std::function<void(FakeEngine&)> end);
  // Applies a fault that acts on single calls; false if the fault is of another kind.
  bool applyToCalls(const Fault& fault, const Picked& picked);
  static void failClass(const Fault& fault, CallFaults& calls);
  void throttle(const Fault& fault, CallFaults& calls) const;
  void applyToFleet(const Fault& fault);
  void applyToClients(const Fault& fault);
  void takeDown(FakeEngine& engine, double seconds, bool silently);
  void slowDownThenCrash(const Picked& picked, const Fault& fault);
  void pauseRepeatedly(const Picked& picked, double pause, double every, double end);
  void preempt(const Picked& picked, const Fault& fault);
  void replace(FakeEngine& oldEngine, double after);

  Testbed& testbed_;
  const Scenario& scenario_;
  Engines& engines_;
  FakeRegistry& registry_;
  Clients& clients_;
  std::uint32_t nextEngineId_ = 900000;
};

}  // namespace gannetcourse::lab
