// HTTP/1.1 server: a bounded number of connections with one request at a time on each. A response is sent as
// a whole or as a stream of chunks. Does not interpret the requests.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http1/parser.h"
#include "net/connection.h"
#include "net/listener.h"
#include "net/loop.h"
#include "net/memory_budget.h"

namespace gannetcourse::http1 {

/// Limits of a Server. Durations are in seconds.
struct ServerOptions {
  Limits limits;                     ///< Size limits of each request.
  std::size_t maxConnections = 512;  ///< Maximum for all clients together.
  /// Limit for a request to arrive: for a connection's first one from the accept, for a later one from its
  /// first byte.
  Duration requestTimeout{2.7};
  Duration idleTimeout{15};        ///< Closes a connection that is idle between two requests.
  Duration writeStallTimeout{20};  ///< Closes a connection whose client does not read its response.
  Duration lingerTimeout{1};       ///< Wait for the client to close after we shut down our write side.
  std::shared_ptr<net::MemoryBudget> memory =
      std::make_shared<net::MemoryBudget>();  ///< Of the node; not null.
};

/// Counts of connections and requests since the server was created.
struct ServerCounters {
  std::uint64_t accepted = 0;
  std::uint64_t evicted = 0;            ///< Connections closed to make room for new ones.
  std::uint64_t closedAtLimit = 0;      ///< New connections closed because none could be evicted.
  std::uint64_t rejected = 0;           ///< Requests that were malformed, too large or too slow to arrive.
  std::uint64_t timedOut = 0;           ///< Connections that exceeded the time limit of a phase.
  std::uint64_t abandoned = 0;          ///< Connections lost or timed out before a response was complete.
  std::uint64_t rejectedForMemory = 0;  ///< Requests rejected before they were complete, to free memory.
};

class ServerConnection;

/// A request and its one response. Shared with the handler, which may store it. After the client has
/// disconnected, its functions do nothing.
class Exchange {
 public:
  explicit Exchange(ServerConnection* connection) : connection_(connection) {}
  Request request;
  Duration waited{0};  ///< Since its last byte arrived, behind another request on its connection.
  /// Called when the connection is closed before the response is complete: the client disconnected, or did
  /// not read the response.
  std::function<void()> onClientDisconnected;
  /// Called with true when too much output is pending because the client reads slowly, and with false when
  /// sending may continue.
  std::function<void(bool)> onBackpressure;

  /// Sends a complete response. `fields` are lines that end with CRLF.
  void respond(int status, std::string_view fields, std::string_view body, bool close = false);
  /// Starts a chunked response with status 200.
  void beginStream(std::string_view fields);
  void sendChunk(std::string_view bytes);
  void endStream();
  /// Closes the connection without the last chunk, so that the client can detect that the response is
  /// incomplete.
  void abortStream();

 private:
  friend class ServerConnection;
  ServerConnection* connection_;  // null once the response is complete or the client has disconnected
};

/// Listens on an endpoint; owns the connections and limits their number. Use it on its
/// loop's thread only.
class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;
  /// Starts listening. Throws std::system_error if the address cannot be bound.
  Server(net::Loop& loop, const net::Endpoint& on, const ServerOptions& options, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return listener_.port(); }
  void setOptions(const ServerOptions& options);
  /// Closes idle connections. Every other connection is closed after its next response.
  void drain();
  /// Accepts the connections that wait in the kernel's queue, then stops listening and closes the connections
  /// on which no request has begun. busyCount() is 0 when every connection has ended.
  void shutdown();
  std::size_t connectionCount() const { return connections_.size(); }
  /// Connections that are receiving, responding or closing, plus 1 while the listener cannot be closed yet.
  std::size_t busyCount() const;
  std::size_t unsentBytes() const;  ///< Response bytes that the kernel has not accepted yet.
  std::uint64_t failedAccepts() const { return listener_.failedAccepts(); }
  const ServerCounters& counters() const { return counters_; }

 private:
  friend class ServerConnection;
  using Connections = std::list<std::unique_ptr<ServerConnection>>;
  void accept(int fd);
  bool evictConnection();
  ServerConnection* chooseEvictionCandidate() const;
  template <class Action>
  void forEachConnection(const Action& action);
  void checkTimeouts();
  void closeListener();
  void removeConnection(ServerConnection* connection);
  void makeRoomForPartialRequest();
  ServerConnection* largestPartialRequest() const;

  net::Loop& loop_;
  ServerOptions options_;
  Handler handler_;
  Connections connections_;
  ServerCounters counters_;
  bool draining_ = false;
  std::optional<Instant> closeListenerBy_;  // set while shutdown() empties the accept queue
  net::TimerId timeoutCheckTimer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed; for deferred tasks
  net::Listener listener_;
};

}  // namespace gannetcourse::http1
