// The recovery module. It decides which running streams are migrated away from their engine, whether and when
// a lost stream is continued at another decode engine, and which lost streams are given up.
//
// The module does no I/O, reads no clock and starts no threads; the time is passed with each call. The policy
// selects the engines of a continuation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::recovery {

using StreamKey = std::uint64_t;  ///< Id of a stream, assigned by the host.

/// Limits on the cost and the waiting times of recovery. "By class" means indexed like Settings::classes.
struct Limits {
  bool enabled = true;

  // ---- Whether a stream is continued ----
  int maxContinuations = 3;   ///< Continuations of one request, 0 to 100.
  int maxAttempts = 4;        ///< Total attempts of one request; a continuation takes a prefill and a decode.
  Duration minTimeLeft{0.5};  ///< Least time before the client's deadline to start a continuation.
  Duration maxWait{1.5};      ///< How long a lost stream may wait until the budget allows its continuation.
  /// Prompt tokens that continuations may prefill, as a share of those that new requests prefill.
  double rebuildShare = 0.5;
  double rebuildBurst = 100000;  ///< Tokens in the budget at the start, and its maximum.

  // ---- When a stream is migrated away from its engine ----
  Duration minSilence{1.5};         ///< A stream is silent only if it pauses for longer than this time ...
  double silenceFactor = 12;        ///< ... and than this multiple of its class's token interval.
  double slowFactor = 4;            ///< A stream this many times slower than its class may be migrated ...
  Duration slowDuration{1.5};       ///< ... after this time, if it would miss its deadline otherwise.
  Duration migrationLeadTime{0.3};  ///< Long streams are migrated this long before their engine shuts down.
  Duration goAwayGrace{3};          ///< How long an engine is assumed to keep sending after its GOAWAY.

  // ---- When an attempt is certain to have ended ----
  Duration engineLease{2};  ///< An engine without contact to this router for this long ends its streams.
  Duration fenceRetryInterval{0.25};  ///< Time between two fence requests to an engine that does not answer.

  // ---- What is buffered ----
  std::uint64_t maxBufferedBytesPerStream = 64 * 1024;
  std::uint64_t maxBufferedBytes = 64 * 1024 * 1024;  ///< For all streams together.

  std::vector<Idempotency> idempotency;  ///< By class: only kIdempotent streams are continued.
  /// By class: streams of greater weight are continued first; of equal weight, those with less time.
  std::vector<double> priorityWeights;
};

/// A stream at its start on a decode engine.
struct Stream {
  std::size_t classIndex = 0;
  EngineId engine;
  /// Tokens in the prompt at this start. A continuation also prefills the tokens received after it.
  double promptTokens = 0;
  double remainingTokens = 0;  ///< Upper bound of the tokens still to be received at this start.
  Instant deadline{};
  int continuations = 0, attempts = 0;  ///< Of the request so far.
};

/// How certain the host is that a stream's attempt has ended at its engine.
enum class AttemptEnd {
  kConfirmed,  ///< The engine confirmed the end by a status, a reset, or by closing the connection.
  kAbandoned   ///< This router gave the attempt up; the attempt may still run at the engine.
};

/// A stream that has ended before its answer was complete.
struct LostStream {
  StreamKey stream = 0;
  std::size_t classIndex = 0;
  double tokensToPrefill = 0;  ///< Tokens of the prompt and of the text sent so far.
  Duration timeUntilDeadline{0};
  int continuations = 0, attempts = 0;  ///< Of the request so far.
  AttemptEnd attemptEnd = AttemptEnd::kConfirmed;
};

/// How to proceed with a lost stream.
enum class Disposition {
  kContinue,
  kWait,        ///< Wait for the budget; takeDueStreams() returns the stream later.
  kFenceFirst,  ///< Fence the attempt; the stream waits until the attempt is certain to have ended.
  kGiveUp
};
/// A disposition with its reason.
struct Decision {
  Disposition disposition = Disposition::kGiveUp;
  std::string reason;  ///< For the records, and for the client if the stream is given up.
};

/// Tracks one router's streams from their first token until forget(), and owns the budget of continuations.
/// Not thread-safe. `now` must not decrease between calls.
class Recovery {
 public:
  explicit Recovery(Limits limits);
  /// Existing classes keep their index and their idempotency; new ones are appended. The other limits do not
  /// change.
  void updateClasses(std::vector<Idempotency> idempotency, std::vector<double> priorityWeights,
                     int maxAttempts);

  /// Whether streams of this class can be continued, so that the host has to buffer their text.
  bool isResumable(std::size_t classIndex) const;

  // ---- Running streams ----
  /// A stream has started, or its continuation has. A continued stream keeps its count of buffered bytes.
  void onStreamStarted(Instant now, StreamKey stream, const Stream& started);
  /// A token was received. Returns whether the stream's text so far is completely buffered. It is not if a
  /// buffer limit was exceeded or the class is not resumable; the stream then cannot be continued.
  bool onToken(Instant now, StreamKey stream, std::size_t bytes);
  /// While the client does not read, a pause of the stream does not count as silence of the engine.
  void onClientPaused(Instant now, StreamKey stream, bool paused);
  /// The engine will shut down at `endsAt`; absent: the shutdown was called off. The notice expires at
  /// `endsAt`. After that the engine counts as running, because it may have restarted under the same id.
  void onEngineShutdownNotice(EngineId engine, std::optional<Instant> endsAt);
  /// The engine will shut down at a time that it does not state; Limits::goAwayGrace is assumed.
  void onGoAway(Instant now, EngineId engine);

