// The platform's configuration of one node: the JSON file that NODE_CONFIG names.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include "gannetcourse/policy.h"
#include "instance/instance.h"
#include "net/connection.h"

namespace gannetcourse::platform {

struct Configuration {
  std::string name;
  net::Endpoint listenEndpoint, discoveryEndpoint;
  std::uint64_t memoryLimitMb = 192;
  std::size_t socketLimit = 1024;
  Settings policySettings;
  instance::InstanceNames names;
  Duration engineIdleTimeout{15}, engineConnectTimeout{0.25};  // of connections to engines
  instance::Json knownEngineList;                              // the list of engines as last had; null = none
};

// The file is no JSON: it may still be written.
class IncompleteConfiguration : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws std::runtime_error with one line that names the file, the field and the mend; where this machine
// could not open the file for a moment, std::system_error.
Configuration loadConfiguration(const std::string& path);

// What NODE_CONFIG names. Throws std::runtime_error where the variable is missing.
std::string configurationPathFromEnvironment();

// How many of what a node may hold, out of its limits. Clients' requests are few against the descriptors;
// what engines may take is more than the open requests, as connections are kept and releases need some too.
struct NodeLimits {
  std::size_t maxClientConnections = 0, maxEngineConnections = 0, maxOpenRequests = 0;
  std::uint64_t maxBufferedBytes = 0;  // of requests, whole or not
};
NodeLimits limitsOf(const Configuration& configuration);

}  // namespace gannetcourse::platform
