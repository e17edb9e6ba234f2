// The audit: combines what clients and engines observed on their sockets and checks it against the rules.
// It does not use anything that a node reports about itself. No I/O; times are seconds of the lab's clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::lab {

using ClientAttemptId = std::uint64_t;   ///< 16 * request number + the client's attempt number.
using EngineAttemptKey = std::uint64_t;  ///< Identifies one call to an engine.

/// The limits of the rules, and the tolerance for a busy machine. Durations are seconds.
struct AuditRules {
  double drainGrace = 1, stateLeaseLimit = 1;
  double allowance = 0.15;  ///< Tolerance for a late event loop, added to drain grace and lease limit.
  double slowStartOverloadFactor = 2.5, slowStartWindow = 2;
  struct Class {
    Idempotency idempotency = Idempotency::kIdempotent;
    DedupScope dedupScope = DedupScope::kAll;
    double dedupWindow = 0;
  };
  std::vector<Class> classes;
};

/// The results of the audit.
struct AuditCounts {
  // Client attempts.
  std::uint64_t requests = 0, served = 0, rejected = 0, failed = 0;
  // Violations of the rules.
  std::uint64_t unanswered = 0, secondResponses = 0, late = 0, overlapping = 0, duplicateEffects = 0,
                afterDrain = 0, slowStartOverloads = 0, expiredStateLeases = 0, tokenFaults = 0;
  // `broken` counts the streams that lost their decode engine at least 1 s before the client's deadline.
  // `resumable` counts the broken streams of idempotent classes, `resumed` the resumable streams that were
  // continued, and `completed` the resumed streams that delivered every token.
  std::uint64_t broken = 0, resumable = 0, resumed = 0, completed = 0;
  double reprefilledTokens = 0;       ///< Uncached prompt tokens prefilled for continuations.
  bool clean() const;                 ///< Whether no rule was violated.
  std::string summary() const;        ///< "audit: requests=N served=N ..."
  std::string streamSummary() const;  ///< "broken=N resumed=N whole=N resumable=N anew=N"
};

/// How a client's attempt ended.
enum class ClientEnd { kServed, kRejected, kFailed, kInvalidRequest, kConnectionLost, kCancelled };

/// Collects the observations of clients, engines and registry; finish() returns the result.
class Ledger {
 public:
  explicit Ledger(AuditRules rules) : rules_(std::move(rules)) {}

  // ---- Clients ----
  void onClientAttemptStarted(ClientAttemptId id, std::size_t classIndex, double at, double deadline,
                              std::uint32_t maxTokens);
  void onClientToken(ClientAttemptId id, std::uint32_t index, const std::string& text);
  /// `lag` is the recent delay of the lab's event loop, in seconds. A response that is late by at most `lag`
  /// is not counted as late, because the lab may only have read it late.
  void onClientAttemptEnded(ClientAttemptId id, ClientEnd end, double at, double lag);
  /// A client received a frame on a stream that had already ended.
  void onSecondResponse() { ++counts_.secondResponses; }

  // ---- Engines ----
  struct EngineInfo {
    std::uint32_t id = 0, zone = 0, cell = 0;
  };
  EngineAttemptKey onEngineAttemptOpened(const EngineInfo& engine, const std::string& node,
                                         const std::string& request, ClientAttemptId id, double at);
  void onEngineAttemptClosed(EngineAttemptKey key, double at);
  bool isOpen(EngineAttemptKey key) const { return openAttempts_.count(key) > 0; }
  /// The open attempts of the same request that were opened before attempt `key`, with the ids of their
  /// engines.
  std::map<EngineAttemptKey, std::uint32_t> otherOpenAttempts(EngineAttemptKey key) const;
  /// Counts a violation: two attempts of a request were open at the same time.
  void onConcurrentAttempts() { ++counts_.overlapping; }
  /// A decode engine's stream ended before it was complete.
  void onStreamInterrupted(ClientAttemptId id, double at);
  /// A decode engine received a request whose first token index is above 0.
  void onStreamContinued(ClientAttemptId id);
  /// An engine has prefilled a prompt; `tokens` excludes cached ones.
  void onPromptPrefilled(ClientAttemptId id, double tokens);
  /// An engine has started to generate the attempt's response, which counts as the request's effect.
  void onEffect(EngineAttemptKey key, double at);

