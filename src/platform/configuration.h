// The platform's configuration of one node: the JSON file that NODE_CONFIG names.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "gannetcourse/policy.h"
#include "instance/instance_settings.h"
#include "net/connection.h"

namespace gannetcourse::platform {

/// One node's configuration.
struct Configuration {
  std::string name;
  net::Endpoint listenEndpoint, discoveryEndpoint;
  std::uint64_t memoryLimitMb = 192;  ///< MiB.
  std::size_t socketLimit = 1024;     ///< Descriptors that the process may hold.
  Settings policySettings;
  instance::InstanceNames names;
  Duration engineIdleTimeout{15};       ///< After it, engines close an idle connection.
  Duration engineConnectTimeout{0.25};  ///< For a connection to an engine to come up.
  instance::Json knownEngineList;       ///< The engine list as last known; null = none.
};

/// The file cannot be used; one line names the file, the field and the remedy.
class ConfigurationError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The file is no valid JSON: it may still be being written.
class IncompleteConfiguration : public ConfigurationError {
 public:
  using ConfigurationError::ConfigurationError;
};

/// Loads the file. Throws ConfigurationError, or std::system_error where this machine is short of something
/// that opening a file needs, which may pass.
Configuration loadConfiguration(const std::string& path);

/// The path in NODE_CONFIG. Throws ConfigurationError where the variable is missing.
std::string configurationPathFromEnvironment();

/// How many of each thing a node may hold.
struct NodeLimits {
  std::size_t maxClientConnections = 0;
  std::size_t maxEngineConnections = 0;  ///< More than open requests: some are kept, and releases need some.
  std::size_t maxOpenRequests = 0;
  std::uint64_t maxBufferedBytes = 0;  ///< Of requests, complete or not.
};

/// Derives the node's limits from those of its process.
NodeLimits limitsOf(const Configuration& configuration);

}  // namespace gannetcourse::platform
