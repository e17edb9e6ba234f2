// Retry rules by idempotency, which ensure that no request has its effect twice. They decide where another
// attempt may be started after an attempt that may have run, and whether the request may be rejected.
#pragma once

#include "decision_context.h"
#include "request.h"

namespace gannetcourse::policy {

/// Rules over the fields of a request. Holds no state.
class RetrySafety {
 public:
  explicit RetrySafety(const DecisionContext& context) : context_(context) {}

  /// Whether the outcome proves that the attempt had no effect.
  static bool isProvenNotRun(Outcome outcome);
  /// The request's attempt has ended at `engine` and may have had the request's effect. Stores the start and
  /// the engine of the request's first such attempt; later attempts change nothing.
  static void recordPossibleRun(Request& request, const EngineEntry& engine);

  /// Whether an attempt may be started at the engine now. After an attempt that may have run, kAtMostOnce
  /// requests may not run anywhere, and kIdempotencyKey requests only within the scope and the window in
  /// which engines drop duplicates.
  bool isAllowedOn(const Engine& engine, const Request& request) const;
  /// Whether another attempt could follow if the one in flight ends without an answer.
  bool canRetryAfterAttempt(const Request& request) const;
  /// Whether the request may be rejected, which allows its client to retry; otherwise it must be failed.
  bool canReject(const Request& request) const;

 private:
  const DecisionContext& context_;
};

}  // namespace gannetcourse::policy
