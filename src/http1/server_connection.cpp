#include "http1/server_connection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <utility>

namespace gannetcourse::http1 {
namespace {

const char* reasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string hexOf(std::size_t value) {
  std::array<char, 2 * sizeof value> text{};
  return {text.data(), std::to_chars(text.data(), text.data() + text.size(), value, 16).ptr};
}

}  // namespace

ServerConnection::ServerConnection(Server& server, int fd)
    : server_(server),
      connection_(server.loop_, *this),
      parser_(server.options_.limits),
      phaseStartedAt_(server.loop_.now()) {
  connection_.adopt(fd);
}

void ServerConnection::respond(int status, std::string_view fields, std::string_view body, bool close) {
  const bool last = close || !keepAlive_ || server_.draining_;
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
  text.append(fields).append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  if (last) text += "Connection: close\r\n";
  text.append("\r\n").append(body);
  connection_.append(text);
  finishResponse(last);
}

void ServerConnection::beginStream(std::string_view fields) {
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  text.append(fields).append(keepAlive_ && !server_.draining_ ? "\r\n" : "Connection: close\r\n\r\n");
  connection_.append(text);
}

void ServerConnection::sendChunk(std::string_view bytes) {
  std::string text = hexOf(bytes.size()) + "\r\n";
  text.append(bytes).append("\r\n");
  connection_.append(text);
  connection_.flush();
  if (exchange_ && !connection_.wantsOutput() && !std::exchange(backpressure_, true) &&
      exchange_->onBackpressure)
    exchange_->onBackpressure(true);
}

bool ServerConnection::readPendingRequest() {
  const bool mayAsk = state_.isBetweenRequests() || state_.phase() == ServerPhase::kReceiving;
  if (!mayAsk || !connection_.isConnected()) return false;
  const std::uint64_t before = requestsDispatched_;
  connection_.readNow();
  return requestsDispatched_ != before;
}

void ServerConnection::closeUnlessRequested() {
  if (state_.isBetweenRequests() && connection_.isConnected()) connection_.readNow();
  if (state_.isBetweenRequests()) handleEvent(ServerEvent::kTimedOut);
}

void ServerConnection::checkTimeouts(Instant now) {
  if (connection_.pendingBytes() == 0 || connection_.pendingBytes() != lastPendingBytes_)
    lastProgressAt_ = now;
  lastPendingBytes_ = connection_.pendingBytes();
  if (now <= phaseDeadline()) return;
  ++server_.counters_.timedOut;
  handleEvent(ServerEvent::kTimedOut);
}

Instant ServerConnection::phaseDeadline() const {
  const ServerOptions& o = server_.options_;
  switch (state_.phase()) {
    case ServerPhase::kNew:
    case ServerPhase::kReceiving:
      return phaseStartedAt_ + o.requestTimeout;
    case ServerPhase::kIdle:
      return connection_.pendingBytes() > 0 ? lastProgressAt_ + o.writeStallTimeout
                                            : phaseStartedAt_ + o.idleTimeout;
    case ServerPhase::kResponding:
      return std::max(phaseStartedAt_, lastProgressAt_) + o.writeStallTimeout;
    case ServerPhase::kFlushing:
      return std::max(phaseStartedAt_, lastProgressAt_) + o.requestTimeout;
    default:
      return phaseStartedAt_ + o.lingerTimeout;
  }
}

void ServerConnection::handleEvent(ServerEvent event) {
  const ServerPhase before = state_.phase();
  const ServerAction action = state_.handle(event);
  if (state_.phase() != before) phaseStartedAt_ = server_.loop_.now();
  switch (action) {
    case ServerAction::kDispatchRequest:
      return dispatchRequest();
    case ServerAction::kRejectRequest:
      return sendRejection(event == ServerEvent::kTimedOut ? 408 : rejectStatus_);
    case ServerAction::kFlushOutput:
      return continueAfterFlush();
    case ServerAction::kShutdownWrite:
      return connection_.shutdownWrite();
    case ServerAction::kCloseAndNotify:
      notifyClientDisconnected();
      return close();
    case ServerAction::kClose:
      detachExchange();
      return close();
    case ServerAction::kNone:
      return;
  }
}

void ServerConnection::onBytes(std::span<const std::uint8_t> bytes) {
  if (!state_.isReadingRequests()) return discardInput(bytes.size());
  if (!parser_.append({reinterpret_cast<const char*>(bytes.data()), bytes.size()}))
    return state_.isResponding() ? handleEvent(ServerEvent::kPeerClosed) : rejectInput(413);
  if (exchange_)
    return setReadingPaused(isPipelineFull());  // for later: past the bound the client has to wait
  if (state_.phase() == ServerPhase::kIdle && isOutputFull()) return setReadingPaused(true);
  handleEvent(ServerEvent::kBytesReceived);
  parseInput();
  if (state_.phase() == ServerPhase::kIdle)
    setReadingPaused(isPipelineFull());  // answered at once; the rest takes its turn
}

void ServerConnection::discardInput(std::size_t bytes) {
  discardedBytes_ += bytes;
  if (discardedBytes_ > server_.options_.limits.maxBodyBytes) handleEvent(ServerEvent::kPeerClosed);
}

void ServerConnection::parseInput() {
  const ParseState state = parser_.parse();
  if (state == ParseState::kMalformed) return rejectInput(parser_.errorStatus());
  if (state == ParseState::kComplete) return handleEvent(ServerEvent::kRequestComplete);
  if (parser_.bufferedBytes() > server_.options_.limits.maxHeadBytes &&
      server_.bufferedRequestBytes() > server_.options_.maxBufferedRequestBytes)
    return rejectInput(503);
  setReadingPaused(false);
}

void ServerConnection::dispatchRequest() {
  exchange_ = std::make_shared<Exchange>(this);
  exchange_->request = std::move(parser_.request());
  keepAlive_ = exchange_->request.keepAlive;
  parser_.next();
  hadRequest_ = true;
  ++requestsDispatched_;
  const std::shared_ptr<Exchange> held = exchange_;
  server_.handler_(held);
}

void ServerConnection::rejectInput(int status) {
  rejectStatus_ = status;
  handleEvent(ServerEvent::kRequestMalformed);
}

void ServerConnection::sendRejection(int status) {
  ++server_.counters_.rejected;
  keepAlive_ = false;
  respond(status, "", "the request cannot be read or did not come in time\n", true);
}

void ServerConnection::finishResponse(bool last) {
  detachExchange();
  backpressure_ = false;
  handleEvent(last ? ServerEvent::kLastResponseComplete : ServerEvent::kResponseComplete);
  connection_.flush();
  if (!connection_.isOpen()) return;
  if (state_.phase() == ServerPhase::kFlushing) return continueAfterFlush();
  if (parser_.started() && state_.phase() == ServerPhase::kIdle) {
    server_.loop_.defer([this, alive = server_.alive_, dropped = removed_] {
      if (*alive && !*dropped && state_.phase() == ServerPhase::kIdle) parsePipelined();
    });
  }
}

bool ServerConnection::isPipelineFull() const {
  const std::size_t most = server_.options_.limits.maxPipelinedBytes;
  if (parser_.unparsedBytes() < most / 8) return false;
  return parser_.unparsedBytes() >= most ||
         server_.bufferedRequestBytes() > server_.options_.maxBufferedRequestBytes;
}

void ServerConnection::parsePipelined() {
  if (isOutputFull()) return;  // onWritable() goes on
  setReadingPaused(isPipelineFull());
  if (state_.phase() != ServerPhase::kIdle || !parser_.started()) return;  // it has gone, or has been read
  handleEvent(ServerEvent::kBytesReceived);
  parseInput();
}

void ServerConnection::continueAfterFlush() {
  if (connection_.pendingBytes() > 0) return;
  setReadingPaused(false);
  handleEvent(ServerEvent::kOutputFlushed);
}

void ServerConnection::onWritable() {
  if (state_.phase() == ServerPhase::kFlushing) return continueAfterFlush();
  if (state_.phase() == ServerPhase::kIdle) return parsePipelined();
  if (exchange_ && std::exchange(backpressure_, false) && exchange_->onBackpressure)
    exchange_->onBackpressure(false);
}

void ServerConnection::notifyClientDisconnected() {
  ++server_.counters_.abandoned;
  const std::shared_ptr<Exchange> left = exchange_;
  detachExchange();
  if (left && left->onClientDisconnected) left->onClientDisconnected();
}

void ServerConnection::close() {
  connection_.close();
  server_.removeConnection(this);
}

}  // namespace gannetcourse::http1
