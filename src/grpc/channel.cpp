#include "grpc/channel.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::grpc {

// One connection of a channel.
struct ChannelConnection final : http2::SessionOwner {
  ChannelConnection(Channel& owner, net::Loop& loop, const http2::Limits& limits)
      : channel(owner), session(loop, http2::Session::Side::kClient, *this, limits) {}

  void onSessionReady() override { channel.onConnectionReady(*this); }
  void onHeaders(http2::StreamId stream, http2::Headers headers, bool overflow) override;
  void onData(http2::StreamId stream, std::span<const std::uint8_t> bytes) override;
  void onRemoteEnd(http2::StreamId stream) override;
  void onStreamClosed(http2::StreamId stream, std::uint32_t code) override;
  void onGoaway() override {
    if (channel.onGoaway) channel.onGoaway();
  }
  void onPong() override { pingsAcknowledged = pingsSent; }
  void onStrayFrame(http2::StreamId stream) override {
    if (channel.onStrayFrame) channel.onStrayFrame(stream);
  }
  void onSessionClosed(const std::string& reason) override {
    channel.onConnectionClosed(*this, ready, reason);
  }

  Channel& channel;
  http2::Session session;
  std::unordered_map<http2::StreamId, std::shared_ptr<ClientCall>> calls;
  bool ready = false, ended = false;
  std::uint64_t id = 0, pingsSent = 0, pingsAcknowledged = 0;
};

namespace {

CallEnd endOf(CallEnd::Kind how, Code code, std::string message) {
  return {how, {code, std::move(message)}, {}};
}

// What the answer's headers and trailers say. Without a grpc-status the HTTP status decides.
CallEnd statusOf(const http2::Headers& answer, const http2::Headers& trailers) {
  const http2::Headers& last = trailers.empty() ? answer : trailers;
  const std::string* code = http2::find(last, "grpc-status");
  if (code == nullptr) {
    const std::string* http = http2::find(answer, ":status");
    const std::string told = http == nullptr ? "none" : *http;
    const bool busy = told == "429" || told == "502" || told == "503" || told == "504";
    return endOf(CallEnd::Kind::kMalformed, busy ? Code::kUnavailable : Code::kUnknown,
                 "no grpc-status; HTTP status " + told);
  }
  const std::string* message = http2::find(last, "grpc-message");
  return {
      CallEnd::Kind::kStatus, {codeFromText(*code), message == nullptr ? "" : percentDecode(*message)}, last};
}

}  // namespace

// ---- Link ----
void ChannelConnection::onHeaders(http2::StreamId stream, http2::Headers headers, bool overflow) {
  const auto it = calls.find(stream);
  if (it == calls.end()) return;
  const std::shared_ptr<ClientCall> call = it->second;
  if (overflow) {
    session.reset(stream, http2::kCancel);
    return;
  }
  const std::string* status = http2::find(headers, ":status");
  if (status != nullptr && !status->empty() && status->front() == '1') return;  // an interim answer
  (std::exchange(call->headersReceived_, true) ? call->trailers_ : call->responseHeaders_) =
      std::move(headers);
}

void ChannelConnection::onData(http2::StreamId stream, std::span<const std::uint8_t> bytes) {
  const auto it = calls.find(stream);
  if (it == calls.end()) return session.consumed(stream, bytes.size());
  const std::shared_ptr<ClientCall> call = it->second;
  call->onData(bytes);
}

void ChannelConnection::onRemoteEnd(http2::StreamId stream) {
  const auto it = calls.find(stream);
  if (it != calls.end()) it->second->remoteClosed_ = true;
}

void ChannelConnection::onStreamClosed(http2::StreamId stream, std::uint32_t code) {
  const auto it = calls.find(stream);
  if (it == calls.end()) return;
  const std::shared_ptr<ClientCall> call = it->second;
  calls.erase(it);
  call->connection_ = nullptr;
  channel.onStreamFreed();
  if (call->remoteClosed_) {
    call->deliverMessages();  // what is left goes out before the status, paused or not
  } else if (!session.isOpen()) {
    const bool byPeer = session.closedByPeer();
    call->end(endOf(byPeer ? CallEnd::Kind::kConnectionLost : CallEnd::Kind::kAbandoned, Code::kUnavailable,
                    byPeer ? "connection lost" : "connection given up"));
  } else if (code == http2::kRefusedStream) {
    call->end(endOf(CallEnd::Kind::kRefusedStream, Code::kUnavailable, "stream refused"));
  } else {
    call->end(endOf(CallEnd::Kind::kReset, codeFromHttp2Error(code),
                    "stream reset, HTTP/2 code " + std::to_string(code)));
  }
}

