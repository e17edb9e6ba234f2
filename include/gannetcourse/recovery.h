// The recovery module: when a stream counts as lost, whether it goes on from another writer, when, and when
// giving up at once is the better answer. No I/O, clock or threads; time comes in with each call. The policy
// still picks reader and writer of a continuation.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::recovery {

using StreamKey = std::uint64_t;  // the host's number of a stream

struct Limits {
  bool enabled = true;
  int maxMoves = 3;              // continuations of one request, 0..100
  int maxAttempts = 4;           // of one request in all; a continuation takes a read and a write
  Duration leastTimeLeft{0.5};   // with less until the client's time is up a continuation is not begun
  Duration mostWait{1.5};        // that a lost stream waits for its turn
  double rebuildShare = 0.5;     // prompt tokens that continuations may read, of those that new requests read
  double rebuildBurst = 100000;  // ... and that they may read ahead of it, tokens
  Duration silenceAtLeast{1.5};  // a stream that paused for less is never moved
  double silenceFactor = 12;     // ... nor for less than this many times the pace of its class
  std::uint64_t keptPerStream = 64 * 1024;       // bytes of an answer that are kept for a continuation
  std::uint64_t keptPerNode = 64 * 1024 * 1024;  // ... of all answers of this node
  std::vector<Effect> effects;                   // by class: only kSafe streams go on
  std::vector<double> worths;                    // by class: who comes first when not all can
};

// A stream that has ended before its answer was whole.
struct Lost {
  StreamKey stream = 0;
  std::size_t classIndex = 0;
  double tokens = 0;  // to be read anew: the prompt and what was sent
  Duration timeLeft{0};
  int moves = 0, attempts = 0;  // of its request so far
};

enum class Verdict { kGoOn, kWait, kGiveUp };
struct Decision {
  Verdict verdict = Verdict::kGiveUp;
  std::string why;  // for the records
};

class Recovery {
 public:
  explicit Recovery(Limits limits);

  // ---- Streams that run ----
  void started(Instant now, StreamKey stream, std::size_t classIndex);
  // A token came. False once what is kept has passed its limit: the stream cannot be continued any more.
  bool token(Instant now, StreamKey stream, std::size_t bytes);
  void paused(Instant now, StreamKey stream, bool paused);  // its client takes nothing: silence means nothing
  void ended(StreamKey stream);                             // it is over, or lost

  // Streams that are silent for too long, against their class's pace, while other streams go on; where all
  // stand still nobody is moved.
  std::vector<StreamKey> silent(Instant now);

  // ---- Streams that are lost ----
  Decision lost(Instant now, const Lost& stream);
  // Those that have waited and may go on now, most worth first; and those that have waited too long.
  struct Turns {
    std::vector<StreamKey> goOn, giveUp;
  };
  Turns turns(Instant now);
  void forget(StreamKey stream);  // its client left while it waited
  void readTokens(Instant now,
                  double tokens);  // a new request's read was sent: continuations earn their share

  std::optional<Instant> nextLook() const;  // when silent() and turns() should be asked again
  std::uint64_t keptBytes() const { return keptBytes_; }

 private:
  struct Running {
    std::size_t classIndex = 0;
    Instant lastToken;
    std::uint64_t kept = 0;
    std::uint64_t tokens = 0;
    bool paused = false, resumable = true, lost = false;
  };
  struct Waiting {
    Lost lost;
    Instant since;
  };
  bool mayGoOn(const Lost& stream, std::string& why) const;
  double worth(std::size_t classIndex) const;
  Duration pace(std::size_t classIndex) const;

  Limits limits_;
  std::map<StreamKey, Running> running_;
  std::map<StreamKey, Waiting> waiting_;
  std::map<std::size_t, Duration> paces_;  // by class: the usual time between tokens
  Instant heard_{};                        // when any stream last brought a token
  double budget_;
  std::uint64_t keptBytes_ = 0;
  Instant lastLook_{};
};

}  // namespace gannetcourse::recovery
