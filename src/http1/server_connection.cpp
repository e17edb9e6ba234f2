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
      since_(server.loop_.now()) {
  connection_.adopt(fd);
}

void ServerConnection::respond(int status, std::string_view fields, std::string_view body, bool close) {
  const bool last = close || !keep_ || server_.draining_;
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
  text.append(fields).append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  if (last) text += "Connection: close\r\n";
  text.append("\r\n").append(body);
  connection_.append(text);
  answered(last);
}

void ServerConnection::begin(std::string_view fields) {
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  text.append(fields).append(keep_ && !server_.draining_ ? "\r\n" : "Connection: close\r\n\r\n");
  connection_.append(text);
}

void ServerConnection::chunk(std::string_view bytes) {
  std::string text = hexOf(bytes.size()) + "\r\n";
  text.append(bytes).append("\r\n");
  connection_.append(text);
  connection_.flush();
  if (exchange_ && !connection_.wantsOutput() && !std::exchange(paused_, true) && exchange_->onBackpressure)
    exchange_->onBackpressure(true);
}

bool ServerConnection::readWaiting() {
  const bool mayAsk = life_.resting() || life_.phase() == ServerPhase::kReceiving;
  if (!mayAsk || !connection_.isConnected()) return false;
  const std::uint64_t before = served_;
  connection_.readNow();
  return served_ != before;
}

void ServerConnection::endUnlessAsked() {
  if (life_.resting() && connection_.isConnected()) connection_.readNow();
  if (life_.resting()) handleEvent(ServerEvent::kTimedOut);
}

void ServerConnection::checkTimeouts(Instant now) {
  if (connection_.pendingBytes() == 0 || connection_.pendingBytes() != lastPending_) progressAt_ = now;
  lastPending_ = connection_.pendingBytes();
  if (now <= phaseEndsBy()) return;
  ++server_.counts_.timedOut;
  handleEvent(ServerEvent::kTimedOut);
}

Instant ServerConnection::phaseEndsBy() const {
  const ServerOptions& o = server_.options_;
  switch (life_.phase()) {
    case ServerPhase::kFresh:
    case ServerPhase::kReceiving:
      return since_ + o.requestTimeout;
    case ServerPhase::kIdle:
      return connection_.pendingBytes() > 0 ? progressAt_ + o.writeStallTimeout : since_ + o.idleTimeout;
    case ServerPhase::kAnswering:
      return std::max(since_, progressAt_) + o.writeStallTimeout;
    case ServerPhase::kFlushing:
      return std::max(since_, progressAt_) + o.requestTimeout;
    default:
      return since_ + o.lingerTimeout;
  }
}

void ServerConnection::handleEvent(ServerEvent event) {
  const ServerPhase before = life_.phase();
  const ServerAction action = life_.handle(event);
  if (life_.phase() != before) since_ = server_.loop_.now();
  switch (action) {
    case ServerAction::kServe:
      return serve();
    case ServerAction::kReject:
      return refuse(event == ServerEvent::kTimedOut ? 408 : rejectStatus_);
    case ServerAction::kFlush:
      return flushed();
    case ServerAction::kEndSending:
      return connection_.shutdownWrite();
    case ServerAction::kClientGone:
      gone();
      return close();
    case ServerAction::kClose:
      detach();
      return close();
    case ServerAction::kNone:
      return;
  }
}

void ServerConnection::onBytes(std::span<const std::uint8_t> bytes) {
  if (!life_.reads()) return discard(bytes.size());
  if (!parser_.append({reinterpret_cast<const char*>(bytes.data()), bytes.size()}))
    return life_.answering() ? handleEvent(ServerEvent::kPeerEnded) : reject(413);
  if (exchange_) return holdReading(ahead());  // for later: past the bound the client has to wait
  if (life_.phase() == ServerPhase::kIdle && unreadOutput()) return holdReading(true);
  handleEvent(ServerEvent::kBytes);
  parse();
  if (life_.phase() == ServerPhase::kIdle) holdReading(ahead());  // answered at once; the rest takes its turn
}

void ServerConnection::discard(std::size_t bytes) {
  discarded_ += bytes;
  if (discarded_ > server_.options_.limits.maxBodyBytes) handleEvent(ServerEvent::kPeerEnded);
}

void ServerConnection::parse() {
  const ParseState state = parser_.parse();
  if (state == ParseState::kMalformed) return reject(parser_.status());
  if (state == ParseState::kComplete) return handleEvent(ServerEvent::kRequestWhole);
  if (parser_.held() > server_.options_.limits.maxHeadBytes &&
      server_.held() > server_.options_.maxBufferedRequestBytes)
    return reject(503);
  holdReading(false);
}

void ServerConnection::serve() {
  exchange_ = std::make_shared<Exchange>(this);
  exchange_->request = std::move(parser_.request());
  keep_ = exchange_->request.keepAlive;
  parser_.next();
  asked_ = true;
  ++served_;
  const std::shared_ptr<Exchange> held = exchange_;
  server_.handler_(held);
}

void ServerConnection::reject(int status) {
  rejectStatus_ = status;
  handleEvent(ServerEvent::kUnreadable);
}

void ServerConnection::refuse(int status) {
  ++server_.counts_.rejected;
  keep_ = false;
  respond(status, "", "the request cannot be read or did not come in time\n", true);
}

void ServerConnection::answered(bool last) {
  detach();
  paused_ = false;
  handleEvent(last ? ServerEvent::kAnsweredLast : ServerEvent::kAnswered);
  connection_.flush();
  if (!connection_.isOpen()) return;
  if (life_.phase() == ServerPhase::kFlushing) return flushed();
  if (parser_.started() && life_.phase() == ServerPhase::kIdle) {
    server_.loop_.defer([this, alive = server_.alive_, dropped = dropped_] {
      if (*alive && !*dropped && life_.phase() == ServerPhase::kIdle) nextAhead();
    });
  }
}

bool ServerConnection::ahead() const {
  const std::size_t most = server_.options_.limits.maxPipelinedBytes;
  if (parser_.waiting() < most / 8) return false;
  return parser_.waiting() >= most || server_.held() > server_.options_.maxBufferedRequestBytes;
}

void ServerConnection::nextAhead() {
  if (unreadOutput()) return;  // onWritable() goes on
  holdReading(ahead());
  if (life_.phase() != ServerPhase::kIdle || !parser_.started()) return;  // it has gone, or has been read
  handleEvent(ServerEvent::kBytes);
  parse();
}

void ServerConnection::flushed() {
  if (connection_.pendingBytes() > 0) return;
  holdReading(false);
  handleEvent(ServerEvent::kFlushed);
}

void ServerConnection::onWritable() {
  if (life_.phase() == ServerPhase::kFlushing) return flushed();
  if (life_.phase() == ServerPhase::kIdle) return nextAhead();
  if (exchange_ && std::exchange(paused_, false) && exchange_->onBackpressure)
    exchange_->onBackpressure(false);
}

void ServerConnection::gone() {
  ++server_.counts_.abandoned;
  const std::shared_ptr<Exchange> left = exchange_;
  detach();
  if (left && left->onClientDisconnected) left->onClientDisconnected();
}

void ServerConnection::close() {
  connection_.close();
  server_.drop(this);
}

}  // namespace gannetcourse::http1
