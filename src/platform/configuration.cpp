#include "platform/configuration.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace gannetcourse::platform {
namespace {

using instance::Json;

// File descriptors that are not available for clients and engines: standard streams, epoll, signals, the
// listener, discovery and logs.
constexpr std::size_t kReservedDescriptors = 24;
constexpr std::size_t kMinSockets = 64, kMaxSockets = 1U << 20, kDefaultSockets = 1024;
constexpr double kMinMemoryMb = 16, kDefaultMemoryMb = 192;
constexpr double kDefaultIdleSeconds = 15, kDefaultConnectSeconds = 0.25;
constexpr std::uint64_t kBytesPerMb = 1024 * 1024;
constexpr std::size_t kClientConnectionPercent = 55;  // of the available descriptors; the rest is for engines
constexpr std::size_t kOpenRequestPercent = 95;       // of the connections to engines

// The program's pages and the heap of an idle node.
constexpr std::uint64_t kProcessBytes = 12 * kBytesPerMb;
// The rest is for the allocator's slack and for what lives only within one iteration of the loop.
constexpr std::uint64_t kHeldPercent = 80;
// Reserved for each connection: its fixed part, and its part of an open request's.
constexpr std::uint64_t kFixedBytesPerConnection = 4096;
constexpr std::uint64_t kMinFairPart = 2048;
constexpr std::uint64_t kReservedDivisor = 2;      // at most half of the memory is reserved
constexpr std::uint64_t kFairPartsDivisor = 8;     // an eighth, for all fair parts together
constexpr std::uint64_t kBytesPerEngine = 2048;    // in all tables of the node
constexpr std::uint64_t kEngineMemoryDivisor = 2;  // at most half of the memory is for engines
constexpr std::size_t kMinConnections = 16;

net::Endpoint parseEndpointField(const Json& file, const char* key) {
  const std::string value = instance::requireString(file, key);
  const auto parsed = net::parseEndpoint(value);
  if (!parsed)
    throw instance::MalformedInput("field '" + std::string(key) +
                                   "' must be an IPv4 address and port (a.b.c.d:port), but is '" + value +
                                   "'");
  return *parsed;
}

void parseLimits(const Json& limits, Configuration& configuration) {
  const double memoryMb = instance::numberOr(limits, "memory_mb", kDefaultMemoryMb);
  configuration.memoryLimitMb = static_cast<std::uint64_t>(std::max(kMinMemoryMb, memoryMb));
  configuration.socketLimit = instance::unsignedOr(limits, "sockets", kDefaultSockets, kMaxSockets);
  if (configuration.socketLimit < kMinSockets)
    throw instance::MalformedInput("field 'sockets' must be at least 64 file descriptors");
}

void parseConnectionTimeouts(const Json& limits, Configuration& configuration) {
  configuration.engineIdleTimeout = instance::secondsOr(limits, "connIdleS", kDefaultIdleSeconds);
  configuration.engineConnectTimeout = instance::secondsOr(limits, "connectTimeoutS", kDefaultConnectSeconds);
  if (configuration.engineIdleTimeout.count() <= 0 || configuration.engineConnectTimeout.count() <= 0)
    throw instance::MalformedInput("fields 'connIdleS' and 'connectTimeoutS' must be greater than 0 s");
}

// Parses the file's JSON value. Throws instance::MalformedInput if a field is missing or invalid.
Configuration parseConfiguration(Json file) {
  if (!file.is_object()) throw instance::MalformedInput("the configuration must be a JSON object");
  Configuration configuration;
  configuration.name = instance::requireString(file, "name");
  configuration.listenEndpoint = parseEndpointField(file, "listen");
  configuration.discoveryEndpoint = parseEndpointField(file, "discovery");
  parseLimits(instance::objectOrEmpty(file, "limits"), configuration);
  const Json& settings = instance::requireField(file, "settings");
  if (!settings.is_object()) instance::throwWrongType("settings", "an object");
  const std::uint64_t seed = instance::hexKeyOrZero(file, "seed");
  configuration.policySettings = instance::readSettings(settings, seed, configuration.names);
  if (configuration.policySettings.classes.empty())
    throw instance::MalformedInput("field 'classes' must contain at least one class");
  parseConnectionTimeouts(instance::objectOrEmpty(settings, "limits"), configuration);
  const auto known = file.find("known");
  if (known != file.end()) configuration.knownEngineList = std::move(*known);
  return configuration;
}

// Whether an error of open() is temporary: a lack of descriptors or memory, or an interruption. It does not
// mean that the file is missing or unreadable.
bool isTransientOpenError(int error) {
  return error == EMFILE || error == ENFILE || error == ENOMEM || error == EINTR || error == EAGAIN;
}

std::uint64_t memoryBesideProcess(const Configuration& configuration) {
  return configuration.memoryLimitMb * kBytesPerMb - kProcessBytes;
}

}  // namespace

Configuration loadConfiguration(const std::string& path) {
  errno = 0;
  std::ifstream in(path);
  if (!in.is_open() && isTransientOpenError(errno))
    throw std::system_error(errno, std::generic_category(), path + ": cannot open the configuration file");
  std::ostringstream text;
  text << in.rdbuf();
  if (!in)
    throw ConfigurationError(
        path + ": cannot read the configuration file; NODE_CONFIG must be the path of a readable file");
  try {
    Json file = Json::parse(std::move(text).str());
    return parseConfiguration(std::move(file));
  } catch (const Json::parse_error& error) {
    throw IncompleteConfiguration(path + ": not valid JSON: " + error.what());
  } catch (const Json::exception& error) {
    throw ConfigurationError(path + ": invalid configuration: " + error.what());
  } catch (const instance::MalformedInput& error) {
    throw ConfigurationError(path + ": " + error.what());
  }
}

std::string configurationPathFromEnvironment() {
  const char* const path = std::getenv("NODE_CONFIG");
  if (path == nullptr || *path == '\0')
    throw ConfigurationError("NODE_CONFIG is not set; it must be the path of the node's configuration file");
  return path;
}

std::size_t maxEngineCount(const Configuration& configuration) {
  return memoryBesideProcess(configuration) / kEngineMemoryDivisor / kBytesPerEngine;
}

NodeLimits limitsOf(const Configuration& configuration, std::size_t engineCount) {
  const std::uint64_t engineBytes = std::min(engineCount, maxEngineCount(configuration)) * kBytesPerEngine;
  const std::uint64_t total = (memoryBesideProcess(configuration) - engineBytes) * kHeldPercent / 100;
  const std::size_t affordable = total / kReservedDivisor / (kFixedBytesPerConnection + kMinFairPart);
  const std::size_t available =
      std::max(kMinConnections, std::min(configuration.socketLimit - kReservedDescriptors, affordable));
  NodeLimits limits;
  limits.memory.total = total;
  limits.memory.fairPart = std::max(kMinFairPart, total / kFairPartsDivisor / available);
  limits.maxClientConnections = available * kClientConnectionPercent / 100;
  limits.maxEngineConnections = available - limits.maxClientConnections;
  const std::uint64_t beforeFairParts = total - available * kFixedBytesPerConnection;
  limits.memory.buffers = beforeFairParts - limits.maxEngineConnections * limits.memory.fairPart;
  limits.memory.shared = beforeFairParts - available * limits.memory.fairPart;
  limits.maxOpenRequests = limits.maxEngineConnections * kOpenRequestPercent / 100;
  return limits;
}

}  // namespace gannetcourse::platform
