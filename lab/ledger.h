// The audit: joins what clients and engines saw on their sockets and checks it against the rules. It knows
// nothing of what a node reports of itself. No I/O; times are seconds of the lab's clock.
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

using ClientAttemptId = std::uint64_t;   ///< 16 times the request's number, plus the attempt's.
using EngineAttemptKey = std::uint64_t;  ///< One call to an engine.

/// The rules' limits, and what the audit allows for a busy machine. Durations are seconds.
struct AuditRules {
  double drainGrace = 1, stateLeaseLimit = 1;
  double allowance = 0.15;  ///< For a loop that was late: added to grace, lease limit and deadlines.
  double slowStartOverloadFactor = 2.5, slowStartWindow = 2;
  struct Class {
    Idempotency idempotency = Idempotency::kIdempotent;
    DedupScope dedupScope = DedupScope::kAll;
    double dedupWindow = 0;
  };
  std::vector<Class> classes;
};

/// What the audit has counted. The first line is of client attempts, the second of broken rules.
struct AuditCounts {
  std::uint64_t requests = 0, served = 0, rejected = 0, failed = 0;
  std::uint64_t unanswered = 0, secondResponses = 0, late = 0, overlapping = 0, duplicateEffects = 0,
                afterDrain = 0, slowStartOverloads = 0, expiredStateLeases = 0, tokenFaults = 0;
  // Of streams that lost their decode engine well before the client's deadline: all; of idempotent classes;
  // of those, the ones that were continued, and that were complete in the end.
  std::uint64_t broken = 0, resumable = 0, resumed = 0, completed = 0;
  double prefilledAnew = 0;     ///< Prompt tokens prefilled for continuations, without cached ones.
  bool clean() const;           ///< Whether no rule was broken.
  std::string line() const;     ///< "audit: requests=N served=N ..."
  std::string streams() const;  ///< "broken=N resumed=N whole=N resumable=N anew=N"
};

/// How an attempt ended for its client.
enum class ClientEnd { kServed, kRejected, kFailed, kInvalidRequest, kConnectionLost, kCancelled };

/// Collects what was seen; finish() gives the result.
class Ledger {
 public:
  explicit Ledger(AuditRules rules) : rules_(std::move(rules)) {}

  // ---- Clients ----
  void onClientAttemptStarted(ClientAttemptId id, std::size_t classIndex, double at, double deadline,
                              std::uint32_t mostTokens);
  void onClientToken(ClientAttemptId id, std::uint32_t index, const std::string& text);
  /// `lag` is how late the lab's own loop was around then.
  void onClientAttemptEnded(ClientAttemptId id, ClientEnd end, double at, double lag);
  void onSecondResponse() { ++counts_.secondResponses; }

  // ---- Engines ----
  struct EngineName {
    std::uint32_t id = 0, zone = 0, cell = 0;
  };
  EngineAttemptKey onEngineAttemptOpened(const EngineName& engine, const std::string& node,
                                         const std::string& request, ClientAttemptId id, double at);
  void onEngineAttemptClosed(EngineAttemptKey key, double at);
  bool isOpen(EngineAttemptKey key) const { return openAttempts_.count(key) > 0; }
  /// Other open attempts of the same request, with their engines.
  std::map<EngineAttemptKey, std::uint32_t> otherOpenAttempts(EngineAttemptKey key) const;
  void onConcurrentAttempts() { ++counts_.overlapping; }
  /// A decode engine's stream ended before it was complete; a stream began past its first token.
  void onStreamCut(ClientAttemptId id, double at);
  void onStreamResumed(ClientAttemptId id);
  void onPromptPrefilled(ClientAttemptId id, double tokens);
  /// A response began to be generated for it: the effect.
  void onEffect(EngineAttemptKey key, double at);

  /// `unheard`: its node cannot have been notified.
  void onStateCreated(const EngineName& engine, const std::string& request, const std::string& state,
                      double at, bool unheard = false);
  void onStateReleased(const std::string& state, double at);
  void onEngineSilent(std::uint32_t engine);  ///< No release can reach it.

  /// The load of an engine in slow start; true where it fails from overload now.
  void onEngineStarted(std::uint32_t engine, double at);
  bool onSlowStartLoad(std::uint32_t engine, const std::string& node, double weight, double able, double at);

  // ---- Registry ----
  void onNotifiedNotServing(const std::string& node, std::uint32_t engine,
                            double at);  ///< Draining or removed.
  void onNotifiedServing(const std::string& node, std::uint32_t engine);
  void onNotifiedStart(const std::string& node, std::uint32_t engine, double startedAt);

  /// Ends the audit: what is still open counts.
  AuditCounts finish(double at);
  const AuditCounts& counts() const { return counts_; }
  std::size_t openAttempts() const { return openAttempts_.size(); }
  std::size_t openStates() const { return states_.size(); }
  /// What was found, a line each, the first few hundred.
  const std::vector<std::string>& findings() const { return findings_; }

 private:
  struct ClientAttempt {
    std::size_t classIndex = 0;
    double startedAt = 0, deadline = 0;
    std::uint32_t maxTokens = 0, nextIndex = 0;
    bool ended = false, faulty = false, cut = false, resumed = false;
    ClientEnd end = ClientEnd::kConnectionLost;
  };
  struct EngineAttempt {
    EngineName engine;
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
  struct Effected {
    EngineName engine;
    double at = 0;
  };
  void addFinding(const std::string& what);
  void countBroken(const ClientAttempt& t);
  void checkStateLease(const State& state, double until);

  AuditRules rules_;
  AuditCounts counts_;
  std::unordered_map<ClientAttemptId, ClientAttempt> clientAttempts_;
  std::unordered_map<EngineAttemptKey, EngineAttempt> openAttempts_;
  EngineAttemptKey lastAttempt_ = 0;
  std::unordered_map<std::string, std::vector<std::pair<double, double>>> spans_;  // of a request's attempts
  std::unordered_map<std::string, std::set<EngineAttemptKey>> openAttemptsOf_;
  std::unordered_map<std::string, State> states_;
  std::unordered_map<ClientAttemptId, std::vector<Effected>> effects_;  // by ask
  std::map<std::pair<std::string, std::uint32_t>, double> notServingSince_;
  std::map<std::pair<std::string, std::uint32_t>, double> notifiedStarts_;
  std::map<std::uint32_t, double> starts_;
  struct Load {
    double at, weight;
    bool knew;
  };
  std::map<std::uint32_t, std::vector<Load>> slowStartLoads_;
  std::vector<std::string> findings_;
};

}  // namespace gannetcourse::lab
