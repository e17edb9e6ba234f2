// The public interface of the decision module: settings and events go in, actions come out.
//
// The module does no I/O, reads no clock and starts no threads. A host feeds it events in the order of time
// and carries out the actions that answer each of them.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gannetcourse {

/// Clock of the host: any steady clock of seconds that never goes back.
struct HostClock {};
using Duration = std::chrono::duration<double>;  ///< Seconds.
using Instant = std::chrono::time_point<HostClock, Duration>;

/// Number of an engine, the same on every router.
struct EngineId {
  std::uint32_t value = 0;
  auto operator<=>(const EngineId&) const = default;
};

/// Name of a request, unique among the open requests of one router.
struct RequestId {
  std::string value;
  auto operator<=>(const RequestId&) const = default;
};

/// Names a timer that the module has set. The host hands it back unread when the timer fires.
struct TimerId {
  std::string value;
  auto operator<=>(const TimerId&) const = default;
};

/// What an engine does: prefill (read prompts), decode (write answers), or both.
enum class Role { kUnknown, kPrefill, kDecode, kMixed };

/// Whether a request may be executed more than once.
enum class Idempotency {
  kIdempotent,      ///< May be repeated freely.
  kIdempotencyKey,  ///< Engines of one DedupScope drop repeats within ClassSettings::dedupWindow.
  kAtMostOnce       ///< Must never be repeated once an attempt may have run.
};

/// The engines among which repeats of a request with an idempotency key are dropped.
enum class DedupScope { kAll, kZone, kCell };

/// Where engines' load reports come from.
enum class LoadReportSource { kNone, kResponses, kProbes };

/// Service objectives and retry safety of one class of requests.
struct ClassSettings {
  Duration ttftObjective{1};          ///< Full value for a first token within this time.
  Duration ttftObjectivePerToken{0};  ///< Added to the objective for each prompt token.
  Duration interTokenObjective{0};    ///< Objective for the time between tokens; 0 = not known.
  double priorityWeight = 1;          ///< Value of a request, or of a unit of its work.
  double lateWeight = 0;              ///< Share of the value that is left after the objective.
  Idempotency idempotency = Idempotency::kIdempotent;
  DedupScope dedupScope = DedupScope::kAll;
  Duration dedupWindow{0};  ///< For how long repeats are dropped.
  bool inService = true;    ///< False: accepted requests are finished, no new ones come.
  bool operator==(const ClassSettings&) const = default;
};

/// Quota of one tenant.
struct TenantSettings {
  double quotaShare = 0;      ///< Of the whole service.
  double quotaPerSecond = 0;  ///< Requests within the quota, over all routers; 0 = not known.
  bool inService = true;      ///< False: no new requests come.
};

/// What a router is told at its start and by SettingsChanged: all that the module knows beforehand.
struct Settings {
  std::uint64_t seed = 0;  ///< For the module's random numbers.
  int routerCount = 1;     ///< Routers like this one, itself included.
  std::uint32_t zone = 0;  ///< Where this router is, numbered as in EngineEntry.
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double overQuotaWeight = 1;         ///< Share of the value for traffic beyond a tenant's quota.
  bool weightByTokens = false;        ///< Value counts for each unit of work instead of each request.
  bool subscribeToDiscovery = false;  ///< The engine list must be subscribed to.
  LoadReportSource loadReportSource = LoadReportSource::kNone;
  bool probesAllowed = false;
  bool cancelAllowed = false;
  bool reserveAllowed = false;
  bool clientsHonorRetryAfter = false;  ///< Clients get the Retry-After of a rejection.
  bool decodeCanPrefill = false;        ///< A decode engine reads a prompt that comes without a state.
  int maxAttempts = 1;                  ///< Attempts of one request in all; prefill and decode count apart.
  Duration maxRetryAfter{0};
  Duration connectTimeout{0};   ///< An attempt may leave this much later while its connection comes up.
  Duration stateLeaseLimit{0};  ///< A state or reservation is used or released within this; 0 = no limit.
  Duration responseGrace{0};    ///< How long after the client's deadline a response still counts.
  Duration tick{0};             ///< The host's step.
  Duration slowStartWindow{0};  ///< A warming engine fails when overloaded for this long ...
  double slowStartOverloadFactor = 1;   ///< ... by this multiple of its present capacity.
  double slowStartInitialCapacity = 1;  ///< Share of its capacity that an engine starts with, at least.
  Duration slowStartDuration{0};        ///< An engine has its full capacity after this, at most.
  double probeCost = 0;                 ///< Result lost for one probe a request.
};

