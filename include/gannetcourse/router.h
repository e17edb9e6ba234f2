// The sans-I/O core of a router: the lifecycle of requests between clients, engines and the decision module.
//
// The host feeds the core what happens, with the time, and carries out the commands that it gives. All
// routing is decided by the Policy inside. The core keeps the books and the invariants that need no decision:
// one final response per request, one attempt in flight, nothing after the final response, every state
// released.
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

/// New settings under which an open request would get another meaning; the text names what is in the way.
class IncompatibleSettings : public std::invalid_argument {
 public:
  using std::invalid_argument::invalid_argument;
};

using RequestKey = std::uint64_t;  ///< The host's number of a request; never used twice.
using CallKey = std::uint64_t;     ///< The core's number of a call to an engine; never used twice.

/// What engines need to know of a request. The core forwards it unread.
struct RequestPayload {
  std::string requestClass, tenant, session, prefixKey, prompt;
  std::string target;  ///< Request target, where the engines' protocol forwards the client's; else empty.
  std::string headerFields;  ///< Forwarded header lines, each with its line end.
  std::uint32_t prefixTokens = 0, promptTokens = 0, maxOutputTokens = 0;
  std::uint64_t seed = 0;
  std::uint32_t firstTokenIndex = 0;  ///< Of a continuation: earlier tokens were sent and end the prompt.
};

/// An answer that broke off with another router or another call, and that its client wants the rest of.
struct ResumedStream {
  std::string id;                    ///< Its name at the engines.
  int attempt = 0;                   ///< The newest attempt that the client knows of.
  EngineId engine;                   ///< Where that attempt ran.
  std::uint32_t nextTokenIndex = 0;  ///< Tokens that the client has.
  std::string generatedText;         ///< The same as text.
};

/// A client's request as the host accepts it.
struct NewRequest {
  RequestKey key = 0;
  std::string id;  ///< Its name for engines, of no other open request; empty = the core names it.
  Duration timeUntilDeadline{0};  ///< Until the client gives up on the complete answer.
  bool deadlineEndsAtFirstToken =
      false;                      ///< The deadline is met by the first token; the stream has no limit.
  Duration firstTokenTimeout{0};  ///< Until the client gives up on the first token; 0 = timeUntilDeadline.
  std::size_t classIndex = 0;     ///< In Settings::classes.
  std::optional<std::size_t> tenant;
  bool isRetry = false;
  std::uint64_t sessionKey = 0, prefixKey = 0;  ///< Hashes, the same on all routers; 0 = none.
  std::optional<Duration> expectedOutputDuration;
  std::shared_ptr<const RequestPayload> payload;  ///< Never null.
  std::optional<ResumedStream> resumedStream;
};

// ---- Commands: to be carried out in the order given ----

/// How a request ended.
enum class FinalStatus { kServed, kRejected, kFailed, kDeadlineExceeded };
const char* nameOf(FinalStatus status);  ///< The name on the wire.

/// Starts a prefill call; it ends with onPrefillEnded() or onCallEnded().
struct StartPrefill {
  CallKey call = 0;
  RequestKey request = 0;
  std::string id;  ///< The request's name for engines.
  int attempt = 0;
  EngineId engine;
  Duration timeUntilDeadline{0};  ///< For the engine's information; the core keeps the time.
  Duration timeout{0};            ///< How long the core waits for the end of this prefill.
  std::shared_ptr<const RequestPayload> payload;
};

/// Starts a decode call: tokens, then onCallEnded().
struct StartDecode {
  CallKey call = 0;
  RequestKey request = 0;
  std::string id;
  int attempt = 0;
  EngineId engine;
  std::optional<EngineId> prefillEngine;  ///< Where the state waits; absent: the engine does its own prefill.
  std::string stateHandle;
  Duration timeUntilDeadline{0};
  Duration timeout{0};  ///< How long the core waits for the first token.
  std::shared_ptr<const RequestPayload> payload;
};

/// The call is over: nothing of it may reach the core any more.
struct CancelCall {
  CallKey call = 0;
};

/// Asks a decode engine to reserve capacity for `tokens` prompt tokens; see onReservationResult().
struct ReserveCapacity {
  RequestKey request = 0;
  std::string id;
  int attempt = 0;
  EngineId engine;
  std::uint32_t tokens = 0;
};

/// Releases what the engine holds for the request by attempts up to this one.
struct ReleaseState {
  std::string id;
  int attempt = 0;
  EngineId engine;
};

