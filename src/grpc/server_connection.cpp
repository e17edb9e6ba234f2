#include "grpc/server_connection.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::grpc {
namespace {

constexpr const char* kMethodNotAllowed = "405";
constexpr const char* kUnsupportedMediaType = "415";

bool isGrpcContentType(const std::string* contentType) {
  static const std::string kType = "application/grpc";
  if (contentType == nullptr || contentType->compare(0, kType.size(), kType) != 0) return false;
  if (contentType->size() == kType.size()) return true;
  const char next = (*contentType)[kType.size()];
  return next == '+' || next == ';';
}

// Returns the HTTP status to respond to a request that is not gRPC; null if it is gRPC.
const char* httpErrorFor(const http2::Headers& headers) {
  const std::string* method = http2::find(headers, ":method");
  if (method == nullptr || *method != "POST") return kMethodNotAllowed;
  if (http2::find(headers, ":path") == nullptr) return kMethodNotAllowed;
  if (!isGrpcContentType(http2::find(headers, "content-type"))) return kUnsupportedMediaType;
  return nullptr;
}

}  // namespace

ServerConnection::ServerConnection(Server& server, std::uint64_t id, int fd)
    : server_(server),
      id_(id),
      session_(server.loop_, http2::Session::Side::kServer, *this, server.options_.http2) {
  session_.adopt(fd);
}

ServerConnection::~ServerConnection() { closeCalls(); }

ServerCall* ServerConnection::find(http2::StreamId stream) {
  const auto found = calls_.find(stream);
  return found == calls_.end() ? nullptr : found->second.get();
}

void ServerConnection::respondHttpError(http2::StreamId stream, const char* status) {
  session_.discardRemainingInput(stream);
  session_.respondHeadersOnly(stream, {{":status", status}});
}

// ---- Requests ----
void ServerConnection::onHeaders(http2::StreamId stream, http2::Headers headers, bool overflow) {
  if (find(stream) != nullptr) return;  // request trailers are ignored
  const char* const httpError = overflow ? nullptr : httpErrorFor(headers);
  if (httpError != nullptr) return respondHttpError(stream, httpError);
  const std::shared_ptr<ServerCall> call = addCall(stream, http2::find(headers, ":path"));
  identifyPeer(headers);
  std::optional<Status> error;
  if (overflow) {
    const std::string limit = std::to_string(server_.options_.http2.maxHeaderBytes);
    error = Status{Code::kResourceExhausted, "metadata is larger than " + limit + " bytes"};
  } else {
    error = checkHeaders(*call, headers);
  }
  call->metadata_ = std::move(headers);
  call->updateCharge();
  if (error) return call->finish(*error);
  limitRequestTime(call);
  server_.makeRoom();
}

// Ends the call if its request has not arrived in time. A suspended connection does not read the request.
void ServerConnection::limitRequestTime(const std::shared_ptr<ServerCall>& call) {
  const Duration longest = server_.options_.requestTimeout;
  const Duration limit = std::min(call->timeout_.value_or(longest), longest);
  call->requestTimer_ = server_.loop_.runAfter(limit, [weak = std::weak_ptr(call)] {
    const std::shared_ptr<ServerCall> late = weak.lock();
    if (!late || late->isSuspended()) return;
    late->finish({Code::kDeadlineExceeded, "the request did not arrive in time"});
  });
}

std::shared_ptr<ServerCall> ServerConnection::addCall(http2::StreamId stream, const std::string* method) {
  auto call = std::make_shared<ServerCall>();
  calls_[stream] = call;
  call->connection_ = this;
  call->stream_ = stream;
  call->receivedAt_ = server_.loop_.now();
  call->reader_ = std::make_unique<MessageReader>(server_.options_.maxMessageBytes);
  call->requestCharge_ = {server_.memory_, net::MemoryUse::kPartialRequests};
  if (method != nullptr) call->method_ = *method;
  return call;
}

