// The platform's clients: reads their requests, hands good ones to the core, and answers.
#pragma once

#include <memory>
#include <string>
#include <unordered_set>
#include <variant>

#include "http1/server.h"
#include "node/core_driver.h"
#include "platform/configuration.h"

namespace gannetcourse::platform {

// Why a request cannot be taken: a status and one plain line.
struct RequestError {
  int status = 400;
  std::string reason;
};
// What a request asks, its id included; its key is the caller's. `body` of it is moved into the work.
std::variant<router::NewRequest, RequestError> parseChatRequest(http1::Request& request,
                                                                const instance::InstanceNames& names);

class Frontend {
 public:
  Frontend(net::Loop& loop, const Configuration& configuration, node::CoreDriver& driver);
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  void setReady(bool ready) { ready_ = ready; }
  void applyConfiguration(const Configuration& configuration);
  void drain();  // not ready, refuses what is new
  void shutdown() { server_.shutdown(); }
  std::uint16_t port() const { return server_.port(); }
  const http1::Server& server() const { return server_; }
  std::uint64_t rejectedMalformed() const { return rejectedMalformed_; }

 private:
  class OpenRequest;
  void handle(const std::shared_ptr<http1::Exchange>& exchange);
  void handleChat(const std::shared_ptr<http1::Exchange>& exchange);
  void reject(http1::Exchange& exchange, const RequestError& fault);

  node::CoreDriver& driver_;
  instance::InstanceNames names_;
  NodeLimits limits_;
  Duration retryAfter_{0};  // that a refusal of the host's own names
  bool ready_ = false, draining_ = false;
  std::unordered_set<std::string> openRequestIds_;  // of open requests
  std::uint64_t bufferedBytes_ = 0, rejectedMalformed_ = 0;
  http1::Server server_;
};

}  // namespace gannetcourse::platform
