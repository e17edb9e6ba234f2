// One HTTP/2 connection of a channel.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>

#include "grpc/channel.h"
#include "grpc/client_call.h"
#include "http2/session.h"

namespace gannetcourse::grpc {

/// Dispatches the session's events to its calls and its channel. Owned by the channel, which destroys the
/// object in a deferred task after the connection has closed.
struct ChannelConnection final : http2::SessionOwner {
  ChannelConnection(Channel& owner, std::uint64_t connectionId, net::Loop& loop, const http2::Limits& limits)
      : channel(owner), id(connectionId), session(loop, http2::Session::Side::kClient, *this, limits) {}

  void onSessionReady() override { channel.onConnectionReady(*this); }
  void onHeaders(http2::StreamId stream, http2::Headers headers, bool overflow) override;
  void onData(http2::StreamId stream, std::span<const std::uint8_t> bytes) override;
  void onRemoteEnd(http2::StreamId stream) override;
  void onStreamClosed(http2::StreamId stream, std::uint32_t code) override;
  void onGoaway() override;
  void onPong() override { pingsAcknowledged = pingsSent; }
  void onStrayFrame(http2::StreamId stream) override;
  void onSessionClosed(const std::string& reason) override {
    channel.onConnectionClosed(*this, ready, reason);
  }

  Channel& channel;
  const std::uint64_t id;  // unique within the channel
  http2::Session session;
  std::unordered_map<http2::StreamId, std::shared_ptr<ClientCall>> calls;
  bool ready = false;  // established and not closed
  bool ended = false;  // closed, or the connection attempt has failed
  std::uint64_t pingsSent = 0;
  std::uint64_t pingsAcknowledged = 0;

 private:
  CallEnd endOfClosedStream(std::uint32_t code) const;
};

}  // namespace gannetcourse::grpc
