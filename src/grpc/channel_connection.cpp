#include "grpc/channel_connection.h"

#include <utility>

namespace gannetcourse::grpc {

void ChannelConnection::onHeaders(http2::StreamId stream, http2::Headers headers, bool overflow) {
  const auto found = calls.find(stream);
  if (found == calls.end()) return;
  const std::shared_ptr<ClientCall> call = found->second;
  if (overflow) {
    session.reset(stream, http2::kCancel);
    return;
  }
  const std::string* status = http2::find(headers, ":status");
  const bool isInformational = status != nullptr && !status->empty() && status->front() == '1';
  if (isInformational) return;
  http2::Headers& block = call->headersReceived_ ? call->trailers_ : call->responseHeaders_;
  call->headersReceived_ = true;
  block = std::move(headers);
}

void ChannelConnection::onData(http2::StreamId stream, std::span<const std::uint8_t> bytes) {
  const auto found = calls.find(stream);
  if (found == calls.end()) return session.consumed(stream, bytes.size());
  const std::shared_ptr<ClientCall> call = found->second;
  call->onData(bytes);
}

void ChannelConnection::onRemoteEnd(http2::StreamId stream) {
  const auto found = calls.find(stream);
  if (found != calls.end()) found->second->remoteClosed_ = true;
}

void ChannelConnection::onStreamClosed(http2::StreamId stream, std::uint32_t code) {
  const auto found = calls.find(stream);
  if (found == calls.end()) return;
  const std::shared_ptr<ClientCall> call = found->second;
  calls.erase(found);
  call->connection_ = nullptr;
  channel.onStreamFreed();
  if (call->remoteClosed_) {
    call->deliverMessages();  // ends the call after its last message; a paused call ends after it resumes
  } else {
    call->end(endOfClosedStream(code));
  }
}

CallEnd ChannelConnection::endOfClosedStream(std::uint32_t code) const {
  if (!session.isOpen()) {
    if (session.closedByPeer())
      return CallEnd::local(CallEnd::Kind::kConnectionLost, Code::kUnavailable, "connection lost");
    return CallEnd::local(CallEnd::Kind::kAbandoned, Code::kUnavailable, "connection given up");
  }
  if (code == http2::kRefusedStream)
    return CallEnd::local(CallEnd::Kind::kRefusedStream, Code::kUnavailable, "stream refused");
  return CallEnd::local(CallEnd::Kind::kReset, codeFromHttp2Error(code),
                        "stream reset, HTTP/2 code " + std::to_string(code));
}

void ChannelConnection::onGoaway() {
  if (channel.onGoaway) channel.onGoaway();
}

void ChannelConnection::onStrayFrame(http2::StreamId stream) {
  if (channel.onStrayFrame) channel.onStrayFrame(stream);
}

}  // namespace gannetcourse::grpc
