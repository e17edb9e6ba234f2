#include "http1/server.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace gannetcourse::http1 {
namespace {

const Duration kSweep{0.1};

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

class ServerConnection final : public net::ConnectionOwner {
 public:
  ServerConnection(Server& server, int fd)
      : server_(server),
        connection_(server.loop_, *this),
        parser_(server.options_.limits),
        since_(server.loop_.now()) {
    connection_.adopt(fd);
  }
  ~ServerConnection() override { detach(); }

  void respond(int status, std::string_view fields, std::string_view body, bool close) {
    const bool last = close || !keep_ || server_.draining_;
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonOf(status) + "\r\n";
    text.append(fields).append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    if (last) text += "Connection: close\r\n";
    text.append("\r\n").append(body);
    connection_.append(text);
    finish(last);
  }

  void begin(std::string_view fields) {
    std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    text.append(fields).append(keep_ && !server_.draining_ ? "\r\n" : "Connection: close\r\n\r\n");
    connection_.append(text);
  }

  void chunk(std::string_view bytes) {
    std::string text = hexOf(bytes.size()) + "\r\n";
    text.append(bytes).append("\r\n");
    connection_.append(text);
    connection_.flush();
    if (exchange_ && !connection_.wantsOutput() && !std::exchange(paused_, true) && exchange_->onPaused)
      exchange_->onPaused(true);
  }

  void end() {
    connection_.append("0\r\n\r\n");
    finish(!keep_ || server_.draining_);
  }

  void cut() {
    detach();
    close();
  }

  void close() {
    connection_.close();
    server_.drop(this);
  }

  bool busy() const { return exchange_ != nullptr || parser_.started() || closing_; }
  bool idle() const { return !busy(); }
  std::uint64_t held() const { return exchange_ ? 0 : parser_.held(); }

  void look(Instant now) {
    const ServerOptions& o = server_.options_;
    if (connection_.pending() == 0) progressAt_ = now;
    if (connection_.pending() != lastPending_) progressAt_ = now;
    lastPending_ = connection_.pending();
    if ((closing_ || exchange_) && now - progressAt_ > (closing_ ? o.requestWithin : o.stalled)) {
      gone();
      return close();
    }
    if (exchange_ || closing_) return;
    if (parser_.started()) {
      if (now - since_ > o.requestWithin) turnAway(408);
    } else if (now - since_ > (asked_ ? o.idle : o.requestWithin)) {
      close();
    }
  }

 private:
  void onBytes(std::span<const std::uint8_t> bytes) override {
    if (closing_) return;  // of one that is turned away
    if (idle()) since_ = server_.loop_.now();
    if (!parser_.append({reinterpret_cast<const char*>(bytes.data()), bytes.size()})) {
      if (!exchange_) return turnAway(413);
      gone();
      return close();
    }
    if (!exchange_) parse();
  }

  void parse() {
    const State state = parser_.parse();
    if (state == State::kBad) return turnAway(parser_.status());
    if (state == State::kMore) {
      if (parser_.held() > server_.options_.limits.head && server_.held() > server_.options_.maxHeld)
        turnAway(503);
      return;
    }
    exchange_ = std::make_shared<Exchange>(this);
    exchange_->request = std::move(parser_.request());
    keep_ = exchange_->request.keepAlive;
    parser_.next();
    asked_ = true;
    const std::shared_ptr<Exchange> held = exchange_;
    server_.handler_(held);
  }

  void turnAway(int status) {
    detach();
    respond(status, "", "the request cannot be read or did not come in time\n", true);
  }

  // The answer is whole.
  void finish(bool last) {
    detach();
    since_ = server_.loop_.now();
    paused_ = false;
    closing_ = last;
    connection_.flush();
    if (!connection_.open()) return;
    if (closing_ && connection_.pending() == 0) return close();
    if (parser_.started() && !closing_) {
      server_.loop_.defer([this, alive = server_.alive_, mark = mark_] {
        if (*alive && !*mark && !exchange_ && !closing_) parse();
      });
    }
  }

