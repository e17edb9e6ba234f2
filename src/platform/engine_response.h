// What an engine's response says about the attempt that it answers. Decodes only; owns no connection and
// calls nobody but the event handler that it is given.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gannetcourse/policy.h"
#include "gannetcourse/recovery.h"
#include "http1/client.h"
#include "platform/event_stream.h"

namespace gannetcourse::platform {

/// What an attempt is for.
enum class AttemptKind { kPrefill, kDecode };

/// How an attempt ended.
struct AttemptResult {
  Outcome outcome = Outcome::kError;
  std::string reason;  ///< For the records.
  recovery::AttemptEnd end = recovery::AttemptEnd::kConfirmed;
  double cachedTokens = 0;  ///< Prompt tokens found in the engine's prefix cache; 0 = not stated.
  std::optional<LoadReport> load;
};

/// The outcome of an attempt that was answered with `status`. `notExecuted`: the response states that the
/// request has not run.
Outcome outcomeOf(int status, bool notExecuted, AttemptKind kind);
/// The outcome of an attempt whose response is incomplete.
Outcome outcomeOf(http1::CallResult result);

/// Decodes the response to one attempt: a prefill's 202, a stream of events, or a status that ends the
/// attempt.
class EngineResponseDecoder {
 public:
  explicit EngineResponseDecoder(AttemptKind kind) : kind_(kind) {}

  void onHead(const http1::ResponseHead& head);
  /// Takes bytes of the body at `now`; `onEvent` gets the events of a stream. Returns false where they cannot
  /// be events.
  bool onBody(std::string_view bytes, Instant now, const EventStreamDecoder::EventHandler& onEvent);

  /// Whether the status has ended the attempt: the body adds nothing and may never come.
  bool endedByStatus() const { return status_ != 0 && !hasBody(); }
  bool isStream() const { return isStream_; }
  /// Whether the last event of the stream has come.
  bool streamIsComplete() const { return events_.isComplete(); }
  /// Since when an event is incomplete.
  std::optional<Instant> partialEventSince() const { return partialEventSince_; }
  /// Restarts the time of an incomplete event, where this side did not read for a while.
  void restartPartialEvent(Instant now);

  /// The result of a response whose status has ended the attempt, or of a prefill that has answered.
  AttemptResult resultOfStatus() const;
  /// The result of a stream whose body has ended. A last event without its empty line is passed to `onEvent`.
  AttemptResult finishStream(const EventStreamDecoder::EventHandler& onEvent);
  /// A result for other reasons, with the load that the response reported.
  AttemptResult resultOf(Outcome outcome, const std::string& reason, recovery::AttemptEnd end) const;

 private:
  // Whether the body has a meaning: a stream, or the answer to a prefill.
  bool hasBody() const { return isStream_ || isPrefillAnswer(); }
  bool isPrefillAnswer() const;
  double cachedTokensOfPrefill() const;

  AttemptKind kind_;
  int status_ = 0;  // 0 = no head has come
  bool isStream_ = false, notExecuted_ = false;
  std::string body_;  // of anything but a stream, up to a limit
  EventStreamDecoder events_;
  std::optional<Instant> partialEventSince_;
  std::optional<LoadReport> loadOfHead_;
};

}  // namespace gannetcourse::platform
