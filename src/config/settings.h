// A node's settings: read from XML, checked against the schema, then against the five rules.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/xml.h"
#include "gannetcourse/policy.h"
#include "gannetcourse/recovery.h"

namespace gannetcourse::config {

/// What a request of one class may ask for. Its objectives stand in gannetcourse::ClassSettings.
struct ClassLimits {
  std::string name;
  Duration firstTokenTimeout{0};  ///< The longest wait for a first token; 0 = until the request's deadline.
  std::uint32_t maxPromptTokens = 32768;
  std::uint32_t maxOutputTokens = 1024;
};

/// All settings of one node. A value type: a reload makes a new one.
struct NodeSettings {
  std::string name, zone;
  Settings policy;                   ///< For the decision module.
  std::vector<ClassLimits> classes;  ///< In the order of policy.classes.
  std::vector<std::string> tenants;  ///< In the order of policy.tenants.
  std::vector<std::string> zones;    ///< A zone's place here is its number in the policy.
  Duration responseMargin{0.06};     ///< Running streams end this long before the client's deadline.
  Duration drainGrace{1};            ///< Within this of its notice a draining engine still accepts calls.
  Duration maxDeadline{600};         ///< Longer deadlines of clients are cut to this.

  std::string listenAddress = "127.0.0.1:0";
  std::uint32_t maxConnections = 20000;  ///< Of clients, at one time.
  std::uint32_t maxStreamsPerConnection = 1000;
  std::uint64_t maxMessageBytes = 4 << 20;
  std::uint64_t maxMetadataBytes = 16 << 10;
  std::uint64_t streamBufferBytes = 32 << 10;  ///< Buffered for a slow client before its engine is paused.

  Duration connectTimeout{0.25};  ///< For a connection to an engine.
  Duration keepaliveInterval{5}, keepaliveTimeout{2};
  std::uint32_t maxConnectionsPerEngine = 4;
  recovery::Limits recovery;  ///< For streams whose decode engine is lost.

  std::string resumeKeyFile;        ///< Path of the keys for resume tokens; empty = no resume tokens.
  std::string registryAddress;      ///< Source of the engine list; empty = engineListFile is.
  std::string engineListFile;       ///< Path; empty = the registry is the source.
  std::string engineListCacheFile;  ///< Path of the copy for the next start; empty = none.
  std::string logLevel = "info";
  std::string logFile;  ///< Path; empty = standard error.
  std::map<std::string, std::string> packageLogLevels;
};

/// Reads and checks a settings file. Throws InvalidFile; each fault names file, line and remedy, and the rule
/// that it would break, if any.
NodeSettings loadSettings(const std::string& path);
/// The same for text; `name` stands for the file in faults.
NodeSettings parseSettings(std::string_view text, const std::string& name);

/// The built-in XML schema of settings files.
std::string_view settingsSchema();

}  // namespace gannetcourse::config
