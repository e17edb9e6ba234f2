// The platform's configuration of one node: the JSON file whose path is in the environment variable
// NODE_CONFIG.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "gannetcourse/policy.h"
#include "instance/instance_settings.h"
#include "net/connection.h"

namespace gannetcourse::platform {

/// One node's configuration, parsed and validated.
struct Configuration {
  std::string name;
  net::Endpoint listenEndpoint, discoveryEndpoint;
  std::uint64_t memoryLimitMb = 192;  ///< In MiB; lower values are raised to 16.
  std::size_t socketLimit = 1024;     ///< File descriptors that the process may have open; at least 64.
  Settings policySettings;
  instance::InstanceNames names;
  Duration engineIdleTimeout{15};       ///< Engines close a connection that was idle for this long.
  Duration engineConnectTimeout{0.25};  ///< Limit for establishing a connection to an engine.
  instance::Json knownEngineList;       ///< Used until discovery sends a list; may be outdated; null = none.
};

/// The configuration file cannot be read or is invalid. what() is one line with the file, the field and what
/// is expected.
class ConfigurationError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The file is not valid JSON. Another process may still be writing it, so loading it again may succeed.
class IncompleteConfiguration : public ConfigurationError {
 public:
  using ConfigurationError::ConfigurationError;
};

/// Loads and validates the file. Throws ConfigurationError, or std::system_error if the file cannot be opened
/// for a temporary reason, such as a lack of descriptors or memory.
Configuration loadConfiguration(const std::string& path);

/// The path in NODE_CONFIG. Throws ConfigurationError if the variable is missing or empty.
std::string configurationPathFromEnvironment();

/// Limits on the node's connections, open requests and buffers.
struct NodeLimits {
  std::size_t maxClientConnections = 0;
  /// Greater than maxOpenRequests, because idle connections and releases need connections too.
  std::size_t maxEngineConnections = 0;
  std::size_t maxOpenRequests = 0;
  net::MemoryLimits memory;  ///< For all that the node holds for its peers.
};

/// Derives the node's limits from the descriptors and the memory that the process may use. The connections
/// are fewer than the descriptors allow if the memory does not suffice for what is reserved for each. What
/// the node knows of `engineCount` engines takes memory too.
NodeLimits limitsOf(const Configuration& configuration, std::size_t engineCount = 0);

/// The number of engines whose records fit into half of the memory beside an idle node.
std::size_t maxEngineCount(const Configuration& configuration);

}  // namespace gannetcourse::platform
