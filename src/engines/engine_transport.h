// What an engines' client does for the node that runs the core, and what it tells it, whatever the protocol.
#pragma once

#include <optional>
#include <string>

#include "gannetcourse/router.h"

namespace gannetcourse::engines {

// Where an engines' client takes its news; router::Core's methods without the time.
class EngineEventHandler {
 public:
  virtual ~EngineEventHandler() = default;
  virtual void onPrefillEnded(router::CallKey call, std::string state, double kept,
                              std::optional<LoadReport> load) = 0;
  virtual void onToken(router::CallKey call, std::uint32_t index, std::string text) = 0;
  virtual void onCallEnded(router::CallKey call, Outcome outcome, double kept, std::optional<LoadReport> load,
                           const std::string& why, recovery::AttemptEnd ending) = 0;
  virtual void onAttemptFenced(router::RequestKey request, int attempt) = 0;
  virtual void onGoAway(EngineId engine) = 0;  // it said that it ends in good order
  virtual void onProbeEnded(EngineId engine, Outcome outcome, Duration elapsed,
                            std::optional<LoadReport> load) = 0;
  virtual void onReservationResult(router::RequestKey request, EngineId engine, bool held) = 0;
};

// The core's commands that concern engines.
class EngineTransport {
 public:
  virtual ~EngineTransport() = default;
  virtual void start(const router::StartPrefill& read) = 0;
  virtual void start(const router::StartDecode& write) = 0;
  virtual void cancelCall(router::CallKey call) = 0;
  virtual void reserve(const router::ReserveCapacity& seat) = 0;
  virtual void releaseState(const router::ReleaseState& letGo) = 0;
  virtual void fenceAttempt(const router::FenceAttempt& fence) = 0;
  virtual void probe(EngineId engine) = 0;
  virtual void pauseStream(router::CallKey call, bool paused) = 0;  // a stream whose client takes nothing
  virtual std::size_t auxiliaryCalls() const = 0;  // releases, probes, reservations that are out
};

}  // namespace gannetcourse::engines
