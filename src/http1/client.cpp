#include "http1/client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "http1/life.h"

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
      : client_(client), connection_(client.loop_, *this), to_(to) {}

  // Opens a connection for a call; it may have ended when this returns.
  void open(CallId call, Client::HeadMaker head, std::shared_ptr<const std::string> body,
            std::shared_ptr<ResponseHandler> sink) {
    begin(call, std::move(head), std::move(body), std::move(sink));
    connection_.connect(to_, client_.options_.connectTimeout);
  }

  void begin(CallId call, Client::HeadMaker head, std::shared_ptr<const std::string> body,
             std::shared_ptr<ResponseHandler> sink) {
    call_ = call;
    sink_ = std::move(sink);
    head_ = std::move(head);
    body_ = std::move(body);
    sent_ = false;
    putOffs_ = 0;
    pieceSince_.reset();
    parser_ = std::make_unique<ResponseParser>(client_.options_.limits,
                                               ResponseParser::Told{[this](const ResponseHead& h) {
                                                                      if (sink_) sink_->onHead(h);
                                                                    },
                                                                    [this](std::string_view b) {
                                                                      if (sink_) sink_->onBody(b);
                                                                    }});
    if (connection_.isConnected()) sendRequest();
  }

  // Whether it can take a further call: what the kernel holds is read first, an end above all.
  bool usable() {
    if (connection_.isConnected()) connection_.readNow();
    return life_.idle();
  }

  void cancel() {
    sink_.reset();
    close();
  }

  void close() {
    life_.handle(ClientEvent::kGivenUp);
    connection_.close();
    client_.drop(this);
  }

  void checkTimeouts(Instant now) {
    if (life_.idle() && now - restsSince_ > client_.options_.idleTimeout) return close();
    if (life_.phase() != ClientPhase::kCalling || connection_.isSuspended()) return;
    if (pieceSince_ && now - *pieceSince_ > client_.options_.partialMessageTimeout)
      fail(CallResult::kMalformed, "a piece of its answer does not end");
  }

  // A call of which nothing has left yet is given up.
  void stopUnsent() {
    const bool called = life_.phase() == ClientPhase::kConnecting || life_.phase() == ClientPhase::kCalling;
    if (called && !sent_) fail(CallResult::kNotConnected, "not wanted there any more");
  }

  void freeze(bool frozen) {
    connection_.suspend(frozen);
    if (!frozen && pieceSince_) pieceSince_ = client_.loop_.now();  // the wait was ours
  }
  const net::Endpoint& to() const { return to_; }
  const ClientLife& life() const { return life_; }
  Instant restsSince() const { return restsSince_; }

 private:
  friend class Client;

  void onConnected() override {
    life_.handle(ClientEvent::kUp);
    sendRequest();
  }

  void sendRequest() {
    if (client_.loop_.exactNow() - client_.loop_.now() > kLongIteration && putOffs_ < kMostPutOffs)
      return sendWithNextIteration();
    sent_ = true;
    connection_.append(head_());
    if (body_) connection_.append(*body_);
    head_ = nullptr;
    body_.reset();
    connection_.flush();
  }

  // What has come meanwhile is read first: its client may have left, its engine's drain or its time may have
  // come.
  void sendWithNextIteration() {
    ++putOffs_;
    client_.loop_.runAfter(net::Loop::kNextIteration,
                           [this, alive = client_.alive_, self = self_, call = call_] {
                             if (*alive && !self.expired() && call_ == call && connection_.isConnected())
                               sendRequest();
                           });
  }

  void onWritable() override {}

  void onBytes(std::span<const std::uint8_t> bytes) override {
    if (!life_.handle(ClientEvent::kUnaskedBytes)) return close();
    const ParseState state = parser_->take({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
    if (life_.phase() != ClientPhase::kCalling) return;
    watchPiece();
    if (state == ParseState::kMalformed) return fail(CallResult::kMalformed, "its answer cannot be read");
    if (state == ParseState::kComplete) whole();
  }

  // A head or chunk that goes on for ever, however steadily it comes, is no answer.
  void watchPiece() {
    const bool another = std::exchange(pieces_, parser_->pieces()) != parser_->pieces();
    if (!parser_->midway()) return pieceSince_.reset();
    if (another || !pieceSince_) pieceSince_ = client_.loop_.now();
  }

  void whole() {
    const std::shared_ptr<ResponseHandler> sink = std::move(sink_);
    client_.calls_.erase(std::exchange(call_, 0));
    restsSince_ = client_.loop_.now();
    const bool keep =
        parser_->reusable() && connection_.pendingBytes() == 0 && client_.retiredEndpoints_.count(to_) == 0;
    if (life_.handle(keep ? ClientEvent::kAnswerKept : ClientEvent::kAnswerLast)) {
      client_.loop_.runAfter(client_.options_.settleDelay, [this, alive = client_.alive_, self = self_] {
        if (*alive && !self.expired()) rested();
      });
    } else {
      close();
    }
    if (sink) sink->onEnd(CallResult::kComplete, "");
  }

  // Nothing has come behind its answer: it may take a call.
  void rested() {
    if (life_.phase() != ClientPhase::kResting) return;
    if (client_.retiredEndpoints_.count(to_) > 0) return close();
    life_.handle(ClientEvent::kRestOver);
    client_.idle_[to_].push_back(this);
  }

  void onClosed(const std::string& reason) override {
    const bool written = sent_ && connection_.pendingBytes() == 0;
    life_.handle(ClientEvent::kPeerEnded);
    client_.drop(this);
    if (!sink_) return;
    if (connection_.failedLocally()) ++client_.localFaults_;
    const CallResult unsent =
        connection_.failedLocally() ? CallResult::kNoConnectionAvailable : CallResult::kNotConnected;
    endCall(written ? CallResult::kConnectionLost : unsent, reason);
  }

  void fail(CallResult how, const std::string& why) {
    close();
    if (sink_) endCall(how, why);
  }

  void endCall(CallResult how, const std::string& why) {
    client_.endLater(call_, std::exchange(sink_, nullptr), how, why);
  }

  Client& client_;
  net::Connection connection_;
  net::Endpoint to_;
  ClientLife life_;
  std::weak_ptr<ClientConnection> self_;
  std::unique_ptr<ResponseParser> parser_;
  std::shared_ptr<ResponseHandler> sink_;
  CallId call_ = 0;
  Client::HeadMaker head_;  // until they are sent
  std::shared_ptr<const std::string> body_;
  bool sent_ = false;
  int putOffs_ = 0;
  Instant restsSince_{};
  std::optional<Instant> pieceSince_;  // since when a head or chunk is not whole
  std::uint64_t pieces_ = 0;           // heads and chunks begun by then
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
  ClientConnection* connection = idleTo(to);
  if (connection != nullptr) {
    calls_[call] = connection;
    connection->life_.handle(ClientEvent::kCall);
    connection->begin(call, std::move(head), std::move(body), std::move(sink));
    return call;
  }
  if (connections_.size() >= options_.maxConnections && !makeRoom()) {
    endLater(call, std::move(sink), CallResult::kNoConnectionAvailable, "no connection may be opened");
    return call;
  }
  connections_.push_back(std::make_shared<ClientConnection>(*this, to));
  connection = connections_.back().get();
  connection->self_ = connections_.back();
  ++opened_;
  calls_[call] = connection;
  connection->open(call, std::move(head), std::move(body), std::move(sink));
  return call;
}

// An end is told at the end of this iteration: its call may not have been returned to its owner yet.
void Client::endLater(CallId call, std::shared_ptr<ResponseHandler> sink, CallResult how,
                      const std::string& why) {
  ending_[call] = std::move(sink);
  loop_.defer([this, alive = alive_, call, how, why] {
    if (!*alive) return;
    const auto ended = ending_.extract(call);
    if (!ended.empty()) ended.mapped()->onEnd(how, why);
  });
}

void Client::cancel(CallId call) {
  ending_.erase(call);
  const auto it = calls_.find(call);
  if (it != calls_.end()) it->second->cancel();
}

void Client::cancelUnsent(const net::Endpoint& to) {
  const std::list<std::shared_ptr<ClientConnection>> all = connections_;
  for (const auto& c : all) {
    if (c->to() == to) c->stopUnsent();
  }
}

void Client::pauseReading(CallId call, bool frozen) {
  const auto it = calls_.find(call);
  if (it != calls_.end()) it->second->freeze(frozen);
}

ClientConnection* Client::idleTo(const net::Endpoint& to) {
  for (auto it = idle_.find(to); it != idle_.end() && !it->second.empty(); it = idle_.find(to)) {
    ClientConnection* const newest = it->second.back();
    it->second.pop_back();
    if (newest->usable()) return newest;
    if (!newest->life().closed()) newest->close();
  }
  return nullptr;
}

bool Client::hasIdleConnection(const net::Endpoint& to) const {
  const auto it = idle_.find(to);
  return it != idle_.end() && !it->second.empty();
}

std::size_t Client::idleConnectionCount() const {
  std::size_t sum = 0;
  for (const auto& [to, connections] : idle_) sum += connections.size();
  return sum;
}

// Closes the connection that has been idle for longest.
bool Client::makeRoom() {
  ClientConnection* oldest = nullptr;
  for (const auto& c : connections_) {
    if (c->life().unused() && (oldest == nullptr || c->restsSince() < oldest->restsSince())) oldest = c.get();
  }
  if (oldest == nullptr) return false;
  oldest->close();
  return true;
}

void Client::retireEndpoint(const net::Endpoint& to) {
  retiredEndpoints_.insert(to);
  const auto it = idle_.find(to);
  if (it == idle_.end()) return;
  for (ClientConnection* const c : std::vector<ClientConnection*>(it->second)) c->close();
  idle_.erase(to);
}

void Client::sweep() {
  const std::list<std::shared_ptr<ClientConnection>> all = connections_;
  for (const auto& c : all) {
    if (!c->life().closed()) c->checkTimeouts(loop_.now());
  }
  sweepTimer_ = loop_.runAfter(kSweep, [this] { sweep(); });
}

void Client::drop(ClientConnection* connection) {
  const auto it = std::find_if(connections_.begin(), connections_.end(),
                               [&](const auto& c) { return c.get() == connection; });
  if (it == connections_.end()) return;  // dropped before
  calls_.erase(connection->call_);
  const auto idle = idle_.find(connection->to());
  if (idle != idle_.end()) {
    std::erase(idle->second, connection);
    if (idle->second.empty()) idle_.erase(idle);
  }
  loop_.defer([gone = *it] {});
  connections_.erase(it);
}

}  // namespace gannetcourse::http1
