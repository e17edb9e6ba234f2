// The server side of gRPC: one request message in, any number of messages and one status out (unary and
// server-streaming methods). Protocol errors of the client are answered here and reach no handler.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "grpc/protocol.h"
#include "grpc/server_call.h"
#include "http2/session.h"
#include "net/listener.h"

namespace gannetcourse::grpc {

/// Limits of a Server.
struct ServerOptions {
  http2::Limits http2;
  std::size_t maxMessageBytes = 4 * 1024 * 1024;  ///< Of a request.
  std::size_t maxConnections = 20000;             ///< More wait in the kernel's queue.
};

/// Handles a complete request; answers through `call`, at once or later.
using Handler = std::function<void(const std::shared_ptr<ServerCall>& call, std::string_view request)>;

/// Listens, owns the connections and knows the methods. For its loop's thread only.
class Server {
 public:
  /// Listens at once. Throws std::system_error where the address cannot be bound.
  Server(net::Loop& loop, const net::Endpoint& on, const ServerOptions& options = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return listener_.port(); }
  /// `method` as on the wire: "/package.Service/Method".
  void handle(const std::string& method, Handler handler) { handlers_[method] = std::move(handler); }

  /// Graceful shutdown: no new connections, GOAWAY on the existing ones; calls in progress go on.
  void drain();
  std::size_t connectionCount() const { return connections_.size(); }
  std::size_t callCount() const;  ///< In progress.

  // ---- For fake engines: failures of a machine ----
  /// Behaves like a machine that fell silent, towards all peers or those for which `who` is true.
  void suspend(bool frozen, const std::function<bool(const std::string& peer)>& who = {});
  /// Reads what has arrived so far on every connection, suspended ones too.
  void readAllNow();
  /// Closes every connection with a RST.
  void abortAll();
  /// Behaves like a machine on which the process does not run: no new connections; the port stays ours.
  void rejectConnections(bool refused);
  /// Called at a connection's first request: whether the connection is suspended from then on.
  std::function<bool(const std::string& peer)> isSuspendedFor;
  std::function<void(const ServerConnection&)> onConnectionClosed;
  /// A complete request has arrived on a suspended connection; it is handled once that is resumed.
  std::function<void(const std::shared_ptr<ServerCall>& call, std::string_view request)>
      onRequestWhileSuspended;

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
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed; for deferred tasks
};

}  // namespace gannetcourse::grpc
