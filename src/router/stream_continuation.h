// Buffers the text of running streams, migrates streams and continues lost streams at another engine. The
// recovery module decides whether and when a stream is migrated or continued; this class carries the
// decisions out. A continuation is a new request to the policy, but part of the same request to the client.
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

/// Owns the recovery module. The other data of a stream is stored in its Request.
class StreamContinuation {
 public:
  StreamContinuation(CoreContext& context, RecordLog& log, RequestTable& requests, AttemptTracker& attempts,
                     RequestCompletion& completion, PolicyRunner& policy);

  /// Replaces the classes and the maximum number of attempts; running and lost streams are kept.
  void updateSettings(const Settings& settings);

  // ---- Running streams ----
  /// The first token of the call's attempt was received.
  void onStreamStarted(Request& request, Call& call);
  /// A token of the stream is being sent to the client. Buffers the token's text for a continuation. If the
  /// buffer's limits are exceeded, drops the stream's text; the stream then cannot be continued any more.
  void onToken(Request& request, const std::string& text);
  /// The client has stopped reading (`paused`) or reads again. The stream of a paused client does not count
  /// as silent.
  void onClientPaused(RequestKey request, bool paused);
  /// The engine has announced that it shuts down at `endsAt`. Absent: the engine has withdrawn the notice or
  /// was removed from the engine list.
  void onEngineShutdownNotice(EngineId engine, std::optional<Instant> endsAt);
  /// The engine has announced its shutdown without a time; its long streams are migrated.
  void onGoAway(EngineId engine);
  /// The prefill of a new request has started. Adds a share of the prompt's tokens to the budget for
  /// continuations.
  void onPrefillStarted(double promptTokens) { recovery_.onPrefillStarted(promptTokens); }

  // ---- Lost streams ----
  /// The stream's call has ended early. Continues the stream, now or later, or sends the final response.
  void onStreamLost(Request& request, AttemptEnded ended, const std::string& reason,
                    recovery::AttemptEnd attemptEnd);
  /// Cancels the stream's call, whose engine may still be sending the stream, and then does the same as
  /// onStreamLost().
  void cancelAndContinue(Request& request, Outcome outcome, const char* reason);
  /// Resumes a stream that broke off at another router, or in an earlier request of the client to this
  /// router.
  void resume(Request& request, ResumedStream stream);
  /// The engine has confirmed that this attempt has ended.
  void onAttemptFenced(RequestKey request, int attempt);

  // ---- Timer ----
  /// Asks the recovery module which streams need an action, and migrates, fences, continues or gives up these
  /// streams.
  void onTimer();
  void scheduleCheck();

  /// Drops the stream of a request that has ended.
  void forget(RequestKey request) { recovery_.forget(request); }

 private:
  recovery::LostStream lostStreamOf(const Request& request, recovery::AttemptEnd attemptEnd) const;
  void fenceLastAttempt(const Request& request);
  void endEarlierCall(ResumedStream& stream);
  void continueStream(Request& request);
  void migrateStreams();
  void processDueStreams();
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
