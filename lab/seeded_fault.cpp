#include "seeded_fault.h"

#include <algorithm>
#include <functional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

namespace gannetcourse::lab {
namespace {

using router::Command;
using CarryOut = std::function<void(const Command&)>;
// What is done with a command instead of carrying it out.
using Fault = std::function<void(const Command&, const CarryOut& carryOut, net::Loop&)>;

class FaultyDriver final : public node::CoreDriver {
 public:
  FaultyDriver(net::Loop& loop, const Settings& settings, router::Options options, Hooks hooks, Fault fault)
      : CoreDriver(loop, settings, std::move(options), std::move(hooks)),
        loop_(loop),
        fault_(std::move(fault)) {}

  void execute(const Command& command) override {
    fault_(
        command, [this](const Command& c) { CoreDriver::execute(c); }, loop_);
  }

 private:
  net::Loop& loop_;
  Fault fault_;
};

// True once in `every` calls.
class OneIn {
 public:
  explicit OneIn(int every) : every_(every) {}
  bool operator()() { return ++count_ % every_ == 0; }

 private:
  int every_, count_ = 0;
};

// Some of the commands of type C are done otherwise; all others as they should.
template <class C, class Instead>
Fault insteadOf(int every, Instead instead) {
  return [pick = OneIn(every), instead = std::move(instead)](const Command& command, const CarryOut& carryOut,
                                                             net::Loop& loop) mutable {
    const C* const one = std::get_if<C>(&command);
    if (one == nullptr || !pick()) return carryOut(command);
    instead(*one, carryOut, loop);
  };
}

template <class C>
Fault lost(int every) {
  return insteadOf<C>(every, [](const C&, const CarryOut&, net::Loop&) {});
}

template <class C>
Fault late(int every, Duration wait) {
  return insteadOf<C>(every, [wait](const C& command, const CarryOut& carryOut, net::Loop& loop) {
    loop.runAfter(wait, [carryOut, command] { carryOut(command); });
  });
}

// The write after a read goes out twice, as two calls.
Fault doubleAttempts() {
  return insteadOf<router::StartDecode>(
      5, [key = router::CallKey{1} << 40](const router::StartDecode& write, const CarryOut& carryOut,
                                          net::Loop&) mutable {
        carryOut(write);
        router::StartDecode again = write;
        again.call = ++key;
        carryOut(again);
      });
}

// Some writes start late, and so do the releases of their requests: their states lie about.
Fault lateReleases(Duration wait) {
  return [wait, pick = OneIn(10), late = std::set<std::string>()](
             const Command& command, const CarryOut& carryOut, net::Loop& loop) mutable {
    const auto* const write = std::get_if<router::StartDecode>(&command);
    const auto* const letGo = std::get_if<router::ReleaseState>(&command);
    const bool picked = write != nullptr && pick();
    if (picked) late.insert(write->id);
    if (!picked && (letGo == nullptr || late.count(letGo->id) == 0)) return carryOut(command);
    loop.runAfter(wait, [carryOut, command] { carryOut(command); });
  };
}

// Once a prefill engine was used, some later prefills go there, whatever the list says.
Fault sendsAfterDrain() {
  return [first = std::optional<EngineId>(), pick = OneIn(4)](const Command& command,
                                                              const CarryOut& carryOut, net::Loop&) mutable {
    const auto* read = std::get_if<router::StartPrefill>(&command);
    if (read == nullptr) return carryOut(command);
    if (!first) first = read->engine;
    router::StartPrefill astray = *read;
    if (pick()) astray.engine = *first;
    carryOut(astray);
  };
}

Fault faultOf(const std::string& name, const Scenario& scenario) {
  double longest = 0;
  for (const ScenarioClass& c : scenario.classes) longest = std::max(longest, c.deadline);
  if (name == "late-answer") return late<router::FinalResponse>(10, Duration(longest + 0.5));
  if (name == "lost-answer") return lost<router::FinalResponse>(10);
  if (name == "double-attempt") return doubleAttempts();
  if (name == "late-release") return lateReleases(Duration(2 * scenario.stateLeaseLimit + 0.5));
  if (name == "send-after-drain") return sendsAfterDrain();
  if (name == "lost-token") return lost<router::SendToken>(200);
  throw std::invalid_argument("unknown fault '" + name + "'");
}

}  // namespace

node::Node::DriverFactory makeFaultyDriver(const std::string& fault, const Scenario& scenario) {
  if (fault.empty()) return nullptr;
  return [fault = faultOf(fault, scenario)](net::Loop& loop, const Settings& settings,
                                            router::Options options, node::CoreDriver::Hooks hooks) {
    return std::make_unique<FaultyDriver>(loop, settings, std::move(options), std::move(hooks), fault);
  };
}

}  // namespace gannetcourse::lab
