// The recovery module: when a stream counts as lost, whether and when it is continued at another decode
// engine, and when to give it up at once is the better answer.
//
// No I/O, clock or threads; the time comes in with each call. The policy still picks the engines of a
// continuation.
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

using StreamKey = std::uint64_t;  ///< The host's number of a stream.

/// What recovery may cost, and how long it waits. By class: the index is that of Settings::classes.
struct Limits {
  bool enabled = true;

  // ---- Whether a stream is continued ----
  int maxContinuations = 3;  ///< Of one request, 0 to 100.
  int maxAttempts = 4;  ///< Of one request in all; a continuation takes two, a prefill and a decode call.
  Duration minTimeLeft{0.5};  ///< Until the client's deadline, for a continuation to begin.
  Duration maxWait{1.5};      ///< How long a lost stream waits for its share of the budget.
  /// Prompt tokens that continuations may prefill, as a share of those that new requests do.
  double rebuildShare = 0.5;
  double rebuildBurst = 100000;  ///< The same ahead of new requests, tokens.

  // ---- When a stream is taken from its engine ----
  Duration minSilence{1.5};         ///< A stream that paused for less is never migrated ...
  double silenceFactor = 12;        ///< ... nor for less than so many times the token interval of its class.
  double slowFactor = 4;            ///< A stream so many times slower than its class may be migrated ...
  Duration slowDuration{1.5};       ///< ... after so long, if it would miss its deadline otherwise.
  Duration migrationLeadTime{0.3};  ///< Before an engine shuts down, its long streams are to be elsewhere.
  Duration goAwayGrace{3};          ///< How long an engine that sent GOAWAY is taken to go on sending.

  // ---- When an attempt has ended for certain ----
  Duration engineLease{2};  ///< An engine that hears nothing of this router for so long ends its streams.
  Duration fenceRetryInterval{0.25};  ///< Between two fence requests to an engine that does not answer.

  // ---- What is buffered ----
  std::uint64_t maxBufferedBytesPerStream = 64 * 1024;
  std::uint64_t maxBufferedBytes = 64 * 1024 * 1024;  ///< Of all streams.

  std::vector<Idempotency> idempotency;  ///< By class: only kIdempotent streams are continued.
  std::vector<double> priorityWeights;   ///< By class: the greater comes first when not all can be continued.
};

/// A stream as it starts at a decode engine.
struct Stream {
  std::size_t classIndex = 0;
  EngineId engine;
  /// What a continuation would have to prefill, without the tokens sent from here on.
  double promptTokens = 0;
  double remainingTokens = 0;  ///< The most that may still come.
  Instant deadline{};
  int continuations = 0, attempts = 0;  ///< Of its request so far.
};

/// What the host knows of how a stream's attempt ended.
enum class AttemptEnd {
  kConfirmed,  ///< The engine said so: by a status, a reset, or by closing the connection.
  kAbandoned   ///< This router gave it up: the engine may not know.
};

/// A stream that has ended before its answer was complete.
struct LostStream {
  StreamKey stream = 0;
  std::size_t classIndex = 0;
  double tokensToPrefill = 0;  ///< The prompt and what was sent.
  Duration timeUntilDeadline{0};
  int continuations = 0, attempts = 0;  ///< Of its request so far.
  AttemptEnd attemptEnd = AttemptEnd::kConfirmed;
};

/// What is to be done with a stream that is lost.
enum class Disposition {
  kContinue,
  kWait,        ///< For the budget; takeDueStreams() names it later.
  kFenceFirst,  ///< Its engine is to be asked to end the attempt; until that is certain it waits.
  kGiveUp
};
/// A disposition with its reason.
struct Decision {
  Disposition disposition = Disposition::kGiveUp;
  std::string reason;  ///< For the records, and for the client where the stream is given up.
};

/// One router's streams, from their first token until forget(). Not thread-safe. `now` never goes back.
class Recovery {
 public:
  explicit Recovery(Limits limits);
  /// Earlier classes keep their index and their idempotency; more may follow. The other limits stay.
  void updateClasses(std::vector<Idempotency> idempotency, std::vector<double> priorityWeights,
                     int maxAttempts);

