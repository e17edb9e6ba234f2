// The public interface of the decision module: settings and events go in, actions come out.
//
// The module does no I/O, reads no clock and starts no threads. The program that embeds the module is its
// host. The host passes events to the module in chronological order, and carries out the actions that the
// module returns for each event.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gannetcourse {

/// Clock of the host: any monotonic clock that counts seconds.
struct HostClock {};
using Duration = std::chrono::duration<double>;  ///< Seconds.
using Instant = std::chrono::time_point<HostClock, Duration>;

/// Numeric id of an engine, the same on every router.
struct EngineId {
  std::uint32_t value = 0;
  auto operator<=>(const EngineId&) const = default;
};

/// Id of a request, unique among the open requests of one router.
struct RequestId {
  std::string value;
  auto operator<=>(const RequestId&) const = default;
};

/// Id of a timer that the module has set. The host returns the id when the timer fires.
struct TimerId {
  std::string value;
  auto operator<=>(const TimerId&) const = default;
};

/// Work that an engine does: prefill (read prompts), decode (write answers), or both.
enum class Role { kUnknown, kPrefill, kDecode, kMixed };

/// Whether a request may be executed more than once.
enum class Idempotency {
  kIdempotent,      ///< May be repeated freely.
  kIdempotencyKey,  ///< May be repeated within dedupScope and dedupWindow: engines drop duplicates there.
  kAtMostOnce       ///< Must not be repeated once an attempt may have run.
};

/// The engines among which duplicates of a request with an idempotency key are dropped.
enum class DedupScope { kAll, kZone, kCell };

/// Where engines' load reports come from.
enum class LoadReportSource { kNone, kResponses, kProbes };

/// Weight and retry safety of one class of requests, and what its page promises.
struct ClassSettings {
  Duration ttftObjective{1};          ///< Time to first token that the page promises. For the records only.
  Duration ttftObjectivePerToken{0};  ///< Added to it for each prompt token. For the records only.
  Duration interTokenObjective{0};    ///< Unit of RequestArrived::expectedOutputDuration; 0 = not known.
  double priorityWeight = 1;  ///< Share of the engines among the classes that wait, relative to the others.
  double lateWeight = 0;      ///< Worth of a late first token. No decision depends on it.
  Idempotency idempotency = Idempotency::kIdempotent;
  DedupScope dedupScope = DedupScope::kAll;
  Duration dedupWindow{0};  ///< Duplicates are dropped for this long after the first attempt.
  bool inService = true;    ///< False: accepted requests are finished, no new ones arrive.
  bool operator==(const ClassSettings&) const = default;
};

/// Quota of one tenant.
struct TenantSettings {
  double quotaShare = 0;      ///< Guaranteed share of the capacity of the whole service.
  double quotaPerSecond = 0;  ///< Guaranteed rate in requests, over all routers; 0 = not known.
  bool inService = true;      ///< False: no new requests arrive.
};

/// Configuration of a router, given at its start and by SettingsChanged.
struct Settings {
  std::uint64_t seed = 0;  ///< Seeds the module's random numbers.
  int routerCount = 1;     ///< Routers that share the engines, this one included.
  std::uint32_t zone = 0;  ///< Zone of this router, numbered as in EngineEntry.
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double overQuotaWeight = 1;         ///< Worth of requests over their quota. No decision depends on it.
  bool weightByTokens = false;        ///< How worth counts. No decision depends on it.
  bool subscribeToDiscovery = false;  ///< Whether the module has to subscribe to the engine list.
  LoadReportSource loadReportSource = LoadReportSource::kNone;
  bool probesAllowed = false;
  bool cancelAllowed = false;
  bool reserveAllowed = false;
  bool clientsHonorRetryAfter = false;  ///< Whether rejections carry a Retry-After, which clients honor.
  bool decodeCanPrefill = false;  ///< Whether a decode engine prefills a prompt that arrives without a state.
  int maxAttempts = 1;            ///< Total attempts of one request; a prefill and a decode count as two.
  Duration maxRetryAfter{0};
  Duration connectTimeout{0};   ///< Connecting may delay the sending of an attempt by up to this time.
  Duration stateLeaseLimit{0};  ///< Time limit for using or releasing a state or reservation; 0 = no limit.
  Duration responseGrace{0};    ///< How long after the client's deadline a response still counts.
  Duration tick{0};             ///< Step of the host's clock: timers fire up to this late.
  Duration slowStartWindow{0};  ///< An engine in slow start fails if it is overloaded for this long.
  double slowStartOverloadFactor = 1;   ///< Overload in slow start, relative to the current capacity.
  double slowStartInitialCapacity = 1;  ///< Least share of its full capacity that an engine has at its start.
  Duration slowStartDuration{0};        ///< Longest time until an engine has its full capacity.
  double probeCost = 0;                 ///< Price of a probe. No decision depends on it.
};

/// One engine of the engine list.
struct EngineEntry {
  EngineId id;
  Role role = Role::kUnknown;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;   ///< Engines of one cell have a fast interconnect for states.
  double memoryTokens = 0;  ///< Capacity for states, in tokens; 0 = not known.
  enum class State { kServing, kDraining, kRemoved } state = State::kServing;
  std::optional<Instant> startedAt;  ///< When the engine's process started; absent = not recently.
};

/// Load that an engine reports of itself. Figures may be outdated, inexact or missing.
struct LoadReport {
  std::optional<double> requestsInFlight;
  std::optional<double> requestsQueued;
  std::optional<double> slotUtilization;      ///< Share of its slots, 0..1.
  std::optional<double> memoryUtilization;    ///< Share of its memory, 0..1.
  std::optional<double> queuedPrefillTokens;  ///< Prompt tokens waiting for prefill or state transfer.
};

