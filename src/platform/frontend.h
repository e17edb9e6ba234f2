// The HTTP frontend for the platform's clients: parses their requests, passes valid ones to the core and
// writes the responses.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

#include "http1/server.h"
#include "node/core_driver.h"
#include "platform/chat_request.h"
#include "platform/configuration.h"

namespace gannetcourse::platform {

/// Owns the listener, the client connections and the ids of open requests. Not thread-safe: all calls must be
/// made on the loop's thread. `driver` must outlive the frontend.
class Frontend {
 public:
  /// Starts listening. Throws std::system_error if that fails.
  Frontend(net::Loop& loop, const Configuration& configuration, node::CoreDriver& driver,
           std::shared_ptr<net::MemoryBudget> memory);
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  /// Sets what the readiness check reports; during a drain it always reports "not ready".
  void setReady(bool ready) { ready_ = ready; }
  /// Applies the names and Retry-After of a new configuration; the listening address is unchanged.
  void applyConfiguration(const Configuration& configuration);
  void setLimits(const NodeLimits& limits);
  /// Starts the drain: the readiness check reports "not ready", and connections are closed once they have no
  /// open request.
  void drain();
  /// Closes the listener and the idle connections.
  void shutdown() { server_.shutdown(); }

  std::uint16_t port() const { return server_.port(); }
  const http1::Server& server() const { return server_; }
  /// Number of requests that the frontend itself answered with an error: they were malformed, had an unknown
  /// path, a wrong method or the id of an open request, or exceeded the node's limits.
  std::uint64_t rejectedMalformed() const { return rejectedMalformed_; }
  /// How many of these were complete and valid, but too large for the memory that was left.
  std::uint64_t rejectedForMemory() const { return rejectedForMemory_; }

 private:
  class OpenRequest;
  void handle(const std::shared_ptr<http1::Exchange>& exchange);
  void handleChat(const std::shared_ptr<http1::Exchange>& exchange);
  void reject(http1::Exchange& exchange, const RequestError& error);

  node::CoreDriver& driver_;
  std::shared_ptr<net::MemoryBudget> memory_;
  instance::InstanceNames names_;
  NodeLimits limits_;
  Duration retryAfter_{0};  // for the frontend's own 503 responses; 0 = none
  bool ready_ = false, draining_ = false;
  std::unordered_set<std::string> openRequestIds_;
  std::uint64_t rejectedMalformed_ = 0;
  std::uint64_t rejectedForMemory_ = 0;
  http1::Server server_;
};

}  // namespace gannetcourse::platform
