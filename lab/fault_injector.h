// Carries out the faults of a scenario on its fake engines, registry and clients.
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

class FaultInjector {
 public:
  using Engines = std::vector<std::unique_ptr<FakeEngine>>;
  FaultInjector(Testbed& testbed, const Scenario& scenario, Engines& engines, FakeRegistry& registry,
                Clients& clients);

  /// Schedules all of the scenario's faults, from now.
  void schedule();
  std::function<void(const std::string&)> onProgress;

 private:
  using Picked = std::vector<FakeEngine*>;
  void inject(const Fault& fault);
  Picked pick(const Fault& fault);
  void undoAfter(const Fault& fault, std::function<void()> undo);
  void runAfter(double seconds, std::function<void()> task);

  void onEngines(const Fault& fault);
  // Begins on each engine now, ends on each after the fault's duration.
  void applyFor(const Fault& fault, const Picked& picked, const std::function<void(FakeEngine&)>& begin,
                std::function<void(FakeEngine&)> end);
  // Faults that act on single calls; false for any other kind.
  bool onCalls(const Fault& fault, const Picked& picked);
  static void failClass(const Fault& fault, CallFaults& calls);
  void throttle(const Fault& fault, CallFaults& calls) const;
  void onFleet(const Fault& fault);
  void onClients(const Fault& fault);
  void takeDown(FakeEngine& engine, double seconds, bool silently);
  void slowDownThenCrash(const Picked& picked, const Fault& fault);
  void pauseRepeatedly(const Picked& picked, double pause, double every, double end);
  void preempt(const Picked& picked, const Fault& fault);
  void replace(FakeEngine& old, double after);

  Testbed& testbed_;
  const Scenario& scenario_;
  Engines& engines_;
  FakeRegistry& registry_;
  Clients& clients_;
  std::uint32_t nextId_ = 900000;
};

}  // namespace gannetcourse::lab
