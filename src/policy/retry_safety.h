// What a request's idempotency allows: where it may run after an attempt that may have run, and what may be
// said to its client. The rule behind it: no effect twice.
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
  /// An attempt with the effect has ended without that proof, at the engine of this entry.
  static void recordPossibleRun(Request& request, const EngineEntry& engine);

  /// Whether an attempt may be started at the engine now. After an attempt that may have run, a request that
  /// runs at most once goes nowhere, and one with a key only where and while repeats are dropped.
  bool isAllowedOn(const Engine& engine, const Request& request) const;
  /// Whether another attempt could follow, should the one in flight end without an answer.
  bool canRetryAfterAttempt(const Request& request) const;
  /// Whether the request may be rejected, which lets its client retry; else it has to be failed.
  bool canReject(const Request& request) const;

 private:
  const DecisionContext& context_;
};

}  // namespace gannetcourse::policy
