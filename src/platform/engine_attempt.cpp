#include "platform/engine_attempt.h"

#include <utility>

namespace gannetcourse::platform {
namespace {

// The protocol's limits: a client must not wait longer than kMaxWaitAfterEvent after the last event; each
// limit is extended by kLimitExtension.
const Duration kMaxWaitAfterEvent{5};
const Duration kLimitExtension{0.05};
const Duration kStallAllowance{0.15};  // longest stall of the machine between a timer and the close it causes
// A stream that receives no event for this long is treated as broken.
const Duration kEventGapLimit = kMaxWaitAfterEvent + kLimitExtension - kStallAllowance;
const Duration kStatusBodyTimeout{0.1};  // limit for the body if the status alone ends the attempt

}  // namespace

EngineAttempt::EngineAttempt(net::Loop& loop, http1::Client& client, Owner& owner, router::CallKey key,
                             EngineId engine, AttemptKind kind)
    : loop_(loop),
      client_(client),
      owner_(owner),
      key_(key),
      engine_(engine),
      response_(kind),
      inputCharge_(client.memory(), net::MemoryUse::kEngineInput),
      lastBytesAt_(loop.now()),
      lastEventAt_(loop.now()) {}

void EngineAttempt::cancel() {
  end();
  client_.cancel(call_);
}

void EngineAttempt::pause(bool paused) {
  if (paused == paused_) return;
  paused_ = paused;
  const Instant now = loop_.now();
  if (paused_) {
    pausedAt_ = now;
    loop_.cancelTimer(std::exchange(stallTimer_, 0));
  } else {
    lastEventAt_ += now - pausedAt_;
    if (nextEvent_ > 0) scheduleStallCheck();
  }
  client_.pauseReading(call_, paused);
}

// ---- Stalled streams ----

Duration EngineAttempt::timeSinceEvent(Instant now) const {
  const bool streaming = nextEvent_ > 0 && !paused_;
  return streaming ? now - lastEventAt_ : Duration(0);
}

void EngineAttempt::scheduleStallCheck() {
  if (stallTimer_ != 0 || paused_) return;
  stallTimer_ = loop_.runAt(lastEventAt_ + kEventGapLimit, [weak = weak_from_this()] {
    const std::shared_ptr<EngineAttempt> self = weak.lock();
    if (self) self->checkForStall();
  });
}

void EngineAttempt::checkForStall() {
  stallTimer_ = 0;
  const bool stalled = loop_.now() >= lastEventAt_ + kEventGapLimit;
  if (!stalled) return scheduleStallCheck();  // events have arrived since the timer was set
  abandonStalled();
}

void EngineAttempt::abandonStalled() {
  if (lastBytesAt_ > lastEventAt_) {
    abandon(Outcome::kError, "sends no more events");
  } else {
    abandon(Outcome::kReset, "silent");
  }
}

// ---- The response ----

void EngineAttempt::onHead(const http1::ResponseHead& head) {
  recordActivity();
  response_.onHead(head);
  if (response_.endedByStatus()) endAfterStatusBody();
}

void EngineAttempt::onBody(std::string_view bytes) {
  recordActivity();
  const std::shared_ptr<EngineAttempt> self = shared_from_this();  // onEvent() may cancel and release it
  if (ended_) return;
  const bool readable =
      response_.onBody(bytes, [this](std::string event) { deliverEvent(std::move(event)); });
  inputCharge_.set(response_.heldBytes());
  if (ended_) return;
  if (!readable) return abandon(Outcome::kError, "its events cannot be read");
  if (!client_.memory()->allowsEngineInput(inputCharge_.bytes()))
    abandon(Outcome::kError, "no memory for its event");
}

void EngineAttempt::onEnd(http1::CallResult result, const std::string& reason) {
  const std::shared_ptr<EngineAttempt> self = shared_from_this();
  if (ended_) return;
  const AttemptResult attemptResult = resultOfEnd(result, reason);
  if (!ended_) finish(attemptResult);
}

// A status that ends the attempt determines the result even if the body is incomplete.
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
  lastBytesAt_ = loop_.now();
  owner_.onEngineActivity(engine_);
}

void EngineAttempt::deliverEvent(std::string event) {
  if (ended_) return;
  if (!lastEventReceived_) lastEventAt_ = loop_.now();
  lastEventReceived_ = response_.streamIsComplete();
  scheduleStallCheck();
  owner_.onEvent(key_, nextEvent_++, std::move(event));
}

void EngineAttempt::abandon(Outcome outcome, const std::string& reason) {
  client_.cancel(call_);
  finish(response_.resultOf(outcome, reason, recovery::AttemptEnd::kAbandoned));
}

// Waits up to kStatusBodyTimeout for the rest of the body, because the connection can be reused only after
// the complete body was read. Then ends the attempt, unless the complete body has already ended it.
void EngineAttempt::endAfterStatusBody() {
  loop_.runAfter(kStatusBodyTimeout, [weak = weak_from_this()] {
    const std::shared_ptr<EngineAttempt> self = weak.lock();
    if (!self || self->ended_) return;
    self->client_.cancel(self->call_);
    self->finish(self->response_.resultOfStatus());
  });
}

void EngineAttempt::end() {
  ended_ = true;
  loop_.cancelTimer(std::exchange(stallTimer_, 0));
}

void EngineAttempt::finish(const AttemptResult& result) {
  end();
  owner_.onAttemptEnded(key_, result);
}

}  // namespace gannetcourse::platform
