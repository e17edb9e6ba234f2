// Decodes an engine's stream of server-sent events from received bytes. No sockets.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "gannetcourse/policy.h"
#include "net/memory_budget.h"

namespace gannetcourse::platform {

/// Splits a response body into events and passes them on byte for byte, without their comment lines. Comment
/// lines are meant for the node, not for its clients, and may contain a load report.
class EventStreamDecoder {
 public:
  using EventHandler = std::function<void(std::string event)>;

  /// Decodes the next bytes and calls `onEvent` with each complete event. Returns false if the bytes are not
  /// valid events, or if the incomplete event is longer than 64 KiB.
  bool feed(std::string_view bytes, const EventHandler& onEvent);

  /// Must be called at the end of the body. Delivers a last event that lacks only its terminating empty line.
  /// Returns false if the [DONE] event is missing or the last event is malformed.
  bool finish(const EventHandler& onEvent);

  /// Whether the last event, [DONE], was received.
  bool isComplete() const { return complete_; }

  /// Prompt tokens found in the engine's prefix cache; 0 = not stated.
  double cachedTokens() const { return cachedTokens_; }
  double generatedTokens() const { return generatedTokens_; }  ///< As counted by the engine; 0 = not stated.
  const std::optional<LoadReport>& loadReport() const { return loadReport_; }  ///< The latest one received.
  std::size_t heldBytes() const {
    return net::heapBytesOf(partialEvent_);
  }  ///< Memory of what is incomplete.

 private:
  bool decodeEvent(std::string_view event, const EventHandler& onEvent);
  bool decodeDataLine(std::string_view line);
  bool startsLikeEvent() const;
  void readUsage(std::string_view data);
  void readComment(std::string_view comment);

  std::string partialEvent_;
  bool complete_ = false;
  double cachedTokens_ = 0, generatedTokens_ = 0;
  std::optional<LoadReport> loadReport_;
};

}  // namespace gannetcourse::platform
