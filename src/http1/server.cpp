#include "http1/server.h"

#include <unistd.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "http1/server_connection.h"

namespace gannetcourse::http1 {
namespace {

const Duration kSweep{0.1};
const Duration kQueueWithin{2};  // how long accepting may fail before the listener is closed over its queue
const Duration kQueueAgain{0.01};

}  // namespace

void Exchange::respond(int status, std::string_view fields, std::string_view body, bool close) {
  if (connection_ != nullptr) connection_->respond(status, fields, body, close);
}
void Exchange::beginStream(std::string_view fields) {
  if (connection_ != nullptr) connection_->beginStream(fields);
}
void Exchange::sendChunk(std::string_view bytes) {
  if (connection_ != nullptr) connection_->sendChunk(bytes);
}
void Exchange::endStream() {
  if (connection_ != nullptr) connection_->endStream();
}
void Exchange::abortStream() {
  if (connection_ != nullptr) connection_->abortStream();
}

Server::Server(net::Loop& loop, const net::Endpoint& on, const ServerOptions& options, Handler handler)
    : loop_(loop),
      options_(options),
      handler_(std::move(handler)),
      listener_(loop, on, [this](int fd) { accept(fd); }) {
  sweepTimer_ = loop_.runAfter(kSweep, [this] { sweep(); });
}

Server::~Server() {
  *alive_ = false;
  loop_.cancelTimer(sweepTimer_);
}

void Server::setOptions(const ServerOptions& options) { options_ = options; }

void Server::accept(int fd) {
  if (connections_.size() >= options_.maxConnections && !evictConnection()) {
    ++counters_.closedAtLimit;
    ::close(fd);
    return;
  }
  ++counters_.accepted;
  connections_.push_back(std::make_unique<ServerConnection>(*this, fd));
}

// Closes a connection that is ended already, else the one that has gone longest without a request; those that
// never had one go first. What the kernel holds of a request is read before its connection is chosen for
// good.
bool Server::evictConnection() {
  for (std::size_t tries = connections_.size(); tries > 0; --tries) {
    ServerConnection* const victim = chooseEvictable();
    if (victim == nullptr) return false;
    if (victim->readPendingRequest()) continue;
    if (*victim->removed_) return true;  // its client had left
    ++counters_.evicted;
    victim->close();
    return true;
  }
  return false;
}

ServerConnection* Server::chooseEvictable() const {
  ServerConnection* victim = nullptr;
  for (const auto& c : connections_) {
    const ServerPhase phase = c->state_.phase();
    const bool begun = c->hadRequest_ && phase == ServerPhase::kReceiving;
    if (phase == ServerPhase::kResponding || phase == ServerPhase::kFlushing || *c->removed_ || begun)
      continue;
    const auto rank = [](const ServerConnection& s) {
      return std::tuple(s.state_.phase() != ServerPhase::kLingering, s.hadRequest_, s.phaseStartedAt_);
    };
    if (victim == nullptr || rank(*c) < rank(*victim)) victim = c.get();
  }
  return victim;
}

// What is done to one connection may close it or others: they are dropped from the list at once, but live on
// to the end of this iteration.
template <class Step>
void Server::forEachConnection(const Step& step) {
  std::vector<ServerConnection*> all;
  all.reserve(connections_.size());
  for (const auto& c : connections_) all.push_back(c.get());
  for (ServerConnection* const c : all) {
    if (!*c->removed_) step(*c);
  }
}

void Server::sweep() {
  forEachConnection([this](ServerConnection& c) { c.checkTimeouts(loop_.now()); });
  sweepTimer_ = loop_.runAfter(kSweep, [this] { sweep(); });
}

void Server::removeConnection(ServerConnection* connection) {
  if (std::exchange(*connection->removed_, true)) return;
  const auto it = std::find_if(connections_.begin(), connections_.end(),
                               [&](const auto& c) { return c.get() == connection; });
  std::shared_ptr<ServerConnection> gone(it->release());
  connections_.erase(it);
  loop_.defer([gone] {});
}

void Server::drain() {
  draining_ = true;
  forEachConnection([](ServerConnection& c) { c.drain(); });
}

void Server::shutdown() {
  draining_ = true;
  closeListenerBy_ = loop_.now() + kQueueWithin;
  closeListener();
}

// Closing the listener would reset those that stand in its queue.
void Server::closeListener() {
  if (!listener_.acceptPending() && loop_.now() < *closeListenerBy_) {
    loop_.runAfter(kQueueAgain, [this, alive = alive_] {
      if (*alive) closeListener();
    });
    return;
  }
  closeListenerBy_.reset();
  listener_.close();
  forEachConnection([](ServerConnection& c) { c.closeUnlessRequested(); });
}

std::size_t Server::busyCount() const {
  const auto busy = std::count_if(connections_.begin(), connections_.end(),
                                  [](const auto& c) { return !c->state().isBetweenRequests(); });
  return static_cast<std::size_t>(busy) + (closeListenerBy_ ? 1 : 0);
}

std::size_t Server::unsentBytes() const {
  std::size_t sum = 0;
  for (const auto& c : connections_) sum += c->unsentBytes();
  return sum;
}

std::uint64_t Server::bufferedRequestBytes() const {
  std::uint64_t sum = 0;
  for (const auto& c : connections_) sum += c->bufferedBytes();
  return sum;
}

}  // namespace gannetcourse::http1
