#include "grpc/server.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::grpc {
namespace {

const http2::Headers kAnswerHeaders = {{":status", "200"}, {"content-type", "application/grpc+proto"}};

http2::Headers trailersOf(const Status& status, const http2::Headers& more) {
  http2::Headers trailers = {{"grpc-status", std::to_string(static_cast<int>(status.code))}};
  if (!status.message.empty()) trailers.push_back({"grpc-message", percentEncode(status.message)});
  trailers.insert(trailers.end(), more.begin(), more.end());
  return trailers;
}

bool isGrpc(const std::string* contentType) {
  static const std::string kType = "application/grpc";
  if (contentType == nullptr || contentType->compare(0, kType.size(), kType) != 0) return false;
  if (contentType->size() == kType.size()) return true;
  const char next = (*contentType)[kType.size()];
  return next == '+' || next == ';';
}

}  // namespace

// ---- Call ----
const std::string& ServerCall::peer() const {
  static const std::string kNone;
  return connection_ == nullptr ? kNone : connection_->peer();
}

Instant ServerCall::lastReceivedAt() const {
  return connection_ == nullptr ? Instant{} : connection_->session_.lastReceivedAt();
}

std::uint64_t ServerCall::connectionId() const { return connection_ == nullptr ? 0 : connection_->id(); }

bool ServerCall::silenced() const {
  return connection_ != nullptr && connection_->session_.connection().isSuspended();
}

std::size_t ServerCall::send(std::string_view message) {
  if (!isOpen()) return 0;
  if (!std::exchange(headersSent_, true)) connection_->session_.respond(stream_, kAnswerHeaders);
  const FramePrefix prefix = framePrefix(message.size());
  return connection_->session_.send(stream_, {prefix.data(), prefix.size()}, message);
}

void ServerCall::finish(const Status& status, const http2::Headers& trailers) {
  if (!isOpen()) return;
  finished_ = true;
  http2::Headers last = trailersOf(status, trailers);
  http2::Session& session = connection_->session_;
  if (!remoteClosed_) session.discardRemainingInput(stream_);
  if (headersSent_) {
    session.finish(stream_, last);
  } else {
    last.insert(last.begin(), kAnswerHeaders.begin(), kAnswerHeaders.end());
    session.respondHeadersOnly(stream_, last);
  }
}

void ServerCall::reset(std::uint32_t http2Code) {
  if (!isOpen()) return;
  finished_ = true;
  connection_->session_.reset(stream_, http2Code);
}

void ServerCall::abandon() {
  finished_ = true;
  if (connection_ != nullptr) connection_->session_.reset(stream_, http2::kCancel);
}

std::size_t ServerCall::pendingBytes() const {
  return connection_ == nullptr ? 0 : connection_->session_.pendingBytes(stream_);
}

// ---- Connection ----
ServerConnection::ServerConnection(Server& server, std::uint64_t id, int fd)
    : server_(server),
      id_(id),
      session_(server.loop_, http2::Session::Side::kServer, *this, server.options_.http2) {
  session_.adopt(fd);
}

ServerConnection::~ServerConnection() { closeCalls(); }

ServerCall* ServerConnection::find(http2::StreamId stream) {
  const auto it = calls_.find(stream);
  return it == calls_.end() ? nullptr : it->second.get();
}

void ServerConnection::respondHttpError(http2::StreamId stream, const char* status) {
  session_.discardRemainingInput(stream);
  session_.respondHeadersOnly(stream, {{":status", status}});
}

void ServerConnection::onHeaders(http2::StreamId stream, http2::Headers headers, bool overflow) {
  if (find(stream) != nullptr) return;  // trailers of a request: nothing in them is used
  const std::string* method = http2::find(headers, ":method");
  const std::string* path = http2::find(headers, ":path");
  if (!overflow && (method == nullptr || *method != "POST" || path == nullptr))
    return respondHttpError(stream, "405");
  if (!overflow && !isGrpc(http2::find(headers, "content-type"))) return respondHttpError(stream, "415");
  const auto call = std::make_shared<ServerCall>();
  calls_[stream] = call;
  call->connection_ = this;
  call->stream_ = stream;
  call->receivedAt_ = server_.loop_.now();
  call->reader_ = std::make_unique<MessageReader>(server_.options_.maxMessageBytes);
  if (path != nullptr) call->method_ = *path;
  if (peer_.empty()) {
    const std::string* agent = http2::find(headers, "user-agent");
    peer_ = agent == nullptr ? "unknown" : *agent;
    if (server_.silentTo && server_.silentTo(peer_)) suspend(true);
  }
  std::optional<Status> fault;
  if (overflow) {
    fault =
        Status{Code::kResourceExhausted,
               "metadata is larger than " + std::to_string(server_.options_.http2.maxHeaderBytes) + " bytes"};
  } else {
    fault = checkHeaders(*call, headers);
  }
  call->metadata_ = std::move(headers);
  if (fault) call->finish(*fault);
}

std::optional<Status> ServerConnection::checkHeaders(ServerCall& call, const http2::Headers& headers) {
  if (server_.handlers_.find(call.method_) == server_.handlers_.end()) {
    return Status{Code::kUnimplemented, "unknown method " + call.method_};
  }
  const std::string* encoding = http2::find(headers, "grpc-encoding");
  if (encoding != nullptr && *encoding != "identity") {
    return Status{Code::kUnimplemented, "compression '" + *encoding + "' is not supported; use identity"};
  }
  if (const std::string* timeout = http2::find(headers, "grpc-timeout")) {
    call.timeout_ = parseTimeout(*timeout);
    if (!call.timeout_) return Status{Code::kInvalidArgument, "grpc-timeout '" + *timeout + "' is malformed"};
  }
  return std::nullopt;
}

