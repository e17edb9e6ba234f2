// A test fixture with a router::Core and three engines in virtual time.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "gannetcourse/router.h"
#include "harness.h"

namespace gannetcourse::router {

inline Instant at(double seconds) { return Instant(Duration(seconds)); }

/// The commands of type `SomeCommand`, in their original order.
template <class SomeCommand>
std::vector<SomeCommand> commandsOf(const std::vector<Command>& commands) {
  std::vector<SomeCommand> found;
  for (const Command& command : commands) {
    if (const auto* const one = std::get_if<SomeCommand>(&command)) found.push_back(*one);
  }
  return found;
}

/// Owns a core that lists engine 1 for prefill and engines 2 and 3 for decode. Times are in seconds.
class CoreFixture : public ::testing::Test {
 protected:
  CoreFixture() : core(test::twoStageSettings(), Options{"n", Duration(0.05), true, {}}) {
    core.onEngineListUpdate(at(0),
                            {EngineListUpdate::Scope::kSnapshot,
                             {test::engineEntry(1, Role::kPrefill), test::engineEntry(2, Role::kDecode),
                              test::engineEntry(3, Role::kDecode)}});
    takeCommands();
  }

  const std::vector<Command>& takeCommands() { return lastCommands = core.takeCommands(); }

  /// Advances the core to each due timer and then to `end`; returns all commands that it issued.
  std::vector<Command> advanceTo(double end) {
    std::vector<Command> commands;
    const auto collect = [&] {
      for (Command& command : core.takeCommands()) commands.push_back(std::move(command));
    };
    while (core.nextWakeup() && *core.nextWakeup() <= at(end)) {
      core.advance(*core.nextWakeup());
      collect();
    }
    core.advance(at(end));
    collect();
    return commands;
  }

  /// Sends a request of 1000 prompt tokens and at most 100 output tokens.
  void sendRequest(double when, RequestKey key, double timeUntilDeadline = 10, double firstTokenTimeout = 4) {
    NewRequest arrival;
    arrival.key = key;
    arrival.timeUntilDeadline = Duration(timeUntilDeadline);
    arrival.firstTokenTimeout = Duration(firstTokenTimeout);
    auto payload = std::make_shared<RequestPayload>();
    payload->promptTokens = 1000;
    payload->maxOutputTokens = 100;
    arrival.payload = payload;
    core.onRequest(at(when), std::move(arrival));
  }

  /// Sends a request, completes its prefill and receives the first token; returns the decode call.
  CallKey startStream(double when, RequestKey key, double timeUntilDeadline = 10) {
    sendRequest(when, key, timeUntilDeadline);
    const auto prefills = commandsOf<StartPrefill>(takeCommands());
    EXPECT_EQ(prefills.size(), 1u);
    core.onPrefillEnded(at(when + 0.1), prefills.front().call, "state", 0, {});
    const auto decodes = commandsOf<StartDecode>(takeCommands());
    EXPECT_EQ(decodes.size(), 1u);
    EXPECT_EQ(decodes.front().stateHandle, "state");
    EXPECT_EQ(decodes.front().prefillEngine, EngineId{1});
    core.onToken(at(when + 0.2), decodes.front().call, 0, "a");
    return decodes.front().call;
  }

  Core core;
  std::vector<Command> lastCommands;  ///< Result of the last takeCommands().
};

}  // namespace gannetcourse::router
