// A gRPC call, server side.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "grpc/protocol.h"
#include "http2/session.h"
#include "net/memory_budget.h"

namespace gannetcourse::grpc {

class ServerConnection;

/// The status of a call whose request the server has no memory for.
extern const Status kNoMemory;

/// A call in progress. Its handler may keep a reference; after the call has ended, send(), finish() and
/// reset() do nothing.
class ServerCall : public std::enable_shared_from_this<ServerCall> {
 public:
  const std::string& method() const { return method_; }  ///< "/package.Service/Method".
  const http2::Headers& metadata() const { return metadata_; }
  std::optional<Duration> timeout() const { return timeout_; }  ///< The grpc-timeout; starts at receivedAt().
  Instant receivedAt() const { return receivedAt_; }            ///< When the request's headers arrived.
  const std::string& peer() const;                              ///< The connection's user-agent.
  std::uint64_t connectionId() const;                           ///< 0 once the stream has closed.
  Instant lastReceivedAt() const;  ///< When the call's connection last received anything.
  bool isSuspended() const;        ///< Suspended by Server::suspend(); output is queued.
  bool isOpen() const { return connection_ != nullptr && !finished_; }

  /// Sends a message. Returns pendingBytes(), including this message.
  std::size_t send(std::string_view message);
  /// Ends the call with a status.
  void finish(const Status& status, const http2::Headers& trailers = {});
  /// Ends the call without a status.
  void reset(std::uint32_t http2Code);
  /// Resets the stream and discards its pending output, also after finish().
  void abandon();
  /// Bytes of output not passed to the connection yet. The number grows while the client does not read.
  std::size_t pendingBytes() const;

  /// Called once if the client cancels or the connection is lost before finish() is called.
  std::function<void()> onClientDisconnected;
  /// Called whenever pendingBytes() becomes 0.
  std::function<void()> onDrained;
  /// Called once when the stream has ended in both directions, for whatever reason.
  std::function<void()> onClosed;

 private:
  friend class Server;
  friend class ServerConnection;
  std::uint64_t requestMemory() const { return requestCharge_.bytes(); }
  void updateCharge();
  void releaseRequest();
  std::string method_;
  http2::Headers metadata_;
  std::optional<Duration> timeout_;
  Instant receivedAt_;
  ServerConnection* connection_ = nullptr;  // null once the stream has closed
  http2::StreamId stream_ = 0;
  std::unique_ptr<MessageReader> reader_;
  std::string requestMessage_;
  std::uint64_t openRequestBytes_ = 0;  // of the message, once the handler has it
  net::MemoryCharge requestCharge_;
  net::TimerId requestTimer_ = 0;  // 0 once the request has arrived
  int messagesReceived_ = 0;
  bool headersSent_ = false;
  bool finished_ = false;
  bool remoteClosed_ = false;
};

}  // namespace gannetcourse::grpc
