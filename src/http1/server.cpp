#include "http1/server.h"

#include <unistd.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "http1/server_connection.h"

namespace gannetcourse::http1 {
namespace {

const Duration kTimeoutCheckInterval{0.1};
// How long shutdown() retries accept() after failures before it closes the listener, which resets connections
// that still wait in its queue.
const Duration kAcceptQueueTimeout{2};
const Duration kAcceptQueueRetryDelay{0.01};

}  // namespace

// ---- Exchange ----
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

// ---- Server ----
Server::Server(net::Loop& loop, const net::Endpoint& on, const ServerOptions& options, Handler handler)
    : loop_(loop),
      options_(options),
      handler_(std::move(handler)),
      listener_(loop, on, [this](int fd) { accept(fd); }) {
  timeoutCheckTimer_ = loop_.runAfter(kTimeoutCheckInterval, [this] { checkTimeouts(); });
}

Server::~Server() {
  *alive_ = false;
  loop_.cancelTimer(timeoutCheckTimer_);
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

// Closes a connection to make room for a new one; false if none can be closed. Reads the candidate's pending
// input first: a connection whose complete request is in it is not idle and stays open.
bool Server::evictConnection() {
  for (std::size_t tries = connections_.size(); tries > 0; --tries) {
    ServerConnection* const candidate = chooseEvictionCandidate();
    if (candidate == nullptr) return false;
    if (candidate->readPendingRequest()) continue;
    if (candidate->isRemoved()) return true;  // reading showed that its client had disconnected
    ++counters_.evicted;
    candidate->close();
    return true;
  }
  return false;
}

ServerConnection* Server::chooseEvictionCandidate() const {
  ServerConnection* chosen = nullptr;
  for (const auto& connection : connections_) {
    if (!connection->isEvictable()) continue;
    if (chosen == nullptr || connection->evictionRank() < chosen->evictionRank()) chosen = connection.get();
  }
  return chosen;
}

// Calls `action` for each connection. It may close any connection: a closed connection is removed from the
// list at once, but destroyed at the end of this iteration.
template <class Action>
void Server::forEachConnection(const Action& action) {
  std::vector<ServerConnection*> snapshot;
  snapshot.reserve(connections_.size());
  for (const auto& connection : connections_) snapshot.push_back(connection.get());
  for (ServerConnection* const connection : snapshot) {
    if (!connection->isRemoved()) action(*connection);
  }
}

void Server::checkTimeouts() {
  forEachConnection([this](ServerConnection& connection) { connection.checkTimeouts(loop_.now()); });
  timeoutCheckTimer_ = loop_.runAfter(kTimeoutCheckInterval, [this] { checkTimeouts(); });
}

void Server::removeConnection(ServerConnection* connection) {
  if (connection->isRemoved()) return;
  connection->markRemoved();
  const auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [&](const auto& one) { return one.get() == connection; });
  std::shared_ptr<ServerConnection> keepUntilIterationEnds(found->release());
  connections_.erase(found);
  loop_.defer([keepUntilIterationEnds] {});
}

void Server::drain() {
  draining_ = true;
  forEachConnection([](ServerConnection& connection) { connection.drain(); });
}

void Server::shutdown() {
  draining_ = true;
  closeListenerBy_ = loop_.now() + kAcceptQueueTimeout;
  closeListener();
}

// Accepts the connections in the listener's queue first, because closing it resets them.
void Server::closeListener() {
  if (!listener_.acceptPending() && loop_.now() < *closeListenerBy_) {
    loop_.runAfter(kAcceptQueueRetryDelay, [this, alive = alive_] {
      if (*alive) closeListener();
    });
    return;
  }
  closeListenerBy_.reset();
  listener_.close();
  forEachConnection([](ServerConnection& connection) { connection.closeUnlessRequestHasBegun(); });
}

std::size_t Server::busyCount() const {
  const auto busy = std::count_if(connections_.begin(), connections_.end(),
                                  [](const auto& connection) { return connection->isBusy(); });
  const std::size_t listener = closeListenerBy_ ? 1 : 0;
  return static_cast<std::size_t>(busy) + listener;
}

std::size_t Server::unsentBytes() const {
  std::size_t sum = 0;
  for (const auto& connection : connections_) sum += connection->unsentBytes();
  return sum;
}

// Rejects the largest of the requests that are being received until the memory suffices for the others.
void Server::makeRoomForPartialRequest() {
  while (!options_.memory->hasRoom(net::MemoryUse::kPartialRequests)) {
    ServerConnection* const largest = largestPartialRequest();
    if (largest == nullptr) return;
    ++counters_.rejectedForMemory;
    largest->rejectForMemory();
  }
}

// The request that will need the most memory; null if there is none. Requests within their fair part are
// spared unless all buffers together are exhausted.
ServerConnection* Server::largestPartialRequest() const {
  const net::MemoryBudget& memory = *options_.memory;
  const std::uint64_t spared = memory.isExhausted() ? 0 : memory.limits().fairPart;
  ServerConnection* largest = nullptr;
  for (const auto& connection : connections_) {
    const bool isReceiving = connection->state().phase() == ServerPhase::kReceiving;
    if (!isReceiving || connection->partialRequestBytes() <= spared) continue;
    if (largest == nullptr || connection->expectedRequestBytes() > largest->expectedRequestBytes())
      largest = connection.get();
  }
  return largest;
}

}  // namespace gannetcourse::http1
