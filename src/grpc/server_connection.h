// One HTTP/2 connection of a gRPC server: checks requests and passes them to the server's handlers.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "grpc/protocol.h"
#include "grpc/server.h"
#include "grpc/server_call.h"
#include "http2/session.h"

namespace gannetcourse::grpc {

/// Owns its session and calls. Owned by its Server, which destroys the object in a deferred task after the
/// connection has closed.
class ServerConnection final : private http2::SessionOwner {
 public:
  /// Takes over the accepted socket.
  ServerConnection(Server& server, std::uint64_t id, int fd);
  ~ServerConnection() override;
  std::uint64_t id() const { return id_; }                 ///< Unique within the server, from 1.
  const std::string& peer() const { return peer_; }        ///< User-agent of the first request.
  std::size_t callCount() const { return calls_.size(); }  ///< Number of calls in progress.

 private:
  friend class Server;
  friend class ServerCall;
  // ---- http2::SessionOwner ----
  void onHeaders(http2::StreamId stream, http2::Headers headers, bool overflow) override;
  void onData(http2::StreamId stream, std::span<const std::uint8_t> bytes) override;
  void onRemoteEnd(http2::StreamId stream) override;
  void onStreamClosed(http2::StreamId stream, std::uint32_t code) override;
  void onOutputTaken(http2::StreamId stream) override;
  void onSessionClosed(const std::string& reason) override;

  ServerCall* find(http2::StreamId stream);
  std::shared_ptr<ServerCall> addCall(http2::StreamId stream, const std::string* method);
  void identifyPeer(const http2::Headers& headers);
  // Return the error status for invalid headers or messages of a request; nothing if they are valid.
  std::optional<Status> checkHeaders(ServerCall& call, const http2::Headers& headers);
  std::optional<Status> checkMessages(const ServerCall& call) const;
  void respondHttpError(http2::StreamId stream, const char* status);
  void limitRequestTime(const std::shared_ptr<ServerCall>& call);
  void cancelRequestTimer(ServerCall& call);
  void dispatch(const std::shared_ptr<ServerCall>& call);
  void suspend(bool suspended);
  void closeCalls();

  Server& server_;
  std::uint64_t id_;
  std::string peer_;
  http2::Session session_;
  std::unordered_map<http2::StreamId, std::shared_ptr<ServerCall>> calls_;
  std::vector<std::shared_ptr<ServerCall>> suspendedCalls_;  // complete requests that arrived while suspended
};

}  // namespace gannetcourse::grpc
