// What the policy knows of one engine. Each record is changed by the module named beside it, and by no other.
#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <map>

#include "decaying_statistics.h"
#include "gannetcourse/policy.h"
#include "units.h"

namespace gannetcourse::policy {

/// A class or a tenant: an engine may fail for one of them and serve the others.
struct HealthKey {
  int value = 0;

  /// Classes from 0 up, tenants from -1 down.
  static HealthKey ofClass(std::size_t classIndex) { return {static_cast<int>(classIndex)}; }
  static HealthKey ofTenant(std::size_t tenant) { return {-1 - static_cast<int>(tenant)}; }
  auto operator<=>(const HealthKey&) const = default;
};

/// Failures of an engine's process. Owner: EngineHealth.
struct HealthRecord {
  std::map<HealthKey, DecayingSum> failureScores;
  DecayingSum connectionFailures;  ///< Connections that failed or broke since its last answer.
  DecayingSum cellSuspicion;       ///< Contact may be lost, as it was with others of its cell.
  Duration overdue{0};             ///< How far its latest unanswered attempt is past half of its patience.
  Instant lastAnswer = kLongAgo;   ///< When it last ended a prefill or began a stream.
  std::map<std::size_t, Instant> newestAnsweredStart;  ///< By class: start of the newest answered attempt.
};

/// Load as the engine's process reports it. Owner: LoadScores.
struct ReportedLoad {
  LoadReport report;
  Instant receivedAt = kLongAgo;
  double score = 0.5;  ///< Load score, 0..1 where figures are in their usual range.
};

/// Speed of an engine's process. Owners: CostModel (prefill, wait), StreamPace (streams).
struct PerformanceRecord {
  DecayingMean<Duration> prefillCost;  ///< Time of a prefill's token.
  DecayingMean<Duration> wait;         ///< Time that attempts wait before their work begins.
  DecayingSum streamedLengths;         ///< Time streamed, in typical lengths.
  DecayingSum completedStreams;        ///< Streams that ended well.
};

/// All that was learned of an engine's process; a restart clears it.
struct ProcessRecord {
  ReportedLoad load;
  PerformanceRecord performance;
  HealthRecord health;
  DecayingSum recentTokens;  ///< Started there lately and not in its reports yet. Owner: AttemptManager.
};

/// This router's own attempts at an engine. Owner: AttemptManager.
struct EngineAttempts {
  int prefilling = 0;
  int awaitingFirstToken = 0;
  int streaming = 0;
  int sendingState = 0;  ///< Decode attempts elsewhere that fetch their state from here.
  Tokens queuedPrefillTokens = 0;
  Tokens decodeTokens = 0;  ///< Memory that states and streams need.

  /// Attempts without a first token or the end of their prefill.
  int unanswered() const { return prefilling + awaitingFirstToken; }
  /// Whether nothing of this router is in flight there.
  bool none() const { return prefilling + awaitingFirstToken + streaming + sendingState == 0; }
};

/// Progress of an engine's slow start. Owner: SlowStart.
struct SlowStartRecord {
  struct Start {
    Instant at;
    double weight;
  };
  Instant since = kLongAgo;    ///< Start of the process, or the first answer after contact was lost.
  Instant seenAt = kLongAgo;   ///< When this router heard of the start.
  double phase = 0;            ///< Random, 0..1: when the first attempt comes, as a part of the gap.
  std::deque<Start> attempts;  ///< Of one slow start duration.
};

/// An engine of the list, or one that has left it with attempts still in flight.
struct Engine {
  EngineEntry entry;
  ProcessRecord process;
  EngineAttempts attempts;
  SlowStartRecord slowStart;
  Instant nextProbeAt{};  ///< Owner: Probing.

  /// Whether it gets new attempts.
  bool isServing() const { return entry.state == EngineEntry::State::kServing; }
  /// Whether prefill is its only work.
  bool isPrefill() const { return entry.role == Role::kPrefill; }
  /// Whether states can be transferred to it.
  bool canDecode() const { return entry.role == Role::kDecode || entry.role == Role::kMixed; }
};

}  // namespace gannetcourse::policy