  /// Whether streams of this class are ever continued, so that their text is to be buffered.
  bool isResumable(std::size_t classIndex) const;

  // ---- Streams that run ----
  /// A continuation of a known stream keeps what counts as buffered for it.
  void onStreamStarted(Instant now, StreamKey stream, const Stream& started);
  /// A token has come. False once the buffered text exceeds its limit: the stream cannot be continued any
  /// more.
  bool onToken(Instant now, StreamKey stream, std::size_t bytes);
  /// The client takes nothing, so that the stream's silence is not its engine's.
  void onClientPaused(Instant now, StreamKey stream, bool paused);
  /// The engine is to shut down at `endsAt`; absent: it stays after all. One that is still listed then has
  /// stayed.
  void onEngineShutdownNotice(EngineId engine, std::optional<Instant> endsAt);
  /// The engine is to shut down, and does not say when.
  void onGoAway(Instant now, EngineId engine);

  /// A stream to be taken from its engine.
  struct Migration {
    StreamKey stream = 0;
    const char* reason = "";
  };
  /// Streams to be taken from their engines now, the greatest priority weight first. Each has its share of
  /// the budget: onStreamLost() continues it as soon as its attempt has ended for certain. These are streams
  ///  - that are silent for too long, against the token interval of their class, while others go on (where
  ///  all stand
  ///    still none is migrated),
  ///  - that would miss their deadline at their own rate and meet it at their class's,
  ///  - whose engine is about to shut down, spread over the time that is left.
  std::vector<Migration> streamsToMigrate(Instant now);

  // ---- Streams that are lost ----
  /// A stream has ended early, or was cancelled by the host. A stream that waits stays known until
  /// takeDueStreams() names it or forget().
  Decision onStreamLost(Instant now, const LostStream& stream);
  /// The engine has confirmed that the attempt has ended: whether the stream is continued now, or waits.
  Disposition onAttemptFenced(Instant now, StreamKey stream);
  /// Streams that wait, by what is to be done with them now.
  struct DueStreams {
    std::vector<StreamKey> toContinue;  ///< Now, the greatest priority weight first.
    std::vector<StreamKey> toGiveUp;    ///< They have waited for too long.
    std::vector<StreamKey> toFence;     ///< Their engine is to be asked, perhaps again.
  };
  /// What is to be done with streams that wait. Those to continue or to give up wait no longer.
  DueStreams takeDueStreams(Instant now);
  /// The request is over, whether its stream runs or waits.
  void forget(StreamKey stream);
  /// A new request's prefill has started: continuations earn their share.
  void onPrefillStarted(double tokens);

  /// When streamsToMigrate() and takeDueStreams() are to be called; absent: there is no stream.
  std::optional<Instant> nextCheck() const;
  /// Text of all streams that the host is to have buffered.
  std::uint64_t bufferedBytes() const { return bufferedBytes_; }

 private:
  // From the first token on, also while it waits for a continuation.
  struct TrackedStream {
    Stream start;
    Instant lastTokenAt, slowSince;
    Duration tokenInterval{0};  // its own at this engine, averaged
    std::uint64_t tokens = 0;   // since it started at this engine
    std::uint64_t bufferedBytes = 0;
    bool isPaused = false;
    bool isBufferComplete = true;  // the whole text is buffered
    bool isLost = false;
    bool hasBudget = false;  // its continuation is paid for
    bool isSlow = false;
  };
  struct WaitingStream {
    LostStream lost;
    Instant since;
    Instant attemptEndsAt;  // when its attempt has ended for certain
    Instant fenceAt;        // when its engine is asked next
    bool hasBudget = false;
  };
  struct MigrationCandidate {
    Migration migration;
    double priorityWeight = 0;
    double tokensToPrefill = 0;
    std::optional<EngineId> endingEngine;  // where that is the reason
  };

  // Null where nothing stands against it.
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
  Instant lastTokenAt_{};                      // of any stream
  double budget_;                              // tokens that continuations may prefill
  std::uint64_t bufferedBytes_ = 0;
  std::map<EngineId, Instant> shutdownAt_;
  Instant lastCheckAt_{};
};

}  // namespace gannetcourse::recovery
