// The statistics that a node logs periodically: a snapshot of the values and its formatting as a log line.
#pragma once

#include <cstdint>
#include <string>

#include "gannetcourse/router.h"
#include "http1/server.h"
#include "platform/process_memory.h"
#include "platform/release_dispatcher.h"

namespace gannetcourse::platform {

/// Counters since the node's start, and the numbers of open requests, calls and connections at one moment.
struct NodeStatistics {
  // ---- Requests ----
  router::Counters requests;
  router::ViolationCounts violations;
  std::uint64_t rejectedMalformed = 0;  ///< Rejected by the frontend; not passed to the core.
  std::uint64_t rejectedForMemory = 0;  ///< Of these, valid ones that were too large for what was left.
  std::size_t openRequests = 0;         ///< Requests at the core without a final response.
  std::size_t openCalls = 0;            ///< Open attempts at engines.
  Duration longestEventGap{0};          ///< Longest time for which an open stream has been without an event.

  // ---- Releases ----
  std::size_t releasesPending = 0;
  ReleaseDispatcher::Counters releases;

  // ---- Connections ----
  std::size_t clientConnections = 0;
  std::size_t engineConnections = 0;
  std::uint64_t engineConnectionsOpened = 0;
  http1::ServerCounters clients;

  // ---- Local failures ----
  std::uint64_t failedAccepts = 0;
  std::uint64_t failedWatches = 0;         ///< Descriptors that could not be added to epoll.
  std::uint64_t localConnectFailures = 0;  ///< Calls for which no local socket could be opened.

  // ---- Memory ----
  net::MemoryLimits memoryLimits;
  net::HeldBytes held;      ///< What the node holds for its peers now.
  net::HeldBytes heldPeak;  ///< The same when its total was highest.
  ProcessMemory process;

  // ---- The engine list ----
  std::uint64_t listIndex = 0;  ///< Index of the engine list in use.
  std::uint64_t discoveryWatches = 0;
  std::uint64_t snapshotRequests = 0;
};

/// The statistics as `name=value` pairs on one line. docs/platform.md explains the names.
std::string toLogLine(const NodeStatistics& statistics);
/// The part of toLogLine() on memory.
std::string memoryLine(const NodeStatistics& statistics);

}  // namespace gannetcourse::platform
