#include "http1/client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "http1/connection_state.h"

namespace gannetcourse::http1 {
namespace {

const Duration kSweep{0.25};
// An iteration of the loop that has taken longer: the machine was held up, and what it has not read yet may
// say that a call is not wanted any more.
const Duration kLongIteration{0.05};
constexpr int kMostPutOffs = 4;  // of one call: then it leaves whatever comes

}  // namespace

class ClientConnection final : public net::ConnectionOwner {
 public:
  ClientConnection(Client& client, const net::Endpoint& to)
      : client_(client), connection_(client.loop_, *this), endpoint_(to) {}

  // Opens a connection for a call; it may have ended when this returns.
  void open(CallId call, Client::HeadMaker head, std::shared_ptr<const std::string> body,
            std::shared_ptr<ResponseHandler> sink) {
    startCall(call, std::move(head), std::move(body), std::move(sink));
    connection_.connect(endpoint_, client_.options_.connectTimeout);
  }

  void startCall(CallId call, Client::HeadMaker head, std::shared_ptr<const std::string> body,
                 std::shared_ptr<ResponseHandler> sink) {
    call_ = call;
    handler_ = std::move(sink);
    makeHead_ = std::move(head);
    body_ = std::move(body);
    requestSent_ = false;
    sendDeferrals_ = 0;
    partStartedAt_.reset();
    parser_ = std::make_unique<ResponseParser>(client_.options_.limits,
                                               ResponseParser::Told{[this](const ResponseHead& h) {
                                                                      if (handler_) handler_->onHead(h);
                                                                    },
                                                                    [this](std::string_view b) {
                                                                      if (handler_) handler_->onBody(b);
                                                                    }});
    if (connection_.isConnected()) sendRequest();
  }

  // Whether it can take a further call: what the kernel holds is read first, an end above all.
  bool isUsable() {
    if (connection_.isConnected()) connection_.readNow();
    return state_.isIdle();
  }

  void cancel() {
    handler_.reset();
    close();
  }

  void close() {
    state_.handle(ClientEvent::kAborted);
    connection_.close();
    client_.removeConnection(this);
  }

  void checkTimeouts(Instant now) {
    if (state_.isIdle() && now - lastResponseAt_ > client_.options_.idleTimeout) return close();
    if (state_.phase() != ClientPhase::kCallInProgress || connection_.isSuspended()) return;
    if (partStartedAt_ && now - *partStartedAt_ > client_.options_.partialMessageTimeout)
      fail(CallResult::kMalformed, "a piece of its answer does not end");
  }

  // A call of which nothing has left yet is given up.
  void cancelUnsent() {
    const bool called =
        state_.phase() == ClientPhase::kConnecting || state_.phase() == ClientPhase::kCallInProgress;
    if (called && !requestSent_) fail(CallResult::kNotConnected, "not wanted there any more");
  }

  void pauseReading(bool frozen) {
    connection_.suspend(frozen);
    if (!frozen && partStartedAt_) partStartedAt_ = client_.loop_.now();  // the wait was ours
  }
  const net::Endpoint& endpoint() const { return endpoint_; }
  const ClientConnectionState& state() const { return state_; }
  Instant lastResponseAt() const { return lastResponseAt_; }

 private:
  friend class Client;

  void onConnected() override {
    state_.handle(ClientEvent::kConnected);
    sendRequest();
  }

  void sendRequest() {
    if (client_.loop_.exactNow() - client_.loop_.now() > kLongIteration && sendDeferrals_ < kMostPutOffs)
      return deferSend();
    requestSent_ = true;
    connection_.append(makeHead_());
    if (body_) connection_.append(*body_);
    makeHead_ = nullptr;
    body_.reset();
    connection_.flush();
  }

  // What has come meanwhile is read first: its client may have left, its engine's drain or its time may have
  // come.
  void deferSend() {
    ++sendDeferrals_;
    client_.loop_.runAfter(net::Loop::kNextIteration,
                           [this, alive = client_.alive_, self = self_, call = call_] {
                             if (*alive && !self.expired() && call_ == call && connection_.isConnected())
                               sendRequest();
                           });
  }

  void onWritable() override {}

