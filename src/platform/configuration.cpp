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

constexpr std::size_t kSpareDescriptors = 24;  // standard streams, epoll, signals, listener, discovery, logs

net::Endpoint endpoint(const Json& file, const char* key) {
  const std::string value = instance::requireString(file, key);
  const auto parsed = net::parseEndpoint(value);
  if (!parsed)
    throw instance::MalformedInput("field '" + std::string(key) + "' is no a.b.c.d:port: '" + value + "'");
  return *parsed;
}

Configuration read(const Json& file) {
  Configuration c;
  c.name = instance::requireString(file, "name");
  c.listenEndpoint = endpoint(file, "listen");
  c.discoveryEndpoint = endpoint(file, "discovery");
  const Json& limits = instance::objectOrEmpty(file, "limits");
  c.memoryLimitMb = static_cast<std::uint64_t>(std::max(16.0, instance::numberOr(limits, "memory_mb", 192)));
  c.socketLimit = instance::unsignedOr(limits, "sockets", 1024, 1U << 20);
  if (c.socketLimit < 64) throw instance::MalformedInput("field 'sockets' is below the 64 that a node needs");
  const Json& settings = instance::requireField(file, "settings");
  if (!settings.is_object()) instance::throwWrongType("settings", "an object");
  c.policySettings = instance::readSettings(settings, instance::hexKeyOrZero(file, "seed"), c.names);
  if (c.policySettings.classes.empty()) throw instance::MalformedInput("field 'classes' names no class");
  const Json& conn = instance::objectOrEmpty(settings, "limits");
  c.engineIdleTimeout = instance::secondsOr(conn, "connIdleS", 15);
  c.engineConnectTimeout = instance::secondsOr(conn, "connectTimeoutS", 0.25);
  if (c.engineIdleTimeout.count() <= 0 || c.engineConnectTimeout.count() <= 0)
    throw instance::MalformedInput("fields 'connIdleS' and 'connectTimeoutS' must be above 0");
  const Json* const known = instance::findField(file, "known");
  if (known != nullptr) c.knownEngineList = *known;
  return c;
}

// Errors of open() that tell of this machine at this moment, not of the file.
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
  if (!in) throw std::runtime_error(path + ": cannot be read; NODE_CONFIG must name a file");
  try {
    const Json file = Json::parse(text.str());
    if (!file.is_object()) throw instance::MalformedInput("the configuration is not a JSON object");
    return read(file);
  } catch (const Json::parse_error& fault) {
    throw IncompleteConfiguration(path + ": not valid JSON: " + fault.what());
  } catch (const Json::exception& fault) {
    throw std::runtime_error(path + ": cannot be used: " + fault.what());
  } catch (const instance::MalformedInput& fault) {
    throw std::runtime_error(path + ": " + fault.what());
  }
}

std::string configurationPathFromEnvironment() {
  const char* const path = std::getenv("NODE_CONFIG");
  if (path == nullptr || *path == '\0')
    throw std::runtime_error("NODE_CONFIG is not set; it must name the node's configuration");
  return path;
}

NodeLimits limitsOf(const Configuration& c) {
  const std::size_t left = c.socketLimit - kSpareDescriptors;
  NodeLimits bounds;
  bounds.maxClientConnections = left * 55 / 100;
  bounds.maxEngineConnections = left - bounds.maxClientConnections;
  bounds.maxOpenRequests = bounds.maxEngineConnections * 95 / 100;
  bounds.maxBufferedBytes = c.memoryLimitMb * 1024 * 1024 / 4;
  return bounds;
}

}  // namespace gannetcourse::platform
