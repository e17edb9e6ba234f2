// Runs a scenario: fake engines, nodes, clients, faults; then the audit.
#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

#include "clients.h"
#include "ledger.h"
#include "node_process.h"
#include "scenario.h"

namespace gannetcourse::lab {

struct ScenarioOptions {
  std::optional<std::uint64_t> seed;
  std::optional<std::uint32_t> nodeCount;
  bool inProcess = false;
  bool noRecovery = false;  // streams that lose their decode engine are not continued
  std::string nodeBinary;   // of the daemon
  std::string seededFault;  // for proving the audit: the fault that is put into the nodes; in process only
  std::string folder;       // where nodes' settings and logs stay; empty: a temporary one
  bool quiet = false;
};

struct ScenarioResult {
  AuditCounts counts;
  ServiceCounts serviceCounts;
  std::vector<std::string> findings;
  bool nodesEndedWell = true;
  std::size_t enginesOverloaded = 0;  // in slow start, by whichever node
};

/// Throws std::runtime_error where a node does not start.
ScenarioResult runScenario(Scenario scenario, const ScenarioOptions& options, std::ostream& progress);

}  // namespace gannetcourse::lab
