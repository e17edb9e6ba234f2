#include "http1/server_connection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <utility>

namespace gannetcourse::http1 {
namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kServiceUnavailable = 503;

// What a connection holds beside its buffers: its objects with their entries in containers.
constexpr std::size_t kConnectionBytes = 2048;

constexpr std::size_t kMinReadBytes = 1024;

const char* reasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case kBadRequest:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case kRequestTimeout:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case kContentTooLarge:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case kServiceUnavailable:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string toHex(std::size_t value) {
  std::array<char, 2 * sizeof value> text{};
  return {text.data(), std::to_chars(text.data(), text.data() + text.size(), value, 16).ptr};
}

}  // namespace

ServerConnection::ServerConnection(Server& server, int fd)
    : server_(server),
      connection_(server.loop_, *this),
      parser_(server.options_.limits),
      connectionCharge_(server.options_.memory, net::MemoryUse::kClientConnections, kConnectionBytes),
      inputCharge_(server.options_.memory, net::MemoryUse::kUnparsedInput),
      requestCharge_(server.options_.memory, net::MemoryUse::kPartialRequests),
      rejectStatus_(kBadRequest),
      acceptedAt_(server.loop_.now()),
      phaseStartedAt_(acceptedAt_) {
  connection_.chargeOutput({server.options_.memory, net::MemoryUse::kClientOutput});
  connection_.adopt(fd);
}

// ---- Responses ----
void ServerConnection::respond(int status, std::string_view fields, std::string_view body, bool close) {
  const bool last = close || isLastResponse();
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
  text.append(fields).append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  if (last) text += "Connection: close\r\n";
  text.append("\r\n").append(body);
  connection_.append(text);
  finishResponse(last);
}

void ServerConnection::beginStream(std::string_view fields) {
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  text.append(fields);
  if (isLastResponse()) text.append("Connection: close\r\n");
  text.append("\r\n");
  connection_.append(text);
}

void ServerConnection::sendChunk(std::string_view bytes) {
  std::string text = toHex(bytes.size()) + "\r\n";
  text.append(bytes).append("\r\n");
  connection_.append(text);
  connection_.flush();
  if (!exchange_ || !isOutputFull() || backpressure_) return;
  backpressure_ = true;
  if (exchange_->onBackpressure) exchange_->onBackpressure(true);
}

void ServerConnection::endStream() {
  connection_.append("0\r\n\r\n");
  finishResponse(isLastResponse());
}

void ServerConnection::finishResponse(bool last) {
  detachExchange();
  backpressure_ = false;
  handleEvent(last ? ServerEvent::kLastResponseComplete : ServerEvent::kResponseComplete);
  connection_.flush();
  if (!connection_.isOpen()) return;
  if (state_.phase() == ServerPhase::kFlushing) return continueAfterFlush();
  if (state_.phase() != ServerPhase::kIdle || !hasPendingInput()) return;
  server_.loop_.defer([this, alive = server_.alive_, removed = removed_] {
    if (*alive && !*removed && state_.phase() == ServerPhase::kIdle) parsePipelined();
  });
}

bool ServerConnection::isLastResponse() const {
  return !keepAlive_ || (server_.draining_ && !hasPendingInput());
}

bool ServerConnection::hasPendingInput() const {
  return parser_.hasPartialRequest() || connection_.isReadingPaused();
}

// ---- State machine ----
void ServerConnection::handleEvent(ServerEvent event) {
  const ServerPhase before = state_.phase();
  const ServerAction action = state_.handle(event);
  if (state_.phase() != before) phaseStartedAt_ = server_.loop_.now();
  if (!state_.isReadingRequests()) discardRequests();
  performAction(action, event);
}

