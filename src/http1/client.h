// HTTP/1.1 client: a pool of connections to any number of servers. Each connection carries one call at a
// time; the most recently used idle connection is reused first. Never retries and does not interpret the
// messages.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "http1/parser.h"
#include "net/connection.h"
#include "net/loop.h"
#include "net/memory_budget.h"

namespace gannetcourse::http1 {

/// Limits of a Client. Durations are in seconds.
struct ClientOptions {
  Limits limits;                     ///< Size limits of each response.
  std::size_t maxConnections = 256;  ///< Maximum for all servers together.
  Duration connectTimeout{0.25};     ///< Limit for establishing a connection.
  Duration settleDelay{0.05};        ///< Wait after a response, to detect extra bytes before reuse.
  Duration idleTimeout{7};           ///< Closes an idle connection, well before its server would.
  /// Limit for receiving one head, or one chunk unless the handler limits the body; then kMalformed.
  Duration partialMessageTimeout{3};
  std::shared_ptr<net::MemoryBudget> memory =
      std::make_shared<net::MemoryBudget>();  ///< Of the node; not null.
};

/// How a call ended.
enum class CallResult {
  kComplete,               ///< The response is complete.
  kNoConnectionAvailable,  ///< The pool is full, or this machine could not open one; nothing was sent.
  kNotConnected,           ///< No connection established, or lost before the whole request was written.
  kConnectionLost,         ///< Lost after the request was written: the server may have processed it.
  kMalformed               ///< The response cannot be parsed.
};

/// Receives a call's response. No function is called after onEnd() or Client::cancel(). onEnd() is never
/// called before Client::start() has returned.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  /// The connection is established, and the request has been passed to it.
  virtual void onRequestSent() {}
  virtual void onHead(const ResponseHead& head) = 0;
  /// Called for each piece of the body as it arrives.
  virtual void onBody(std::string_view bytes) = 0;
  /// `reason` is a short plain text for logs; empty for kComplete.
  virtual void onEnd(CallResult result, const std::string& reason) = 0;
  /// Whether the handler itself limits how long the body may take, so that its chunks may take any time. Not
  /// called before onHead() has returned.
  virtual bool limitsBodyTime() const { return false; }
};

using CallId = std::uint64_t;  ///< 0 = none.
class ClientConnection;

/// Owns the connections and the calls on them. Use it on its loop's thread only.
class Client {
 public:
  Client(net::Loop& loop, const ClientOptions& options);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Builds a request's head, including the empty line that ends it. Called once, immediately before the head
  /// is sent, so that remaining times in its fields are current.
  using HeadMaker = std::function<std::string()>;
  /// Starts a call that sends the head and `body` (may be null). Every failure is reported to `handler`.
  CallId start(const net::Endpoint& to, HeadMaker makeHead, std::shared_ptr<const std::string> body,
               std::shared_ptr<ResponseHandler> handler);
  /// Ends the call without notifying its handler, and closes its connection.
  void cancel(CallId call);
  /// Ends every call to `to` whose request has not been sent yet, with kNotConnected.
  void cancelUnsent(const net::Endpoint& to);
  /// While `paused`, does not read the response, so that TCP flow control stops the server.
  void pauseReading(CallId call, bool paused);
  /// Closes the idle connections to `to` now, and the other ones when their call ends.
  void retireEndpoint(const net::Endpoint& to);
  /// Undoes retireEndpoint(): connections to `to` are kept for reuse again.
  void restoreEndpoint(const net::Endpoint& to) { retiredEndpoints_.erase(to); }
  bool hasIdleConnection(const net::Endpoint& to) const;
  void setOptions(const ClientOptions& options) { options_ = options; }

  const std::shared_ptr<net::MemoryBudget>& memory() const { return options_.memory; }
  std::size_t connectionCount() const { return connections_.size(); }
  std::size_t idleConnectionCount() const;  ///< Established connections that are ready for a call.
  std::uint64_t connectionsOpened() const { return connectionsOpened_; }
  /// Calls that failed because this machine could not open a connection.
  std::uint64_t localConnectFailures() const { return localConnectFailures_; }

 private:
  friend class ClientConnection;
  bool isRetired(const net::Endpoint& endpoint) const { return retiredEndpoints_.count(endpoint) > 0; }
  ClientConnection* takeIdleConnection(const net::Endpoint& to);
  bool evictIdleConnection();
  void checkTimeouts();
  void removeConnection(ClientConnection* connection);
  void notifyEndLater(CallId call, std::shared_ptr<ResponseHandler> handler, CallResult result,
                      const std::string& reason);

  net::Loop& loop_;
  ClientOptions options_;
  std::list<std::shared_ptr<ClientConnection>> connections_;
  std::map<net::Endpoint, std::vector<ClientConnection*>> idleConnections_;  // newest last
  std::map<CallId, ClientConnection*> calls_;
  std::map<CallId, std::shared_ptr<ResponseHandler>> pendingEnds_;  // onEnd() is due at this iteration's end
  std::set<net::Endpoint> retiredEndpoints_;
  CallId lastCall_ = 0;
  std::uint64_t connectionsOpened_ = 0;
  std::uint64_t localConnectFailures_ = 0;
  net::TimerId timeoutCheckTimer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed; for deferred tasks
};

}  // namespace gannetcourse::http1
