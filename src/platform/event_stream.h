// Decodes an engine's stream of server-sent events. Bytes in, complete events out; no sockets.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "gannetcourse/policy.h"

namespace gannetcourse::platform {

/// Splits a response body into events, which are passed on byte for byte. Comments are not: they are for this
/// node, and one may carry a load report.
class EventStreamDecoder {
 public:
  using EventHandler = std::function<void(std::string event)>;

  /// Takes the next bytes and calls `onEvent` with each event that is complete. Returns false where the bytes
  /// are no events.
  bool feed(std::string_view bytes, const EventHandler& onEvent);

  /// The body has ended. Delivers an event that lacks nothing but its empty line. Returns false where the
  /// stream is incomplete: its last event has not come.
  bool finish(const EventHandler& onEvent);

  /// Whether an event has begun and is not complete.
  bool hasPartialEvent() const { return !partialEvent_.empty(); }
  /// Whether the last event, [DONE], has come.
  bool isComplete() const { return complete_; }

  double cachedTokens() const { return cachedTokens_; }  ///< Prompt tokens found cached; 0 = not stated.
  double generatedTokens() const { return generatedTokens_; }  ///< As the engine counts them; 0 = not stated.
  const std::optional<LoadReport>& loadReport() const { return loadReport_; }  ///< The latest one.

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
