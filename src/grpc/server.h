// The server side of gRPC, for unary and server-streaming methods: one request message, any number of
// response messages and one status. Responds to clients' protocol errors itself, without calling a handler.
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
#include "net/memory_budget.h"

namespace gannetcourse::grpc {

/// Limits of a Server.
struct ServerOptions {
  http2::Limits http2;
  std::size_t maxMessageBytes = 4 * 1024 * 1024;  ///< Largest accepted request message.
  /// Memory for the requests of all calls: metadata and messages, from their arrival until the call has
  /// ended.
  std::uint64_t maxRequestMemory = 256 << 20;
  std::size_t maxConnections = 20000;  ///< Further connections wait in the kernel's accept queue.
  /// Limit for a request to arrive after its headers; a shorter grpc-timeout of the call takes precedence.
  Duration requestTimeout{2.7};
};

/// Handles a complete request; responds through `call`, at once or later.
using Handler = std::function<void(const std::shared_ptr<ServerCall>& call, std::string_view request)>;

/// Owns the listener and the connections; passes requests to the handlers of their methods. Use only on the
/// loop's thread.
class Server {
 public:
  /// Starts to listen. Throws std::system_error if the address cannot be bound.
  Server(net::Loop& loop, const net::Endpoint& address, const ServerOptions& options = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return listener_.port(); }
  /// Sets the handler of a method. `method` is its path: "/package.Service/Method".
  void handle(const std::string& method, Handler handler) { handlers_[method] = std::move(handler); }

  /// Graceful shutdown: accepts no new connections and sends GOAWAY; calls in progress continue.
  void drain();
  std::size_t connectionCount() const { return connections_.size(); }
  std::size_t callCount() const;  ///< Number of calls in progress.

  // ---- Fault injection for fake engines ----
  /// Suspends or resumes the connections of all peers, or of those for which `appliesTo` is true. A suspended
  /// connection sends nothing and handles no requests, like a connection to a machine that does not respond.
  void suspend(bool suspended, const std::function<bool(const std::string& peer)>& appliesTo = {});
  /// Reads the bytes that have arrived so far on all connections, including suspended ones.
  void readAllNow();
  /// Closes all connections with a TCP RST.
  void abortAll();
  /// Rejects new connections, as if the process did not run, but keeps the port reserved.
  void rejectConnections(bool rejected);
  /// Called at a connection's first request; returns whether to suspend the connection from then on.
  std::function<bool(const std::string& peer)> isSuspendedFor;
  std::function<void(const ServerConnection&)> onConnectionClosed;
  /// Called for a complete request on a suspended connection. The handler of the request's method is called
  /// when the connection resumes.
  std::function<void(const std::shared_ptr<ServerCall>& call, std::string_view request)>
      onRequestWhileSuspended;

 private:
  friend class ServerConnection;
  void accept(int fd);
  void scheduleRemoval(ServerConnection* connection);
  bool isMemoryExceeded() const { return memory_->held().total() > options_.maxRequestMemory; }
  void makeRoom();
  std::shared_ptr<ServerCall> largestPartialCall() const;

  net::Loop& loop_;
  ServerOptions options_;
  net::Listener listener_;
  const std::shared_ptr<net::MemoryBudget> memory_ = std::make_shared<net::MemoryBudget>();
  bool draining_ = false;
  std::uint64_t nextConnectionId_ = 1;
  std::unordered_map<std::string, Handler> handlers_;
  std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed, for deferred tasks
};

}  // namespace gannetcourse::grpc
