#include "grpc/server.h"

#include <utility>

#include "grpc/server_connection.h"

namespace gannetcourse::grpc {

Server::Server(net::Loop& loop, const net::Endpoint& on, const ServerOptions& options)
    : loop_(loop), options_(options), listener_(loop, on, [this](int fd) { accept(fd); }) {}

Server::~Server() {
  *alive_ = false;
  for (auto& [key, connection] : connections_) connection->session_.close();
}

void Server::accept(int fd) {
  auto connection = std::make_unique<ServerConnection>(*this, nextConnection_, fd);
  ++nextConnection_;
  ServerConnection* const key = connection.get();
  connections_.emplace(key, std::move(connection));
  if (connections_.size() >= options_.maxConnections) listener_.pause(true);
}

// Deferred: the connection may be inside one of its own functions.
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

std::size_t Server::callCount() const {
  std::size_t open = 0;
  for (const auto& [key, connection] : connections_) open += connection->callCount();
  return open;
}

void Server::suspend(bool frozen, const std::function<bool(const std::string&)>& who) {
  for (auto& [key, connection] : connections_) {
    if (!who || who(connection->peer())) connection->suspend(frozen);
  }
}

void Server::readAllNow() {
  for (auto& [key, connection] : connections_) connection->session_.connection().readNow();
}

void Server::rejectConnections(bool refused) { listener_.rejectConnections(refused); }

void Server::abortAll() {
  for (auto& [key, connection] : connections_) {
    if (!connection->session_.isOpen()) continue;
    connection->session_.abort();
    connection->closeCalls();
    scheduleRemoval(connection.get());
  }
}

}  // namespace gannetcourse::grpc
