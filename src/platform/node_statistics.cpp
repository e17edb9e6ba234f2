#include "platform/node_statistics.h"

namespace gannetcourse::platform {
namespace {

constexpr std::uint64_t kBytesPerKb = 1024;

/// Builds a line of `name=value` pairs.
class LineBuilder {
 public:
  LineBuilder& add(const char* name, std::uint64_t value) { return add(name, std::to_string(value)); }
  LineBuilder& add(const char* name, const std::string& value) {
    if (!line_.empty()) line_.push_back(' ');
    line_.append(name).append("=").append(value);
    return *this;
  }
  const std::string& line() const { return line_; }

 private:
  std::string line_;
};

void addRequests(LineBuilder& builder, const NodeStatistics& statistics) {
  const router::Counters& requests = statistics.requests;
  const auto eventGapMs = static_cast<std::uint64_t>(statistics.longestEventGap.count() * 1000);
  builder.add("accepted", requests.accepted)
      .add("served", requests.served)
      .add("rejected", requests.rejected)
      .add("failed", requests.failed)
      .add("deadline_exceeded", requests.deadlineExceeded)
      .add("client_disconnected", requests.clientsDisconnected)
      .add("rejected_malformed", statistics.rejectedMalformed)
      .add("rejected_for_memory", statistics.rejectedForMemory)
      .add("attempts", requests.attempts)
      .add("actions_blocked", requests.actionsBlocked)
      .add("violations", router::textOf(statistics.violations))
      .add("open", statistics.openRequests)
      .add("calls_open", statistics.openCalls)
      .add("longest_event_gap_ms", eventGapMs);
}

void addReleases(LineBuilder& builder, const NodeStatistics& statistics) {
  const ReleaseDispatcher::Counters& releases = statistics.releases;
  const auto slowestMs = static_cast<std::uint64_t>(releases.slowestConfirmation.count() * 1000);
  builder.add("releases_pending", statistics.releasesPending)
      .add("releases_started", releases.started)
      .add("releases_confirmed", releases.confirmed)
      .add("releases_abandoned", releases.abandoned)
      .add("release_calls", releases.calls)
      .add("slowest_release_ms", slowestMs);
}

void addConnections(LineBuilder& builder, const NodeStatistics& statistics) {
  const http1::ServerCounters& clients = statistics.clients;
  builder.add("client_connections", statistics.clientConnections)
      .add("engine_connections", statistics.engineConnections)
      .add("engine_connections_opened", statistics.engineConnectionsOpened)
      .add("connections_accepted", clients.accepted)
      .add("connections_evicted", clients.evicted)
      .add("connections_closed_at_limit", clients.closedAtLimit)
      .add("connections_rejected", clients.rejected)
      .add("connections_timed_out", clients.timedOut)
      .add("connections_abandoned", clients.abandoned)
      .add("connections_rejected_for_memory", clients.rejectedForMemory);
}

// In KiB: "total:900,client_connections:500,client_output:400", uses that hold nothing left out.
std::string textOf(const net::HeldBytes& held) {
  std::string text = "total:" + std::to_string(held.total() / kBytesPerKb);
  for (std::size_t i = 0; i < net::kMemoryUseCount; ++i) {
    const auto use = static_cast<net::MemoryUse>(i);
    if (held.of(use) == 0) continue;
    text.append(",").append(net::nameOf(use)).append(":").append(std::to_string(held.of(use) / kBytesPerKb));
  }
  return text;
}

void addMemory(LineBuilder& builder, const NodeStatistics& statistics) {
  const ProcessMemory& process = statistics.process;
  builder.add("memory_held_limit_kb", statistics.memoryLimits.total / kBytesPerKb)
      .add("memory_held_kb", textOf(statistics.held))
      .add("memory_held_peak_kb", textOf(statistics.heldPeak))
      .add("memory_resident_kb", process.resident / kBytesPerKb)
      .add("memory_resident_private_kb", process.residentPrivate / kBytesPerKb)
      .add("memory_resident_peak_kb", process.residentPeak / kBytesPerKb)
      .add("memory_heap_in_use_kb", process.heapInUse / kBytesPerKb)
      .add("memory_heap_free_kb", process.heapFree / kBytesPerKb);
}

void addFailuresAndList(LineBuilder& builder, const NodeStatistics& statistics) {
  builder.add("failed_accepts", statistics.failedAccepts)
      .add("failed_watches", statistics.failedWatches)
      .add("local_connect_failures", statistics.localConnectFailures)
      .add("list_index", statistics.listIndex)
      .add("discovery_watches", statistics.discoveryWatches)
      .add("snapshot_requests", statistics.snapshotRequests);
}

}  // namespace

std::string memoryLine(const NodeStatistics& statistics) {
  LineBuilder builder;
  addMemory(builder, statistics);
  return builder.line();
}

std::string toLogLine(const NodeStatistics& statistics) {
  LineBuilder builder;
  addRequests(builder, statistics);
  addReleases(builder, statistics);
  addConnections(builder, statistics);
  addMemory(builder, statistics);
  addFailuresAndList(builder, statistics);
  return builder.line();
}

}  // namespace gannetcourse::platform