// ---- Events ----

/// The engine list, complete or as a delta.
struct EngineListUpdate {
  enum class Scope {
    kDelta,       ///< Contains only the entries that have changed.
    kSnapshot,    ///< The complete list: engines not in it are removed.
    kCached,      ///< The complete list as saved by an earlier process; may be outdated.
    kFetchFailed  ///< The subscription could not be opened or has ended; `entries` is empty.
  } scope = Scope::kSnapshot;
  std::vector<EngineEntry> entries;
};

/// Whether discovery has taken this router's question for the engine list and is expected to answer it soon.
/// Meanwhile the list in use may be outdated, and requests that have time are not started. Not awaited at
/// first.
struct EngineListAwaited {
  bool awaited = false;
};

/// A new request.
struct RequestArrived {
  RequestId id;
  std::size_t classIndex = 0;         ///< Index in Settings::classes.
  std::optional<std::size_t> tenant;  ///< Index in Settings::tenants.
  bool isRetry = false;  ///< Whether the client marks it as a retry. No decision depends on the mark.
  Duration timeUntilDeadline{0};
  std::uint64_t sessionKey = 0;  ///< 0 = none.
  std::uint64_t prefixKey = 0;   ///< Key of the prompt prefix shared with other sessions; 0 = none.
  double prefixTokens = 0;
  double promptTokens = 0;
  double maxOutputTokens = 0;                      ///< 0 = not given.
  std::optional<Duration> expectedOutputDuration;  ///< Rough estimate of the answer's duration.
};

/// How an attempt or a probe ended.
enum class Outcome {
  kOk,
  kError,          ///< The engine returned an error; the attempt may have run.
  kRejected,       ///< The engine rejected the attempt, which has not run.
  kStateLost,      ///< The prefill engine no longer has the state; the decode attempt has not run.
  kTimeout,        ///< No answer before the timeout; the attempt may have run.
  kConnectFailed,  ///< The connection could not be established; the attempt has not run.
  kReset,          ///< The connection broke; the attempt may have run.
  kCancelled,      ///< The router cancelled the attempt, which may have run.
  kNotSent,        ///< The host did not send the attempt.
  kPrefilled       ///< The prefill has succeeded and its state waits for a decode engine.
};

struct AttemptEnded {
  RequestId id;
  int attempt = 0;
  EngineId engine;
  Outcome outcome = Outcome::kOk;
  bool requestFinished = false;  ///< Whether the client has its final response.
  double cachedTokens = 0;       ///< Prompt tokens found in the prefix cache (kPrefilled, kOk).
  Duration elapsed{0};
  std::optional<LoadReport> load;
};

/// The first token of an attempt was received.
struct StreamStarted {
  RequestId id;
  int attempt = 0;
  EngineId engine;
  Duration elapsed{0};
};

struct ProbeEnded {
  EngineId engine;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{0};
  std::optional<LoadReport> load;
};

/// An engine's answer to a Reserve action.
struct ReservationResult {
  RequestId id;
  EngineId engine;
  bool reserved = false;
};

struct TimerFired {
  TimerId timer;
};

struct ClientDisconnected {
  RequestId id;
};

/// New settings for a running router. Classes and tenants keep their index, new ones are appended; a class
/// keeps its idempotency, dedupScope and dedupWindow. Changes of the seed and the zone are ignored.
struct SettingsChanged {
  Settings settings;
};

using Event = std::variant<EngineListUpdate, EngineListAwaited, RequestArrived, AttemptEnded, StreamStarted,
                           ProbeEnded, ReservationResult, TimerFired, ClientDisconnected, SettingsChanged>;

// ---- Actions ----

/// Starts an attempt. The attempts of a request are numbered from 0 in the order of these actions.
struct StartAttempt {
  RequestId id;
  EngineId engine;
  Duration timeout{0};
  Duration expectedDuration{0};     ///< For the records: time until the prefill's end or the first token.
  double expectedCachedTokens = 0;  ///< For the records: prompt tokens expected in the prefix cache.
};

/// Reserves capacity for the request at a decode engine.
struct Reserve {
  RequestId id;
  EngineId engine;
};

/// Releases every state and reservation that engines hold for the request.
struct Release {
  RequestId id;
};

/// Final response: the client may retry, because no attempt has had an effect that must not be repeated.
struct RejectRequest {
  RequestId id;
  Duration retryAfter{0};  ///< 0 = no Retry-After.
};

/// Final response: a retry may not be safe, because an attempt may have had an effect.
struct FailRequest {
  RequestId id;
};

struct CancelAttempt {
  RequestId id;
  int attempt = 0;
};

/// Asks an engine for its load report.
struct Probe {
  EngineId engine;
};

struct SubscribeToEngineList {};
struct FetchEngineList {};

struct SetTimer {
  Instant at;
  TimerId timer;
};

struct Log {
  std::string text;
};

using Action = std::variant<StartAttempt, Reserve, Release, RejectRequest, FailRequest, CancelAttempt, Probe,
                            SubscribeToEngineList, FetchEngineList, SetTimer, Log>;

/// Makes one router's decisions. The first event must be an EngineListUpdate. Deterministic: the same
/// settings and events yield the same actions. Not thread-safe.
class Policy {
 public:
  explicit Policy(Settings settings);
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;
  ~Policy();

  /// Handles one event at `now`, which must not decrease between calls, and appends the resulting actions.
  void handle(Instant now, const Event& event, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gannetcourse