  /// A stream to migrate, with the reason for the records.
  struct Migration {
    StreamKey stream = 0;
    const char* reason = "";
  };
  /// Streams to be migrated away from their engines now, in descending order of priority weight, then by the
  /// client's deadline. Their
  /// continuations are already charged to the budget, so they do not wait for it: once a stream's attempt is
  /// certain to have ended, its continuation can start. A stream is migrated if
  ///  - it is silent for too long, compared to the token interval of its class, while other streams receive
  ///    tokens (if all streams are silent, none is migrated),
  ///  - it would miss its deadline at its own rate and meet the deadline at the rate of its class,
  ///  - its engine is about to shut down; these migrations are spread over the remaining time.
  std::vector<Migration> streamsToMigrate(Instant now);

  // ---- Lost streams ----
  /// A stream has ended before its answer was complete, or the host has cancelled it. On kWait the stream
  /// waits for the budget, on kFenceFirst for the end of its attempt. The wait ends when takeDueStreams()
  /// returns the stream to be continued or given up, when onAttemptFenced() continues it, or with forget().
  Decision onStreamLost(Instant now, const LostStream& stream);
  /// The engine has confirmed that the stream's attempt has ended. Returns kContinue if the stream is to be
  /// continued now, and kWait if it still waits.
  Disposition onAttemptFenced(Instant now, StreamKey stream);
  /// Waiting streams that need an action now.
  struct DueStreams {
    std::vector<StreamKey> toContinue;  ///< In descending order of priority weight, then by deadline.
    std::vector<StreamKey> toGiveUp;    ///< Streams that have waited longer than allowed.
    std::vector<StreamKey> toFence;     ///< Streams whose attempt is to be fenced, possibly once more.
  };
  /// Returns the waiting streams that need an action. The streams to continue or to give up no longer wait
  /// afterwards.
  DueStreams takeDueStreams(Instant now);
  /// The request has ended: stops tracking its stream, whether the stream runs or waits.
  void forget(StreamKey stream);
  /// A new request's prefill has started: adds rebuildShare of its tokens to the budget.
  void onPrefillStarted(double tokens);

  /// When streamsToMigrate() and takeDueStreams() are to be called next; absent if there is no stream.
  std::optional<Instant> nextCheck() const;
  /// Bytes of text that the host has to keep buffered for all streams.
  std::uint64_t bufferedBytes() const { return bufferedBytes_; }

 private:
  // A stream from its first token on, also while it waits for a continuation.
  struct TrackedStream {
    Stream start;
    Instant lastTokenAt, slowSince;
    Duration tokenInterval{0};  // smoothed interval of this stream at this engine
    std::uint64_t tokens = 0;   // received since the stream started at this engine
    std::uint64_t bufferedBytes = 0;
    bool isPaused = false;
    bool isBufferComplete = true;  // the whole text is buffered
    bool isLost = false;
    bool hasBudget = false;  // its continuation is charged to the budget
    bool isSlow = false;
  };
  struct WaitingStream {
    LostStream lost;
    Instant since;
    Instant attemptEndsAt;  // when the attempt is certain to have ended
    Instant fenceAt;        // when the next fence request is due
    bool hasBudget = false;
  };
  struct MigrationCandidate {
    Migration migration;
    double priorityWeight = 0;
    Instant deadline{};
    double tokensToPrefill = 0;
    std::optional<EngineId> endingEngine;  // the stream's engine, if its shutdown is the reason
  };

  // Null if the stream may be continued.
  const char* reasonAgainstContinuation(const LostStream& stream) const;
  bool canMigrate(Instant now, StreamKey key, const TrackedStream& stream) const;
  const char* reasonToMigrate(Instant now, const TrackedStream& stream) const;
  bool isSilent(Instant now, const TrackedStream& stream) const;
  bool outlastsItsEngine(Instant now, const TrackedStream& stream) const;
  bool wouldGainByMigration(Instant now, const TrackedStream& stream) const;
  std::vector<MigrationCandidate> migrationCandidates(Instant now) const;
  std::map<EngineId, std::size_t> migrationWaveSizes(Instant now,
                                                     const std::vector<MigrationCandidate>& candidates) const;

  bool isAnyWaitingForBudget(Instant now) const;
  bool canAfford(double tokens) const { return budget_ >= tokens; }
  Duration timeLeft(Instant now, const WaitingStream& waiting) const;
  std::vector<WaitingStream*> waitingByPriority();
  Disposition nextStep(Instant now, WaitingStream& waiting);

  void updateTokenInterval(Instant now, TrackedStream& stream);
  Duration& mutableClassTokenInterval(std::size_t classIndex);
  Duration classTokenInterval(std::size_t classIndex) const;
  double priorityWeight(std::size_t classIndex) const;

  Limits limits_;
  std::unordered_map<StreamKey, TrackedStream> streams_;
  std::map<StreamKey, WaitingStream> waiting_;
  std::vector<Duration> classTokenIntervals_;  // typical time between two tokens, by class
  Instant lastTokenAt_{};                      // last token of any stream
  double budget_;                              // tokens that continuations may prefill
  std::uint64_t bufferedBytes_ = 0;
  std::map<EngineId, Instant> shutdownAt_;
  Instant lastCheckAt_{};
};

}  // namespace gannetcourse::recovery
