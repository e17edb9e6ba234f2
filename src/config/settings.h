// A node's settings, read from XML and checked against the schema and the five rules.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/xml.h"
#include "gannetcourse/policy.h"
#include "gannetcourse/recovery.h"

namespace gannetcourse::config {

/// Limits for requests of one class. The class's objectives are in gannetcourse::ClassSettings.
struct ClassLimits {
  std::string name;
  Duration firstTokenTimeout{0};  ///< Longest wait for the first token; 0 = until the request's deadline.
  std::uint32_t maxPromptTokens = 32768;
  std::uint32_t maxOutputTokens = 1024;
};

/// All settings of one node. A value type: a reload creates a new one.
struct NodeSettings {
  std::string name, zone;
  Settings policy;                   ///< Settings of the decision module.
  std::vector<ClassLimits> classes;  ///< Same order as policy.classes.
  std::vector<std::string> tenants;  ///< Same order as policy.tenants.
  std::vector<std::string> zones;    ///< The index here is the zone's number in the policy.
  Duration responseMargin{0.06};     ///< Open requests are ended this long before the client's deadline.
  Duration drainGrace{1};            ///< How long an engine accepts new calls after its drain notice.
  Duration maxDeadline{600};         ///< Longer client deadlines are reduced to this.

  std::string listenAddress = "127.0.0.1:0";
  std::uint32_t maxConnections = 20000;  ///< Concurrent client connections.
  std::uint32_t maxStreamsPerConnection = 1000;
  std::uint64_t maxMessageBytes = 4 << 20;
  std::uint64_t maxMetadataBytes = 16 << 10;
  std::uint64_t maxRequestMemoryBytes = 256 << 20;  ///< For the requests of all calls, until they have ended.
  std::uint64_t streamBufferBytes = 32 << 10;  ///< Buffered for a slow client before its engine is paused.

  Duration connectTimeout{0.25};  ///< For connecting to an engine.
  Duration keepaliveInterval{5}, keepaliveTimeout{2};
  std::uint32_t maxConnectionsPerEngine = 4;
  recovery::Limits recovery;  ///< For streams that lose their decode engine.

  std::string resumeKeyFile;        ///< Path of the key file for resume tokens; empty = no resume tokens.
  std::string registryAddress;      ///< Source of the engine list; empty = engineListFile is the source.
  std::string engineListFile;       ///< Path; empty = the registry is the source.
  std::string engineListCacheFile;  ///< Path of a copy that is read at the next start; empty = no copy.
  std::string logLevel = "info";
  std::string logFile;                                  ///< Path; empty = standard error.
  std::map<std::string, std::string> packageLogLevels;  ///< Level by package; others use logLevel.
};

/// Reads and checks a settings file. Throws InvalidFile if it has faults; each names file, line, reason and
/// remedy, and the rule that the setting would break, if any.
NodeSettings loadSettings(const std::string& path);
/// Reads and checks settings from `text`; faults use `name` as the file name.
NodeSettings parseSettings(std::string_view text, const std::string& name);

/// The XML schema of settings files, built into the program.
std::string_view settingsSchema();

}  // namespace gannetcourse::config
