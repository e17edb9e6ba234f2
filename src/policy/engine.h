// The policy's records of one engine. Each record is modified only by the module named as its owner.
#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <map>

#include "decaying_statistics.h"
#include "gannetcourse/policy.h"
#include "units.h"

namespace gannetcourse::policy {

/// Key of a failure score: a class or a tenant. An engine may fail for one class or tenant and still serve
/// the others.
struct HealthKey {
  int value = 0;

  /// Classes map to 0, 1, 2, ...; tenants to -1, -2, -3, ...
  static HealthKey ofClass(std::size_t classIndex) { return {static_cast<int>(classIndex)}; }
  static HealthKey ofTenant(std::size_t tenant) { return {-1 - static_cast<int>(tenant)}; }
  auto operator<=>(const HealthKey&) const = default;
};

/// Failures of an engine's process. Owner: EngineHealth.
struct HealthRecord {
  std::map<HealthKey, DecayingSum> failureScores;
  DecayingSum connectionFailures;  ///< Score of failed or broken connections since the engine's last answer.
  DecayingSum cellSuspicion;       ///< Score for contact lost to other engines of its cell.
  Duration overdue{0};  ///< Longest time by which an attempt in flight exceeds half its silence timeout.
  Instant lastAnswer = kLongAgo;  ///< Latest end of a prefill, first token, or end of a stream.
  std::map<std::size_t, Instant> newestAnsweredStart;  ///< By class: latest start of an answered attempt.
};

/// Load as reported by the engine's process. Owner: LoadScores.
struct ReportedLoad {
  LoadReport report;
  Instant receivedAt = kLongAgo;
  double score = 0.5;  ///< Load score, 0..1 if the reported figures are in their usual range.
};

/// Speed of an engine's process. Owners: CostModel (prefillCost, wait), StreamPace (the sums of streams).
struct PerformanceRecord {
  DecayingMean<Duration> prefillCost;  ///< Prefill time per token.
  DecayingMean<Duration> wait;         ///< Queueing time of attempts before their work begins.
  DecayingSum streamedLengths;         ///< Time streamed, in units of the typical length of the class.
  DecayingSum completedStreams;        ///< Successfully completed streams.
};

/// Data learned about an engine's process; cleared when the process restarts.
struct ProcessRecord {
  ReportedLoad load;
  PerformanceRecord performance;
  HealthRecord health;
  /// Memory of recent decode attempts, which load reports may not include yet. Owner: AttemptManager.
  DecayingSum recentTokens;
};

/// This router's own attempts at an engine. Owner: AttemptManager.
struct EngineAttempts {
  int prefilling = 0;
  int awaitingFirstToken = 0;
  int streaming = 0;
  int sendingState = 0;  ///< Decode attempts at other engines that fetch their state from this engine.
  Tokens queuedPrefillTokens = 0;
  Tokens decodeTokens = 0;  ///< Memory needed by this router's decode attempts and streams.

  /// Attempts that have neither ended their prefill nor sent a first token.
  int unanswered() const { return prefilling + awaitingFirstToken; }
  /// Whether this router has no attempt in flight there.
  bool none() const { return prefilling + awaitingFirstToken + streaming + sendingState == 0; }
};

/// Progress of an engine's slow start. Owner: SlowStart.
struct SlowStartRecord {
  struct Start {
    Instant at;
    double weight;
  };
  Instant since = kLongAgo;    ///< Start of the process, or first answer after lost contact.
  Instant seenAt = kLongAgo;   ///< When this router received the list that shows the start.
  double phase = 0;            ///< Random, 0..1: delay of the first attempt (SlowStart::isWithinBudget).
  std::deque<Start> attempts;  ///< Attempts started within the last Settings::slowStartDuration.
};

/// An engine of the engine list, or one removed from it that still has attempts in flight.
struct Engine {
  EngineEntry entry;
  ProcessRecord process;
  EngineAttempts attempts;
  SlowStartRecord slowStart;
  Instant nextProbeAt{};  ///< Owner: Probing.

  /// Whether it may get new attempts.
  bool isServing() const { return entry.state == EngineEntry::State::kServing; }
  /// Whether it does prefill only.
  bool isPrefill() const { return entry.role == Role::kPrefill; }
  /// Whether it can decode from a transferred state.
  bool canDecode() const { return entry.role == Role::kDecode || entry.role == Role::kMixed; }
};

}  // namespace gannetcourse::policy
