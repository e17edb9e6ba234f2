#include "grpc/channel.h"

#include <algorithm>
#include <utility>

namespace gannetcourse::grpc {

// One connection of a channel.
struct Link final : http2::SessionOwner {
  Link(Channel& owner, net::Loop& loop, const http2::Limits& limits)
      : channel(owner), session(loop, http2::Session::Side::kClient, *this, limits) {}

  void onSessionReady() override { channel.linkReady(*this); }
  void onHeaders(http2::StreamId stream, http2::Headers headers, bool overflow) override;
  void onData(http2::StreamId stream, std::span<const std::uint8_t> bytes) override;
  void onRemoteEnd(http2::StreamId stream) override;
  void onStreamClosed(http2::StreamId stream, std::uint32_t code) override;
  void onGoaway() override {
    if (channel.onGoaway) channel.onGoaway();
  }
  void onPong() override { pongs = pings; }
  void onStrayFrame(http2::StreamId stream) override {
    if (channel.onStrayFrame) channel.onStrayFrame(stream);
  }
  void onSessionClosed(const std::string& reason) override { channel.linkEnded(*this, ready, reason); }

  Channel& channel;
  http2::Session session;
  std::unordered_map<http2::StreamId, std::shared_ptr<ClientCall>> calls;
  bool ready = false, ended = false;
  std::uint64_t number = 0, pings = 0, pongs = 0;
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
  return {CallEnd::Kind::kStatus, {codeOf(*code), message == nullptr ? "" : percentDecode(*message)}, last};
}

}  // namespace

// ---- Link ----
void Link::onHeaders(http2::StreamId stream, http2::Headers headers, bool overflow) {
  const auto it = calls.find(stream);
  if (it == calls.end()) return;
  const std::shared_ptr<ClientCall> call = it->second;
  if (overflow) {
    session.reset(stream, http2::kCancel);
    return;
  }
  const std::string* status = http2::find(headers, ":status");
  if (status != nullptr && !status->empty() && status->front() == '1') return;  // an interim answer
  (std::exchange(call->answered_, true) ? call->trailers_ : call->answer_) = std::move(headers);
}

void Link::onData(http2::StreamId stream, std::span<const std::uint8_t> bytes) {
  const auto it = calls.find(stream);
  if (it == calls.end()) return session.consumed(stream, bytes.size());
  const std::shared_ptr<ClientCall> call = it->second;
  call->take(bytes);
}

void Link::onRemoteEnd(http2::StreamId stream) {
  const auto it = calls.find(stream);
  if (it != calls.end()) it->second->remoteEnded_ = true;
}

void Link::onStreamClosed(http2::StreamId stream, std::uint32_t code) {
  const auto it = calls.find(stream);
  if (it == calls.end()) return;
  const std::shared_ptr<ClientCall> call = it->second;
  calls.erase(it);
  call->link_ = nullptr;
  channel.streamFreed();
  if (call->remoteEnded_) {
    call->deliver();  // what is left goes out before the status, paused or not
  } else if (!session.isOpen()) {
    const bool byPeer = session.closedByPeer();
    call->end(endOf(byPeer ? CallEnd::Kind::kConnectionLost : CallEnd::Kind::kAbandoned, Code::kUnavailable,
                    byPeer ? "connection lost" : "connection given up"));
  } else if (code == http2::kRefusedStream) {
    call->end(endOf(CallEnd::Kind::kRefusedStream, Code::kUnavailable, "stream refused"));
  } else {
    call->end(
        endOf(CallEnd::Kind::kReset, codeOfReset(code), "stream reset, HTTP/2 code " + std::to_string(code)));
  }
}

