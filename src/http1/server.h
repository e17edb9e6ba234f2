// HTTP/1.1 towards clients: connections within bounds, one request at a time on each, answers whole or as a
// stream of chunks. Knows nothing of what the requests mean.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http1/parser.h"
#include "net/connection.h"
#include "net/loop.h"

namespace gannetcourse::http1 {

struct ServerOptions {
  Limits limits;
  std::size_t maxConnections = 512;
  std::uint64_t maxBufferedRequestBytes = 32U << 20;  // bytes of requests that are not whole yet
  Duration requestTimeout{2.7};    // a connection's first request, and the rest of one begun
  Duration idleTimeout{15};        // a connection without a request is closed after it
  Duration writeStallTimeout{20};  // ... and one whose client takes nothing
  Duration lingerTimeout{1};       // after our sending has ended, for the client to end as well
};

// What became of connections, since the start.
struct ServerCounters {
  std::uint64_t accepted = 0;
  std::uint64_t evicted = 0;        // idle ones that were closed to make room
  std::uint64_t closedAtLimit = 0;  // new ones for which no room could be made
  std::uint64_t rejected = 0;       // requests that could not be read, or did not come in time
  std::uint64_t timedOut = 0;       // ended as a phase had lasted too long
  std::uint64_t abandoned = 0;      // whose client left while its request was answered
};

class ServerConnection;

// A request and its one answer. Kept by whoever answers; after the client has left, answers go nowhere.
class Exchange {
 public:
  explicit Exchange(ServerConnection* connection) : connection_(connection) {}
  Request request;
  std::function<void()> onClientDisconnected;  // the client has left before the answer's end
  std::function<void(bool)> onBackpressure;    // it takes nothing more for now, and does again

  // A whole answer. `fields` are lines that end with CRLF.
  void respond(int status, std::string_view fields, std::string_view body, bool close = false);
  void beginStream(std::string_view fields);  // 200, chunked
  void sendChunk(std::string_view bytes);
  void endStream();
  void abortStream();  // closes the connection without the last chunk

 private:
  friend class ServerConnection;
  ServerConnection* connection_;
};

class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;
  // Throws std::system_error where the address cannot be had.
  Server(net::Loop& loop, const net::Endpoint& on, const ServerOptions& options, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return listener_.port(); }
  void setOptions(const ServerOptions& options);  // bounds only
  // From now on each answer ends its connection, and those between two requests are ended.
  void drain();
  // Takes what stands in the kernel's queue, then no new connections, and ends those on which nothing is
  // asked. busy() tells when all have ended.
  void shutdown();
  std::size_t connectionCount() const { return connections_.size(); }
  // Connections that have more to do than to wait for a request, and a listener that cannot be closed yet.
  std::size_t busyCount() const;
  std::size_t unsentBytes() const;  // of answers that clients have not taken
  std::uint64_t failedAccepts() const { return listener_.failedAccepts(); }
  const ServerCounters& counters() const { return counters_; }

 private:
  friend class ServerConnection;
  using Connections = std::list<std::unique_ptr<ServerConnection>>;
  void accept(int fd);
  bool evictConnection();
  ServerConnection* chooseEvictable() const;
  template <class Step>
  void forEachConnection(const Step& step);
  void sweep();
  void closeListener();
  void removeConnection(ServerConnection* connection);  // at the end of this iteration
  std::uint64_t bufferedRequestBytes() const;

  net::Loop& loop_;
  ServerOptions options_;
  Handler handler_;
  Connections connections_;
  ServerCounters counters_;
  bool draining_ = false;
  std::optional<Instant> closeListenerBy_;  // while end() waits for the queue: when it waits no more
  net::TimerId sweepTimer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::Listener listener_;
};

}  // namespace gannetcourse::http1
