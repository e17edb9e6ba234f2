// The figures of a node that it logs at intervals: one typed snapshot and its one line of text.
#pragma once

#include <cstdint>
#include <string>

#include "gannetcourse/router.h"
#include "http1/server.h"
#include "platform/release_dispatcher.h"

namespace gannetcourse::platform {

/// What a node has done since its start and what is open at one moment, at the core and on the sockets.
struct NodeStatistics {
  // ---- Requests ----
  router::Counters requests;
  router::ViolationCounts violations;
  std::uint64_t rejectedMalformed = 0;  ///< Answered by the frontend itself; the core never had them.
  std::size_t openRequests = 0;         ///< At the core.
  std::size_t openCalls = 0;            ///< Attempts at engines.

  // ---- Releases ----
  std::size_t releasesPending = 0;
  ReleaseDispatcher::Counters releases;

  // ---- Connections ----
  std::size_t clientConnections = 0;
  std::size_t engineConnections = 0;
  std::uint64_t engineConnectionsOpened = 0;
  http1::ServerCounters clients;

  // ---- Failures of this machine ----
  std::uint64_t failedAccepts = 0;
  std::uint64_t failedWatches = 0;         ///< Descriptors that epoll did not take.
  std::uint64_t localConnectFailures = 0;  ///< Calls for which no connection could be opened here.

  // ---- The engine list ----
  std::uint64_t listIndex = 0;  ///< Of the newest list.
  std::uint64_t discoveryWatches = 0;
  std::uint64_t snapshotRequests = 0;
};

/// The statistics as `name=value` pairs on one line. docs/platform.md explains the names.
std::string toLogLine(const NodeStatistics& statistics);

}  // namespace gannetcourse::platform
