// Streams from their first token on: what is buffered of them, when they are taken from their engine, and how
// a lost stream is continued at another engine. The recovery module decides whether and when; this carries it
// out. A continuation is a new request to the policy, within the same request of the client.
#pragma once

#include <optional>
#include <string>

#include "gannetcourse/recovery.h"
#include "gannetcourse/router.h"
#include "router/attempt_tracker.h"
#include "router/core_context.h"
#include "router/policy_runner.h"
#include "router/record_log.h"
#include "router/request_completion.h"
#include "router/request_table.h"

namespace gannetcourse::router {

/// Owns the recovery module; the state of a single stream is in its Request.
class StreamContinuation {
 public:
  StreamContinuation(CoreContext& context, RecordLog& log, RequestTable& requests, AttemptTracker& attempts,
                     RequestCompletion& completion, PolicyRunner& policy);

  /// Classes and attempts of new settings; running and lost streams stay.
  void updateSettings(const Settings& settings);

  // ---- Streams that run ----
  /// The call has brought the first token of its attempt.
  void onStreamStarted(Request& request, Call& call);
  /// A token of the stream goes to its client: its text is kept for a continuation, within bounds.
  void onToken(Request& request, const std::string& text);
  /// While its client takes nothing, silence of the stream means nothing.
  void onClientPaused(RequestKey request, bool paused);
  /// Absent `endsAt`: the engine stays after all, or is off the list.
  void onEngineShutdownNotice(EngineId engine, std::optional<Instant> endsAt);
  /// The engine says that it ends, not when: its long streams are migrated.
  void onGoAway(EngineId engine);
  /// The prefill of a new request has started: continuations earn their share of such tokens.
  void onPrefillStarted(double promptTokens) { recovery_.onPrefillStarted(promptTokens); }

  // ---- Streams that are lost ----
  /// The stream's call has ended early. Continues the stream, at once or later, or gives the final response.
  void onStreamLost(Request& request, AttemptEnded ended, const std::string& reason,
                    recovery::AttemptEnd attemptEnd);
  /// Cancels the stream's call, though its engine may still be sending, and continues as onStreamLost() does.
  void takeFromEngine(Request& request, Outcome outcome, const char* reason);
  /// Begins a request whose answer broke off with another router, or with another call to this one.
  void resume(Request& request, ResumedStream stream);
  /// The engine has confirmed the end of this attempt.
  void onAttemptFenced(RequestKey request, int attempt);

  // ---- Timer ----
  /// Migrates, continues and gives up the streams that the recovery module names.
  void onTimer();
  void scheduleCheck();

  /// The request is over.
  void forget(RequestKey request) { recovery_.forget(request); }

 private:
  recovery::LostStream lostStreamOf(const Request& request, recovery::AttemptEnd attemptEnd) const;
  void fenceLastAttempt(const Request& request);
  void adoptFromEarlierCall(ResumedStream& stream);
  void continueStream(Request& request);
  void migrateStreams();
  void serveWaitingStreams();
  Request* findOpen(RequestKey key);

  CoreContext& context_;
  RecordLog& log_;
  RequestTable& requests_;
  AttemptTracker& attempts_;
  RequestCompletion& completion_;
  PolicyRunner& policy_;
  recovery::Recovery recovery_;
  bool isCheckScheduled_ = false;
};

}  // namespace gannetcourse::router
