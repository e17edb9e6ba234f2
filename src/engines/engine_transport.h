// What a client of engines does for the node that runs the core, and what it reports back, whatever the
// protocol.
#pragma once

#include <optional>
#include <string>

#include "gannetcourse/router.h"

namespace gannetcourse::engines {

/// Receives what engines do; router::Core's methods without the time.
class EngineEventHandler {
 public:
  virtual ~EngineEventHandler() = default;
  /// `stateHandle` names the state that waits at the engine.
  virtual void onPrefillEnded(router::CallKey call, std::string stateHandle, double cachedTokens,
                              std::optional<LoadReport> load) = 0;
  virtual void onToken(router::CallKey call, std::uint32_t index, std::string text) = 0;
  /// `reason` is for the records; empty for kOk.
  virtual void onCallEnded(router::CallKey call, Outcome outcome, double cachedTokens,
                           std::optional<LoadReport> load, const std::string& reason,
                           recovery::AttemptEnd attemptEnd) = 0;
  virtual void onAttemptFenced(router::RequestKey request, int attempt) = 0;
  /// The engine has announced its shutdown by GOAWAY.
  virtual void onGoAway(EngineId engine) = 0;
  virtual void onProbeEnded(EngineId engine, Outcome outcome, Duration elapsed,
                            std::optional<LoadReport> load) = 0;
  virtual void onReservationResult(router::RequestKey request, EngineId engine, bool reserved) = 0;
};

/// Carries out the core's commands that concern engines.
class EngineTransport {
 public:
  virtual ~EngineTransport() = default;
  virtual void start(const router::StartPrefill& prefill) = 0;
  virtual void start(const router::StartDecode& decode) = 0;
  /// Nothing of the call is reported any more.
  virtual void cancelCall(router::CallKey call) = 0;
  virtual void reserve(const router::ReserveCapacity& reservation) = 0;
  virtual void releaseState(const router::ReleaseState& release) = 0;
  virtual void fenceAttempt(const router::FenceAttempt& fence) = 0;
  virtual void probe(EngineId engine) = 0;
  /// Stops and resumes reading a stream whose client takes nothing for now.
  virtual void pauseStream(router::CallKey call, bool paused) = 0;
  /// Releases, fences, probes and reservations that are not done yet. A drain waits for them.
  virtual std::size_t auxiliaryCalls() const = 0;
};

}  // namespace gannetcourse::engines
