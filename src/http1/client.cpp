#include "http1/client.h"

#include <algorithm>
#include <utility>

#include "http1/client_connection.h"

namespace gannetcourse::http1 {
namespace {

const Duration kTimeoutCheckInterval{0.25};

}  // namespace

Client::Client(net::Loop& loop, const ClientOptions& options) : loop_(loop), options_(options) {
  timeoutCheckTimer_ = loop_.runAfter(kTimeoutCheckInterval, [this] { checkTimeouts(); });
}

Client::~Client() {
  *alive_ = false;
  loop_.cancelTimer(timeoutCheckTimer_);
}

CallId Client::start(const net::Endpoint& to, HeadMaker makeHead, std::shared_ptr<const std::string> body,
                     std::shared_ptr<ResponseHandler> handler) {
  const CallId call = ++lastCall_;
  if (ClientConnection* const idle = takeIdleConnection(to)) {
    calls_[call] = idle;
    idle->reserve();
    idle->startCall(call, std::move(makeHead), std::move(body), std::move(handler));
    return call;
  }
  if (connections_.size() >= options_.maxConnections && !evictIdleConnection()) {
    notifyEndLater(call, std::move(handler), CallResult::kNoConnectionAvailable,
                   "no connection may be opened");
    return call;
  }
  connections_.push_back(std::make_shared<ClientConnection>(*this, to));
  ClientConnection* const opened = connections_.back().get();
  ++connectionsOpened_;
  calls_[call] = opened;
  opened->open(call, std::move(makeHead), std::move(body), std::move(handler));
  return call;
}

// Calls onEnd() at the end of this iteration: start() may not have returned the call's id to its caller yet.
void Client::notifyEndLater(CallId call, std::shared_ptr<ResponseHandler> handler, CallResult result,
                            const std::string& reason) {
  pendingEnds_[call] = std::move(handler);
  loop_.defer([this, alive = alive_, call, result, reason] {
    if (!*alive) return;
    const auto ended = pendingEnds_.extract(call);
    if (!ended.empty()) ended.mapped()->onEnd(result, reason);
  });
}

void Client::cancel(CallId call) {
  pendingEnds_.erase(call);
  const auto found = calls_.find(call);
  if (found != calls_.end()) found->second->cancel();
}

void Client::cancelUnsent(const net::Endpoint& to) {
  const std::list<std::shared_ptr<ClientConnection>> snapshot = connections_;
  for (const auto& connection : snapshot) {
    if (connection->endpoint() == to) connection->cancelUnsent();
  }
}

void Client::pauseReading(CallId call, bool paused) {
  const auto found = calls_.find(call);
  if (found != calls_.end()) found->second->pauseReading(paused);
}

ClientConnection* Client::takeIdleConnection(const net::Endpoint& to) {
  for (auto found = idleConnections_.find(to); found != idleConnections_.end() && !found->second.empty();
       found = idleConnections_.find(to)) {
    ClientConnection* const newest = found->second.back();
    found->second.pop_back();
    if (newest->isUsable()) return newest;
    if (!newest->state().isClosed()) newest->close();
  }
  return nullptr;
}

bool Client::hasIdleConnection(const net::Endpoint& to) const {
  const auto found = idleConnections_.find(to);
  return found != idleConnections_.end() && !found->second.empty();
}

std::size_t Client::idleConnectionCount() const {
  std::size_t sum = 0;
  for (const auto& [endpoint, connections] : idleConnections_) sum += connections.size();
  return sum;
}

// Closes the connection that has been without a call for the longest time. False if all of them have a call.
bool Client::evictIdleConnection() {
  ClientConnection* oldest = nullptr;
  for (const auto& connection : connections_) {
    if (!connection->state().hasNoCall()) continue;
    if (oldest == nullptr || connection->lastResponseAt() < oldest->lastResponseAt())
      oldest = connection.get();
  }
  if (oldest == nullptr) return false;
  oldest->close();
  return true;
}

void Client::retireEndpoint(const net::Endpoint& to) {
  retiredEndpoints_.insert(to);
  const auto found = idleConnections_.find(to);
  if (found == idleConnections_.end()) return;
  const std::vector<ClientConnection*> snapshot = found->second;
  for (ClientConnection* const connection : snapshot) connection->close();
  idleConnections_.erase(to);
}

void Client::checkTimeouts() {
  const std::list<std::shared_ptr<ClientConnection>> snapshot = connections_;
  for (const auto& connection : snapshot) {
    if (!connection->state().isClosed()) connection->checkTimeouts(loop_.now());
  }
  timeoutCheckTimer_ = loop_.runAfter(kTimeoutCheckInterval, [this] { checkTimeouts(); });
}

void Client::removeConnection(ClientConnection* connection) {
  const auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [&](const auto& one) { return one.get() == connection; });
  if (found == connections_.end()) return;  // already removed
  calls_.erase(connection->call());
  const auto idle = idleConnections_.find(connection->endpoint());
  if (idle != idleConnections_.end()) {
    std::erase(idle->second, connection);
    if (idle->second.empty()) idleConnections_.erase(idle);
  }
  loop_.defer([keepUntilIterationEnds = *found] {});
  connections_.erase(found);
}

}  // namespace gannetcourse::http1
