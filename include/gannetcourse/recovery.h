// The recovery module: when a stream counts as lost, whether it goes on from another writer, when, and when
// giving up at once is the better answer. No I/O, clock or threads; time comes in with each call. The policy
// still picks reader and writer of a continuation.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::recovery {

using StreamKey = std::uint64_t;  // the host's number of a stream

struct Limits {
  bool enabled = true;
  int maxContinuations = 3;      // continuations of one request, 0..100
  int maxAttempts = 4;           // of one request in all; a continuation takes a read and a write
  Duration minTimeLeft{0.5};     // with less until the client's time is up a continuation is not begun
  Duration maxWait{1.5};         // that a lost stream waits for its turn
  double rebuildShare = 0.5;     // prompt tokens that continuations may read, of those that new requests read
  double rebuildBurst = 100000;  // ... and that they may read ahead of it, tokens
  Duration minSilence{1.5};      // a stream that paused for less is never moved
  double silenceFactor = 12;     // ... nor for less than this many times the pace of its class
  double slowFactor = 4;         // a stream this many times slower than its class may be moved ...
  Duration slowDuration{1.5};    // ... after it was that for so long, if it would be late else
  Duration engineLease{2};       // an engine that hears nothing of this node for so long ends its streams
  Duration fenceRetryInterval{
      0.25};  // how often an engine that does not answer is asked whether a stream has ended
  Duration migrationLeadTime{0.3};  // before an engine leaves, its long streams should be away
  Duration goAwayGrace{3};          // how long an engine that says GOAWAY is taken to write on
  std::uint64_t maxBufferedBytesPerStream = 64 * 1024;  // bytes of an answer that are kept for a continuation
  std::uint64_t maxBufferedBytes = 64 * 1024 * 1024;    // ... of all answers of this node
  std::vector<Idempotency> idempotency;                 // by class: only kSafe streams go on
  std::vector<double> priorityWeights;                  // by class: who comes first when not all can
};

// A stream as it starts at a writer.
struct Stream {
  std::size_t classIndex = 0;
  EngineId engine;
  double promptTokens = 0;     // what a reader would have to read anew, without what is sent from here on
  double remainingTokens = 0;  // that may still come, at most
  Instant deadline{};          // when its client's time is up
  int continuations = 0, attempts = 0;  // of its request so far
};

// What the host knows of how a stream's attempt ended.
enum class AttemptEnd {
  kConfirmed,  // the engine said so: by status, by a reset, or by closing the connection it was on
  kAbandoned   // this node has given it up: the engine may not have heard of that
};

// A stream that has ended before its answer was whole.
struct LostStream {
  StreamKey stream = 0;
  std::size_t classIndex = 0;
  double tokensToPrefill = 0;  // to be read anew: the prompt and what was sent
  Duration timeUntilDeadline{0};
  int continuations = 0, attempts = 0;  // of its request so far
  AttemptEnd attemptEnd = AttemptEnd::kConfirmed;
};

enum class Disposition {
  kContinue,
  kWait,        // for its turn
  kFenceFirst,  // until its attempt is known to have ended: its engine is to be asked now
  kGiveUp
};
struct Decision {
  Disposition disposition = Disposition::kGiveUp;
  std::string reason;  // for the records
};

class Recovery {
 public:
  explicit Recovery(Limits limits);
  // Classes of before stay at their places with their effects; more may follow. The rest as at the start.
  void updateClasses(std::vector<Idempotency> effects, std::vector<double> worths, int maxAttempts);

  // Whether streams of this class are ever continued, so that their text is worth keeping.
  bool isResumable(std::size_t classIndex) const;

  // ---- Streams that run ----
  void onStreamStarted(Instant now, StreamKey stream, const Stream& what);
  // A token came. False once what is kept has passed its limit: the stream cannot be continued any more.
  bool onToken(Instant now, StreamKey stream, std::size_t bytes);
  void onClientPaused(Instant now, StreamKey stream,
                      bool paused);  // its client takes nothing: silence means nothing
  // The engine is to end `by` then; absent: it stays after all. One that is still there then has stayed.
  void onEngineShutdownNotice(EngineId engine, std::optional<Instant> by);
  void onGoAway(Instant now, EngineId engine);  // it says that it ends, not when

  // Streams to be taken from their writers now, most worth first. Each has its turn: lost() lets it go on as
  // soon as its attempt is known to have ended. These are streams
  //  - that are silent for too long against their class's pace while others go on (where all stand still
  //    nobody is moved),
  //  - that would be late at the pace they have fallen to, and in time at their class's,
  //  - whose writer is about to leave, spread over the time that it has left.
  struct Migration {
    StreamKey stream = 0;
    const char* reason = "";
  };
  std::vector<Migration> streamsToMigrate(Instant now);

  // ---- Streams that are lost ----
  Decision onStreamLost(Instant now, const LostStream& stream);
  // The engine says that it writes nothing more of it: whether it goes on now.
  Disposition onAttemptFenced(Instant now, StreamKey stream);
  // Those that have waited and may go on now, most worth first; those that have waited too long; and those
  // whose engine should be asked to end them.
  struct DueStreams {
    std::vector<StreamKey> toContinue, toGiveUp, toFence;
  };
  DueStreams takeDueStreams(Instant now);
  void forget(StreamKey stream);         // it is over, running or waiting
  void onPrefillStarted(double tokens);  // a new request's read was sent: continuations earn their share

  std::optional<Instant> nextCheck() const;  // when moves() and turns() should be asked again
  std::uint64_t bufferedBytes() const { return bufferedBytes_; }

 private:
  struct Running {
    Stream what;
    Instant lastToken, slowSince;
    Duration gap{0};           // its own pace at this writer
    std::uint64_t kept = 0;    // bytes
    std::uint64_t tokens = 0;  // since it started at this writer
    bool paused = false, resumable = true, lost = false, hasTurn = false, slow = false;
  };
  struct Waiting {
    LostStream lost;
    Instant since, knownAt, askAt;  // knownAt: when its attempt has ended for certain
    bool hasTurn = false;
  };
  struct Candidate {
    Migration move;
    double worth = 0, tokens = 0;
    std::optional<EngineId> leaves;
  };
  bool mayGoOn(const LostStream& stream, std::string& why) const;
  bool eligible(Instant now, StreamKey key, const Running& r) const;
  const char* reasonToMove(Instant now, const Running& r) const;
  bool wouldBeLate(Instant now, const Running& r) const;
  std::map<EngineId, std::size_t> waveSizes(Instant now, const std::vector<Candidate>& all) const;
  bool someoneWaitsForATurn(Instant now) const;
  void notePace(Instant now, Running& r);
  double worth(std::size_t classIndex) const;
  Duration& paceOf(std::size_t classIndex);
  Duration pace(std::size_t classIndex) const;

  Limits limits_;
  std::unordered_map<StreamKey, Running> running_;
  std::map<StreamKey, Waiting> waiting_;
  std::vector<Duration> paces_;  // by class: the usual time between tokens
  Instant heard_{};              // when any stream last brought a token
  double budget_;
  std::uint64_t bufferedBytes_ = 0;
  std::map<EngineId, Instant> leaving_;
  Instant lastLook_{};
};

}  // namespace gannetcourse::recovery
