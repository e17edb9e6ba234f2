#include "grpc/client_call.h"

#include <algorithm>
#include <utility>

#include "grpc/channel_connection.h"

namespace gannetcourse::grpc {
namespace {

// HTTP statuses of proxies and servers that are overloaded or unreachable.
bool isUnavailable(std::string_view httpStatus) {
  return httpStatus == "429" || httpStatus == "502" || httpStatus == "503" || httpStatus == "504";
}

// Reads the status from the response's headers or trailers; without a grpc-status, from the HTTP status.
CallEnd endFromHeaders(const http2::Headers& response, const http2::Headers& trailers) {
  const http2::Headers& last = trailers.empty() ? response : trailers;
  const std::string* code = http2::find(last, "grpc-status");
  if (code == nullptr) {
    const std::string* status = http2::find(response, ":status");
    const std::string httpStatus = status == nullptr ? "none" : *status;
    return CallEnd::local(CallEnd::Kind::kMalformed,
                          isUnavailable(httpStatus) ? Code::kUnavailable : Code::kUnknown,
                          "no grpc-status; HTTP status " + httpStatus);
  }
  const std::string* message = http2::find(last, "grpc-message");
  const std::string text = message == nullptr ? "" : percentDecode(*message);
  return {CallEnd::Kind::kStatus, {codeFromText(*code), text}, last};
}

}  // namespace

CallEnd CallEnd::local(Kind kind, Code code, std::string message) {
  return {kind, {code, std::move(message)}, {}};
}

void ClientCall::onData(std::span<const std::uint8_t> bytes) {
  unacknowledgedBytes_ += bytes.size();
  reader_->add({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  deliverMessages();
}

void ClientCall::deliverMessages() {
  if (std::exchange(delivering_, true)) return;
  const auto keepAlive = shared_from_this();
  while (!over_ && !paused_) {
    const auto message = reader_->next();
    if (!message) break;
    if (onMessage) onMessage(*message);
  }
  delivering_ = false;
  if (over_) {
    onMessage = nullptr;
    return;
  }
  if (reader_->fault() != MessageReader::Fault::kNone) {
    resetStream();
    return end(
        CallEnd::local(CallEnd::Kind::kMalformed, Code::kInternal, "an answer's message cannot be read"));
  }
  updateWindow();
  if (!remoteClosed_ || connection_ != nullptr || paused_) return;
  if (reader_->isInsideMessage())
    return end(CallEnd::local(CallEnd::Kind::kMalformed, Code::kInternal, "answer ends inside a message"));
  end(endFromHeaders(responseHeaders_, trailers_));
}

// Returns received bytes to the stream's flow-control window. For a paused call, undelivered bytes are not
// returned. For other calls, the bytes of an incomplete message are returned too: otherwise a message larger
// than the window could never arrive in full.
void ClientCall::updateWindow() {
  if (connection_ == nullptr) return;
  const std::size_t buffered = std::min(reader_->bufferedBytes(), unacknowledgedBytes_);
  const std::size_t retained = paused_ ? buffered : 0;
  const std::size_t released = std::exchange(unacknowledgedBytes_, retained) - retained;
  connection_->session.consumed(stream_, released);
}

void ClientCall::pause(bool paused) {
  paused_ = paused;
  if (!paused_ && reader_) deliverMessages();
}

void ClientCall::cancel() {
  if (over_) return;
  const auto keepAlive = shared_from_this();
  resetStream();
  end(CallEnd::local(CallEnd::Kind::kCancelled, Code::kCancelled, "called off"));
}

void ClientCall::resetStream() {
  if (connection_ == nullptr) return;
  ChannelConnection* const connection = std::exchange(connection_, nullptr);
  connection->calls.erase(stream_);
  connection->session.reset(stream_, http2::kCancel);
}

void ClientCall::end(const CallEnd& end) {
  if (std::exchange(over_, true)) return;
  const auto keepAlive = shared_from_this();
  if (!delivering_) onMessage = nullptr;  // while messages are delivered, onMessage may be on the call stack
  if (const auto notify = std::exchange(onEnd, nullptr)) notify(end);
}

}  // namespace gannetcourse::grpc
