#include "grpc/server.h"

#include <utility>

#include "grpc/server_connection.h"

namespace gannetcourse::grpc {

Server::Server(net::Loop& loop, const net::Endpoint& address, const ServerOptions& options)
    : loop_(loop), options_(options), listener_(loop, address, [this](int fd) { accept(fd); }) {}

Server::~Server() {
  *alive_ = false;
  for (auto& [key, connection] : connections_) connection->session_.close();
}

void Server::accept(int fd) {
  auto connection = std::make_unique<ServerConnection>(*this, nextConnectionId_, fd);
  ++nextConnectionId_;
  ServerConnection* const key = connection.get();
  connections_.emplace(key, std::move(connection));
  if (connections_.size() >= options_.maxConnections) listener_.pause(true);
}

// The removal is deferred because a function of the connection may be on the call stack.
void Server::scheduleRemoval(ServerConnection* connection) {
  if (onConnectionClosed) onConnectionClosed(*connection);
  loop_.defer([this, connection, alive = alive_] {
    if (!*alive) return;
    connections_.erase(connection);
    const bool wasFull = connections_.size() + 1 == options_.maxConnections;
    if (!draining_ && wasFull) listener_.pause(false);
  });
}

void Server::drain() {
  if (std::exchange(draining_, true)) return;
  listener_.acceptPending();  // closing the listener would reset the connections in its queue
  listener_.close();
  for (auto& [key, connection] : connections_) connection->session_.goaway();
}

// Ends the largest of the calls whose requests are being received until the memory suffices for the others.
void Server::makeRoom() {
  while (isMemoryExceeded()) {
    const std::shared_ptr<ServerCall> largest = largestPartialCall();
    if (!largest) return;
    largest->finish(kNoMemory);
  }
}

std::shared_ptr<ServerCall> Server::largestPartialCall() const {
  std::shared_ptr<ServerCall> largest;
  for (const auto& [key, connection] : connections_) {
    for (const auto& [stream, call] : connection->calls_) {
      if (!call->isOpen() || call->remoteClosed_) continue;
      if (!largest || call->requestMemory() > largest->requestMemory()) largest = call;
    }
  }
  return largest;
}

std::size_t Server::callCount() const {
  std::size_t count = 0;
  for (const auto& [key, connection] : connections_) count += connection->callCount();
  return count;
}

void Server::suspend(bool suspended, const std::function<bool(const std::string&)>& appliesTo) {
  for (auto& [key, connection] : connections_) {
    if (!appliesTo || appliesTo(connection->peer())) connection->suspend(suspended);
  }
}

void Server::readAllNow() {
  for (auto& [key, connection] : connections_) connection->session_.connection().readNow();
}

void Server::rejectConnections(bool rejected) { listener_.rejectConnections(rejected); }

void Server::abortAll() {
  for (auto& [key, connection] : connections_) {
    if (!connection->session_.isOpen()) continue;
    connection->session_.abort();
    connection->closeCalls();
    scheduleRemoval(connection.get());
  }
}

}  // namespace gannetcourse::grpc
