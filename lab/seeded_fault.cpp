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
using Execute = std::function<void(const Command&)>;
// Decides what happens to a command: executes it with `execute`, delays it, replaces it or drops it.
using CommandFault = std::function<void(const Command&, const Execute& execute, net::Loop&)>;

class FaultyDriver final : public node::CoreDriver {
 public:
  FaultyDriver(net::Loop& loop, const Settings& settings, router::Options options, Hooks hooks,
               CommandFault fault)
      : CoreDriver(loop, settings, std::move(options), std::move(hooks)),
        loop_(loop),
        fault_(std::move(fault)) {}

  void execute(const Command& command) override {
    fault_(
        command, [this](const Command& c) { CoreDriver::execute(c); }, loop_);
  }

 private:
  net::Loop& loop_;
  CommandFault fault_;
};

// Returns true on every n-th call.
class EveryNth {
 public:
  explicit EveryNth(int every) : every_(every) {}
  bool operator()() { return ++count_ % every_ == 0; }

 private:
  int every_, count_ = 0;
};

// Calls `replacement` for every n-th command of type C; executes all others.
template <class C, class Replacement>
CommandFault replaceEveryNth(int every, Replacement replacement) {
  return [pick = EveryNth(every), replacement = std::move(replacement)](
             const Command& command, const Execute& execute, net::Loop& loop) mutable {
    const C* const matching = std::get_if<C>(&command);
    if (matching == nullptr || !pick()) return execute(command);
    replacement(*matching, execute, loop);
  };
}

template <class C>
CommandFault dropEveryNth(int every) {
  return replaceEveryNth<C>(every, [](const C&, const Execute&, net::Loop&) {});
}

template <class C>
CommandFault delayEveryNth(int every, Duration delay) {
  return replaceEveryNth<C>(every, [delay](const C& command, const Execute& execute, net::Loop& loop) {
    loop.runAfter(delay, [execute, command] { execute(command); });
  });
}

// Every fifth decode attempt is started twice, as two calls.
CommandFault doubleAttempts() {
  return replaceEveryNth<router::StartDecode>(
      5, [key = router::CallKey{1} << 40](const router::StartDecode& decode, const Execute& execute,
                                          net::Loop&) mutable {
        execute(decode);
        router::StartDecode duplicate = decode;
        duplicate.call = ++key;
        execute(duplicate);
      });
}

// Every tenth decode attempt and the releases of its request are delayed, so that the state is held beyond
// the lease limit.
CommandFault lateReleases(Duration delay) {
  return [delay, pick = EveryNth(10), delayedRequests = std::set<std::string>()](
             const Command& command, const Execute& execute, net::Loop& loop) mutable {
    const auto* const decode = std::get_if<router::StartDecode>(&command);
    const auto* const release = std::get_if<router::ReleaseState>(&command);
    const bool picked = decode != nullptr && pick();
    if (picked) delayedRequests.insert(decode->id);
    if (!picked && (release == nullptr || delayedRequests.count(release->id) == 0)) return execute(command);
    loop.runAfter(delay, [execute, command] { execute(command); });
  };
}

// Every fourth prefill is sent to the prefill engine that was used first, even if that engine is draining.
CommandFault sendsAfterDrain() {
  return [first = std::optional<EngineId>(), pick = EveryNth(4)](const Command& command,
                                                                 const Execute& execute, net::Loop&) mutable {
    const auto* prefill = std::get_if<router::StartPrefill>(&command);
    if (prefill == nullptr) return execute(command);
    if (!first) first = prefill->engine;
    router::StartPrefill redirected = *prefill;
    if (pick()) redirected.engine = *first;
    execute(redirected);
  };
}

CommandFault faultByName(const std::string& name, const Scenario& scenario) {
  double longestDeadline = 0;
  for (const ScenarioClass& c : scenario.classes) longestDeadline = std::max(longestDeadline, c.deadline);
  if (name == "late-answer") return delayEveryNth<router::FinalResponse>(10, Duration(longestDeadline + 0.5));
  if (name == "lost-answer") return dropEveryNth<router::FinalResponse>(10);
  if (name == "double-attempt") return doubleAttempts();
  if (name == "late-release") return lateReleases(Duration(2 * scenario.stateLeaseLimit + 0.5));
  if (name == "send-after-drain") return sendsAfterDrain();
  if (name == "lost-token") return dropEveryNth<router::SendToken>(200);
  throw std::invalid_argument("unknown fault '" + name +
                              "': expected late-answer, lost-answer, double-attempt, late-release, "
                              "send-after-drain or lost-token");
}

}  // namespace

node::Node::DriverFactory makeFaultyDriver(const std::string& fault, const Scenario& scenario) {
  if (fault.empty()) return nullptr;
  return [fault = faultByName(fault, scenario)](net::Loop& loop, const Settings& settings,
                                                router::Options options, node::CoreDriver::Hooks hooks) {
    return std::make_unique<FaultyDriver>(loop, settings, std::move(options), std::move(hooks), fault);
  };
}

}  // namespace gannetcourse::lab
