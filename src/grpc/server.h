// The serving side of gRPC: one request message in, any number of messages and one status out (unary and
// server-streaming methods). Faults of the caller are answered here and reach no handler.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "grpc/protocol.h"
#include "http2/session.h"
#include "net/listener.h"

namespace gannetcourse::grpc {

struct ServerOptions {
  http2::Limits http2;
  std::size_t maxMessageBytes = 4 * 1024 * 1024;  // of a request
  std::size_t maxConnections = 20000;             // more wait in the kernel's queue
};

// What is served on one connection. Hosts of stand-ins tell connections apart by `peer`.
class ServerConnection;

// A call in progress. Its handler may keep it; once it has ended all calls on it do nothing.
class ServerCall : public std::enable_shared_from_this<ServerCall> {
 public:
  const std::string& method() const { return method_; }  // "/package.Service/Method"
  const http2::Headers& metadata() const { return metadata_; }
  std::optional<Duration> timeout() const { return timeout_; }  // the caller's, counted from receivedAt()
  Instant receivedAt() const { return receivedAt_; }            // of the request's headers
  const std::string& peer() const;                              // the connection's user-agent
  std::uint64_t connectionId() const;
  Instant lastReceivedAt() const;  // when anything last came on its connection
  bool silenced() const;           // by Server::freeze(): what is sent waits here
  bool isOpen() const { return connection_ != nullptr && !finished_; }

  // The bytes that its client has still to take, this message's included.
  std::size_t send(std::string_view message);
  void finish(const Status& status, const http2::Headers& trailers = {});
  void reset(std::uint32_t http2Code);  // ends it without a status
  void abandon();                       // drops what the caller does not take, also after finish()
  // Bytes that wait to go out: past what the caller takes.
  std::size_t pendingBytes() const;

  // Told once, if the caller or the connection goes away before the status has left.
  std::function<void()> onCancelled;
  // Told whenever pending() has come down to 0.
  std::function<void()> onDrained;
  // Told once when the stream is over on both sides, however it ended.
  std::function<void()> onClosed;

 private:
  friend class ServerConnection;
  std::string method_;
  http2::Headers metadata_;
  std::optional<Duration> timeout_;
  Instant receivedAt_;
  ServerConnection* connection_ = nullptr;  // nullptr: over
  http2::StreamId stream_ = 0;
  std::unique_ptr<MessageReader> reader_;
  std::string requestMessage_;
  int messagesReceived_ = 0;
  bool headersSent_ = false, finished_ = false, remoteClosed_ = false;
};

using Handler = std::function<void(const std::shared_ptr<ServerCall>& call, std::string_view request)>;

class Server {
 public:
  // Listens at once; throws std::system_error where the port cannot be had.
  Server(net::Loop& loop, const net::Endpoint& on, const ServerOptions& options = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return listener_.port(); }
  void handle(const std::string& method, Handler handler) { handlers_[method] = std::move(handler); }

  // No new connections, and GOAWAY on those that stand; calls in progress go on.
  void drain();
  std::size_t connections() const { return connections_.size(); }
  std::size_t calls() const;

  // For stand-ins: a machine that went silent, towards all peers or those that `who` names.
  void freeze(bool frozen, const std::function<bool(const std::string& peer)>& who = {});
  void pollAll();             // reads what has arrived so far on every connection, silent ones too
  void abortAll();            // RST on every connection
  void refuse(bool refused);  // as a machine without the process: no new connections, the port stays ours
  std::function<bool(const std::string& peer)> silentTo;  // asked at a connection's first request
  std::function<void(const ServerConnection&)> onConnectionEnded;
  // A whole request has come on a silent connection; it is handled once that speaks again.
  std::function<void(const std::shared_ptr<ServerCall>& call, std::string_view request)> onHeld;

 private:
  friend class ServerConnection;
  void accept(int fd);
  void scheduleRemoval(ServerConnection* connection);

  net::Loop& loop_;
  ServerOptions options_;
  net::Listener listener_;
  bool draining_ = false;
  std::uint64_t nextConnection_ = 1;
  std::unordered_map<std::string, Handler> handlers_;
  std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class ServerConnection final : private http2::SessionOwner {
 public:
  ServerConnection(Server& server, std::uint64_t id, int fd);
  ~ServerConnection() override;
  std::uint64_t id() const { return id_; }
  const std::string& peer() const { return peer_; }
  std::size_t calls() const { return calls_.size(); }

 private:
  friend class Server;
  friend class ServerCall;
  void onHeaders(http2::StreamId stream, http2::Headers headers, bool overflow) override;
  void onData(http2::StreamId stream, std::span<const std::uint8_t> bytes) override;
  void onRemoteEnd(http2::StreamId stream) override;
  void onStreamClosed(http2::StreamId stream, std::uint32_t code) override;
  void onDrained(http2::StreamId stream) override;
  void onSessionClosed(const std::string& reason) override;

  ServerCall* find(http2::StreamId stream);
  std::optional<Status> checkHeaders(ServerCall& call, const http2::Headers& headers);
  std::optional<Status> checkRequest(const ServerCall& call) const;
  void respondHttpError(http2::StreamId stream, const char* status);
  void dispatch(const std::shared_ptr<ServerCall>& call);
  void suspend(bool frozen);
  void closeCalls();

  Server& server_;
  std::uint64_t id_;
  std::string peer_;
  http2::Session session_;
  std::unordered_map<http2::StreamId, std::shared_ptr<ServerCall>> calls_;
  std::vector<std::shared_ptr<ServerCall>> suspendedCalls_;  // whole requests that came while silent
};

}  // namespace gannetcourse::grpc