/// Asks the engine to end attempts up to this one, and to reject them from then on.
struct FenceAttempt {
  RequestKey request = 0;
  std::string id;
  int attempt = 0;
  EngineId engine;
};

/// What a client must know to have its answer continued elsewhere; tokens follow.
struct ResumePoint {
  RequestKey request = 0;
  std::string id;
  int attempt = 0;
  EngineId engine;
};

/// One token for the client. Indexes begin at 0, or where a resumed stream broke off, and have no gaps.
struct SendToken {
  RequestKey request = 0;
  std::uint32_t index = 0;
  std::string text;
};

/// The one final response.
struct FinalResponse {
  RequestKey request = 0;
  FinalStatus status = FinalStatus::kFailed;
  Duration retryAfter{0};  ///< Advice with kRejected; 0 = none.
  std::string reason;
};

/// Sends a health check; it ends with onProbeEnded().
struct ProbeEngine {
  EngineId engine;
};

/// Watches the engine list; updates come by onEngineListUpdate().
struct Subscribe {};
/// Fetches the engine list once; it comes by onEngineListUpdate().
struct Fetch {};

/// What a record tells of.
enum class RecordKind {
  kRequestAccepted,  ///< A request came; the reason is its class, its token counts and its objectives.
  kServed,           ///< The final response, by its FinalStatus.
  kRejected,
  kFailed,
  kDeadlineExceeded,
  kClientDisconnected,  ///< The client ended the request before its final response.
  kPrefillStarted,      ///< An attempt; the reason is what the policy expects of it.
  kPrefillCompleted,    ///< The reason is the number of tokens that the engine had cached.
  kDecodeStarted,
  kStreamStarted,          ///< The first token came.
  kStreamCompleted,        ///< The last token came; the reason is the number of tokens where it is known.
  kAttemptFailed,          ///< A call failed; the reason has its status.
  kCallCancelled,          ///< The router ended a call; the reason says why.
  kCapacityRequested,      ///< A decode engine was asked to reserve capacity.
  kStateReleased,          ///< An engine is to release the request's state.
  kOrphanedStateReleased,  ///< The same for an attempt that was given up, by the request's name.
  kStreamLost,             ///< The stream ended early or was taken from its engine; it may be continued.
  kAttemptFenced,          ///< The engine confirmed that the lost attempt has ended.
  kStreamContinued,        ///< Another engine continues the stream; the reason says from which token.
  kStreamResumed,          ///< The client brought a stream of another router or of an earlier call.
  kNotResumable,           ///< The stream can no longer be continued.
  kInvariantViolation,     ///< The reason is the name of the Violation.
  kReconfigured,
  kDraining,    ///< New requests are rejected from now on.
  kPolicyNote,  ///< The reason is the policy's text.
  kCount
};
/// The name in the log; docs/node.md lists them.
const char* nameOf(RecordKind kind);

/// One line of the router's own log of decisions; every decision leaves one.
struct Record {
  Instant at;
  std::string request;  ///< Its name for engines; empty where it concerns none.
  RecordKind kind = RecordKind::kPolicyNote;
  std::optional<EngineId> engine;
  int attempt = -1;  ///< -1 = none.
  std::string reason;
};

/// What the host is to carry out; commands own what they carry.
using Command =
    std::variant<StartPrefill, StartDecode, CancelCall, ReserveCapacity, ReleaseState, FenceAttempt,
                 ResumePoint, SendToken, FinalResponse, ProbeEngine, Subscribe, Fetch, Record>;

/// What a core needs to know beside the settings, for as long as it lives.
struct Options {
  std::string nodeName = "node";  ///< Unique among routers and starts: request names begin with it.
  Duration responseMargin{0.05};  ///< How long before the client's deadline a running stream is ended.
  bool recordsEnabled = true;     ///< Records of decisions; violations are recorded in any case.
  recovery::Limits recovery;      ///< Classes and attempts are filled in from the settings.
};

