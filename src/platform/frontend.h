// The HTTP frontend for the platform's clients: parses their requests, hands valid ones to the core and
// writes its responses.
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

/// Owns the listener, the clients' connections and the ids of open requests. Not thread-safe; everything runs
/// on the loop. `driver` must outlive it.
class Frontend {
 public:
  /// Listens. Throws std::system_error where it cannot.
  Frontend(net::Loop& loop, const Configuration& configuration, node::CoreDriver& driver);
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  /// What the readiness check answers, until the drain.
  void setReady(bool ready) { ready_ = ready; }
  /// Takes names, limits and the Retry-After of a new configuration; the address stays.
  void applyConfiguration(const Configuration& configuration);
  /// Answers "not ready" from now on, and ends connections once nothing is open on them.
  void drain();
  /// Closes the listener and the connections that are idle.
  void shutdown() { server_.shutdown(); }

  std::uint16_t port() const { return server_.port(); }
  const http1::Server& server() const { return server_; }
  /// Requests that this frontend has answered with an error itself: malformed ones, and those past its
  /// limits.
  std::uint64_t rejectedMalformed() const { return rejectedMalformed_; }

 private:
  class OpenRequest;
  void handle(const std::shared_ptr<http1::Exchange>& exchange);
  void handleChat(const std::shared_ptr<http1::Exchange>& exchange);
  void reject(http1::Exchange& exchange, const RequestError& error);

  node::CoreDriver& driver_;
  instance::InstanceNames names_;
  NodeLimits limits_;
  Duration retryAfter_{0};  // of the frontend's own 503; 0 = none
  bool ready_ = false, draining_ = false;
  std::unordered_set<std::string> openRequestIds_;
  std::uint64_t bufferedBytes_ = 0;  // of open requests
  std::uint64_t rejectedMalformed_ = 0;
  http1::Server server_;
};

}  // namespace gannetcourse::platform
