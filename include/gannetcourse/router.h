// The sans-I/O core of a router: the lifecycle of requests between clients, engines and the decision module.
//
// The host passes events and their time to the core and carries out the commands that it returns. The Policy
// inside makes all routing decisions. The core tracks requests and calls, and enforces the invariants that
// need no decision: one final response per request, at most one attempt of a request in flight, no attempt
// after the final response, every state released.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "gannetcourse/policy.h"
#include "gannetcourse/recovery.h"

namespace gannetcourse::router {

/// New settings that cannot be applied because they would change the meaning of open requests; what() states
/// the conflict.
class IncompatibleSettings : public std::invalid_argument {
 public:
  using std::invalid_argument::invalid_argument;
};

using RequestKey = std::uint64_t;  ///< Id of a request, assigned by the host; never reused.
using CallKey = std::uint64_t;     ///< Id of a call to an engine, assigned by the core; never reused.

/// The content of a request as sent to engines. The core forwards it without interpreting it.
struct RequestPayload {
  std::string requestClass, tenant, session, prefixKey, prompt;
  std::string target;  ///< Request target of the client, if the engines' protocol forwards it; else empty.
  std::string headerFields;  ///< Forwarded header lines, each including its line end.
  std::uint32_t prefixTokens = 0, promptTokens = 0, maxOutputTokens = 0;
  std::uint64_t seed = 0;
  std::uint32_t firstTokenIndex = 0;  ///< Index of the next token; the earlier ones are part of the prompt.
};

/// A stream that its client asks to continue. It broke off at another router, or in an earlier request of the
/// client to this router.
struct ResumedStream {
  std::string id;                    ///< The request's id at the engines.
  int attempt = 0;                   ///< The latest attempt that the client knows of.
  EngineId engine;                   ///< The engine of that attempt.
  std::uint32_t nextTokenIndex = 0;  ///< Number of tokens that the client has received.
  std::string generatedText;         ///< The text of these tokens.
};

/// A client's request as the host accepts it.
struct NewRequest {
  RequestKey key = 0;
  std::string id;  ///< Its id at the engines, unique among open requests; empty = the core assigns one.
  Duration timeUntilDeadline{0};          ///< Longest wait of the client for the complete answer.
  bool deadlineEndsAtFirstToken = false;  ///< The deadline limits the first token, not the stream.
  Duration firstTokenTimeout{0};          ///< Longest wait for the first token; 0 = timeUntilDeadline.
  std::size_t classIndex = 0;             ///< Index in Settings::classes.
  std::optional<std::size_t> tenant;      ///< Index in Settings::tenants.
  bool isRetry = false;
  std::uint64_t sessionKey = 0, prefixKey = 0;  ///< Hashes, the same on all routers; 0 = none.
  std::optional<Duration> expectedOutputDuration;
  std::shared_ptr<const RequestPayload> payload;  ///< Never null.
  std::optional<ResumedStream> resumedStream;
};

// ---- Commands: the host carries them out in the order given ----

/// How a request ended.
enum class FinalStatus { kServed, kRejected, kFailed, kDeadlineExceeded };
const char* nameOf(FinalStatus status);  ///< The status as sent on the wire.

/// Starts a prefill call; the host reports its end by onPrefillEnded() or onCallEnded().
struct StartPrefill {
  CallKey call = 0;
  RequestKey request = 0;
  std::string id;  ///< The request's id at the engines.
  int attempt = 0;
  EngineId engine;
  Duration timeUntilDeadline{0};  ///< Sent to the engine for information; the core enforces the deadline.
  Duration timeout{0};            ///< How long the core waits for the prefill to end.
  std::shared_ptr<const RequestPayload> payload;
};

/// Starts a decode call; the host reports its tokens by onToken() and its end by onCallEnded().
struct StartDecode {
  CallKey call = 0;
  RequestKey request = 0;
  std::string id;
  int attempt = 0;
  EngineId engine;
  std::optional<EngineId> prefillEngine;  ///< Keeps the state; absent: the decode engine prefills.
  std::string stateHandle;
  Duration timeUntilDeadline{0};
  Duration timeout{0};  ///< How long the core waits for the first token.
  std::shared_ptr<const RequestPayload> payload;
};

/// Cancels a call. The host must not report any further event of this call to the core.
struct CancelCall {
  CallKey call = 0;
};

/// Asks a decode engine to reserve capacity for `tokens` prompt tokens; the host reports the answer by
/// onReservationResult().
struct ReserveCapacity {
  RequestKey request = 0;
  std::string id;
  int attempt = 0;
  EngineId engine;
  std::uint32_t tokens = 0;
};

/// Releases the states and reservations that the engine holds for the request's attempts up to `attempt`.
struct ReleaseState {
  std::string id;
  int attempt = 0;
  EngineId engine;
};

/// Asks the engine to end the request's attempts up to `attempt`, and to reject these attempts from then on.
struct FenceAttempt {
  RequestKey request = 0;
  std::string id;
  int attempt = 0;
  EngineId engine;
};

/// Data that a client needs to resume its stream later, also at another router. Sent before the tokens of
/// each attempt if the stream can be continued.
struct ResumePoint {
  RequestKey request = 0;
  std::string id;
  int attempt = 0;
  EngineId engine;
};

/// One token for the client. Indexes begin at 0, or at ResumedStream::nextTokenIndex, and have no gaps.
struct SendToken {
  RequestKey request = 0;
  std::uint32_t index = 0;
  std::string text;
};

/// The final response; each request gets exactly one.
struct FinalResponse {
  RequestKey request = 0;
  FinalStatus status = FinalStatus::kFailed;
  Duration retryAfter{0};  ///< Retry-After of a rejection (kRejected); 0 = none.
  std::string reason;
};

/// Sends a health check; the host reports its result by onProbeEnded().
struct ProbeEngine {
  EngineId engine;
};

/// Subscribes to the engine list; the host reports updates by onEngineListUpdate().
struct Subscribe {};
/// Fetches the engine list once; the host reports it by onEngineListUpdate().
struct Fetch {};

/// The event that a Record documents.
enum class RecordKind {
  kRequestAccepted,     ///< A request was accepted; the reason has its class, token counts and objectives.
  kServed,              ///< Final response with FinalStatus::kServed.
  kRejected,            ///< Final response with FinalStatus::kRejected.
  kFailed,              ///< Final response with FinalStatus::kFailed.
  kDeadlineExceeded,    ///< Final response with FinalStatus::kDeadlineExceeded.
  kClientDisconnected,  ///< The client ended the request before its final response.
  kPrefillStarted,      ///< A prefill attempt; the reason has the duration and cached tokens expected.
  kPrefillCompleted,    ///< The reason has the number of tokens that the engine had cached.
  kDecodeStarted,
  kStreamStarted,          ///< The first token was received.
  kStreamCompleted,        ///< The last token was received; the reason has the number of tokens, if known.
  kAttemptFailed,          ///< A call failed; the reason has its status.
  kCallCancelled,          ///< The router cancelled a call; the reason says why.
  kCapacityRequested,      ///< A decode engine was asked to reserve capacity.
  kStateReleased,          ///< An engine was asked to release the request's state.
  kOrphanedStateReleased,  ///< An engine was asked to release a state of an abandoned attempt.
  kStreamLost,             ///< The stream ended early or was migrated; it may be continued.
  kAttemptFenced,          ///< The engine confirmed that the lost attempt has ended.
  kStreamContinued,        ///< Another engine continues the stream; the reason says from which token.
  kStreamResumed,          ///< The client asked to resume a stream that broke off earlier; see ResumedStream.
  kNotResumable,           ///< The stream can no longer be continued.
  kInvariantViolation,     ///< The reason has the name of the Violation.
  kReconfigured,
  kDraining,    ///< New requests are rejected from now on.
  kPolicyNote,  ///< The reason has the text of the policy's Log action.
  kCount
};
/// The name in the log; docs/node.md lists them.
const char* nameOf(RecordKind kind);

/// One entry of the router's decision log; every decision adds one.
struct Record {
  Instant at;
  std::string request;  ///< The request's id at the engines; empty if the record is not about a request.
  RecordKind kind = RecordKind::kPolicyNote;
  std::optional<EngineId> engine;
  int attempt = -1;  ///< -1 = none.
  std::string reason;
};

/// A command to the host. Commands own their data.
using Command =
    std::variant<StartPrefill, StartDecode, CancelCall, ReserveCapacity, ReleaseState, FenceAttempt,
                 ResumePoint, SendToken, FinalResponse, ProbeEngine, Subscribe, Fetch, Record>;

/// Options of a core that stay the same for its lifetime.
struct Options {
  std::string nodeName = "node";  ///< Prefix of request ids; must differ for each start of each router.
  Duration responseMargin{0.05};  ///< A running stream is ended this long before the client's deadline.
  bool recordsEnabled = true;     ///< Whether decisions are recorded. Violations are always recorded.
  recovery::Limits recovery;      ///< The core sets the classes and maxAttempts from the settings.
};

/// An invariant that a bug in this program has broken, or would have broken if the core had not blocked the
/// action.
enum class Violation {
  kSecondResponse,           ///< A second final response to a request.
  kLateResponse,             ///< A final response after the client's deadline.
  kAttemptAfterResponse,     ///< An attempt after the request's final response.
  kConcurrentAttempts,       ///< A second attempt while one is in flight.
  kDuplicateEffect,          ///< An attempt that could repeat the effect of an earlier one.
  kRejectedAfterStart,       ///< A rejection although an attempt may have run.
  kAttemptToDrainingEngine,  ///< An attempt to an engine that drains or is not listed.
  kStateLeaseExpired,        ///< A state was held for longer than Settings::stateLeaseLimit.
  kCount
};
/// The name in the log and in the router's statistics line.
const char* nameOf(Violation violation);
using ViolationCounts = std::array<std::uint64_t, static_cast<std::size_t>(Violation::kCount)>;
std::uint64_t total(const ViolationCounts& counts);
std::string textOf(const ViolationCounts& counts);  ///< Total, then names with counts: "2,repeat:1,pinned:1".

/// Counters since the start of the core.
struct Counters {
  std::uint64_t accepted = 0, resumed = 0;
  std::uint64_t served = 0, rejected = 0, failed = 0, deadlineExceeded = 0, clientsDisconnected = 0;
  std::uint64_t attempts = 0, tokens = 0, continued = 0;
  std::uint64_t droppedTokens = 0;   ///< Tokens of calls that were over, and duplicates.
  std::uint64_t actionsBlocked = 0;  ///< Actions of the policy that the core refused to carry out.
};

/// One router. The host reports inputs by the on...() methods and fetches commands by takeCommands(). Not
/// thread-safe; two cores share nothing. `now` must not decrease between calls.
class Core {
 public:
  Core(const Settings& settings, Options options);
  Core(Core&&) noexcept;
  Core& operator=(Core&&) noexcept;
  ~Core();