/// An invariant that something in this program would have broken, or has. What would have is not carried out.
enum class Violation {
  kSecondResponse,           ///< A request was answered again ...
  kLateResponse,             ///< ... or after its client's deadline.
  kAttemptAfterResponse,     ///< An attempt of an answered request.
  kConcurrentAttempts,       ///< A second attempt while one is in flight.
  kDuplicateEffect,          ///< An attempt that could have a second effect.
  kRejectedAfterStart,       ///< A rejection though an attempt may have run.
  kAttemptToDrainingEngine,  ///< An attempt to an engine that drains or is off the list.
  kStateLeaseExpired,        ///< A state was leased for longer than the limit.
  kCount
};
/// The name in the log and in the account line.
const char* nameOf(Violation violation);
using ViolationCounts = std::array<std::uint64_t, static_cast<std::size_t>(Violation::kCount)>;
std::uint64_t total(const ViolationCounts& counts);
std::string textOf(const ViolationCounts& counts);  ///< "2,repeat:1,pinned:1"

/// Counters since the start of the core.
struct Counters {
  std::uint64_t accepted = 0, resumed = 0;
  std::uint64_t served = 0, rejected = 0, failed = 0, deadlineExceeded = 0, clientsDisconnected = 0;
  std::uint64_t attempts = 0, tokens = 0, continued = 0;
  std::uint64_t droppedTokens = 0;   ///< Of calls that were over, or a second time.
  std::uint64_t actionsBlocked = 0;  ///< Actions of the policy that the core did not carry out.
};

/// One router. Inputs go in by its methods, commands come out of takeCommands(). Not thread-safe; two cores
/// share nothing. In each method `now` never goes back.
class Core {
 public:
  Core(const Settings& settings, Options options);
  Core(Core&&) noexcept;
  Core& operator=(Core&&) noexcept;
  ~Core();

  // ---- Discovery ----
  void onEngineListUpdate(Instant now, const EngineListUpdate& update);

  // ---- Clients ----
  void onRequest(Instant now, NewRequest request);
  void onClientDisconnected(Instant now, RequestKey request);
  /// Whether the client takes nothing for now; no effect where the request has no stream.
  void onClientPaused(Instant now, RequestKey request, bool paused);

  // ---- Engines. Calls that are over already are passed over. ----
  /// A prefill has ended well: its state waits at the engine under `stateHandle`.
  void onPrefillEnded(Instant now, CallKey call, std::string stateHandle, double cachedTokens,
                      const std::optional<LoadReport>& load);
  void onToken(Instant now, CallKey call, std::uint32_t index, std::string text);
  /// A call has ended; kOk where it answered to its end.
  void onCallEnded(Instant now, CallKey call, Outcome outcome, double cachedTokens,
                   const std::optional<LoadReport>& load, const std::string& reason,
                   recovery::AttemptEnd attemptEnd = recovery::AttemptEnd::kConfirmed);
  /// The engine's answer to a FenceAttempt: nothing of it runs there any more.
  void onAttemptFenced(Instant now, RequestKey request, int attempt);
  /// The engine is to end at `endsAt` (absent: it stays after all); its long streams are migrated in time.
  void onEngineShutdownNotice(Instant now, EngineId engine, std::optional<Instant> endsAt);
  void onGoAway(Instant now, EngineId engine);  ///< The engine says that it ends, not when.
  void onProbeEnded(Instant now, EngineId engine, Outcome outcome, Duration elapsed,
                    const std::optional<LoadReport>& load);
  void onReservationResult(Instant now, RequestKey request, EngineId engine, bool reserved);

  // ---- The host ----
  /// New settings in service; see SettingsChanged. Open requests stay open, with their attempts and their
  /// states. Throws IncompatibleSettings where an earlier class or tenant is missing or has another
  /// idempotency; then nothing has changed.
  void reconfigure(Instant now, const Settings& settings);
  void drain(Instant now);    ///< From now on new requests are rejected.
  void advance(Instant now);  ///< Does what has come due.

  std::optional<Instant> nextWakeup() const;  ///< When advance() is to be called.
  std::vector<Command> takeCommands();        ///< Commands since the last call.
  /// The same into a vector that is used again and again; false where there are none.
  bool takeCommandsInto(std::vector<Command>& commands);

  bool isDraining() const;
  std::size_t openRequests() const;                 ///< Requests without their final response.
  std::size_t pendingObligations() const;           ///< ... and answered ones with a call in flight.
  CallKey streamingCall(RequestKey request) const;  ///< The call that answers it; 0 = none.
  const Counters& counters() const;
  const ViolationCounts& violations() const;

 private:
  class Impl;
  template <class Step>
  void step(Instant now, const Step& perform);
  std::unique_ptr<Impl> impl_;
};

}  // namespace gannetcourse::router
