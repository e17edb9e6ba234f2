#include "platform/configuration.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>

namespace gannetcourse::platform {
namespace {

using instance::Json;

// Descriptors for other things: standard streams, epoll, signals, the listener, discovery, logs.
constexpr std::size_t kReservedDescriptors = 24;
constexpr std::size_t kMinSockets = 64, kMaxSockets = 1U << 20, kDefaultSockets = 1024;
constexpr double kMinMemoryMb = 16, kDefaultMemoryMb = 192;
constexpr double kDefaultIdleSeconds = 15, kDefaultConnectSeconds = 0.25;
constexpr std::uint64_t kBytesPerMb = 1024 * 1024;
constexpr std::size_t kClientConnectionPercent = 55;  // of the descriptors; the rest is for engines
constexpr std::size_t kOpenRequestPercent = 95;       // of the connections to engines
constexpr std::uint64_t kBufferedShareOfMemory = 4;   // a quarter

net::Endpoint parseEndpointField(const Json& file, const char* key) {
  const std::string value = instance::requireString(file, key);
  const auto parsed = net::parseEndpoint(value);
  if (!parsed)
    throw instance::MalformedInput("field '" + std::string(key) + "' is no a.b.c.d:port: '" + value + "'");
  return *parsed;
}

void parseLimits(const Json& limits, Configuration& configuration) {
  const double memoryMb = instance::numberOr(limits, "memory_mb", kDefaultMemoryMb);
  configuration.memoryLimitMb = static_cast<std::uint64_t>(std::max(kMinMemoryMb, memoryMb));
  configuration.socketLimit = instance::unsignedOr(limits, "sockets", kDefaultSockets, kMaxSockets);
  if (configuration.socketLimit < kMinSockets)
    throw instance::MalformedInput("field 'sockets' is below the 64 that a node needs");
}

void parseConnectionTimeouts(const Json& limits, Configuration& configuration) {
  configuration.engineIdleTimeout = instance::secondsOr(limits, "connIdleS", kDefaultIdleSeconds);
  configuration.engineConnectTimeout = instance::secondsOr(limits, "connectTimeoutS", kDefaultConnectSeconds);
  if (configuration.engineIdleTimeout.count() <= 0 || configuration.engineConnectTimeout.count() <= 0)
    throw instance::MalformedInput("fields 'connIdleS' and 'connectTimeoutS' must be above 0");
}

// Throws instance::MalformedInput.
Configuration parseConfiguration(const Json& file) {
  if (!file.is_object()) throw instance::MalformedInput("the configuration is not a JSON object");
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
    throw instance::MalformedInput("field 'classes' names no class");
  parseConnectionTimeouts(instance::objectOrEmpty(settings, "limits"), configuration);
  const Json* const known = instance::findField(file, "known");
  if (known != nullptr) configuration.knownEngineList = *known;
  return configuration;
}

// Errors of open() that are due to the state of this machine, not to the file.
bool isShortage(int error) {
  return error == EMFILE || error == ENFILE || error == ENOMEM || error == EINTR || error == EAGAIN;
}

}  // namespace

Configuration loadConfiguration(const std::string& path) {
  errno = 0;
  std::ifstream in(path);
  if (!in.is_open() && isShortage(errno))
    throw std::system_error(errno, std::generic_category(), path + ": cannot be opened");
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) throw ConfigurationError(path + ": cannot be read; NODE_CONFIG must name a file");
  try {
    return parseConfiguration(Json::parse(text.str()));
  } catch (const Json::parse_error& error) {
    throw IncompleteConfiguration(path + ": not valid JSON: " + error.what());
  } catch (const Json::exception& error) {
    throw ConfigurationError(path + ": cannot be used: " + error.what());
  } catch (const instance::MalformedInput& error) {
    throw ConfigurationError(path + ": " + error.what());
  }
}

std::string configurationPathFromEnvironment() {
  const char* const path = std::getenv("NODE_CONFIG");
  if (path == nullptr || *path == '\0')
    throw ConfigurationError("NODE_CONFIG is not set; it must name the node's configuration");
  return path;
}

NodeLimits limitsOf(const Configuration& configuration) {
  const std::size_t available = configuration.socketLimit - kReservedDescriptors;
  NodeLimits limits;
  limits.maxClientConnections = available * kClientConnectionPercent / 100;
  limits.maxEngineConnections = available - limits.maxClientConnections;
  limits.maxOpenRequests = limits.maxEngineConnections * kOpenRequestPercent / 100;
  limits.maxBufferedBytes = configuration.memoryLimitMb * kBytesPerMb / kBufferedShareOfMemory;
  return limits;
}

}  // namespace gannetcourse::platform