  // ---- Discovery ----
  void onEngineListUpdate(Instant now, const EngineListUpdate& update);
  /// Discovery has taken the question for the engine list (`awaited`), or has answered it or will not answer
  /// soon. Requests that have time wait meanwhile, because the list in use may be outdated.
  void onEngineListAwaited(Instant now, bool awaited);

  // ---- Clients ----
  void onRequest(Instant now, NewRequest request);
  void onClientDisconnected(Instant now, RequestKey request);
  /// The client has stopped reading (`paused`) or reads again; no effect if the request has no stream.
  void onClientPaused(Instant now, RequestKey request, bool paused);

  // ---- Engines. Reports of calls that are already over are ignored. ----
  /// A prefill has succeeded; the engine keeps its state under `stateHandle`.
  void onPrefillEnded(Instant now, CallKey call, std::string stateHandle, double cachedTokens,
                      const std::optional<LoadReport>& load);
  void onToken(Instant now, CallKey call, std::uint32_t index, std::string text);
  /// A call has ended; `outcome` is kOk if the answer is complete.
  void onCallEnded(Instant now, CallKey call, Outcome outcome, double cachedTokens,
                   const std::optional<LoadReport>& load, const std::string& reason,
                   recovery::AttemptEnd attemptEnd = recovery::AttemptEnd::kConfirmed);
  /// The engine has confirmed a FenceAttempt: the attempt no longer runs there.
  void onAttemptFenced(Instant now, RequestKey request, int attempt);
  /// The engine will shut down at `endsAt` (absent: the shutdown was called off). Streams that would run
  /// longer are migrated to other engines before that time.
  void onEngineShutdownNotice(Instant now, EngineId engine, std::optional<Instant> endsAt);
  void onGoAway(Instant now, EngineId engine);  ///< The engine will shut down at an unknown time.
  void onProbeEnded(Instant now, EngineId engine, Outcome outcome, Duration elapsed,
                    const std::optional<LoadReport>& load);
  void onReservationResult(Instant now, RequestKey request, EngineId engine, bool reserved);

  // ---- The host ----
  /// Applies new settings; see SettingsChanged. Open requests keep their attempts and states. Throws
  /// IncompatibleSettings, without any change, if an existing class or tenant is missing or the idempotency
  /// of a class differs.
  void reconfigure(Instant now, const Settings& settings);
  void drain(Instant now);    ///< Rejects new requests from now on.
  void advance(Instant now);  ///< Handles the timers that are due.

  std::optional<Instant> nextWakeup() const;  ///< When advance() is to be called next.
  std::vector<Command> takeCommands();        ///< Commands since the last call.
  /// Like takeCommands(), but reuses the caller's vector; returns false if there are no commands.
  bool takeCommandsInto(std::vector<Command>& commands);

  bool isDraining() const;
  std::size_t openRequests() const;  ///< Requests without their final response.
  /// Number of open requests, and of completed requests with a call in flight.
  std::size_t pendingObligations() const;
  CallKey streamingCall(RequestKey request) const;  ///< The call that streams its tokens; 0 = none.
  const Counters& counters() const;
  const ViolationCounts& violations() const;

 private:
  class Impl;
  template <class Step>
  void step(Instant now, const Step& perform);
  std::unique_ptr<Impl> impl_;
};

}  // namespace gannetcourse::router