// ---- Call ----
void ClientCall::onData(std::span<const std::uint8_t> bytes) {
  unacknowledgedBytes_ += bytes.size();
  reader_->add({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  deliverMessages();
}

void ClientCall::deliverMessages() {
  if (std::exchange(delivering_, true)) return;
  const auto self = shared_from_this();
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
    if (connection_ != nullptr) {
      const auto link = std::exchange(connection_, nullptr);
      link->calls.erase(stream_);
      link->session.reset(stream_, http2::kCancel);
    }
    return end(endOf(CallEnd::Kind::kMalformed, Code::kInternal, "an answer's message cannot be read"));
  }
  const std::size_t held = std::min(reader_->bufferedBytes(), unacknowledgedBytes_);
  if (connection_ != nullptr && (!paused_ || held == 0)) {
    // Half a message must not shut the window, or its rest could not come.
    connection_->session.consumed(stream_, std::exchange(unacknowledgedBytes_, 0));
  } else if (connection_ != nullptr) {
    connection_->session.consumed(stream_, std::exchange(unacknowledgedBytes_, held) - held);
  }
  if (remoteClosed_ && connection_ == nullptr && !paused_) {
    end(reader_->isInsideMessage()
            ? endOf(CallEnd::Kind::kMalformed, Code::kInternal, "answer ends inside a message")
            : statusOf(responseHeaders_, trailers_));
  }
}

void ClientCall::pause(bool paused) {
  paused_ = paused;
  if (!paused_ && reader_) deliverMessages();
}

void ClientCall::cancel() {
  if (over_) return;
  const auto self = shared_from_this();
  if (connection_ != nullptr) {
    const auto link = std::exchange(connection_, nullptr);
    link->calls.erase(stream_);
    link->session.reset(stream_, http2::kCancel);
  }
  end(endOf(CallEnd::Kind::kCancelled, Code::kCancelled, "called off"));
}

void ClientCall::end(const CallEnd& end) {
  if (std::exchange(over_, true)) return;
  const auto self = shared_from_this();
  if (!delivering_) onMessage = nullptr;  // else it may be running
  if (const auto told = std::exchange(onEnd, nullptr)) told(end);
}

// ---- Channel ----
Channel::Channel(net::Loop& loop, net::Endpoint to, ChannelOptions options)
    : loop_(loop), endpoint_(std::move(to)), options_(std::move(options)) {}

Channel::~Channel() {
  *alive_ = false;
  loop_.cancelTimer(keepaliveTimer_);
  for (auto& link : connections_) {
    for (auto& [id, call] : link->calls) {
      call->connection_ = nullptr;
      call->over_ = true;
    }
    link->session.close();
  }
  for (auto& call : queued_) call->over_ = true;
}

void Channel::closeAll() {
  failQueued("channel closed");
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    if (!connections_[i]->ended) connections_[i]->session.fail("channel closed");
  }
}

std::shared_ptr<ClientCall> Channel::start(const std::string& method, std::string_view message,
                                           std::optional<Duration> timeout, const http2::Headers& metadata) {
  auto call = std::make_shared<ClientCall>();
  call->request_ = {{":method", "POST"},
                    {":scheme", "http"},
                    {":path", method},
                    {":authority", endpoint_.text()},
                    {"te", "trailers"},
                    {"content-type", "application/grpc+proto"},
                    {"user-agent", options_.userAgent}};
  if (timeout) call->request_.push_back({"grpc-timeout", formatTimeout(*timeout)});
  call->request_.insert(call->request_.end(), metadata.begin(), metadata.end());
  call->body_ = frame(message);
  call->reader_.emplace(options_.maxMessageBytes);
  dispatch(call);
  return call;
}

