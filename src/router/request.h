// What the core keeps on record of its requests, the calls that are out for them, and its timers.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gannetcourse/router.h"

namespace gannetcourse::router {

enum class Due { kPolicy, kAttempt, kRequest, kLook, kLateStates };

struct Timer {
  Due due = Due::kPolicy;
  std::uint64_t key = 0;  // call or request
  std::string token;      // the policy's
};
using Timers = std::multimap<Instant, Timer>;
using TimerAt = std::optional<Timers::iterator>;  // while it has not fired

struct Request {
  RequestKey key = 0;
  std::string name;      // its name at this node
  std::string id;        // its name for engines; the same, but for answers that broke off elsewhere
  std::string policyId;  // its name for the policy: each continuation is a new request there
  NewRequest asked;
  int moves = 0;                         // continuations
  int number = 0, firstNumber = 0;       // of the next attempt, as engines know it; of policyId's first
  std::string sent;                      // text of the answer so far, as long as it is kept
  bool keepsText = true, waits = false;  // lost, until its turn comes
  std::shared_ptr<const RequestPayload> work;
  Instant end;  // when the client's time for the whole answer is up
  bool answered = false, started = false;
  int attempts = 0;
  CallKey out = 0;  // the one call that is out; 0 = none
  std::uint32_t nextIndex = 0;
  std::optional<EngineId> stateAt, seatAt;  // what is held for it, and where
  std::string state;
  int stateAttempt = 0;
  EngineId lastEngine;  // of the stream that was lost
  TimerAt timer;        // the last resort
};

// The count of the requests that ended so.
inline std::uint64_t& countOf(Counters& counts, FinalStatus verdict) {
  switch (verdict) {
    case FinalStatus::kServed:
      return counts.served;
    case FinalStatus::kRejected:
      return counts.rejected;
    case FinalStatus::kFailed:
      return counts.failed;
    case FinalStatus::kDeadlineExceeded:
      break;
  }
  return counts.deadlineExceeded;
}

inline RecordKind kindOf(FinalStatus status) {
  switch (status) {
    case FinalStatus::kServed:
      return RecordKind::kServed;
    case FinalStatus::kRejected:
      return RecordKind::kRejected;
    case FinalStatus::kFailed:
      return RecordKind::kFailed;
    case FinalStatus::kDeadlineExceeded:
      break;
  }
  return RecordKind::kDeadlineExceeded;
}

struct Call {
  Request* owner = nullptr;  // requests outlive their calls
  int attempt = 0;
  EngineId engine;
  bool reads = false;
  Instant sentAt;
  TimerAt timer;  // of its time-out
};

// What the policy is told of a call's end.
inline AttemptEnded endOf(const Request& request, const Call& call, Outcome outcome, Instant now) {
  AttemptEnded ended;
  ended.id = RequestId{request.policyId};
  ended.attempt = call.attempt - request.firstNumber;
  ended.engine = call.engine;
  ended.outcome = outcome;
  ended.requestFinished = request.answered;
  ended.elapsed = now - call.sentAt;
  return ended;
}

}  // namespace gannetcourse::router