void ServerConnection::identifyPeer(const http2::Headers& headers) {
  if (!peer_.empty()) return;
  const std::string* agent = http2::find(headers, "user-agent");
  peer_ = agent == nullptr ? "unknown" : *agent;
  if (server_.isSuspendedFor && server_.isSuspendedFor(peer_)) suspend(true);
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

void ServerConnection::cancelRequestTimer(ServerCall& call) {
  server_.loop_.cancelTimer(std::exchange(call.requestTimer_, 0));
}

void ServerConnection::onData(http2::StreamId stream, std::span<const std::uint8_t> bytes) {
  session_.consumed(stream, bytes.size());
  ServerCall* const call = find(stream);
  if (call == nullptr) return;
  if (call->finished_) return call->releaseRequest();
  call->reader_->add({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  while (const auto message = call->reader_->next()) {
    call->requestMessage_.assign(*message);
    ++call->messagesReceived_;
  }
  call->updateCharge();
  if (const auto error = checkMessages(*call)) return call->finish(*error);
  server_.makeRoom();
}

std::optional<Status> ServerConnection::checkMessages(const ServerCall& call) const {
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
  const auto found = calls_.find(stream);
  if (found == calls_.end()) return;
  const std::shared_ptr<ServerCall> call = found->second;
  call->remoteClosed_ = true;
  cancelRequestTimer(*call);
  if (call->finished_) return;
  if (call->reader_->isInsideMessage())
    return call->finish({Code::kInternal, "request ends inside a message"});
  if (call->messagesReceived_ == 0) return call->finish({Code::kUnimplemented, "no request message"});
  if (!session_.connection().isSuspended()) return dispatch(call);
  suspendedCalls_.push_back(call);
  if (server_.onRequestWhileSuspended) server_.onRequestWhileSuspended(call, call->requestMessage_);
}

void ServerConnection::dispatch(const std::shared_ptr<ServerCall>& call) {
  const auto handler = server_.handlers_.find(call->method_);
  if (!call->isOpen() || handler == server_.handlers_.end()) return;
  if (server_.isMemoryExceeded()) return call->finish(kNoMemory);
  call->reader_.reset();
  const std::string request = std::exchange(call->requestMessage_, {});
  call->openRequestBytes_ = request.size();
  call->updateCharge();
  handler->second(call, request);
}

void ServerConnection::suspend(bool suspended) {
  session_.connection().suspend(suspended);
  if (suspended) return;
  for (const auto& call : std::exchange(suspendedCalls_, {})) dispatch(call);
}

// ---- Responses and ends ----
void ServerConnection::onOutputTaken(http2::StreamId stream) {
  ServerCall* const call = find(stream);
  if (call == nullptr || !call->onDrained) return;
  // Deferred because onDrained may send a message, which the session does not allow inside its callbacks.
  server_.loop_.defer([call = call->shared_from_this()] {
    if (call->isOpen() && call->onDrained) call->onDrained();
  });
}

void ServerConnection::onStreamClosed(http2::StreamId stream, std::uint32_t) {
  const auto found = calls_.find(stream);
  if (found == calls_.end()) return;
  const std::shared_ptr<ServerCall> call = found->second;
  calls_.erase(found);
  cancelRequestTimer(*call);
  const bool wasUnfinished = !call->finished_;
  call->finished_ = true;
  call->connection_ = nullptr;
  call->onDrained = nullptr;
  const auto onCancelled = std::exchange(call->onClientDisconnected, nullptr);
  const auto onClosed = std::exchange(call->onClosed, nullptr);
  if (wasUnfinished && onCancelled) onCancelled();
  if (onClosed) onClosed();
}

void ServerConnection::closeCalls() {
  while (!calls_.empty()) onStreamClosed(calls_.begin()->first, http2::kInternalError);
}

void ServerConnection::onSessionClosed(const std::string&) { server_.scheduleRemoval(this); }

}  // namespace gannetcourse::grpc
