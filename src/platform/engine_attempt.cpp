#include "platform/engine_attempt.h"

#include <utility>

namespace gannetcourse::platform {
namespace {

// A stream without bytes for this long is broken, whatever became of its engine: its client must not wait
// longer than 5 s after the last event.
const Duration kSilenceLimit{4};
const Duration kEventTimeout{2};         // for an event, from its first byte to its last
const Duration kEndTimeout{2};           // for the end of a stream, after its last event
const Duration kStatusBodyTimeout{0.1};  // for the body of a status that ends its attempt

}  // namespace

EngineAttempt::EngineAttempt(net::Loop& loop, http1::Client& client, Owner& owner, router::CallKey key,
                             EngineId engine, AttemptKind kind)
    : loop_(loop),
      client_(client),
      owner_(owner),
      key_(key),
      engine_(engine),
      response_(kind),
      lastHeardAt_(loop.now()) {}

void EngineAttempt::cancel() {
  over_ = true;
  client_.cancel(call_);
}

void EngineAttempt::pause(bool paused) {
  paused_ = paused;
  lastHeardAt_ = loop_.now();
  response_.restartPartialEvent(lastHeardAt_);
  client_.pauseReading(call_, paused);
}

bool EngineAttempt::isStalled(Instant now) const {
  if (paused_ || !streamHasBegun()) return false;
  const Duration limit = response_.streamIsComplete() ? kEndTimeout : kSilenceLimit;
  return now - lastHeardAt_ > limit || eventIsOverdue(now);
}

bool EngineAttempt::eventIsOverdue(Instant now) const {
  const std::optional<Instant> since = response_.partialEventSince();
  return since && now - *since > kEventTimeout;
}

void EngineAttempt::endStalled(Instant now) {
  if (eventIsOverdue(now)) {
    giveUp(Outcome::kError, "an event does not end");
  } else {
    giveUp(Outcome::kReset, "silent");
  }
}

void EngineAttempt::onHead(const http1::ResponseHead& head) {
  recordActivity();
  response_.onHead(head);
  if (response_.endedByStatus()) endWithoutBody();
}

void EngineAttempt::onBody(std::string_view bytes) {
  recordActivity();
  const std::shared_ptr<EngineAttempt> self = shared_from_this();  // an event may lead to its cancellation
  if (over_) return;
  const bool readable =
      response_.onBody(bytes, lastHeardAt_, [this](std::string event) { deliverEvent(std::move(event)); });
  if (!readable && !over_) giveUp(Outcome::kError, "its events cannot be read");
}

void EngineAttempt::onEnd(http1::CallResult result, const std::string& reason) {
  const std::shared_ptr<EngineAttempt> self = shared_from_this();
  if (over_) return;
  const AttemptResult attemptResult = resultOfEnd(result, reason);
  if (!over_) finish(attemptResult);
}

// A status that ends the attempt counts even if its body did not come in full.
AttemptResult EngineAttempt::resultOfEnd(http1::CallResult result, const std::string& reason) {
  if (result != http1::CallResult::kComplete && !response_.endedByStatus()) {
    const auto end = result == http1::CallResult::kMalformed ? recovery::AttemptEnd::kAbandoned
                                                             : recovery::AttemptEnd::kConfirmed;
    return response_.resultOf(outcomeOf(result), reason, end);
  }
  if (!response_.isStream()) return response_.resultOfStatus();
  return response_.finishStream([this](std::string event) { deliverEvent(std::move(event)); });
}

void EngineAttempt::recordActivity() {
  lastHeardAt_ = loop_.now();
  owner_.onEngineActivity(engine_);
}

void EngineAttempt::deliverEvent(std::string event) {
  if (!over_) owner_.onEvent(key_, nextEvent_++, std::move(event));
}

void EngineAttempt::giveUp(Outcome outcome, const std::string& reason) {
  client_.cancel(call_);
  finish(response_.resultOf(outcome, reason, recovery::AttemptEnd::kAbandoned));
}

// Waits a moment for the body, so that the connection can be used again.
void EngineAttempt::endWithoutBody() {
  loop_.runAfter(kStatusBodyTimeout, [weak = weak_from_this()] {
    const std::shared_ptr<EngineAttempt> self = weak.lock();
    if (!self || self->over_) return;
    self->client_.cancel(self->call_);
    self->finish(self->response_.resultOfStatus());
  });
}

void EngineAttempt::finish(const AttemptResult& result) {
  over_ = true;
  owner_.onAttemptEnded(key_, result);
}

}  // namespace gannetcourse::platform
