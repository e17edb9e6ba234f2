// The server side of HTTP/1.1: a bounded number of connections, one request at a time on each, responses
// complete or as a stream of chunks. Does not know what the requests mean.
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

namespace gannetcourse::http1 {

/// Limits of a Server.
struct ServerOptions {
  Limits limits;                                      ///< Of each request.
  std::size_t maxConnections = 512;                   ///< From all clients together.
  std::uint64_t maxBufferedRequestBytes = 32U << 20;  ///< Of incomplete requests on all connections.
  Duration requestTimeout{2.7};    ///< For a connection's first request, and for the rest of one begun.
  Duration idleTimeout{15};        ///< Closes a connection between two requests.
  Duration writeStallTimeout{20};  ///< Closes a connection whose client does not read its response.
  Duration lingerTimeout{1};       ///< After our direction is shut down, for the client to close too.
};

/// What became of connections, since the start.
struct ServerCounters {
  std::uint64_t accepted = 0;
  std::uint64_t evicted = 0;        ///< Idle ones closed in favour of new ones.
  std::uint64_t closedAtLimit = 0;  ///< New ones in favour of which none could be closed.
  std::uint64_t rejected = 0;       ///< Requests that were malformed or did not arrive in time.
  std::uint64_t timedOut = 0;       ///< Closed because a phase exceeded its time limit.
  std::uint64_t abandoned = 0;      ///< Whose client disconnected before its response was complete.
};

class ServerConnection;

/// A request and its one response. Shared with the handler, which may keep it; once the client has
/// disconnected the functions do nothing.
class Exchange {
 public:
  explicit Exchange(ServerConnection* connection) : connection_(connection) {}
  Request request;
  /// Called when the client disconnects before the response is complete.
  std::function<void()> onClientDisconnected;
  /// Called with true when the client reads too slowly, with false when output may go on.
  std::function<void(bool)> onBackpressure;

  /// Sends a complete response. `fields` are lines that end with CRLF.
  void respond(int status, std::string_view fields, std::string_view body, bool close = false);
  /// Starts a chunked response with status 200.
  void beginStream(std::string_view fields);
  void sendChunk(std::string_view bytes);
  void endStream();
  /// Closes the connection without the last chunk, so that the client sees the response as incomplete.
  void abortStream();

 private:
  friend class ServerConnection;
  ServerConnection* connection_;  // null once the response is complete or the client has disconnected
};

/// Listens, owns the connections and limits them. For its loop's thread only.
class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;
  /// Listens at once. Throws std::system_error where the address cannot be bound.
  Server(net::Loop& loop, const net::Endpoint& on, const ServerOptions& options, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return listener_.port(); }
  void setOptions(const ServerOptions& options);
  /// From now on each response ends its connection, and idle connections are ended.
  void drain();
  /// Accepts what stands in the kernel's queue, then stops listening and ends the connections without a
  /// request. busyCount() is 0 when all have ended.
  void shutdown();
  std::size_t connectionCount() const { return connections_.size(); }
  /// Connections that are not between two requests, and 1 for a listener that cannot be closed yet.
  std::size_t busyCount() const;
  std::size_t unsentBytes() const;  ///< Of responses that the kernel has not accepted.
  std::uint64_t failedAccepts() const { return listener_.failedAccepts(); }
  const ServerCounters& counters() const { return counters_; }

 private:
  friend class ServerConnection;
  using Connections = std::list<std::unique_ptr<ServerConnection>>;
  void accept(int fd);
  bool evictConnection();
  ServerConnection* chooseEvictable() const;
  template <class Action>
  void forEachConnection(const Action& action);
  void checkTimeouts();
  void closeListener();
  void removeConnection(ServerConnection* connection);
  std::uint64_t bufferedRequestBytes() const;

  net::Loop& loop_;
  ServerOptions options_;
  Handler handler_;
  Connections connections_;
  ServerCounters counters_;
  bool draining_ = false;
  std::optional<Instant> closeListenerBy_;  // while shutdown() waits for the kernel's queue
  net::TimerId timeoutCheckTimer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed; for deferred tasks
  net::Listener listener_;
};

}  // namespace gannetcourse::http1
