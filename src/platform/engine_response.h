// Decodes an engine's HTTP response to an attempt into events and a result. Has no connection and no timers;
// its only callback is the event handler.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gannetcourse/policy.h"
#include "gannetcourse/recovery.h"
#include "http1/client.h"
#include "platform/event_stream.h"

namespace gannetcourse::platform {

/// The step of the request that an attempt executes.
enum class AttemptKind { kPrefill, kDecode };

/// The result of an attempt.
struct AttemptResult {
  Outcome outcome = Outcome::kError;
  std::string reason;  ///< Text for the records.
  recovery::AttemptEnd end = recovery::AttemptEnd::kConfirmed;
  double cachedTokens = 0;  ///< Prompt tokens found in the engine's prefix cache; 0 = not stated.
  std::optional<LoadReport> load;
};

/// The outcome of an attempt whose response has the status `status`. `notExecuted`: the response states that
/// the request was not executed.
Outcome outcomeOf(int status, bool notExecuted, AttemptKind kind);
/// The outcome of an attempt whose call ended without a complete response.
Outcome outcomeOf(http1::CallResult result);

/// Decodes the response to one attempt: status 202 for a prefill, an event stream, or another status that
/// ends the attempt.
class EngineResponseDecoder {
 public:
  explicit EngineResponseDecoder(AttemptKind kind) : kind_(kind) {}

  void onHead(const http1::ResponseHead& head);
  /// Decodes body bytes and calls `onEvent` for each complete event of a stream. Returns false if the bytes
  /// are not valid events.
  bool onBody(std::string_view bytes, const EventStreamDecoder::EventHandler& onEvent);

  /// Whether the status alone determines the result: the body is not needed and may be missing.
  bool endedByStatus() const { return status_ != 0 && !hasBody(); }
  bool isStream() const { return isStream_; }
  /// Memory of what has been received and not passed on.
  std::size_t heldBytes() const { return events_.heldBytes() + net::heapBytesOf(body_); }
  /// Whether the stream's last event, [DONE], was received.
  bool streamIsComplete() const { return events_.isComplete(); }

  /// The result of a response that is not a stream, as determined by the status. The cached tokens of a
  /// successful prefill are taken from the body.
  AttemptResult resultOfStatus() const;
  /// The result of a stream whose body has ended. A last event without the terminating empty line is passed
  /// to `onEvent`.
  AttemptResult finishStream(const EventStreamDecoder::EventHandler& onEvent);
  /// A result with the given outcome, with the cached tokens and the load report of the response so far.
  AttemptResult resultOf(Outcome outcome, const std::string& reason, recovery::AttemptEnd end) const;

 private:
  // Whether the body is needed: it is an event stream or the response to a prefill.
  bool hasBody() const { return isStream_ || isPrefillAnswer(); }
  bool isPrefillAnswer() const;
  double cachedTokensOfPrefill() const;

  AttemptKind kind_;
  int status_ = 0;  // 0 = no response head received
  bool isStream_ = false, notExecuted_ = false;
  // Body of a response that is not a stream. Once 4 KiB are stored, further bytes are ignored.
  std::string body_;
  EventStreamDecoder events_;
  std::optional<LoadReport> headLoadReport_;
};

}  // namespace gannetcourse::platform
