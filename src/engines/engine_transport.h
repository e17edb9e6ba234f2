// The interfaces between the node that runs the core and its client of the engines, independent of the
// protocol.
#pragma once

#include <optional>
#include <string>

#include "gannetcourse/router.h"

namespace gannetcourse::engines {

/// Receives the events of engines. Each method corresponds to one of router::Core, but has no parameter for
/// the current time.
class EngineEventHandler {
 public:
  virtual ~EngineEventHandler() = default;
  /// `stateHandle` identifies the prefilled state, which the engine keeps for the decode.
  virtual void onPrefillEnded(router::CallKey call, std::string stateHandle, double cachedTokens,
                              std::optional<LoadReport> load) = 0;
  virtual void onToken(router::CallKey call, std::uint32_t index, std::string text) = 0;
  /// `reason` is a text for the decision records; empty for kOk.
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

/// Executes the core's commands that concern engines.
class EngineTransport {
 public:
  virtual ~EngineTransport() = default;
  virtual void start(const router::StartPrefill& prefill) = 0;
  virtual void start(const router::StartDecode& decode) = 0;
  /// Cancels the call. No further events of the call are reported.
  virtual void cancelCall(router::CallKey call) = 0;
  virtual void reserve(const router::ReserveCapacity& reservation) = 0;
  virtual void releaseState(const router::ReleaseState& release) = 0;
  virtual void fenceAttempt(const router::FenceAttempt& fence) = 0;
  virtual void probe(EngineId engine) = 0;
  /// Stops or resumes reading the stream of a call, for a client that does not read its response.
  virtual void pauseStream(router::CallKey call, bool paused) = 0;
  /// Number of releases, fences, probes and reservations in progress. A drain completes when it is 0.
  virtual std::size_t auxiliaryCalls() const = 0;
};

}  // namespace gannetcourse::engines
