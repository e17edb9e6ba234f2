// What the policy knows of one open request.
#pragma once

#include <vector>

#include "engine.h"
#include "gannetcourse/policy.h"
#include "state_lease.h"
#include "units.h"

namespace gannetcourse::policy {

/// Where a request stands.
enum class RequestStage {
  kQueued,          ///< Waits here, no attempt in flight.
  kPrefilling,      ///< The attempt in flight does the prefill, and the decode if it is a combined one.
  kAwaitingDecode,  ///< The state waits at its prefill engine.
  kDecoding,        ///< A decode attempt is in flight, its first token has not come.
  kStreaming        ///< Tokens come.
};

/// One open request. Owner: RequestLifecycle; the fields of the attempt are changed by AttemptManager.
struct Request {
  RequestArrived arrival;
  Instant arrivedAt{};
  Instant deadline{};     ///< The client gives up then.
  Instant objectiveAt{};  ///< A first token by then has its full value; not after the deadline.
  bool overQuota = false;
  bool answered = false;    ///< Its final response was given or is no longer needed.
  Tokens memoryNeeded = 0;  ///< At a decode engine.
  std::vector<HealthKey> healthKeys;
  RequestStage stage = RequestStage::kQueued;

  // The attempt in flight, else the last one.
  bool attemptInFlight = false;
  bool combinedPrefillAndDecode = false;
  bool cancelRequested = false;
  bool overtaken = false;  ///< Its engine has answered later attempts of the class.
  EngineId engine;
  Instant attemptStartedAt{};
  Duration expectedDuration{0};
  Tokens queuedPrefillTokens = 0;
  Instant streamStartedAt{};

  // All attempts.
  int attemptCount = 0;
  int timeouts = 0;
  int decodeFailures = 0;  ///< Since the last prefill.
  std::vector<EngineId> failedEngines;
  bool mayHaveRun = false;  ///< Some attempt may have had its effect; the first of them ...
  Instant firstRunAt{};     ///< ... was started then ...
  EngineEntry firstRunOn;   ///< ... at this engine.

  // The state between prefill and decode.
  EngineId prefillEngine;
  StateLease state;

  // Probes for the queue of prefill engines.
  int queueProbes = 0;
  EngineId probedEngine;
  Instant probeWaitUntil{Duration(-1)};

  /// Whether the attempt in flight may have the request's effect: it decodes.
  bool attemptHasEffect() const { return combinedPrefillAndDecode || stage == RequestStage::kDecoding; }
  int newestAttempt() const { return attemptCount - 1; }
};

}  // namespace gannetcourse::policy
