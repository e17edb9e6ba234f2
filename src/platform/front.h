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
struct Fault {
  int status = 400;
  std::string why;
};
// What a request asks, its id included; its key is the caller's. `body` of it is moved into the work.
std::variant<router::NewRequest, Fault> readArrival(http1::Request& request, const instance::Names& names);

class Front {
 public:
  Front(net::Loop& loop, const Configuration& configuration, node::CoreDriver& driver);
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  void ready(bool ready) { ready_ = ready; }
  void take(const Configuration& configuration);
  void drain();  // not ready, refuses what is new
  void end() { server_.shutdown(); }
  std::uint16_t port() const { return server_.port(); }
  const http1::Server& server() const { return server_; }
  std::uint64_t turnedAway() const { return turnedAway_; }

 private:
  class Client;
  void handle(const std::shared_ptr<http1::Exchange>& exchange);
  void handleChat(const std::shared_ptr<http1::Exchange>& exchange);
  void turnAway(http1::Exchange& exchange, const Fault& fault);

  node::CoreDriver& driver_;
  instance::Names names_;
  Bounds bounds_;
  Duration retryAfter_{0};  // that a refusal of the host's own names
  bool ready_ = false, draining_ = false;
  std::unordered_set<std::string> ids_;  // of open requests
  std::uint64_t held_ = 0, turnedAway_ = 0;
  http1::Server server_;
};

}  // namespace gannetcourse::platform
