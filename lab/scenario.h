// Scenarios: engines, traffic and a timeline of faults, read from an XML file that a schema validates.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "engine_model.h"
#include "ledger.h"

namespace gannetcourse::lab {

/// One class of requests. Durations are seconds.
struct ScenarioClass {
  std::string name;
  double trafficShare = 1, ttftObjective = 1, interTokenObjective = 0.06, firstTokenTimeout = 4,
         deadline = 20, priorityWeight = 1;
  std::string effect = "safe", dedupScope = "all";
  double dedupWindow = 0;
  double promptTokens = 600, sharedTokens = 1500, sharedShare = 0.8, turns = 2;  // mean values
  std::uint32_t prefixes = 20, outputTokens = 60;  // outputTokens: maximum of a response
};

/// A tenant and its share of the traffic. Its quota is that share of the request rate, plus headroom.
struct ScenarioTenant {
  std::string name;
  double quotaShare = 1;
};

/// One fault of the timeline; docs/lab.md lists the kinds.
struct Fault {
  std::string kind;
  double startsAt = 0, duration = 0;
  double engineShare = 0.2;           // share of the engines that it affects
  std::optional<Role> role;           // affects only engines of this role
  std::optional<double> size, extra;  // parameters; docs/lab.md lists their meaning for each kind
  std::uint32_t waves = 1;
  std::string requestClass, tenant, variant;
  std::string describe() const;
};

/// One scripted run of nodes, engines and clients. Durations are seconds.
struct Scenario {
  std::string name;
  double duration = 30;
  std::uint32_t nodeCount = 1;
  std::uint64_t seed = 1;
  std::vector<std::string> zones;
  std::vector<EngineSpec> engines;
  double sameCellRate = 250000, otherCellRate = 120000, zoneFactor = 2, registryDelay = 0.5;
  std::vector<ScenarioClass> classes;
  std::vector<ScenarioTenant> tenants;
  double overQuotaWeight = 0.1;

  double requestsPerSecond = 20;  // new requests, without retries
  std::string shape = "steady";
  std::uint32_t maxRetries = 1;
  double retryBackoff = 0.2, retryAfterHonoredShare = 0.7, impatientShare = 0, slowReaderShare = 0;

  int maxAttempts = 5;
  double stateLeaseLimit = 1, drainGrace = 0.5, responseMargin = 0.12;
  double slowStartInitialCapacity = 0.3, slowStartDuration = 8, slowStartOverloadFactor = 2.5,
         slowStartWindow = 2;
  std::string reports = "answers";
  bool recoveryEnabled = true;  // whether streams that lose their decode engine are continued
  double minSilence = 1.5;      // minimum silence after which a stream counts as lost

  std::vector<Fault> faults;

  AuditRules auditRules() const;
  /// The settings file (XML) of one node, given by its index from 0.
  std::string nodeSettings(std::uint32_t index, const std::string& registry) const;
};

/// Reads a scenario file. Throws config::InvalidFile if the file is invalid.
Scenario loadScenario(const std::string& path);
/// The XML schema of scenario files.
std::string_view scenarioSchema();

}  // namespace gannetcourse::lab