/// One engine of the engine list.
struct EngineEntry {
  EngineId id;
  Role role = Role::kUnknown;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;   ///< Engines of one cell transfer states quickly.
  double memoryTokens = 0;  ///< Capacity for states, in tokens; 0 = not known.
  enum class State { kServing, kDraining, kRemoved } state = State::kServing;
  std::optional<Instant> startedAt;  ///< Start of its process; absent = long ago.
};

/// An engine's own load figures: late, not exact, any of them may be missing.
struct LoadReport {
  std::optional<double> requestsInFlight;
  std::optional<double> requestsQueued;
  std::optional<double> slotUtilization;      ///< Share of its slots, 0..1.
  std::optional<double> memoryUtilization;    ///< Share of its memory, 0..1.
  std::optional<double> queuedPrefillTokens;  ///< Prompt tokens that wait to be read or fetched.
};

// ---- Events ----

/// The engine list, whole or in part.
struct EngineListUpdate {
  enum class Scope {
    kDelta,       ///< Only the entries that have changed.
    kSnapshot,    ///< The whole list: what it leaves out is removed.
    kCached,      ///< The whole list as saved by an earlier process; may be out of date.
    kFetchFailed  ///< The subscription could not be opened or has ended; no entries.
  } scope = Scope::kSnapshot;
  std::vector<EngineEntry> entries;
};

/// A new request.
struct RequestArrived {
  RequestId id;
  std::size_t classIndex = 0;  ///< In Settings::classes.
  std::optional<std::size_t> tenant;
  bool isRetry = false;
  Duration timeUntilDeadline{0};
  std::uint64_t sessionKey = 0;  ///< 0 = none.
  std::uint64_t prefixKey = 0;   ///< Of the beginning shared with other sessions; 0 = none.
  double prefixTokens = 0;
  double promptTokens = 0;
  double maxOutputTokens = 0;                      ///< 0 = not given.
  std::optional<Duration> expectedOutputDuration;  ///< Rough guess of how long the answer takes.
};

/// How an attempt or a probe ended.
enum class Outcome {
  kOk,
  kError,          ///< The engine answered with an error; it may have run.
  kRejected,       ///< The engine shed it; it has not run.
  kStateLost,      ///< The prefill engine no longer has the state; it has not run.
  kTimeout,        ///< No answer in time; it may have run.
  kConnectFailed,  ///< The connection never came up; it has not run.
  kReset,          ///< The connection broke; it may have run.
  kCancelled,      ///< This side cancelled it; it may have run.
  kNotSent,        ///< The host did not send it.
  kPrefilled       ///< The prefill has ended well and its state waits for a decode engine.
};

struct AttemptEnded {
  RequestId id;
  int attempt = 0;
  EngineId engine;
  Outcome outcome = Outcome::kOk;
  bool requestFinished = false;  ///< The client has its final response.
  double cachedTokens = 0;       ///< Prompt tokens found in the prefix cache (kPrefilled, kOk).
  Duration elapsed{0};
  std::optional<LoadReport> load;
};

/// The first token of an attempt has come.
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

/// Answer to a Reserve.
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

/// New settings for a running router. Classes and tenants stay at their places, more may follow them; a class
/// keeps its idempotency, scope and window there. The seed and the zone stay as they were.
struct SettingsChanged {
  Settings settings;
};

using Event = std::variant<EngineListUpdate, RequestArrived, AttemptEnded, StreamStarted, ProbeEnded,
                           ReservationResult, TimerFired, ClientDisconnected, SettingsChanged>;

// ---- Actions ----

/// Starts an attempt. Attempts of a request are numbered from 0 in this order.
struct StartAttempt {
  RequestId id;
  EngineId engine;
  Duration timeout{0};
  Duration expectedDuration{0};     ///< For the records: until the prefill's end or the first token.
  double expectedCachedTokens = 0;  ///< For the records: prompt tokens expected in the prefix cache.
};

/// Reserves room for the request at a decode engine.
struct Reserve {
  RequestId id;
  EngineId engine;
};

/// Releases every state and reservation held for the request.
struct Release {
  RequestId id;
};

/// Final: no attempt has had an effect, so the client may try again.
struct RejectRequest {
  RequestId id;
  Duration retryAfter{0};  ///< 0 = no advice.
};

/// Final: promises nothing.
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

/// One router's decisions. The first event must be an EngineListUpdate. The same settings and events give the
/// same actions. Not thread-safe.
class Policy {
 public:
  explicit Policy(Settings settings);
  Policy(Policy&&) noexcept;
  Policy& operator=(Policy&&) noexcept;
  ~Policy();

  /// Takes one event at `now`, which never goes back, and appends the actions that answer it.
  void handle(Instant now, const Event& event, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gannetcourse
