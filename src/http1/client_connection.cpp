#include "http1/client_connection.h"

#include <utility>

namespace gannetcourse::http1 {
namespace {

// An iteration of the loop that lasts longer than this means that the process was stalled. Events that have
// not been read yet may then show that the call is no longer needed.
const Duration kStalledIterationThreshold{0.05};
constexpr int kMaxSendDeferrals = 4;  // per call
// What a connection holds beside its buffers: its objects with their entries in containers.
constexpr std::size_t kConnectionBytes = 2048;
constexpr std::size_t kMinReadBytes = 512;
constexpr std::size_t kMaxCopiedBodyBytes = 4096;  // a longer body is sent without a copy

}  // namespace

ClientConnection::ClientConnection(Client& client, const net::Endpoint& endpoint)
    : client_(client),
      connection_(client.loop_, *this),
      endpoint_(endpoint),
      connectionCharge_(client.options_.memory, net::MemoryUse::kEngineConnections, kConnectionBytes),
      inputCharge_(client.options_.memory, net::MemoryUse::kEngineInput) {
  connection_.chargeOutput({client.options_.memory, net::MemoryUse::kEngineOutput});
}

void ClientConnection::open(CallId call, Client::HeadMaker makeHead, std::shared_ptr<const std::string> body,
                            std::shared_ptr<ResponseHandler> handler) {
  startCall(call, std::move(makeHead), std::move(body), std::move(handler));
  connection_.connect(endpoint_, client_.options_.connectTimeout);
}

void ClientConnection::startCall(CallId call, Client::HeadMaker makeHead,
                                 std::shared_ptr<const std::string> body,
                                 std::shared_ptr<ResponseHandler> handler) {
  call_ = call;
  handler_ = std::move(handler);
  makeHead_ = std::move(makeHead);
  body_ = std::move(body);
  requestSent_ = false;
  sendDeferrals_ = 0;
  headOrChunkStartedAt_.reset();
  headComplete_ = false;
  parser_ = std::make_unique<ResponseParser>(client_.options_.limits, parserCallbacks());
  if (connection_.isConnected()) sendRequest();
}

ResponseParser::Callbacks ClientConnection::parserCallbacks() {
  ResponseParser::Callbacks callbacks;
  callbacks.onHead = [this](const ResponseHead& head) {
    headComplete_ = true;
    if (handler_) handler_->onHead(head);
  };
  callbacks.onBody = [this](std::string_view bytes) {
    if (handler_) handler_->onBody(bytes);
  };
  return callbacks;
}

bool ClientConnection::isUsable() {
  if (connection_.isConnected()) connection_.readNow();
  return state_.isIdle();
}

void ClientConnection::cancel() {
  handler_.reset();
  close();
}

void ClientConnection::close() {
  state_.handle(ClientEvent::kAborted);
  connection_.close();
  client_.removeConnection(this);
}

void ClientConnection::checkTimeouts(Instant now) {
  if (state_.isIdle() && now - lastResponseAt_ > client_.options_.idleTimeout) return close();
  if (state_.phase() != ClientPhase::kCallInProgress || connection_.isSuspended()) return;
  if (!headOrChunkStartedAt_ || handlerLimitsBody()) return;
  if (now - *headOrChunkStartedAt_ > client_.options_.partialMessageTimeout)
    fail(CallResult::kMalformed, "a piece of its answer does not end");
}

bool ClientConnection::handlerLimitsBody() const {
  return headComplete_ && handler_ && handler_->limitsBodyTime();
}

void ClientConnection::cancelUnsent() {
  const bool hasCall =
      state_.phase() == ClientPhase::kConnecting || state_.phase() == ClientPhase::kCallInProgress;
  if (hasCall && !requestSent_) fail(CallResult::kNotConnected, "not wanted there any more");
}

void ClientConnection::pauseReading(bool paused) {
  connection_.suspend(paused);
  // Time during which reading was paused does not count towards partialMessageTimeout.
  if (!paused && headOrChunkStartedAt_) headOrChunkStartedAt_ = client_.loop_.now();
}

void ClientConnection::onConnected() {
  state_.handle(ClientEvent::kConnected);
  sendRequest();
}

void ClientConnection::sendRequest() {
  const bool stalled = client_.loop_.exactNow() - client_.loop_.now() > kStalledIterationThreshold;
  if (stalled && sendDeferrals_ < kMaxSendDeferrals) return deferSend();
  requestSent_ = true;
  connection_.append(makeHead_());
  if (body_ && body_->size() <= kMaxCopiedBodyBytes) connection_.append(*body_);
  if (body_ && body_->size() > kMaxCopiedBodyBytes) connection_.appendShared(body_);
  makeHead_ = nullptr;
  body_.reset();
  const std::shared_ptr<ResponseHandler> handler = handler_;
  connection_.flush();
  if (handler && handler == handler_) handler->onRequestSent();
}

// Sends the request in the next iteration, after pending events have been handled: the client may have
// disconnected, the deadline may have expired, or the engine may have started to drain.
void ClientConnection::deferSend() {
  ++sendDeferrals_;
  client_.loop_.runAfter(net::Loop::kNextIteration,
                         [this, alive = client_.alive_, self = weak_from_this(), call = call_] {
                           if (!*alive || self.expired()) return;
                           if (call_ == call && connection_.isConnected()) sendRequest();
                         });
}

// While memory is short, pieces are small: an event in each may be waiting for a client that does not read.
std::size_t ClientConnection::inputAllowance() {
  const net::MemoryBudget& memory = *client_.options_.memory;
  const bool hasRoom =
      memory.hasRoom(net::MemoryUse::kClientOutput) && memory.hasRoom(net::MemoryUse::kEngineInput);
  return hasRoom ? SIZE_MAX : kMinReadBytes;
}

void ClientConnection::onBytes(std::span<const std::uint8_t> bytes) {
  if (!state_.handle(ClientEvent::kBytesReceived)) return close();
  const ParseState parsed = parser_->consume({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  inputCharge_.set(parser_->heldBytes());
  if (state_.phase() != ClientPhase::kCallInProgress) return;
  trackIncompleteHeadOrChunk();
  if (!client_.options_.memory->allowsEngineInput(inputCharge_.bytes()))
    return fail(CallResult::kMalformed, "no memory for its answer");
  if (parsed == ParseState::kMalformed) return fail(CallResult::kMalformed, "its answer cannot be read");
  if (parsed == ParseState::kComplete) finishResponse();
}

// Records when the incomplete head or chunk began. checkTimeouts() fails the call if it takes too long, even
// if its bytes keep arriving.
void ClientConnection::trackIncompleteHeadOrChunk() {
  const bool hasNewStarted = headsAndChunksSeen_ != parser_->headsAndChunksStarted();
  headsAndChunksSeen_ = parser_->headsAndChunksStarted();
  if (!parser_->isInsideHeadOrChunk()) return headOrChunkStartedAt_.reset();
  if (hasNewStarted || !headOrChunkStartedAt_) headOrChunkStartedAt_ = client_.loop_.now();
}

void ClientConnection::finishResponse() {
  const std::shared_ptr<ResponseHandler> handler = std::move(handler_);
  client_.calls_.erase(std::exchange(call_, 0));
  lastResponseAt_ = client_.loop_.now();
  const bool reusable =
      parser_->isConnectionReusable() && connection_.pendingBytes() == 0 && !client_.isRetired(endpoint_);
  if (state_.handle(reusable ? ClientEvent::kResponseComplete : ClientEvent::kLastResponseComplete)) {
    client_.loop_.runAfter(client_.options_.settleDelay,
                           [this, alive = client_.alive_, self = weak_from_this()] {
                             if (*alive && !self.expired()) becomeIdle();
                           });
  } else {
    close();
  }
  parser_.reset();
  inputCharge_.set(0);
  if (handler) handler->onEnd(CallResult::kComplete, "");
}

// Called after the settle delay. Does nothing if the connection was closed meanwhile.
void ClientConnection::becomeIdle() {
  if (state_.phase() != ClientPhase::kSettling) return;
  if (client_.isRetired(endpoint_)) return close();
  state_.handle(ClientEvent::kSettleTimeElapsed);
  client_.idleConnections_[endpoint_].push_back(this);
}

void ClientConnection::onClosed(const std::string& reason) {
  const bool requestWritten = requestSent_ && connection_.pendingBytes() == 0;
  state_.handle(ClientEvent::kPeerClosed);
  client_.removeConnection(this);
  if (!handler_) return;
  if (connection_.failedLocally()) ++client_.localConnectFailures_;
  if (requestWritten) return endCall(CallResult::kConnectionLost, reason);
  if (connection_.failedLocally()) return endCall(CallResult::kNoConnectionAvailable, reason);
  endCall(CallResult::kNotConnected, reason);
}

void ClientConnection::fail(CallResult result, const std::string& reason) {
  close();
  if (handler_) endCall(result, reason);
}

void ClientConnection::endCall(CallResult result, const std::string& reason) {
  client_.notifyEndLater(call_, std::exchange(handler_, nullptr), result, reason);
}

}  // namespace gannetcourse::http1