  void onWritable() override {
    if (closing_ && connection_.pending() == 0) return close();
    if (exchange_ && std::exchange(paused_, false) && exchange_->onPaused) exchange_->onPaused(false);
  }

  void onClosed(const std::string&) override {
    gone();
    server_.drop(this);
  }

  void gone() {
    const std::shared_ptr<Exchange> left = exchange_;
    detach();
    if (left && left->onGone) left->onGone();
  }

  void detach() {
    if (exchange_) exchange_->connection_ = nullptr;
    exchange_.reset();
  }

  friend class Server;
  Server& server_;
  net::Connection connection_;
  RequestParser parser_;
  std::shared_ptr<Exchange> exchange_;
  std::shared_ptr<bool> mark_ = std::make_shared<bool>(false);  // true: dropped
  bool keep_ = true, closing_ = false, asked_ = false, paused_ = false;
  Instant since_;  // of its last change between idle and busy
  Instant progressAt_{};
  std::size_t lastPending_ = 0;
};

void Exchange::respond(int status, std::string_view fields, std::string_view body, bool close) {
  if (connection_ != nullptr) connection_->respond(status, fields, body, close);
}
void Exchange::begin(std::string_view fields) {
  if (connection_ != nullptr) connection_->begin(fields);
}
void Exchange::chunk(std::string_view bytes) {
  if (connection_ != nullptr) connection_->chunk(bytes);
}
void Exchange::end() {
  if (connection_ != nullptr) connection_->end();
}
void Exchange::cut() {
  if (connection_ != nullptr) connection_->cut();
}

Server::Server(net::Loop& loop, const net::Endpoint& on, const ServerOptions& options, Handler handler)
    : loop_(loop),
      options_(options),
      handler_(std::move(handler)),
      listener_(loop, on, [this](int fd) { accept(fd); }) {
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
}

Server::~Server() {
  *alive_ = false;
  loop_.cancel(sweepTimer_);
}

void Server::take(const ServerOptions& options) { options_ = options; }

void Server::accept(int fd) {
  if (connections_.size() >= options_.maxConnections && !makeRoom()) {
    ::close(fd);
    return;
  }
  connections_.push_back(std::make_unique<ServerConnection>(*this, fd));
}

// Closes the connection that has gone longest without a request; those that never had one go first.
bool Server::makeRoom() {
  ServerConnection* victim = nullptr;
  for (const auto& c : connections_) {
    if (c->exchange_ || c->closing_ || *c->mark_ || (c->asked_ && c->parser_.started())) continue;
    const auto rank = [](const ServerConnection& s) { return std::pair(s.asked_, s.since_); };
    if (victim == nullptr || rank(*c) < rank(*victim)) victim = c.get();
  }
  if (victim == nullptr) return false;
  victim->close();
  return true;
}

void Server::sweep() {
  std::vector<ServerConnection*> all;
  all.reserve(connections_.size());
  for (const auto& c : connections_) all.push_back(c.get());
  for (ServerConnection* const c : all) {
    if (!*c->mark_) c->look(loop_.now());
  }
  sweepTimer_ = loop_.after(kSweep, [this] { sweep(); });
}

void Server::drop(ServerConnection* connection) {
  if (std::exchange(*connection->mark_, true)) return;
  const auto it = std::find_if(connections_.begin(), connections_.end(),
                               [&](const auto& c) { return c.get() == connection; });
  std::shared_ptr<ServerConnection> gone(it->release());
  connections_.erase(it);
  loop_.defer([gone] {});
}

void Server::drain() {
  draining_ = true;
  std::vector<ServerConnection*> idle;
  for (const auto& c : connections_) {
    if (c->idle() && c->asked_) idle.push_back(c.get());
  }
  for (ServerConnection* const c : idle) c->close();
}

std::size_t Server::busy() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(), [](const auto& c) { return c->busy(); }));
}

std::uint64_t Server::held() const {
  std::uint64_t sum = 0;
  for (const auto& c : connections_) sum += c->held();
  return sum;
}

}  // namespace gannetcourse::http1
