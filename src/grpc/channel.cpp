#include "grpc/channel.h"

#include <algorithm>
#include <utility>

#include "grpc/channel_connection.h"

namespace gannetcourse::grpc {

Channel::Channel(net::Loop& loop, net::Endpoint server, ChannelOptions options)
    : loop_(loop), endpoint_(std::move(server)), options_(std::move(options)) {}

Channel::~Channel() {
  *alive_ = false;
  loop_.cancelTimer(keepaliveTimer_);
  for (auto& connection : connections_) {
    for (auto& [id, call] : connection->calls) {
      call->connection_ = nullptr;
      call->over_ = true;
    }
    connection->session.close();
  }
  for (auto& call : queued_) call->over_ = true;
}

void Channel::closeAll() {
  failQueued("channel closed");
  // Iterates by index, because the onEnd handlers that fail() calls may add connections to the vector.
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    if (!connections_[i]->ended) connections_[i]->session.fail("channel closed");
  }
}

void Channel::closeIdle() {
  for (auto& connection : connections_) {
    if (connection->ready && connection->calls.empty()) connection->session.goaway();
  }
}

// ---- Calls ----
std::shared_ptr<ClientCall> Channel::start(const std::string& method, std::string_view message,
                                           std::optional<Duration> timeout, const http2::Headers& metadata) {
  auto call = std::make_shared<ClientCall>();
  http2::Headers& headers = call->requestHeaders_;
  headers = {{":method", "POST"},
             {":scheme", "http"},
             {":path", method},
             {":authority", endpoint_.text()},
             {"te", "trailers"},
             {"content-type", "application/grpc+proto"},
             {"user-agent", options_.userAgent}};
  if (timeout) headers.push_back({"grpc-timeout", formatTimeout(*timeout)});
  headers.insert(headers.end(), metadata.begin(), metadata.end());
  call->body_ = frame(message);
  call->reader_.emplace(options_.maxMessageBytes);
  dispatch(call);
  return call;
}

void Channel::dispatch(const std::shared_ptr<ClientCall>& call) {
  for (auto& connection : connections_) {
    if (connection->ready && startOn(*connection, call)) return;
  }
  if (queued_.size() >= options_.maxQueued) return failLater(call, "too many calls wait");
  const bool connecting = std::any_of(connections_.begin(), connections_.end(), [](const auto& connection) {
    return !connection->ready && !connection->ended;
  });
  if (!connecting && loop_.now() < retryAt_) return failLater(call, "in back-off");
  queued_.push_back(call);
  if (!connecting && connections_.size() < options_.maxConnections) openConnection();
}

// Deferred because the caller may not have set the call's handlers yet.
void Channel::failLater(const std::shared_ptr<ClientCall>& call, const std::string& reason) {
  loop_.defer(
      [call, reason] { call->end(CallEnd::local(CallEnd::Kind::kNotSent, Code::kUnavailable, reason)); });
}

// Returns false if the connection accepts no more streams.
bool Channel::startOn(ChannelConnection& connection, const std::shared_ptr<ClientCall>& call) {
  if (call->over_) return true;
  const http2::StreamId stream = connection.session.request(call->requestHeaders_, call->body_);
  if (stream == 0) return false;
  call->connection_ = &connection;
  call->stream_ = stream;
  call->requestHeaders_.clear();
  call->body_.clear();
  call->body_.shrink_to_fit();
  connection.calls.emplace(stream, call);
  scheduleKeepalive();
  return true;
}

void Channel::onStreamFreed() {
  if (queued_.empty()) return;
  loop_.defer([this, alive = alive_] {
    if (*alive) dispatchQueued();
  });
}

void Channel::dispatchQueued() {
  std::deque<std::shared_ptr<ClientCall>> waiting;
  waiting.swap(queued_);
  while (!waiting.empty()) {
    const auto call = waiting.front();
    waiting.pop_front();
    if (!call->over_) dispatch(call);
  }
}

void Channel::failQueued(const std::string& reason) {
  for (const auto& call : std::exchange(queued_, {})) failLater(call, reason);
}

// ---- Connections ----
void Channel::openConnection() {
  ++lastConnectionId_;
  connections_.push_back(
      std::make_unique<ChannelConnection>(*this, lastConnectionId_, loop_, options_.http2));
  connections_.back()->session.connect(endpoint_, options_.connectTimeout);
}

void Channel::onConnectionReady(ChannelConnection& connection) {
  connection.ready = true;
  backoff_ = Duration(0);
  dispatchQueued();
}

void Channel::onConnectionClosed(ChannelConnection& connection, bool wasReady, const std::string& reason) {
  connection.ended = true;
  connection.ready = false;
  if (!wasReady) {
    backoff_ = backoff_.count() > 0 ? backoff_ * 2 : options_.initialBackoff;
    backoff_ = std::min(options_.maxBackoff, backoff_);
    retryAt_ = loop_.now() + backoff_;
    failQueued(reason);
  }
  loop_.defer([this, alive = alive_, closed = &connection] {
    if (!*alive) return;
    std::erase_if(connections_, [closed](const auto& one) { return one.get() == closed; });
    if (!queued_.empty()) dispatchQueued();
  });
}

// ---- Keepalive ----
void Channel::scheduleKeepalive() {
  if (keepaliveTimer_ != 0 || options_.keepaliveInterval.count() <= 0) return;
  keepaliveTimer_ = loop_.runAfter(options_.keepaliveInterval, [this] {
    keepaliveTimer_ = 0;
    sendKeepalives();
  });
}

void Channel::sendKeepalives() {
  bool anyCalls = false;
  for (auto& connection : connections_) {
    if (!connection->ready || connection->calls.empty()) continue;
    anyCalls = true;
    sendPing(*connection);
  }
  if (anyCalls) scheduleKeepalive();
}

void Channel::sendPing(ChannelConnection& connection) {
  const std::uint64_t ping = ++connection.pingsSent;
  connection.session.ping();
  loop_.runAfter(options_.keepaliveTimeout, [this, alive = alive_, id = connection.id, ping] {
    if (*alive) checkPong(id, ping);
  });
}

void Channel::checkPong(std::uint64_t connectionId, std::uint64_t ping) {
  for (auto& connection : connections_) {
    if (connection->id == connectionId && connection->ready && connection->pingsAcknowledged < ping)
      return connection->session.fail("no answer to a PING");
  }
}

}  // namespace gannetcourse::grpc
