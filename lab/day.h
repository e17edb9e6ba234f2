// Day scripts: fleet, traffic and a timeline of troubles, read from XML with a schema.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "engine_model.h"
#include "ledger.h"

namespace gannetcourse::lab {

struct DayClass {
  std::string name;
  double share = 1, aim = 1, tokenAim = 0.06, firstTokenWithin = 4, deadline = 20, worth = 1;
  std::string effect = "safe", group = "all";
  double dedupWindow = 0;
  double promptTokens = 600, sharedTokens = 1500, sharedShare = 0.8, turns = 2;  // means
  std::uint32_t prefixes = 20, outputTokens = 60;                                // most of an answer
};

struct DayTenant {
  std::string name;
  double share = 1;
};

struct Trouble {
  std::string kind;
  double at = 0, length = 0;
  double part = 0.2;                  // of the engines
  std::optional<Role> role;           // of those alone
  std::optional<double> size, extra;  // as the kind has it; docs/lab.md
  std::uint32_t waves = 1;
  std::string requestClass, tenant, how;
  std::string text() const;
};

struct Day {
  std::string name;
  double length = 30;
  std::uint32_t nodes = 1;
  std::uint64_t seed = 1;
  std::vector<std::string> zones;
  std::vector<EngineSpec> engines;
  double nearRate = 250000, farRate = 120000, zoneFactor = 2, notice = 0.5;
  std::vector<DayClass> classes;
  std::vector<DayTenant> tenants;
  double overShareWorth = 0.1;

  double rate = 20;  // asks a second
  std::string shape = "steady";
  std::uint32_t retries = 1;
  double backOff = 0.2, heed = 0.7, impatient = 0, slowReaders = 0;

  int maxAttempts = 5;
  double pinLimit = 1, drainGrace = 0.5, answerMargin = 0.12;
  double startCapacity = 0.3, warmAfter = 8, overloadFactor = 2.5, window = 2;
  std::string reports = "answers";
  bool recovery = true;  // of streams that lose their writer
  double silence = 1.5;  // seconds after which a silent one counts as lost

  std::vector<Trouble> troubles;

  AuditRules auditRules() const;
  // The settings of one of its nodes, as the daemon reads them.
  std::string nodeSettings(std::uint32_t number, const std::string& registry) const;
};

// Throws config::Faults.
Day loadDay(const std::string& path);
std::string_view daySchema();

}  // namespace gannetcourse::lab
