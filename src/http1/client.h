// HTTP/1.1 towards servers: a pool of connections, one call at a time on each, re-used newest first. Sends
// nothing again by itself. Knows nothing of what the calls mean.
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

struct ClientOptions {
  Limits limits;
  std::size_t maxConnections = 256;  // to all servers together
  Duration connectTimeout{0.25};
  Duration settleDelay{0.05};  // after an answer, for a second one that does not belong to it to show
  Duration idleTimeout{7};     // an idle connection is closed after it, well before its server would
  Duration partialMessageTimeout{
      3};  // how long a head or chunk may take from its first byte; then the answer is spoilt
};

enum class CallResult {
  kComplete,               // the answer has come to its end
  kNoConnectionAvailable,  // no connection may be opened, or this machine could open none: nothing was sent
  kNotConnected,           // never came up, or broke before the request's last byte was written
  kConnectionLost,         // broke after that
  kMalformed               // the answer cannot be read
};

// What a call tells its owner; nothing after end(), nor after Client::cancel(). It does not hear of its end
// before Client::start() has returned.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  virtual void onHead(const ResponseHead& head) = 0;
  virtual void onBody(std::string_view bytes) = 0;
  virtual void onEnd(CallResult how, const std::string& why) = 0;
};

using CallId = std::uint64_t;  // 0 = none
class ClientConnection;

class Client {
 public:
  Client(net::Loop& loop, const ClientOptions& options);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Makes a call's head, with its empty line. Asked for once, when the connection stands: what it tells of
  // time is true at the send.
  using HeadMaker = std::function<std::string()>;
  // Sends the head and `body` (may be null).
  CallId start(const net::Endpoint& to, HeadMaker head, std::shared_ptr<const std::string> body,
               std::shared_ptr<ResponseHandler> sink);
  void cancel(CallId call);  // closes its connection
  // Ends the calls of which nothing has been sent there yet, as kNotConnected.
  void cancelUnsent(const net::Endpoint& to);
  void pauseReading(CallId call, bool frozen);
  // Closes what is idle there, and whatever becomes it.
  void retireEndpoint(const net::Endpoint& to);
  void restoreEndpoint(const net::Endpoint& to) { retiredEndpoints_.erase(to); }
  bool hasIdleConnection(const net::Endpoint& to) const;
  void setOptions(const ClientOptions& options) { options_ = options; }

  std::size_t connectionCount() const { return connections_.size(); }
  std::size_t idleConnectionCount() const;  // connections that a call may use
  std::uint64_t connectionsOpened() const { return connectionsOpened_; }
  std::uint64_t localConnectFailures() const {
    return localConnectFailures_;
  }  // calls for which this machine could open none

 private:
  friend class ClientConnection;
  ClientConnection* takeIdleConnection(const net::Endpoint& to);
  bool evictIdleConnection();
  void sweep();
  void removeConnection(ClientConnection* connection);
  void notifyEndLater(CallId call, std::shared_ptr<ResponseHandler> sink, CallResult how,
                      const std::string& why);

  net::Loop& loop_;
  ClientOptions options_;
  std::list<std::shared_ptr<ClientConnection>> connections_;
  std::map<net::Endpoint, std::vector<ClientConnection*>> idleConnections_;  // newest last
  std::map<CallId, ClientConnection*> calls_;
  std::map<CallId, std::shared_ptr<ResponseHandler>>
      pendingEnds_;  // whose end is told at the end of this iteration
  std::set<net::Endpoint> retiredEndpoints_;
  CallId lastCall_ = 0;
  std::uint64_t connectionsOpened_ = 0, localConnectFailures_ = 0;
  net::TimerId sweepTimer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gannetcourse::http1
