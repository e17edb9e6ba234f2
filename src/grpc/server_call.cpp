#include "grpc/server_call.h"

#include <utility>

#include "grpc/server_connection.h"

namespace gannetcourse::grpc {
namespace {

const http2::Headers kResponseHeaders = {{":status", "200"}, {"content-type", "application/grpc+proto"}};

http2::Headers statusTrailers(const Status& status, const http2::Headers& additional) {
  http2::Headers trailers = {{"grpc-status", std::to_string(static_cast<int>(status.code))}};
  if (!status.message.empty()) trailers.push_back({"grpc-message", percentEncode(status.message)});
  trailers.insert(trailers.end(), additional.begin(), additional.end());
  return trailers;
}

// What a call holds beside its request: its objects with their entries in containers.
constexpr std::uint64_t kCallBytes = 1024;

std::uint64_t memoryOf(const http2::Headers& headers) {
  std::uint64_t bytes = headers.capacity() * sizeof(http2::Header);
  for (const http2::Header& header : headers)
    bytes += net::heapBytesOf(header.name) + net::heapBytesOf(header.value);
  return bytes;
}

}  // namespace

const Status kNoMemory = {Code::kResourceExhausted, "the node has no memory for the request"};

void ServerCall::updateCharge() {
  const std::uint64_t buffered = reader_ ? reader_->heldBytes() : 0;
  requestCharge_.set(kCallBytes + memoryOf(metadata_) + net::heapBytesOf(requestMessage_) + buffered +
                     openRequestBytes_);
}

// Frees the request of a call that has been finished before its handler was called.
void ServerCall::releaseRequest() {
  net::release(metadata_);
  net::release(requestMessage_);
  reader_.reset();
  updateCharge();
}

const std::string& ServerCall::peer() const {
  static const std::string kNone;
  return connection_ == nullptr ? kNone : connection_->peer();
}

Instant ServerCall::lastReceivedAt() const {
  return connection_ == nullptr ? Instant{} : connection_->session_.lastReceivedAt();
}

std::uint64_t ServerCall::connectionId() const { return connection_ == nullptr ? 0 : connection_->id(); }

bool ServerCall::isSuspended() const {
  return connection_ != nullptr && connection_->session_.connection().isSuspended();
}

std::size_t ServerCall::send(std::string_view message) {
  if (!isOpen()) return 0;
  if (!std::exchange(headersSent_, true)) connection_->session_.respond(stream_, kResponseHeaders);
  const FramePrefix prefix = framePrefix(message.size());
  return connection_->session_.send(stream_, {prefix.data(), prefix.size()}, message);
}

void ServerCall::finish(const Status& status, const http2::Headers& trailers) {
  if (!isOpen()) return;
  finished_ = true;
  http2::Headers last = statusTrailers(status, trailers);
  http2::Session& session = connection_->session_;
  if (!remoteClosed_) session.discardRemainingInput(stream_);
  if (headersSent_) {
    session.finish(stream_, last);
  } else {
    last.insert(last.begin(), kResponseHeaders.begin(), kResponseHeaders.end());
    session.respondHeadersOnly(stream_, last);
  }
  if (!remoteClosed_) releaseRequest();
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

}  // namespace gannetcourse::grpc