void ServerConnection::onData(http2::StreamId stream, std::span<const std::uint8_t> bytes) {
  session_.consumed(stream, bytes.size());
  ServerCall* const call = find(stream);
  if (call == nullptr || call->finished_) return;
  call->reader_->add({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  while (const auto message = call->reader_->next()) {
    call->requestMessage_.assign(*message);
    ++call->messagesReceived_;
  }
  if (const auto fault = checkRequest(*call)) call->finish(*fault);
}

std::optional<Status> ServerConnection::checkRequest(const ServerCall& call) const {
  switch (call.reader_->fault()) {
    case MessageReader::Fault::kTooLarge:
      return Status{
          Code::kResourceExhausted,
          "request message is larger than " + std::to_string(server_.options_.maxMessageBytes) + " bytes"};
    case MessageReader::Fault::kCompressed:
      return Status{Code::kInternal, "request message is marked as compressed, but grpc-encoding names none"};
    case MessageReader::Fault::kBadFlag:
      return Status{Code::kInternal, "request message starts with an unknown flag"};
    case MessageReader::Fault::kNone:
      break;
  }
  if (call.messagesReceived_ > 1) return Status{Code::kUnimplemented, "more than one request message"};
  return std::nullopt;
}

void ServerConnection::onRemoteEnd(http2::StreamId stream) {
  const auto it = calls_.find(stream);
  if (it == calls_.end()) return;
  const std::shared_ptr<ServerCall> call = it->second;
  call->remoteClosed_ = true;
  if (call->finished_) return;
  if (call->reader_->isInsideMessage())
    return call->finish({Code::kInternal, "request ends inside a message"});
  if (call->messagesReceived_ == 0) return call->finish({Code::kUnimplemented, "no request message"});
  if (session_.connection().isSuspended()) {
    suspendedCalls_.push_back(call);
    if (server_.onHeld) server_.onHeld(call, call->requestMessage_);
  } else {
    dispatch(call);
  }
}

void ServerConnection::dispatch(const std::shared_ptr<ServerCall>& call) {
  const auto handler = server_.handlers_.find(call->method_);
  if (!call->isOpen() || handler == server_.handlers_.end()) return;
  call->reader_.reset();
  const std::string request = std::exchange(call->requestMessage_, {});
  handler->second(call, request);
}

void ServerConnection::suspend(bool frozen) {
  session_.connection().suspend(frozen);
  if (frozen) return;
  for (const auto& call : std::exchange(suspendedCalls_, {})) dispatch(call);
}

void ServerConnection::onDrained(http2::StreamId stream) {
  ServerCall* const call = find(stream);
  if (call == nullptr || !call->onDrained) return;
  // Not from inside the session's own work: the handler will want to send.
  server_.loop_.defer([call = call->shared_from_this()] {
    if (call->isOpen() && call->onDrained) call->onDrained();
  });
}

void ServerConnection::onStreamClosed(http2::StreamId stream, std::uint32_t) {
  const auto it = calls_.find(stream);
  if (it == calls_.end()) return;
  const std::shared_ptr<ServerCall> call = it->second;
  calls_.erase(it);
  const bool cut = !call->finished_;
  call->finished_ = true;
  call->connection_ = nullptr;
  call->onDrained = nullptr;
  const auto cancelled = std::exchange(call->onCancelled, nullptr);
  const auto closed = std::exchange(call->onClosed, nullptr);
  if (cut && cancelled) cancelled();
  if (closed) closed();
}

void ServerConnection::closeCalls() {
  while (!calls_.empty()) onStreamClosed(calls_.begin()->first, http2::kInternalError);
}

void ServerConnection::onSessionClosed(const std::string&) { server_.scheduleRemoval(this); }

// ---- Server ----
Server::Server(net::Loop& loop, const net::Endpoint& on, const ServerOptions& options)
    : loop_(loop), options_(options), listener_(loop, on, [this](int fd) { accept(fd); }) {}

Server::~Server() {
  *alive_ = false;
  for (auto& [key, connection] : connections_) connection->session_.close();
}

void Server::accept(int fd) {
  auto connection = std::make_unique<ServerConnection>(*this, nextConnection_++, fd);
  ServerConnection* const key = connection.get();
  connections_.emplace(key, std::move(connection));
  if (connections_.size() >= options_.maxConnections) listener_.pause(true);
}

void Server::scheduleRemoval(ServerConnection* connection) {
  if (onConnectionEnded) onConnectionEnded(*connection);
  loop_.defer([this, connection, alive = alive_] {
    if (!*alive) return;
    connections_.erase(connection);
    if (!draining_ && connections_.size() + 1 == options_.maxConnections) listener_.pause(false);
  });
}

void Server::drain() {
  if (std::exchange(draining_, true)) return;
  listener_.acceptPending();  // closing it would reset those that stand in its queue
  listener_.close();
  for (auto& [key, connection] : connections_) connection->session_.goaway();
}

std::size_t Server::calls() const {
  std::size_t open = 0;
  for (const auto& [key, connection] : connections_) open += connection->calls();
  return open;
}

void Server::freeze(bool frozen, const std::function<bool(const std::string&)>& who) {
  for (auto& [key, connection] : connections_) {
    if (!who || who(connection->peer())) connection->suspend(frozen);
  }
}

void Server::pollAll() {
  for (auto& [key, connection] : connections_) {
    connection->session_.connection().readNow();
  }
}

void Server::refuse(bool refused) { listener_.rejectConnections(refused); }

void Server::abortAll() {
  for (auto& [key, connection] : connections_) {
    if (!connection->session_.isOpen()) continue;
    connection->session_.abort();
    connection->closeCalls();
    scheduleRemoval(connection.get());
  }
}

}  // namespace gannetcourse::grpc
