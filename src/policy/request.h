// The policy's record of one open request.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "engine.h"
#include "gannetcourse/policy.h"
#include "state_lease.h"
#include "units.h"

namespace gannetcourse::policy {

/// Stage of a request's lifecycle.
enum class RequestStage {
  kQueued,          ///< Waits in the router's queue; no attempt in flight.
  kPrefilling,      ///< A prefill attempt, or a combined prefill and decode, is in flight.
  kAwaitingDecode,  ///< The prefill engine keeps the state; no attempt in flight.
  kDecoding,        ///< A decode attempt is in flight, its first token was not received.
  kStreaming        ///< The first token was received.
};

/// Key of a flow: the requests of one class that are within their tenants' quotas, or those that are not.
struct FlowKey {
  bool overQuota = false;
  std::size_t classIndex = 0;
  auto operator<=>(const FlowKey&) const = default;
};

/// One open request. Owned by RequestLifecycle; the attempt fields are modified by AttemptManager.
struct Request {
  RequestArrived arrival;
  Instant arrivedAt{};
  Instant deadline{};               ///< The client's deadline.
  std::uint64_t arrivalNumber = 0;  ///< Counts the requests of this router.
  bool overQuota = false;
  bool answered = false;    ///< The final response was sent, or the client no longer needs one.
  Tokens memoryNeeded = 0;  ///< Memory needed at a decode engine.
  Duration prefillWork{0};  ///< Expected time of the prefill, without queueing.
  Instant latestStart{};    ///< If it is started later, the first token is expected after the deadline.
  std::vector<HealthKey> healthKeys;
  RequestStage stage = RequestStage::kQueued;

  // The attempt in flight, or the last one if none is.
  bool attemptInFlight = false;
  bool combinedPrefillAndDecode = false;
  bool cancelRequested = false;
  bool laterAttemptAnswered = false;  ///< The engine has answered a later attempt of the same class.
  EngineId engine;
  Instant attemptStartedAt{};
  Duration expectedDuration{0};  ///< Until the prefill's end or the first token.
  Duration timeForAnother{0};    ///< Expected time from the start of another attempt to the first token.
  Tokens queuedPrefillTokens = 0;
  Instant streamStartedAt{};

  // All attempts.
  int attemptCount = 0;
  int timeouts = 0;
  int decodeFailures = 0;  ///< Since the last prefill.
  std::vector<EngineId> failedEngines;
  bool mayHaveRun = false;  ///< An ended attempt may have had the request's effect.
  Instant firstRunAt{};     ///< Start of the first attempt that may have had the effect.
  EngineEntry firstRunOn;   ///< Engine of the first attempt that may have had the effect.

  // The state kept between prefill and decode.
  EngineId prefillEngine;
  StateLease state;

  // Probes of prefill engines' queues.
  int queueProbes = 0;
  EngineId probedEngine;
  Instant probeWaitUntil{Duration(-1)};

  FlowKey flow() const { return {overQuota, arrival.classIndex}; }
  /// Whether the attempt in flight may have the request's effect; only decodes may.
  bool attemptHasEffect() const { return combinedPrefillAndDecode || stage == RequestStage::kDecoding; }
  int newestAttempt() const { return attemptCount - 1; }
};

}  // namespace gannetcourse::policy
