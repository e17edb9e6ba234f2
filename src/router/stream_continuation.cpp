#include "router/stream_continuation.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

#include "router/settings_compatibility.h"

namespace gannetcourse::router {
namespace {

constexpr std::size_t kInitialTextCapacity = 240;  // bytes reserved for the buffered text of a stream
const Duration kMinCheckDelay{0.001};

std::uint32_t outputTokensLeft(const Request& request, std::uint32_t tokensSent) {
  const std::uint32_t limit = request.payload->maxOutputTokens;
  return limit > tokensSent ? limit - tokensSent : 0;
}

// The original payload with the answer so far appended to its prompt.
std::shared_ptr<const RequestPayload> continuationPayload(const Request& request) {
  auto payload = std::make_shared<RequestPayload>(*request.arrival.payload);
  payload->prompt += request.generatedText;
  payload->promptTokens += request.nextTokenIndex;
  payload->firstTokenIndex = request.nextTokenIndex;
  return payload;
}

}  // namespace

StreamContinuation::StreamContinuation(CoreContext& context, RecordLog& log, RequestTable& requests,
                                       AttemptTracker& attempts, RequestCompletion& completion,
                                       PolicyRunner& policy)
    : context_(context),
      log_(log),
      requests_(requests),
      attempts_(attempts),
      completion_(completion),
      policy_(policy),
      recovery_(recoveryLimits(context.settings, context.options.recovery)) {}

void StreamContinuation::updateSettings(const Settings& settings) {
  recovery::Limits limits = recoveryLimits(settings, {});
  recovery_.updateClasses(std::move(limits.idempotency), std::move(limits.priorityWeights),
                          limits.maxAttempts);
}

Request* StreamContinuation::findOpen(RequestKey key) {
  Request* const request = requests_.find(key);
  return request == nullptr || request->isCompleted ? nullptr : request;
}

// ---- Running streams ----

void StreamContinuation::onStreamStarted(Request& request, Call& call) {
  attempts_.cancelTimeout(call);
  if (request.arrival.deadlineEndsAtFirstToken) context_.timers.cancel(request.timeout);
  if (recovery_.isResumable(request.arrival.classIndex)) {
    request.generatedText.reserve(kInitialTextCapacity);
    context_.emit(ResumePoint{request.key, request.id, call.attempt, call.engine});
  } else {
    request.isTextBuffered = false;
  }
  const std::uint32_t earlierTokens = request.nextTokenIndex - 1;
  recovery::Stream stream;
  stream.classIndex = request.arrival.classIndex;
  stream.engine = call.engine;
  stream.promptTokens = static_cast<double>(request.arrival.payload->promptTokens + earlierTokens);
  stream.remainingTokens = static_cast<double>(outputTokensLeft(request, earlierTokens));
  stream.deadline = context_.responseDeadline(request);
  stream.continuations = request.continuations;
  stream.attempts = request.attemptCount;
  recovery_.onStreamStarted(context_.now, request.key, stream);
}

void StreamContinuation::onToken(Request& request, const std::string& text) {
  const bool isWithinLimits = recovery_.onToken(context_.now, request.key, text.size());
  if (!request.isTextBuffered) return;
  if (isWithinLimits) {
    request.generatedText += text;
    return;
  }
  request.isTextBuffered = false;
  request.generatedText = {};
  log_.request(request, RecordKind::kNotResumable, "its text exceeds the buffer's limit");
}

void StreamContinuation::onClientPaused(RequestKey request, bool paused) {
  recovery_.onClientPaused(context_.now, request, paused);
}

void StreamContinuation::onEngineShutdownNotice(EngineId engine, std::optional<Instant> endsAt) {
  recovery_.onEngineShutdownNotice(engine, endsAt);
}

void StreamContinuation::onGoAway(EngineId engine) { recovery_.onGoAway(context_.now, engine); }

// ---- Lost streams ----

recovery::LostStream StreamContinuation::lostStreamOf(const Request& request,
                                                      recovery::AttemptEnd attemptEnd) const {
  recovery::LostStream stream;
  stream.stream = request.key;
  stream.classIndex = request.arrival.classIndex;
  stream.tokensToPrefill =
      static_cast<double>(request.arrival.payload->promptTokens + request.nextTokenIndex);
  stream.timeUntilDeadline = context_.timeUntilResponse(request);
  stream.continuations = request.continuations;
  stream.attempts = request.attemptCount;
  stream.attemptEnd = attemptEnd;
  return stream;
}

// The event always tells the policy that its request has finished: a continuation is a new request to the
// policy.
void StreamContinuation::onStreamLost(Request& request, AttemptEnded ended, const std::string& reason,
                                      recovery::AttemptEnd attemptEnd) {
  ended.requestFinished = true;
  request.isStreaming = false;
  const recovery::Decision decision = recovery_.onStreamLost(context_.now, lostStreamOf(request, attemptEnd));
  if (decision.disposition == recovery::Disposition::kGiveUp) {
    completion_.respond(request, FinalStatus::kFailed, "stream broke: " + reason + "; " + decision.reason);
    policy_.feed(ended);
    return;
  }
  policy_.feed(ended);
  requests_.clearPolicyId(request);
  request.awaitsContinuation = true;
  request.lostStreamEngine = ended.engine;
  log_.attempt(request, RecordKind::kStreamLost, ended.engine, ended.attempt + request.firstAttempt,
               reason + "; " + decision.reason);
  if (decision.disposition == recovery::Disposition::kContinue) continueStream(request);
  if (decision.disposition == recovery::Disposition::kFenceFirst) fenceLastAttempt(request);
}

void StreamContinuation::fenceLastAttempt(const Request& request) {
  context_.emit(FenceAttempt{request.key, request.id, request.nextAttempt - 1, request.lostStreamEngine});
}

void StreamContinuation::cancelAndContinue(Request& request, Outcome outcome, const char* reason) {
  const std::optional<AttemptEnded> ended = attempts_.cancel(request, outcome, reason);
  if (ended) onStreamLost(request, *ended, reason, recovery::AttemptEnd::kAbandoned);
}

void StreamContinuation::onAttemptFenced(RequestKey key, int attempt) {
  Request* const request = requests_.find(key);
  if (request == nullptr || !request->awaitsContinuation || request->nextAttempt - 1 != attempt) return;
  log_.attempt(*request, RecordKind::kAttemptFenced, std::nullopt, attempt);
  if (recovery_.onAttemptFenced(context_.now, key) == recovery::Disposition::kContinue)
    continueStream(*request);
}

// The recovery module treats a resumed stream like a stream whose call was cancelled, because the engine may
// still be sending the stream in both cases.
void StreamContinuation::resume(Request& request, ResumedStream stream) {
  ++context_.counters.resumed;
  endEarlierCall(stream);
  request.id = stream.id;
  requests_.replaceById(request);
  request.nextAttempt = stream.attempt + 1;
  request.firstAttempt = request.nextAttempt;
  request.nextTokenIndex = stream.nextTokenIndex;
  request.generatedText = std::move(stream.generatedText);
  request.lostStreamEngine = stream.engine;
  requests_.clearPolicyId(request);

  recovery::LostStream lost = lostStreamOf(request, recovery::AttemptEnd::kAbandoned);
  recovery::Stream started;
  started.classIndex = lost.classIndex;
  started.engine = stream.engine;
  started.promptTokens = lost.tokensToPrefill;
  started.deadline = context_.responseDeadline(request);
  lost.timeUntilDeadline = started.deadline - context_.now;
  recovery_.onStreamStarted(context_.now, request.key, started);
  recovery_.onToken(context_.now, request.key, request.generatedText.size());
  const recovery::Decision decision = recovery_.onStreamLost(context_.now, lost);
  if (decision.disposition == recovery::Disposition::kGiveUp)
    return completion_.respond(request, FinalStatus::kFailed, "cannot be resumed: " + decision.reason);
  request.awaitsContinuation = true;
  log_.attempt(request, RecordKind::kStreamResumed, stream.engine, stream.attempt,
               "as " + request.name + "; " + decision.reason);
  fenceLastAttempt(request);
}

// If this router still has the earlier request of the resumed stream, ends that request: the client has
// replaced it by the new request. Copies the earlier request's newest attempt and engine to `stream`, because
// the client's resume token may be older.
void StreamContinuation::endEarlierCall(ResumedStream& stream) {
  Request* const earlier = requests_.findById(stream.id);
  if (earlier == nullptr) return;
  stream.attempt = std::max(stream.attempt, earlier->nextAttempt - 1);
  const Call* const call = attempts_.find(earlier->callInFlight);
  if (call != nullptr) stream.engine = call->engine;
  if (earlier->awaitsContinuation) stream.engine = earlier->lostStreamEngine;
  if (earlier->isCompleted) return;
  completion_.abort(*earlier, FinalStatus::kFailed, Outcome::kCancelled, "resumed by another call");
}

void StreamContinuation::continueStream(Request& request) {
  ++request.continuations;
  ++context_.counters.continued;
  request.awaitsContinuation = false;
  request.firstAttempt = request.nextAttempt;
  request.payload = continuationPayload(request);
  requests_.setPolicyId(request, request.name + "+" + std::to_string(request.continuations));
  log_.request(request, RecordKind::kStreamContinued, "from token " + std::to_string(request.nextTokenIndex));
  policy_.feed(requestArrivedEvent(request, context_.timeUntilResponse(request)));
}

// ---- Timer ----

void StreamContinuation::onTimer() {
  isCheckScheduled_ = false;
  migrateStreams();
  processDueStreams();
}

void StreamContinuation::migrateStreams() {
  for (const recovery::Recovery::Migration& migration : recovery_.streamsToMigrate(context_.now)) {
    Request* const request = findOpen(migration.stream);
    if (request != nullptr && request->isStreaming)
      cancelAndContinue(*request, Outcome::kTimeout, migration.reason);
  }
}

void StreamContinuation::processDueStreams() {
  const recovery::Recovery::DueStreams due = recovery_.takeDueStreams(context_.now);
  for (const RequestKey key : due.toFence) {
    const Request* const request = findOpen(key);
    if (request != nullptr) fenceLastAttempt(*request);
  }
  for (const RequestKey key : due.toContinue) {
    Request* const request = findOpen(key);
    if (request != nullptr) continueStream(*request);
  }
  for (const RequestKey key : due.toGiveUp) {
    Request* const request = findOpen(key);
    if (request != nullptr)
      completion_.respond(*request, FinalStatus::kFailed, "stream broke; no turn for its continuation");
  }
}

void StreamContinuation::scheduleCheck() {
  const std::optional<Instant> next = recovery_.nextCheck();
  if (!next || isCheckScheduled_) return;
  isCheckScheduled_ = true;
  context_.timers.schedule(std::max(*next, context_.now + kMinCheckDelay),
                           Timer{TimerKind::kStreamCheck, 0, {}});
}

}  // namespace gannetcourse::router
