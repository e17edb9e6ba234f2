// What the decision module keeps on record: plain state, no decision and no tuned value.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "gannetcourse/policy.h"
#include "held_state.h"
#include "statistics.h"

namespace gannetcourse {

// What is known of a server's process; a restart wipes it.
struct Process {
  LoadReport report;
  double reportAt = -1e9, score = 0.5;
  Learned readCost, wait;
  double overdue = 0;             // how far its oldest unanswered attempt is past what was expected
  double answeredAt = -1e9;       // when it last finished a read or began an answer
  Fading streamed, finished;      // of streams: time, in usual lengths; answers that ended
  Fading recent;                  // tokens sent to it lately: not in its reports yet
  Fading contact;                 // connections that failed or broke
  Fading suspect;                 // lost with others of its cell, perhaps
  std::map<int, Fading> illness;  // by class (from 0) and tenant (below 0)
  std::map<std::size_t, double> answeredSent;  // by class: when the last sent of those answered was sent
};

struct Server : Process {
  EngineEntry entry;
  int reading = 0, waiting = 0, streaming = 0, sending = 0;  // our own record of work out
  double queuedTokens = 0, heldTokens = 0;                   // prompt tokens to read; states and streams
  double coldSince = -1e9, startSeen = -1e9, coldPhase = 0;  // since when it is cold, and known to us to be
  double nextProbe = 0;
  std::deque<std::pair<double, double>> coldSends;  // time and weight of the sends of a warming time

  bool serving() const { return entry.state == EngineEntry::State::kServing; }
  bool idle() const { return reading + waiting + streaming + sending == 0; }
  bool reads() const { return entry.role == Role::kPrefill; }
  bool writes() const { return entry.role == Role::kDecode || entry.role == Role::kMixed; }
  int unanswered() const { return reading + waiting; }
};

enum class Stage { kQueued, kReading, kHolding, kWriting, kStreaming };

struct Request {
  RequestArrived ask;
  double arrived = 0, deadline = 0, aimAt = 0;
  bool overShare = false, answered = false;
  Stage stage = Stage::kQueued;
  int sends = 0, timeouts = 0, writerFailures = 0;
  bool out = false, whole = false, calledOff = false;  // an attempt is out, reads and writes, was cancelled
  bool overtaken = false;                              // ... as later ones had been answered by its server
  EngineId server, reader;                             // of the last attempt; where the state waits
  HeldState state;
  double sentAt = 0, expected = 0, streamAt = 0;
  int looks = 0;                    // readers asked for their queue
  EngineId lookedAt;                // the last of them
  double lookUntil = -1;            // and how long to wait for its answer
  double readTokens = 0, need = 0;  // to read; of a writer's memory
  bool mayHaveRun = false;          // some attempt may have had its effect; the first was sent then and there
  double firstRunAt = 0;
  EngineEntry ranOn;
  std::vector<EngineId> failedOn;
  std::vector<int> parts;  // of a server's health that concern it: its class (from 0) and tenant (below 0)
};

// Our own record of a role, a server on average.
struct Pool {
  double servers = 0;
  double queued = 0, held = 0;            // tokens to read, and of states and streams
  double served = 0, rate = 0, most = 0;  // weights served: since the last look, a second, the most lately
};

}  // namespace gannetcourse