void ServerConnection::performAction(ServerAction action, ServerEvent event) {
  switch (action) {
    case ServerAction::kDispatchRequest:
      return dispatchRequest();
    case ServerAction::kRejectRequest:
      return sendRejection(event == ServerEvent::kTimedOut ? kRequestTimeout : rejectStatus_);
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

void ServerConnection::checkTimeouts(Instant now) {
  const std::uint64_t sent = connection_.sentBytes();
  if (connection_.pendingBytes() == 0 || sent != lastSentBytes_) lastProgressAt_ = now;
  lastSentBytes_ = sent;
  if (exchange_ && connection_.isReadingPaused()) setReadingPaused(isPipelineFull());
  if (isRemoved() || now <= phaseDeadline()) return;
  ++server_.counters_.timedOut;
  handleEvent(ServerEvent::kTimedOut);
}

Instant ServerConnection::phaseDeadline() const {
  const ServerOptions& options = server_.options_;
  switch (state_.phase()) {
    case ServerPhase::kNew:
      return acceptedAt_ + options.requestTimeout;
    case ServerPhase::kReceiving:
      return (hadRequest_ ? phaseStartedAt_ : acceptedAt_) + options.requestTimeout;
    case ServerPhase::kIdle:
      if (connection_.pendingBytes() > 0) return lastProgressAt_ + options.writeStallTimeout;
      return phaseStartedAt_ + options.idleTimeout;
    case ServerPhase::kResponding:
      return std::max(phaseStartedAt_, lastProgressAt_) + options.writeStallTimeout;
    case ServerPhase::kFlushing:
      return std::max(phaseStartedAt_, lastProgressAt_) + options.requestTimeout;
    default:
      return phaseStartedAt_ + options.lingerTimeout;
  }
}

void ServerConnection::continueAfterFlush() {
  if (connection_.pendingBytes() > 0) return;
  setReadingPaused(false);
  handleEvent(ServerEvent::kOutputFlushed);
}

void ServerConnection::notifyClientDisconnected() {
  ++server_.counters_.abandoned;
  const std::shared_ptr<Exchange> exchange = exchange_;
  detachExchange();
  if (exchange && exchange->onClientDisconnected) exchange->onClientDisconnected();
}

void ServerConnection::detachExchange() {
  if (exchange_) exchange_->connection_ = nullptr;
  exchange_.reset();
}

void ServerConnection::close() {
  connection_.close();
  server_.removeConnection(this);
}

// ---- Requests ----
void ServerConnection::onBytes(std::span<const std::uint8_t> bytes) {
  if (!state_.isReadingRequests()) return discardInput(bytes.size());
  if (!parser_.append({reinterpret_cast<const char*>(bytes.data()), bytes.size()})) {
    if (state_.isResponding()) return handleEvent(ServerEvent::kPeerClosed);
    return rejectInput(kContentTooLarge);
  }
  arrivalTimes_.record(bytes.size(), server_.loop_.now());
  updateCharges();
  if (exchange_) return setReadingPaused(isPipelineFull());
  if (state_.phase() == ServerPhase::kIdle && isOutputFull()) return setReadingPaused(true);
  handleEvent(ServerEvent::kBytesReceived);
  parseInput();
  // The handler has already responded; the bytes behind the request are parsed in a later iteration.
  if (state_.phase() == ServerPhase::kIdle) setReadingPaused(isPipelineFull());
}

// While memory is short, no more than what is left of the fair part. This holds before a request too, because
// others may follow it in the same piece.
std::size_t ServerConnection::inputAllowance() {
  const net::MemoryBudget& memory = *server_.options_.memory;
  const bool hasRoom =
      memory.hasRoom(net::MemoryUse::kUnparsedInput) && memory.hasRoom(net::MemoryUse::kPartialRequests);
  if (hasRoom) return SIZE_MAX;
  const std::uint64_t held = partialRequestBytes();
  const std::uint64_t fairPart = memory.limits().fairPart;
  return held + kMinReadBytes < fairPart ? static_cast<std::size_t>(fairPart - held) : kMinReadBytes;
}

void ServerConnection::onWritable() {
  if (state_.phase() == ServerPhase::kFlushing) return continueAfterFlush();
  if (state_.phase() == ServerPhase::kIdle) return parsePipelined();
  if (isOutputFull()) return;
  if (!exchange_ || !std::exchange(backpressure_, false)) return;
  if (exchange_->onBackpressure) exchange_->onBackpressure(false);
}

void ServerConnection::discardInput(std::size_t bytes) {
  discardedBytes_ += bytes;
  if (discardedBytes_ > server_.options_.limits.maxBodyBytes) handleEvent(ServerEvent::kPeerClosed);
}

void ServerConnection::parseInput() {
  const ParseState parsed = parser_.parse();
  lastByteArrivedAt_ = arrivalTimes_.onParsed(parser_.unparsedBytes());
  updateCharges();
  if (parsed == ParseState::kMalformed) return rejectInput(parser_.errorStatus());
  if (parsed == ParseState::kComplete) return handleEvent(ServerEvent::kRequestComplete);
  server_.makeRoomForPartialRequest();
  if (state_.phase() == ServerPhase::kReceiving) setReadingPaused(false);
}

void ServerConnection::dispatchRequest() {
  const auto exchange = std::make_shared<Exchange>(this);
  exchange_ = exchange;
  exchange->request = std::move(parser_.request());
  exchange->waited = server_.loop_.now() - lastByteArrivedAt_;
  keepAlive_ = exchange->request.keepAlive;
  parser_.startNextRequest();
  updateCharges();
  hadRequest_ = true;
  ++requestsDispatched_;
  server_.handler_(exchange);
}

void ServerConnection::rejectInput(int status) {
  rejectStatus_ = status;
  handleEvent(ServerEvent::kRequestMalformed);
}

void ServerConnection::rejectForMemory() { rejectInput(kServiceUnavailable); }

void ServerConnection::sendRejection(int status) {
  ++server_.counters_.rejected;
  keepAlive_ = false;
  const char* const reason = status == kServiceUnavailable
                                 ? "the node has no memory for the request\n"
                                 : "the request cannot be read or did not come in time\n";
  respond(status, "", reason, true);
}

bool ServerConnection::isPipelineFull() const {
  if (parser_.unparsedBytes() >= server_.options_.limits.maxPipelinedBytes) return true;
  return !server_.options_.memory->allowsMore(net::MemoryUse::kUnparsedInput, inputCharge_.bytes());
}

bool ServerConnection::isOutputFull() const {
  const std::size_t pending = connection_.pendingBytes();
  if (pending == 0) return false;  // onWritable() would not follow
  return pending >= net::Connection::kOutputWatermark ||
         !server_.options_.memory->allowsMore(net::MemoryUse::kClientOutput, pending);
}

void ServerConnection::parsePipelined() {
  if (isOutputFull()) return;  // onWritable() calls this again
  setReadingPaused(isPipelineFull());
  // Resumed reading may have closed the connection or dispatched the request.
  if (state_.phase() != ServerPhase::kIdle) return;
  if (!parser_.hasPartialRequest()) {
    if (server_.draining_) handleEvent(ServerEvent::kDrain);
    return;
  }
  handleEvent(ServerEvent::kBytesReceived);
  parseInput();
}

// Frees what has been received once it is no longer needed.
void ServerConnection::discardRequests() {
  if (partialRequestBytes() == 0) return;
  parser_.clear();
  updateCharges();
}

void ServerConnection::updateCharges() {
  inputCharge_.set(parser_.inputMemory());
  requestCharge_.set(parser_.requestMemory());
}

void ServerConnection::setReadingPaused(bool paused) {
  if (connection_.isReadingPaused() != paused) connection_.pauseReading(paused);
}

// ---- Eviction and shutdown ----
bool ServerConnection::readPendingRequest() {
  const bool canReceive = state_.isBetweenRequests() || state_.phase() == ServerPhase::kReceiving;
  if (!canReceive || !connection_.isConnected() || isOutputFull()) return false;
  const std::uint64_t before = requestsDispatched_;
  connection_.readNow();
  return requestsDispatched_ != before;
}

// A connection with requests that have been read and wait is closed with the response to the last of them.
void ServerConnection::drain() {
  if (!hasPendingInput()) return handleEvent(ServerEvent::kDrain);
  if (state_.phase() == ServerPhase::kIdle) parsePipelined();
}

bool ServerConnection::isBusy() const {
  return !state_.isBetweenRequests() || (state_.phase() == ServerPhase::kIdle && hasPendingInput());
}

void ServerConnection::closeUnlessRequestHasBegun() {
  if (state_.isBetweenRequests() && connection_.isConnected()) connection_.readNow();
  if (state_.isBetweenRequests()) handleEvent(ServerEvent::kTimedOut);
}

bool ServerConnection::isEvictable() const {
  switch (state_.phase()) {
    case ServerPhase::kResponding:
    case ServerPhase::kFlushing:
      return false;
    case ServerPhase::kReceiving:
      return !isRemoved() && !hadRequest_;
    default:
      return !isRemoved();
  }
}

std::tuple<bool, bool, Instant> ServerConnection::evictionRank() const {
  const bool lingering = state_.phase() == ServerPhase::kLingering;
  return {!lingering, hadRequest_, phaseStartedAt_};
}

}  // namespace gannetcourse::http1
