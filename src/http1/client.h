// The client side of HTTP/1.1: a pool of connections, one call at a time on each, reused newest first. Never
// retries, and does not know what the calls mean.
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

namespace gannetcourse::http1 {

/// Limits of a Client.
struct ClientOptions {
  Limits limits;                      ///< Of each response.
  std::size_t maxConnections = 256;   ///< To all servers together.
  Duration connectTimeout{0.25};      ///< For a connection to be established.
  Duration settleDelay{0.05};         ///< After a response, in case bytes that do not belong to it follow.
  Duration idleTimeout{7};            ///< Closes an idle connection, well before its server would.
  Duration partialMessageTimeout{3};  ///< From a head's or chunk's first byte to its last; then kMalformed.
};

/// How a call ended.
enum class CallResult {
  kComplete,               ///< The response is complete.
  kNoConnectionAvailable,  ///< The pool is full, or this machine could not open a connection; nothing sent.
  kNotConnected,           ///< Never established, or lost before the request's last byte was written.
  kConnectionLost,         ///< Lost after that: the request may have run.
  kMalformed               ///< The response cannot be parsed.
};

/// Receives a call's response. No function is called after onEnd(), nor after Client::cancel(); onEnd() is
/// never called before Client::start() has returned.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  virtual void onHead(const ResponseHead& head) = 0;
  /// Called for each piece of the body as it arrives.
  virtual void onBody(std::string_view bytes) = 0;
  /// `reason` is a short plain text for logs; empty where the call is complete.
  virtual void onEnd(CallResult result, const std::string& reason) = 0;
};

using CallId = std::uint64_t;  ///< 0 = none.
class ClientConnection;

/// A pool of connections and the calls on them. For its loop's thread only.
class Client {
 public:
  Client(net::Loop& loop, const ClientOptions& options);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Returns a call's head, with its empty line. Called once, when the connection is established, so that
  /// durations in it hold at the moment of sending.
  using HeadMaker = std::function<std::string()>;
  /// Starts a call that sends the head and `body` (may be null). Every failure is reported to `handler`.
  CallId start(const net::Endpoint& to, HeadMaker makeHead, std::shared_ptr<const std::string> body,
               std::shared_ptr<ResponseHandler> handler);
  /// Closes the call's connection.
  void cancel(CallId call);
  /// Ends the calls to `to` of which nothing has been sent yet, as kNotConnected.
  void cancelUnsent(const net::Endpoint& to);
  /// Leaves the response in the kernel while `paused`, so that the server has to wait.
  void pauseReading(CallId call, bool paused);
  /// Closes idle connections to `to`, and others as soon as their call ends.
  void retireEndpoint(const net::Endpoint& to);
  void restoreEndpoint(const net::Endpoint& to) { retiredEndpoints_.erase(to); }
  bool hasIdleConnection(const net::Endpoint& to) const;
  void setOptions(const ClientOptions& options) { options_ = options; }

  std::size_t connectionCount() const { return connections_.size(); }
  std::size_t idleConnectionCount() const;  ///< Connections that a call may use at once.
  std::uint64_t connectionsOpened() const { return connectionsOpened_; }
  /// Calls for which this machine could not open a connection.
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
  std::map<CallId, std::shared_ptr<ResponseHandler>> pendingEnds_;  // notified at this iteration's end
  std::set<net::Endpoint> retiredEndpoints_;
  CallId lastCall_ = 0;
  std::uint64_t connectionsOpened_ = 0;
  std::uint64_t localConnectFailures_ = 0;
  net::TimerId timeoutCheckTimer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed; for deferred tasks
};

}  // namespace gannetcourse::http1