void Channel::dispatch(const std::shared_ptr<ClientCall>& call) {
  for (auto& link : connections_) {
    if (link->ready && startOn(*link, call)) return;
  }
  if (queued_.size() >= options_.maxQueued) {
    loop_.defer(
        [call] { call->end(endOf(CallEnd::Kind::kNotSent, Code::kUnavailable, "too many calls wait")); });
    return;
  }
  const bool opening = std::any_of(connections_.begin(), connections_.end(),
                                   [](const auto& l) { return !l->ready && !l->ended; });
  if (!opening && loop_.now() < retryAt_) {
    loop_.defer([call] { call->end(endOf(CallEnd::Kind::kNotSent, Code::kUnavailable, "in back-off")); });
    return;
  }
  queued_.push_back(call);
  if (!opening && connections_.size() < options_.maxConnections) openConnection();
}

bool Channel::startOn(ChannelConnection& link, const std::shared_ptr<ClientCall>& call) {
  if (call->over_) return true;
  const http2::StreamId stream = link.session.request(call->request_, call->body_);
  if (stream == 0) return false;
  call->connection_ = &link;
  call->stream_ = stream;
  call->request_.clear();
  call->body_.clear();
  call->body_.shrink_to_fit();
  link.calls.emplace(stream, call);
  scheduleKeepalive();
  return true;
}

void Channel::openConnection() {
  connections_.push_back(std::make_unique<ChannelConnection>(*this, loop_, options_.http2));
  connections_.back()->id = ++lastConnectionId_;
  connections_.back()->session.connect(endpoint_, options_.connectTimeout);
}

void Channel::onConnectionReady(ChannelConnection& link) {
  link.ready = true;
  backoff_ = Duration(0);
  dispatchQueued();
}

void Channel::onStreamFreed() {
  if (queued_.empty()) return;
  loop_.defer([this, alive = alive_] {
    if (*alive) dispatchQueued();
  });
}

void Channel::dispatchQueued() {
  std::deque<std::shared_ptr<ClientCall>> waiting;
  waiting.swap(queued_);
  while (!waiting.empty()) {
    const auto call = waiting.front();
    waiting.pop_front();
    if (!call->over_) dispatch(call);
  }
}

void Channel::failQueued(const std::string& reason) {
  for (const auto& call : std::exchange(queued_, {})) {
    loop_.defer([call, reason] { call->end(endOf(CallEnd::Kind::kNotSent, Code::kUnavailable, reason)); });
  }
}

void Channel::onConnectionClosed(ChannelConnection& link, bool wasReady, const std::string& reason) {
  link.ended = true;
  link.ready = false;
  if (!wasReady) {
    backoff_ = std::min(options_.maxBackoff, backoff_.count() > 0 ? backoff_ * 2 : options_.initialBackoff);
    retryAt_ = loop_.now() + backoff_;
    failQueued(reason);
  }
  loop_.defer([this, alive = alive_, key = &link] {
    if (!*alive) return;
    std::erase_if(connections_, [key](const auto& l) { return l.get() == key; });
    if (!queued_.empty()) dispatchQueued();
  });
}

void Channel::closeIdle() {
  for (auto& link : connections_) {
    if (link->ready && link->calls.empty()) link->session.goaway();
  }
}

void Channel::scheduleKeepalive() {
  if (keepaliveTimer_ != 0 || options_.keepaliveEvery.count() <= 0) return;
  keepaliveTimer_ = loop_.runAfter(options_.keepaliveEvery, [this] {
    keepaliveTimer_ = 0;
    bool busy = false;
    for (auto& link : connections_) {
      if (!link->ready || link->calls.empty()) continue;
      busy = true;
      const std::uint64_t due = ++link->pingsSent;
      link->session.ping();
      loop_.runAfter(options_.keepaliveTimeout, [this, alive = alive_, number = link->id, due] {
        if (!*alive) return;
        for (auto& l : connections_) {
          if (l->id == number && l->ready && l->pingsAcknowledged < due)
            return l->session.fail("no answer to a PING");
        }
      });
    }
    if (busy) scheduleKeepalive();
  });
}

}  // namespace gannetcourse::grpc