  /// `nodeUnreachable`: whether the engine's reply cannot reach the node. The lease limit does not apply
  /// then, because the node does not know that it has to release the state.
  void onStateCreated(const EngineInfo& engine, const std::string& request, const std::string& state,
                      double at, bool nodeUnreachable = false);
  void onStateReleased(const std::string& state, double at);
  /// The engine has become silent. Its states are exempt from the lease limit, because no release reaches it.
  void onEngineSilent(std::uint32_t engine);

  void onEngineStarted(std::uint32_t engine, double at);
  /// An attempt arrived at an engine in slow start. `weight` is the cost of the attempt relative to a mean
  /// request (at least 1), `capacity` the engine's current capacity in mean requests per second. Returns true
  /// if this load makes the engine fail from overload.
  bool onSlowStartLoad(std::uint32_t engine, const std::string& node, double weight, double capacity,
                       double at);

  // ---- Registry ----
  /// The registry has told the node that the engine is draining or removed.
  void onNotifiedNotServing(const std::string& node, std::uint32_t engine, double at);
  void onNotifiedServing(const std::string& node, std::uint32_t engine);
  void onNotifiedStart(const std::string& node, std::uint32_t engine, double at);

  /// Ends the audit. Client attempts without a final response, engine attempts that are still open, and
  /// states held beyond the lease limit count as violations.
  AuditCounts finish(double at);
  const AuditCounts& counts() const { return counts_; }
  std::size_t openAttempts() const { return openAttempts_.size(); }
  std::size_t openStates() const { return states_.size(); }
  /// A description of each violation, one line each; only the first 300.
  const std::vector<std::string>& findings() const { return findings_; }

 private:
  struct ClientAttempt {
    std::size_t classIndex = 0;
    double startedAt = 0, deadline = 0;
    std::uint32_t maxTokens = 0, nextIndex = 0;
    bool ended = false, hasTokenFault = false, interrupted = false, resumed = false;
    ClientEnd end = ClientEnd::kConnectionLost;
  };
  struct EngineAttempt {
    EngineInfo engine;
    std::string request;
    ClientAttemptId id = 0;
    double from = 0;
  };
  struct State {
    std::uint32_t engine = 0;
    std::string request;
    double from = 0;
    bool exempt = false;
  };
  struct Effect {
    EngineInfo engine;
    double at = 0;
  };
  void addFinding(const std::string& text);
  void countBrokenStream(const ClientAttempt& attempt);
  void checkStateLease(const State& state, double until);

  AuditRules rules_;
  AuditCounts counts_;
  std::unordered_map<ClientAttemptId, ClientAttempt> clientAttempts_;
  std::unordered_map<EngineAttemptKey, EngineAttempt> openAttempts_;
  EngineAttemptKey lastAttempt_ = 0;
  std::unordered_map<std::string, std::vector<std::pair<double, double>>>
      attemptSpans_;  // by request: start, end
  std::unordered_map<std::string, std::set<EngineAttemptKey>> openAttemptsOf_;
  std::unordered_map<std::string, State> states_;
  std::unordered_map<ClientAttemptId, std::vector<Effect>> effects_;  // by request number
  std::map<std::pair<std::string, std::uint32_t>, double> notServingSince_;
  std::map<std::pair<std::string, std::uint32_t>, double> notifiedStarts_;
  std::map<std::uint32_t, double> starts_;
  struct Load {
    double at, weight;
    bool nodeNotified;
  };
  std::map<std::uint32_t, std::vector<Load>> slowStartLoads_;
  std::vector<std::string> findings_;
};

}  // namespace gannetcourse::lab
