// A node's settings: read from XML, checked against the schema, then against the five rules.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/xml.h"
#include "gannetcourse/policy.h"
#include "gannetcourse/recovery.h"

namespace gannetcourse::config {

struct ClassLimits {
  std::string name;
  Duration firstTokenTimeout{0};  // the most that a request waits for its first token; 0 = until its deadline
  std::uint32_t maxPromptTokens = 32768;
  std::uint32_t maxOutputTokens = 1024;
};

struct NodeSettings {
  std::string name, zone;
  Settings policy;                   // what the decision module is told
  std::vector<ClassLimits> classes;  // in the order of policy.classes
  std::vector<std::string> tenants;  // in the order of policy.tenants
  std::vector<std::string> zones;
  Duration responseMargin{0.06};  // running streams end this long before the client's time is up
  Duration drainGrace{1};
  Duration maxDeadline{600};

  std::string listenAddress = "127.0.0.1:0";
  std::uint32_t maxConnections = 20000,
                maxStreamsPerConnection = 1000;  // of clients; streams of one connection
  std::uint64_t maxMessageBytes = 4 << 20, maxMetadataBytes = 16 << 10;
  std::uint64_t streamBufferBytes =
      32 << 10;  // bytes of an answer that wait for a slow client before its engine does

  Duration connectTimeout{0.25}, keepaliveInterval{5}, keepaliveTimeout{2};
  std::uint32_t maxConnectionsPerEngine = 4;
  recovery::Limits recovery;  // of streams whose writer is lost

  std::string resumeKeyFile;  // path of the key file for resume tokens; empty: none are given or taken
  std::string registryAddress, engineListFile, engineListCacheFile;  // address; paths. Empty: none
  std::string logLevel = "info", logFile;                            // empty: standard error
  std::map<std::string, std::string> packageLogLevels;
};

// Throws Faults; each fault names file, line and mend, and the rule that it would break, if any.
NodeSettings loadSettings(const std::string& path);
NodeSettings parseSettings(std::string_view text, const std::string& name);
// What differs, a line each: "limits max-attempts: 4 -> 6".
std::vector<std::string> describeDifferences(const NodeSettings& before, const NodeSettings& after);
// The settings that a running node cannot change: the first that differs, or an empty string.
std::string firstRestartOnlyDifference(const NodeSettings& before, const NodeSettings& after);

std::string_view settingsSchema();

}  // namespace gannetcourse::config