// ---- Call ----
void ClientCall::take(std::span<const std::uint8_t> bytes) {
  unreleased_ += bytes.size();
  reader_->add({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  deliver();
}

void ClientCall::deliver() {
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
    if (link_ != nullptr) {
      const auto link = std::exchange(link_, nullptr);
      link->calls.erase(stream_);
      link->session.reset(stream_, http2::kCancel);
    }
    return end(endOf(CallEnd::Kind::kMalformed, Code::kInternal, "an answer's message cannot be read"));
  }
  const std::size_t held = std::min(reader_->held(), unreleased_);
  if (link_ != nullptr && (!paused_ || held == 0)) {
    // Half a message must not shut the window, or its rest could not come.
    link_->session.consumed(stream_, std::exchange(unreleased_, 0));
  } else if (link_ != nullptr) {
    link_->session.consumed(stream_, std::exchange(unreleased_, held) - held);
  }
  if (remoteEnded_ && link_ == nullptr && !paused_) {
    end(reader_->midMessage()
            ? endOf(CallEnd::Kind::kMalformed, Code::kInternal, "answer ends inside a message")
            : statusOf(answer_, trailers_));
  }
}

void ClientCall::pause(bool paused) {
  paused_ = paused;
  if (!paused_ && reader_) deliver();
}

void ClientCall::cancel() {
  if (over_) return;
  const auto self = shared_from_this();
  if (link_ != nullptr) {
    const auto link = std::exchange(link_, nullptr);
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
    : loop_(loop), to_(std::move(to)), options_(std::move(options)) {}

Channel::~Channel() {
  *alive_ = false;
  loop_.cancelTimer(keepalive_);
  for (auto& link : links_) {
    for (auto& [id, call] : link->calls) {
      call->link_ = nullptr;
      call->over_ = true;
    }
    link->session.close();
  }
  for (auto& call : queued_) call->over_ = true;
}

void Channel::closeAll() {
  failQueued("channel closed");
  for (std::size_t i = 0; i < links_.size(); ++i) {
    if (!links_[i]->ended) links_[i]->session.fail("channel closed");
  }
}

std::shared_ptr<ClientCall> Channel::start(const std::string& method, std::string_view message,
                                           std::optional<Duration> timeout, const http2::Headers& metadata) {
  auto call = std::make_shared<ClientCall>();
  call->request_ = {{":method", "POST"},
                    {":scheme", "http"},
                    {":path", method},
                    {":authority", to_.text()},
                    {"te", "trailers"},
                    {"content-type", "application/grpc+proto"},
                    {"user-agent", options_.userAgent}};
  if (timeout) call->request_.push_back({"grpc-timeout", formatTimeout(*timeout)});
  call->request_.insert(call->request_.end(), metadata.begin(), metadata.end());
  call->body_ = frame(message);
  call->reader_.emplace(options_.maxMessageBytes);
  place(call);
  return call;
}

void Channel::place(const std::shared_ptr<ClientCall>& call) {
  for (auto& link : links_) {
    if (link->ready && placeOn(*link, call)) return;
  }
  if (queued_.size() >= options_.maxQueued) {
    loop_.defer(
        [call] { call->end(endOf(CallEnd::Kind::kNotSent, Code::kUnavailable, "too many calls wait")); });
    return;
  }
  const bool opening =
      std::any_of(links_.begin(), links_.end(), [](const auto& l) { return !l->ready && !l->ended; });
  if (!opening && loop_.now() < retryAt_) {
    loop_.defer([call] { call->end(endOf(CallEnd::Kind::kNotSent, Code::kUnavailable, "in back-off")); });
    return;
  }
  queued_.push_back(call);
  if (!opening && links_.size() < options_.maxConnections) openLink();
}

bool Channel::placeOn(Link& link, const std::shared_ptr<ClientCall>& call) {
  if (call->over_) return true;
  const http2::StreamId stream = link.session.request(call->request_, call->body_);
  if (stream == 0) return false;
  call->link_ = &link;
  call->stream_ = stream;
  call->request_.clear();
  call->body_.clear();
  call->body_.shrink_to_fit();
  link.calls.emplace(stream, call);
  scheduleKeepalive();
  return true;
}

void Channel::openLink() {
  links_.push_back(std::make_unique<Link>(*this, loop_, options_.http2));
  links_.back()->number = ++lastLink_;
  links_.back()->session.connect(to_, options_.connectTimeout);
}

void Channel::linkReady(Link& link) {
  link.ready = true;
  backoff_ = Duration(0);
  placeQueued();
}

void Channel::streamFreed() {
  if (queued_.empty()) return;
  loop_.defer([this, alive = alive_] {
    if (*alive) placeQueued();
  });
}

void Channel::placeQueued() {
  std::deque<std::shared_ptr<ClientCall>> waiting;
  waiting.swap(queued_);
  while (!waiting.empty()) {
    const auto call = waiting.front();
    waiting.pop_front();
    if (!call->over_) place(call);
  }
}

void Channel::failQueued(const std::string& reason) {
  for (const auto& call : std::exchange(queued_, {})) {
    loop_.defer([call, reason] { call->end(endOf(CallEnd::Kind::kNotSent, Code::kUnavailable, reason)); });
  }
}

void Channel::linkEnded(Link& link, bool wasReady, const std::string& reason) {
  link.ended = true;
  link.ready = false;
  if (!wasReady) {
    backoff_ = std::min(options_.backoffMost, backoff_.count() > 0 ? backoff_ * 2 : options_.backoffFirst);
    retryAt_ = loop_.now() + backoff_;
    failQueued(reason);
  }
  loop_.defer([this, alive = alive_, key = &link] {
    if (!*alive) return;
    std::erase_if(links_, [key](const auto& l) { return l.get() == key; });
    if (!queued_.empty()) placeQueued();
  });
}

void Channel::closeIdle() {
  for (auto& link : links_) {
    if (link->ready && link->calls.empty()) link->session.goaway();
  }
}

void Channel::scheduleKeepalive() {
  if (keepalive_ != 0 || options_.keepaliveEvery.count() <= 0) return;
  keepalive_ = loop_.runAfter(options_.keepaliveEvery, [this] {
    keepalive_ = 0;
    bool busy = false;
    for (auto& link : links_) {
      if (!link->ready || link->calls.empty()) continue;
      busy = true;
      const std::uint64_t due = ++link->pings;
      link->session.ping();
      loop_.runAfter(options_.keepaliveTimeout, [this, alive = alive_, number = link->number, due] {
        if (!*alive) return;
        for (auto& l : links_) {
          if (l->number == number && l->ready && l->pongs < due)
            return l->session.fail("no answer to a PING");
        }
      });
    }
    if (busy) scheduleKeepalive();
  });
}

}  // namespace gannetcourse::grpc
