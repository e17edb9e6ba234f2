// Runs a scenario with fake engines, nodes, clients and faults, then audits it.
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

/// Options of one run; seed and nodeCount override those of the scenario.
struct ScenarioOptions {
  std::optional<std::uint64_t> seed;
  std::optional<std::uint32_t> nodeCount;
  bool inProcess = false;
  bool noRecovery = false;  // streams that lose their decode engine are not continued
  std::string nodeBinary;   // path of the daemon
  std::string seededFault;  // fault to put into the nodes, to test the audit; only with inProcess
  std::string folder;       // keeps the nodes' settings and logs; empty: a temporary folder
  bool quiet = false;
};

/// The result of one run.
struct ScenarioResult {
  AuditCounts counts;
  ServiceCounts serviceCounts;
  std::vector<std::string> findings;
  bool nodesExitedCleanly = true;
  std::size_t enginesOverloaded =
      0;  // engines that failed from overload in slow start, with or without a violation
};

/// Runs the scenario to its end; progress texts go to `progress`. Throws std::runtime_error if a node does
/// not start.
ScenarioResult runScenario(Scenario scenario, const ScenarioOptions& options, std::ostream& progress);

}  // namespace gannetcourse::lab