  void onBytes(std::span<const std::uint8_t> bytes) override {
    if (!state_.handle(ClientEvent::kBytesReceived)) return close();
    const ParseState state = parser_->take({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    if (state_.phase() != ClientPhase::kCallInProgress) return;
    trackPartialPart();
    if (state == ParseState::kMalformed) return fail(CallResult::kMalformed, "its answer cannot be read");
    if (state == ParseState::kComplete) finishResponse();
  }

  // A head or chunk that goes on for ever, however steadily it comes, is no answer.
  void trackPartialPart() {
    const bool another = std::exchange(partsSeen_, parser_->partsStarted()) != parser_->partsStarted();
    if (!parser_->isInsidePart()) return partStartedAt_.reset();
    if (another || !partStartedAt_) partStartedAt_ = client_.loop_.now();
  }

  void finishResponse() {
    const std::shared_ptr<ResponseHandler> sink = std::move(handler_);
    client_.calls_.erase(std::exchange(call_, 0));
    lastResponseAt_ = client_.loop_.now();
    const bool keep = parser_->isConnectionReusable() && connection_.pendingBytes() == 0 &&
                      client_.retiredEndpoints_.count(endpoint_) == 0;
    if (state_.handle(keep ? ClientEvent::kResponseComplete : ClientEvent::kLastResponseComplete)) {
      client_.loop_.runAfter(client_.options_.settleDelay, [this, alive = client_.alive_, self = self_] {
        if (*alive && !self.expired()) becomeIdle();
      });
    } else {
      close();
    }
    if (sink) sink->onEnd(CallResult::kComplete, "");
  }

  // Nothing has come behind its answer: it may take a call.
  void becomeIdle() {
    if (state_.phase() != ClientPhase::kSettling) return;
    if (client_.retiredEndpoints_.count(endpoint_) > 0) return close();
    state_.handle(ClientEvent::kSettleTimeElapsed);
    client_.idleConnections_[endpoint_].push_back(this);
  }

  void onClosed(const std::string& reason) override {
    const bool written = requestSent_ && connection_.pendingBytes() == 0;
    state_.handle(ClientEvent::kPeerClosed);
    client_.removeConnection(this);
    if (!handler_) return;
    if (connection_.failedLocally()) ++client_.localConnectFailures_;
    const CallResult unsent =
        connection_.failedLocally() ? CallResult::kNoConnectionAvailable : CallResult::kNotConnected;
    endCall(written ? CallResult::kConnectionLost : unsent, reason);
  }

  void fail(CallResult how, const std::string& why) {
    close();
    if (handler_) endCall(how, why);
  }

  void endCall(CallResult how, const std::string& why) {
    client_.notifyEndLater(call_, std::exchange(handler_, nullptr), how, why);
  }

  Client& client_;
  net::Connection connection_;
  net::Endpoint endpoint_;
  ClientConnectionState state_;
  std::weak_ptr<ClientConnection> self_;
  std::unique_ptr<ResponseParser> parser_;
  std::shared_ptr<ResponseHandler> handler_;
  CallId call_ = 0;
  Client::HeadMaker makeHead_;  // until they are sent
  std::shared_ptr<const std::string> body_;
  bool requestSent_ = false;
  int sendDeferrals_ = 0;
  Instant lastResponseAt_{};
  std::optional<Instant> partStartedAt_;  // since when a head or chunk is not whole
  std::uint64_t partsSeen_ = 0;           // heads and chunks begun by then
};

Client::Client(net::Loop& loop, const ClientOptions& options) : loop_(loop), options_(options) {
  sweepTimer_ = loop_.runAfter(kSweep, [this] { sweep(); });
}

Client::~Client() {
  *alive_ = false;
  loop_.cancelTimer(sweepTimer_);
}

CallId Client::start(const net::Endpoint& to, HeadMaker head, std::shared_ptr<const std::string> body,
                     std::shared_ptr<ResponseHandler> sink) {
  const CallId call = ++lastCall_;
  ClientConnection* connection = takeIdleConnection(to);
  if (connection != nullptr) {
    calls_[call] = connection;
    connection->state_.handle(ClientEvent::kCallStarted);
    connection->startCall(call, std::move(head), std::move(body), std::move(sink));
    return call;
  }
  if (connections_.size() >= options_.maxConnections && !evictIdleConnection()) {
    notifyEndLater(call, std::move(sink), CallResult::kNoConnectionAvailable, "no connection may be opened");
    return call;
  }
  connections_.push_back(std::make_shared<ClientConnection>(*this, to));
  connection = connections_.back().get();
  connection->self_ = connections_.back();
  ++connectionsOpened_;
  calls_[call] = connection;
  connection->open(call, std::move(head), std::move(body), std::move(sink));
  return call;
}

// An end is told at the end of this iteration: its call may not have been returned to its owner yet.
void Client::notifyEndLater(CallId call, std::shared_ptr<ResponseHandler> sink, CallResult how,
                            const std::string& why) {
  pendingEnds_[call] = std::move(sink);
  loop_.defer([this, alive = alive_, call, how, why] {
    if (!*alive) return;
    const auto ended = pendingEnds_.extract(call);
    if (!ended.empty()) ended.mapped()->onEnd(how, why);
  });
}

void Client::cancel(CallId call) {
  pendingEnds_.erase(call);
  const auto it = calls_.find(call);
  if (it != calls_.end()) it->second->cancel();
}

void Client::cancelUnsent(const net::Endpoint& to) {
  const std::list<std::shared_ptr<ClientConnection>> all = connections_;
  for (const auto& c : all) {
    if (c->endpoint() == to) c->cancelUnsent();
  }
}

void Client::pauseReading(CallId call, bool frozen) {
  const auto it = calls_.find(call);
  if (it != calls_.end()) it->second->pauseReading(frozen);
}

ClientConnection* Client::takeIdleConnection(const net::Endpoint& to) {
  for (auto it = idleConnections_.find(to); it != idleConnections_.end() && !it->second.empty();
       it = idleConnections_.find(to)) {
    ClientConnection* const newest = it->second.back();
    it->second.pop_back();
    if (newest->isUsable()) return newest;
    if (!newest->state().isClosed()) newest->close();
  }
  return nullptr;
}

bool Client::hasIdleConnection(const net::Endpoint& to) const {
  const auto it = idleConnections_.find(to);
  return it != idleConnections_.end() && !it->second.empty();
}

std::size_t Client::idleConnectionCount() const {
  std::size_t sum = 0;
  for (const auto& [to, connections] : idleConnections_) sum += connections.size();
  return sum;
}

// Closes the connection that has been idle for longest.
bool Client::evictIdleConnection() {
  ClientConnection* oldest = nullptr;
  for (const auto& c : connections_) {
    if (c->state().hasNoCall() && (oldest == nullptr || c->lastResponseAt() < oldest->lastResponseAt()))
      oldest = c.get();
  }
  if (oldest == nullptr) return false;
  oldest->close();
  return true;
}

void Client::retireEndpoint(const net::Endpoint& to) {
  retiredEndpoints_.insert(to);
  const auto it = idleConnections_.find(to);
  if (it == idleConnections_.end()) return;
  for (ClientConnection* const c : std::vector<ClientConnection*>(it->second)) c->close();
  idleConnections_.erase(to);
}

void Client::sweep() {
  const std::list<std::shared_ptr<ClientConnection>> all = connections_;
  for (const auto& c : all) {
    if (!c->state().isClosed()) c->checkTimeouts(loop_.now());
  }
  sweepTimer_ = loop_.runAfter(kSweep, [this] { sweep(); });
}

void Client::removeConnection(ClientConnection* connection) {
  const auto it = std::find_if(connections_.begin(), connections_.end(),
                               [&](const auto& c) { return c.get() == connection; });
  if (it == connections_.end()) return;  // dropped before
  calls_.erase(connection->call_);
  const auto idle = idleConnections_.find(connection->endpoint());
  if (idle != idleConnections_.end()) {
    std::erase(idle->second, connection);
    if (idle->second.empty()) idleConnections_.erase(idle);
  }
  loop_.defer([gone = *it] {});
  connections_.erase(it);
}

}  // namespace gannetcourse::http1
