#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

#include "gannetcourse/recovery.h"
#include "gannetcourse/router.h"
#include "router/engine_roles.h"
#include "router/late_states.h"
#include "router/places.h"
#include "router/record_text.h"
#include "router/request.h"
#include "router/rule_guard.h"

namespace gannetcourse::router {
namespace {

// Where the client's time is up and the policy has not answered, the core does, this share of the margin
// earlier.
constexpr double kBackstopShare = 0.5;
constexpr std::size_t kUsualText = 240;  // bytes of an answer that are made room for at once

}  // namespace

class Core::Impl {
 public:
  Impl(const Settings& settings, Options options)
      : policy_(settings),
        guard_(settings),
        recovery_(limitsOf(settings, options.recovery)),
        lateStates_(settings.stateLeaseLimit),
        settings_(settings),
        options_(std::move(options)) {}

  void reconfigure(const Settings& settings) {
    checkPlaces(settings_, settings);
    const recovery::Limits limits = limitsOf(settings, {});
    recovery_.updateClasses(limits.idempotency, limits.priorityWeights, limits.maxAttempts);
    settings_ = settings;
    guard_.takeSettings(settings);
    lateStates_.takeLimit(settings.stateLeaseLimit);
    out_.emplace_back(Record{now_, {}, RecordKind::kReconfigured, {}, -1, {}});
    feed(SettingsChanged{settings});
  }

  // ---- From the clients' side ----
  void arrived(NewRequest a) {
    ++counts_.accepted;
    Request& r = requests_[a.key];
    r.key = a.key;
    r.name = r.id = r.policyId = options_.nodeName + "-" + std::to_string(++lastName_);
    r.work = a.payload;
    r.end = now_ + a.timeUntilDeadline;
    if (!a.id.empty()) r.id = a.id;
    r.asked = std::move(a);
    names_.emplace(r.policyId, r.key);
    guard_.taken(r.key, r.asked.classIndex);
    if (options_.recordsEnabled)
      record(r, RecordKind::kRequestAccepted, {}, -1,
             describeRequest(settings_.classes.at(r.asked.classIndex), *r.work));
    if (draining_) return answer(r, FinalStatus::kRejected, Duration(0), "node is draining");
    r.timer =
        timers_.emplace(r.end - options_.responseMargin * kBackstopShare, Timer{Due::kRequest, r.key, {}});
    if (r.asked.resumedStream) return resume(r, *r.asked.resumedStream);
    ids_.emplace(r.id, r.key);
    tellPolicy(r);
  }

  void clientGone(RequestKey key) {
    const auto it = requests_.find(key);
    if (it == requests_.end() || it->second.answered) return;
    Request& r = it->second;
    ++counts_.clientsDisconnected;
    r.answered = true;
    touch(r);
    record(r, RecordKind::kClientDisconnected);
    const RequestId id{r.policyId};
    const std::optional<AttemptEnded> ended = endCall(r, Outcome::kCancelled, "client gone");
    if (ended) feed(*ended);
    feed(ClientDisconnected{id});
  }

  // ---- From the engines' side ----
  void readEnded(CallKey key, std::string state, double kept, const std::optional<LoadReport>& load) {
    const auto it = calls_.find(key);
    if (it == calls_.end() || !it->second.reads) return;
    const Call call = it->second;
    Request& r = *call.owner;
    lateStates_.answered(call.engine, call.sentAt);
    r.stateAt = call.engine;
    r.state = std::move(state);
    r.stateAttempt = call.attempt;
    guard_.stateHeld(now_, r.key);
    if (options_.recordsEnabled)
      record(r, RecordKind::kPrefillCompleted, call.engine, call.attempt, describeCachedTokens(kept));
    callEnded(key, Outcome::kPrefilled, kept, load, {}, recovery::AttemptEnd::kConfirmed);
  }

  void token(CallKey key, std::uint32_t index, std::string text) {
    const auto it = calls_.find(key);
    if (it == calls_.end()) ++counts_.droppedTokens;
    if (it == calls_.end() || it->second.reads) return;
    Call& call = it->second;
    Request& r = *call.owner;
    if (r.answered) return;
    if (index < r.nextIndex) {
      ++counts_.droppedTokens;
      return;
    }
    if (index > r.nextIndex) return takeAway(r, Outcome::kError, "token out of order");
    ++r.nextIndex;
    ++counts_.tokens;
    const bool first = !std::exchange(r.started, true);
    if (first) {
      lateStates_.started(r.id, call.engine, call.sentAt);
      guard_.stateTaken(r.key);
      r.stateAt.reset();  // the writer has it
      r.seatAt.reset();
      record(r, RecordKind::kStreamStarted, call.engine, call.attempt);
    }
    if (first) streamStarted(r, call);
    keepText(r, text);
    out_.emplace_back(SendToken{r.key, index, std::move(text)});
    if (first)
      feed(StreamStarted{RequestId{r.policyId}, call.attempt - r.firstNumber, call.engine,
                         now_ - call.sentAt});
  }

  void callEnded(CallKey key, Outcome outcome, double kept, const std::optional<LoadReport>& load,
                 const std::string& why, recovery::AttemptEnd ending) {
    const auto it = calls_.find(key);
    if (it == calls_.end()) return;
    const Call call = dropCall(it, outcome);
    Request& r = *call.owner;
    // A writer may only not have reached the reader, so that the state is let go of at the end all the same.
    if (outcome == Outcome::kStateLost) guard_.stateTaken(r.key);
    if (call.reads) lateStates_.readEnded(now_, {r.id, call.attempt, call.engine}, outcome, ending);
    AttemptEnded ended = endOf(r, call, outcome, now_);
    ended.cachedTokens = kept;
    ended.load = load;
    if (!r.answered && outcome == Outcome::kOk) {
      record(r, RecordKind::kStreamCompleted, call.engine, call.attempt, why);
      answer(r, FinalStatus::kServed, Duration(0), {});
    } else if (!r.answered && r.started) {
      return streamLost(r, ended, why, ending);
    } else if (outcome != Outcome::kOk && outcome != Outcome::kPrefilled) {
      record(r, RecordKind::kAttemptFailed, call.engine, call.attempt, why);
    }
    ended.requestFinished = r.answered;
    feed(ended);
  }

  void fenced(RequestKey key, int attempt) {
    const auto it = requests_.find(key);
    if (it == requests_.end() || !it->second.waits || it->second.number - 1 != attempt) return;
    record(it->second, RecordKind::kAttemptFenced, {}, attempt);
    if (recovery_.onAttemptFenced(now_, key) == recovery::Disposition::kContinue) goOn(it->second);
  }

  void leaving(EngineId engine, std::optional<Instant> by) { recovery_.onEngineShutdownNotice(engine, by); }
  void goesAway(EngineId engine) { recovery_.onGoAway(now_, engine); }

  void paused(RequestKey key, bool paused) { recovery_.onClientPaused(now_, key, paused); }

  void seatAnswered(RequestKey key, EngineId engine, bool held) {
    const auto it = requests_.find(key);
    if (it == requests_.end()) return;
    if (!held && it->second.seatAt == engine) it->second.seatAt.reset();
    feed(ReservationResult{RequestId{it->second.policyId}, engine, held});
  }

  void drain() {
    if (!std::exchange(draining_, true))
      out_.emplace_back(Record{now_, {}, RecordKind::kDraining, {}, -1, {}});
  }

  void advance() {
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      const Timer timer = std::move(timers_.extract(timers_.begin()).mapped());
      if (timer.due == Due::kPolicy) {
        feed(TimerFired{timer.token});
      } else if (timer.due == Due::kLook) {
        lookDue_ = false;
        lookAtStreams();
      } else if (timer.due == Due::kLateStates) {
        lateStatesDue_.reset();  // settle() looks at them
      } else if (timer.due == Due::kAttempt) {
        attemptTimedOut(timer.key);
      } else {
        requestTimedOut(timer.key);
      }
    }
  }

  void takeList(const EngineListUpdate& list) {
    guard_.takeList(list);
    for (const EngineId removed : roles_.take(list)) recovery_.onEngineShutdownNotice(removed, {});
  }

  // Feeds an event and all that follows from it.
  void feed(Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(feeding_, true)) return;
    while (!events_.empty()) {
      const Event next = std::move(events_.front());
      events_.pop_front();
      std::vector<Action> actions;
      policy_.handle(now_, next, actions);
      for (Action& action : actions) std::visit([this](auto& a) { act(a); }, action);
    }
    feeding_ = false;
  }

  // Forgets requests that are answered and of which nothing is out.
  void settle() {
    for (const RequestKey key : std::exchange(touched_, {})) {
      const auto it = requests_.find(key);
      if (it == requests_.end() || !it->second.answered || it->second.out != 0) continue;
      letGoState(it->second);  // the policy has released it where it knew of it
      letGoSeat(it->second);
      recovery_.forget(key);
      guard_.forget(key);
      names_.erase(it->second.policyId);
      const auto id = ids_.find(it->second.id);
      if (id != ids_.end() && id->second == key) ids_.erase(id);
      stop(it->second.timer);
      requests_.erase(it);
    }
    const std::optional<Instant> look = recovery_.nextCheck();
    if (look && !std::exchange(lookDue_, true))
      timers_.emplace(std::max(*look, now_ + Duration(0.001)), Timer{Due::kLook, 0, {}});
    settleLateStates();
  }

  Instant now_{};
  EngineRoles roles_;
  std::unordered_map<CallKey, Call> calls_;
  Timers timers_;
  std::vector<Command> out_;
  std::unordered_map<RequestKey, Request> requests_;
  Counters counts_;
  bool draining_ = false;

  const ViolationCounts& violations() const { return guard_.violations(); }
  std::size_t open() const {
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(), [](const auto& e) { return !e.second.answered; }));
  }

 private:
  // ---- The policy's actions ----
  void act(StartAttempt& a) {
    Request* r = named(a.id);
    const int attempt = r == nullptr ? 0 : r->number - r->firstNumber;
    const std::optional<Role> role = roles_.of(a.engine);
    const auto rule = r == nullptr ? std::nullopt : guard_.checkSend(now_, r->key, a.engine);
    if (rule) recordViolation(*r, rule, a.engine, attempt);
    if (r == nullptr || rule || r->answered || r->attempts >= settings_.maxAttempts || now_ >= r->end ||
        !role) {
      ++counts_.actionsBlocked;
      events_.emplace_back(AttemptEnded{
          a.id, attempt, a.engine, Outcome::kNotSent, r == nullptr || r->answered, 0, Duration(0), {}});
      return;
    }
    const bool reads = *role == Role::kPrefill;
    ++r->attempts;
    ++counts_.attempts;
    const CallKey key = r->out = ++lastCall_;
    const int number = r->number++;  // over all continuations: engines know the newest by it
    if (reads && r->moves == 0) recovery_.onPrefillStarted(r->work->promptTokens);
    const Duration left = r->end - now_ - options_.responseMargin;
    const Duration timeout = a.timeout.count() > 0 ? std::min(a.timeout, left) : left;
    const TimerAt timer = timers_.emplace(now_ + timeout, Timer{Due::kAttempt, key, {}});
    calls_.emplace(key, Call{r, number, a.engine, reads, now_, timer});
    guard_.sent(now_, r->key, a.engine, reads);
    if (reads) {
      out_.emplace_back(StartPrefill{key, r->key, r->id, number, a.engine, left, timeout, r->work});
    } else {
      if (r->seatAt && *r->seatAt != a.engine) letGoSeat(*r);
      out_.emplace_back(StartDecode{key, r->key, r->id, number, a.engine, r->stateAt,
                                    r->stateAt ? r->state : "", left, timeout, r->work});
    }
    if (options_.recordsEnabled)
      record(*r, reads ? RecordKind::kPrefillStarted : RecordKind::kDecodeStarted, a.engine, number,
             reads ? describePrefillExpectation(a) : describeDecodeExpectation(a));
  }

  void act(Reserve& a) {
    Request* r = named(a.id);
    if (r == nullptr || r->answered) return;
    if (r->seatAt) letGoSeat(*r);
    r->seatAt = a.engine;
    out_.emplace_back(ReserveCapacity{r->key, r->id, r->number, a.engine, r->work->promptTokens});
    record(*r, RecordKind::kCapacityRequested, a.engine);
  }

  void act(Release& a) {
    Request* r = named(a.id);
    if (r == nullptr || r->started) return;
    // A writer that the write has reached keeps its state: it is let go of once more when the write ends.
    if (r->out != 0 && r->stateAt) return releaseState(*r, "its write has not been answered");
    if (r->out != 0) return;
    letGoState(*r);
    letGoSeat(*r);
    touch(*r);
  }

  void act(RejectRequest& a) {
    Request* r = named(a.id);
    if (r == nullptr || r->answered) return;
    // Part of its answer has been sent: that is no refusal any more.
    if (r->moves > 0)
      return answer(*r, FinalStatus::kFailed, Duration(0), "no engine for its continuation in time");
    if (const auto rule = guard_.checkRefusal(r->key)) {
      recordViolation(*r, rule);
      return answer(*r, FinalStatus::kFailed, Duration(0), "failed");
    }
    answer(*r, FinalStatus::kRejected, a.retryAfter, "refused; safe to try again");
  }

  void act(FailRequest& a) {
    Request* r = named(a.id);
    if (r != nullptr && !r->answered)
      answer(*r, FinalStatus::kFailed, Duration(0), r->moves > 0 ? "its continuation failed" : "failed");
  }

  void act(CancelAttempt& a) {
    Request* r = named(a.id);
    const auto it = r == nullptr ? calls_.end() : calls_.find(r->out);
    if (it == calls_.end() || it->second.attempt - r->firstNumber != a.attempt || r->started) return;
    const auto ended = endCall(*r, Outcome::kCancelled, "cancelled by the policy");
    if (ended) events_.emplace_back(*ended);
  }

  void act(Probe& a) { out_.emplace_back(ProbeEngine{a.engine}); }
  void act(SubscribeToEngineList&) { out_.emplace_back(Subscribe{}); }
  void act(FetchEngineList&) { out_.emplace_back(Fetch{}); }
  void act(SetTimer& a) { timers_.emplace(a.at, Timer{Due::kPolicy, 0, a.timer.value}); }
  void act(Log& a) { out_.emplace_back(Record{now_, {}, RecordKind::kPolicyNote, {}, -1, a.text}); }

  // ---- Continuations ----
  void tellPolicy(const Request& r) {
    const Duration whole = r.end - now_ - options_.responseMargin;
    const Duration first = r.asked.firstTokenTimeout;
    RequestArrived event;
    event.id = RequestId{r.policyId};
    event.classIndex = r.asked.classIndex;
    event.tenant = r.asked.tenant;
    event.isRetry = r.asked.isRetry && r.moves == 0;  // the rest of an answer is no further try
    event.timeUntilDeadline = first.count() > 0 ? std::min(whole, first) : whole;
    event.sessionKey = r.asked.sessionKey;
    event.prefixKey = r.asked.prefixKey;
    event.prefixTokens = r.work->prefixTokens;
    event.promptTokens = r.work->promptTokens;
    event.maxOutputTokens = r.work->maxOutputTokens;
    event.expectedOutputDuration = r.asked.expectedOutputDuration;
    feed(std::move(event));
  }

  void streamStarted(Request& r, Call& call) {
    stop(call.timer);  // the stream belongs to the client now
    if (r.asked.deadlineEndsAtFirstToken) stop(r.timer);
    const EngineId engine = call.engine;
    if (recovery_.isResumable(r.asked.classIndex)) {
      r.sent.reserve(kUsualText);
      out_.emplace_back(ResumePoint{r.key, r.id, call.attempt, engine});
    } else {
      r.keepsText = false;
    }
    const std::uint32_t most = r.work->maxOutputTokens, sent = r.nextIndex - 1;
    recovery_.onStreamStarted(
        now_, r.key,
        {r.asked.classIndex, engine, static_cast<double>(r.asked.payload->promptTokens + sent),
         static_cast<double>(most > sent ? most - sent : 0), r.end - options_.responseMargin, r.moves,
         r.attempts});
  }

  void keepText(Request& r, const std::string& text) {
    const bool kept = recovery_.onToken(now_, r.key, text.size());
    if (kept && r.keepsText) {
      r.sent += text;
    } else if (std::exchange(r.keepsText, false)) {
      r.sent = {};
      record(r, RecordKind::kNotResumable, {}, -1, "its text is over the budget");
    }
  }

  // A stream ended before its answer was whole. For the policy that request is over; whether the answer goes
  // on is the recovery module's decision, and a continuation is a new request to the policy.
  void streamLost(Request& r, AttemptEnded ended, const std::string& why, recovery::AttemptEnd ending) {
    ended.requestFinished = true;
    r.started = false;
    const recovery::Decision decision = recovery_.onStreamLost(
        now_, {r.key, r.asked.classIndex, static_cast<double>(r.asked.payload->promptTokens + r.nextIndex),
               r.end - now_ - options_.responseMargin, r.moves, r.attempts, ending});
    const bool over = decision.disposition == recovery::Disposition::kGiveUp;
    if (over) answer(r, FinalStatus::kFailed, Duration(0), "stream broke: " + why + "; " + decision.reason);
    feed(ended);
    if (over) return;
    names_.erase(r.policyId);
    r.waits = true;
    r.lastEngine = ended.engine;
    record(r, RecordKind::kStreamLost, ended.engine, ended.attempt + r.firstNumber,
           why + "; " + decision.reason);
    if (decision.disposition == recovery::Disposition::kContinue) goOn(r);
    if (decision.disposition == recovery::Disposition::kFenceFirst) askToFence(r);
  }

  void askToFence(const Request& r) {
    out_.emplace_back(FenceAttempt{r.key, r.id, r.number - 1, r.lastEngine});
  }

  // Takes a stream from a writer that may still be at it.
  void takeAway(Request& r, Outcome outcome, const char* why) {
    const auto ended = endCall(r, outcome, why);
    if (ended) streamLost(r, *ended, why, recovery::AttemptEnd::kAbandoned);
  }

  // The rest of an answer that broke off with another node, or another call: as a stream that was taken away
  // from a writer that may still be at it.
  void resume(Request& r, ResumedStream& from) {
    ++counts_.resumed;
    takeOver(from);
    r.id = from.id;
    ids_[r.id] = r.key;
    r.number = r.firstNumber = from.attempt + 1;
    r.nextIndex = from.nextTokenIndex;
    r.sent = std::move(from.generatedText);
    r.lastEngine = from.engine;
    names_.erase(r.policyId);
    const auto tokens = static_cast<double>(r.work->promptTokens + from.nextTokenIndex);
    const Instant end = r.end - options_.responseMargin;
    recovery_.onStreamStarted(now_, r.key, {r.asked.classIndex, from.engine, tokens, 0, end, 0, 0});
    recovery_.onToken(now_, r.key, r.sent.size());
    const recovery::Decision decision = recovery_.onStreamLost(
        now_, {r.key, r.asked.classIndex, tokens, end - now_, 0, 0, recovery::AttemptEnd::kAbandoned});
    if (decision.disposition == recovery::Disposition::kGiveUp)
      return answer(r, FinalStatus::kFailed, Duration(0), "cannot be resumed: " + decision.reason);
    r.waits = true;
    record(r, RecordKind::kStreamResumed, from.engine, from.attempt, "as " + r.name + "; " + decision.reason);
    askToFence(r);
  }

  // Where this node itself still has the answer under way, its client has left that call for this one.
  void takeOver(ResumedStream& from) {
    const auto it = ids_.find(from.id);
    if (it == ids_.end()) return;
    Request& old = requests_.at(it->second);
    const auto call = calls_.find(old.out);
    from.attempt = std::max(from.attempt, old.number - 1);
    if (call != calls_.end()) from.engine = call->second.engine;
    if (old.waits) from.engine = old.lastEngine;
    if (old.answered) return;
    giveUp(old, FinalStatus::kFailed, Outcome::kCancelled, "resumed by another call");
  }

  void goOn(Request& r) {
    ++r.moves;
    ++counts_.continued;
    r.waits = false;
    r.firstNumber = r.number;
    r.policyId = r.name + "+" + std::to_string(r.moves);
    names_.emplace(r.policyId, r.key);
    auto work = std::make_shared<RequestPayload>(*r.asked.payload);
    work->prompt += r.sent;
    work->promptTokens += r.nextIndex;
    work->firstTokenIndex = r.nextIndex;
    r.work = std::move(work);
    record(r, RecordKind::kStreamContinued, {}, -1, "from token " + std::to_string(r.nextIndex));
    tellPolicy(r);
  }

  void lookAtStreams() {
    for (const recovery::Recovery::Migration& move : recovery_.streamsToMigrate(now_)) {
      const auto it = requests_.find(move.stream);
      if (it == requests_.end() || it->second.answered || !it->second.started) continue;
      takeAway(it->second, Outcome::kTimeout, move.reason);
    }
    takeTurns();
  }

  void takeTurns() {
    const recovery::Recovery::DueStreams turns = recovery_.takeDueStreams(now_);
    for (const RequestKey key : turns.toFence) {
      const auto it = requests_.find(key);
      if (it != requests_.end() && !it->second.answered) askToFence(it->second);
    }
    for (const RequestKey key : turns.toContinue) {
      const auto it = requests_.find(key);
      if (it != requests_.end() && !it->second.answered) goOn(it->second);
    }
    for (const RequestKey key : turns.toGiveUp) {
      const auto it = requests_.find(key);
      if (it == requests_.end() || it->second.answered) continue;
      answer(it->second, FinalStatus::kFailed, Duration(0), "stream broke; no turn for its continuation");
    }
  }

  // ---- Ends ----
  void attemptTimedOut(CallKey key) {
    const auto it = calls_.find(key);
    if (it == calls_.end()) return;
    it->second.timer.reset();
    Request& r = *it->second.owner;
    const auto ended = endCall(r, Outcome::kTimeout, "timed out");
    if (ended) feed(*ended);
  }

  // The last resort; a policy that keeps rule 1 leaves it only streams.
  void requestTimedOut(RequestKey key) {
    const auto it = requests_.find(key);
    if (it == requests_.end()) return;
    Request& r = it->second;
    r.timer.reset();
    if (r.answered) return;
    if (!r.started && !r.waits) ++counts_.actionsBlocked;
    if (r.started) return endStream(r);
    // What was never sent on is refused, not failed: trying again is harmless.
    giveUp(r, r.attempts == 0 ? FinalStatus::kRejected : FinalStatus::kDeadlineExceeded, Outcome::kTimeout,
           "time is up");
  }

  // Answers it, whatever the policy meant to do with it.
  void giveUp(Request& r, FinalStatus verdict, Outcome outcome, const char* why) {
    const RequestId id{r.policyId};
    answer(r, verdict, Duration(0), why);
    const auto ended = endCall(r, outcome, why);
    if (ended) feed(*ended);
    feed(ClientDisconnected{id});
  }

  void endStream(Request& r) {
    answer(r, FinalStatus::kDeadlineExceeded, Duration(0), "time is up");
    const auto ended = endCall(r, Outcome::kCancelled, "time is up");
    if (ended) feed(*ended);
  }

  Call dropCall(std::unordered_map<CallKey, Call>::iterator it, Outcome outcome) {
    Call call = it->second;
    guard_.ended(now_, call.owner->key, outcome);
    calls_.erase(it);
    stop(call.timer);
    call.owner->out = 0;
    touch(*call.owner);
    return call;
  }

  void stop(TimerAt& timer) {
    if (timer) timers_.erase(*timer);
    timer.reset();
  }

  // Calls off the call that is out. From here on whatever it says is passed over.
  std::optional<AttemptEnded> endCall(Request& r, Outcome outcome, const char* why) {
    const auto it = calls_.find(r.out);
    if (it == calls_.end()) return std::nullopt;
    out_.emplace_back(CancelCall{it->first});
    const Call call = dropCall(it, outcome);
    record(r, RecordKind::kCallCancelled, call.engine, call.attempt, why);
    // Its reply may be on the way: whatever it has left is let go by name.
    if (call.reads) lateStates_.addRead(now_, {r.id, call.attempt, call.engine});
    if (!call.reads && r.stateAt) lateStates_.addWrite(now_, {r.id, call.attempt, call.engine});
    return endOf(r, call, outcome, now_);
  }

  void answer(Request& r, FinalStatus verdict, Duration retryAfter, const std::string& why) {
    r.answered = true;
    // Else its first token was the answer.
    if (r.nextIndex == 0) recordViolation(r, guard_.answered(now_, r.key, r.end));
    touch(r);
    ++countOf(counts_, verdict);
    record(r, kindOf(verdict), {}, -1, why);
    out_.emplace_back(FinalResponse{r.key, verdict, retryAfter, why});
  }

  void letGoState(Request& r) {
    if (!r.stateAt) return;
    releaseState(r, "no attempt is out");
    r.stateAt.reset();
  }

  void releaseState(const Request& r, const char* why) {
    recordViolation(r, guard_.stateFreed(now_, r.key), r.stateAt, r.stateAttempt);
    out_.emplace_back(ReleaseState{r.id, r.stateAttempt, *r.stateAt});
    record(r, RecordKind::kStateReleased, *r.stateAt, r.stateAttempt, why);
  }

  void settleLateStates() {
    const auto isBusy = [this](const std::string& id) {
      const auto key = ids_.find(id);
      if (key == ids_.end()) return false;
      const Request& r = requests_.at(key->second);
      return r.out != 0 || r.stateAt.has_value();
    };
    for (const LateStates::Attempt& late : lateStates_.due(now_, isBusy)) {
      out_.emplace_back(ReleaseState{late.id, late.number, late.engine});
      if (options_.recordsEnabled)
        out_.emplace_back(
            Record{now_, late.id, RecordKind::kOrphanedStateReleased, late.engine, late.number, {}});
    }
    const std::optional<Instant> due = lateStates_.nextDue();
    if (due && lateStatesDue_ && (*lateStatesDue_)->first == *due) return;
    stop(lateStatesDue_);
    if (due) lateStatesDue_ = timers_.emplace(*due, Timer{Due::kLateStates, 0, {}});
  }

  void letGoSeat(Request& r) {
    if (!r.seatAt) return;
    out_.emplace_back(ReleaseState{r.id, r.number, *r.seatAt});
    r.seatAt.reset();
  }

  // To be looked at by settle() at the end of this step.
  void touch(const Request& r) { touched_.push_back(r.key); }

  Request* named(const RequestId& id) {
    const auto it = names_.find(id.value);
    return it == names_.end() ? nullptr : &requests_.at(it->second);
  }

  void record(const Request& r, RecordKind kind, std::optional<EngineId> engine = {}, int attempt = -1,
              std::string why = {}) {
    if (options_.recordsEnabled) out_.emplace_back(Record{now_, r.id, kind, engine, attempt, std::move(why)});
  }

  // Also where no records are asked for.
  void recordViolation(const Request& r, std::optional<Violation> rule, std::optional<EngineId> engine = {},
                       int attempt = -1) {
    if (rule)
      out_.emplace_back(Record{now_, r.id, RecordKind::kInvariantViolation, engine, attempt, nameOf(*rule)});
  }

  Policy policy_;
  RuleGuard guard_;
  recovery::Recovery recovery_;
  LateStates lateStates_;
  TimerAt lateStatesDue_;
  bool lookDue_ = false;
  Settings settings_;
  Options options_;
  std::vector<RequestKey> touched_;
  std::unordered_map<std::string, RequestKey> names_;  // for the policy
  std::unordered_map<std::string, RequestKey> ids_;    // for engines
  std::deque<Event> events_;
  std::uint64_t lastName_ = 0;
  CallKey lastCall_ = 0;
  bool feeding_ = false;
};

// Every step: the time, what happens, then the books.
template <class Step>
void Core::step(Instant now, const Step& what) {
  impl_->now_ = std::max(impl_->now_, now);
  what(*impl_);
  impl_->settle();
}

Core::Core(const Settings& settings, Options options)
    : impl_(std::make_unique<Impl>(settings, std::move(options))) {}
Core::Core(Core&&) noexcept = default;
Core& Core::operator=(Core&&) noexcept = default;
Core::~Core() = default;

void Core::onEngineListUpdate(Instant now, const EngineListUpdate& list) {
  step(now, [&](Impl& impl) {
    impl.takeList(list);
    impl.feed(list);
  });
}

void Core::onRequest(Instant now, NewRequest arrival) {
  step(now, [&](Impl& impl) { impl.arrived(std::move(arrival)); });
}

void Core::onClientDisconnected(Instant now, RequestKey request) {
  step(now, [&](Impl& impl) { impl.clientGone(request); });
}

void Core::onPrefillEnded(Instant now, CallKey call, std::string state, double keptTokens,
                          const std::optional<LoadReport>& load) {
  step(now, [&](Impl& impl) { impl.readEnded(call, std::move(state), keptTokens, load); });
}

void Core::onToken(Instant now, CallKey call, std::uint32_t index, std::string text) {
  step(now, [&](Impl& impl) { impl.token(call, index, std::move(text)); });
}

void Core::onCallEnded(Instant now, CallKey call, Outcome outcome, double keptTokens,
                       const std::optional<LoadReport>& load, const std::string& why,
                       recovery::AttemptEnd ending) {
  step(now, [&](Impl& impl) { impl.callEnded(call, outcome, keptTokens, load, why, ending); });
}

void Core::onAttemptFenced(Instant now, RequestKey request, int attempt) {
  step(now, [&](Impl& impl) { impl.fenced(request, attempt); });
}

void Core::onEngineShutdownNotice(Instant now, EngineId engine, std::optional<Instant> by) {
  step(now, [&](Impl& impl) { impl.leaving(engine, by); });
}

void Core::onGoAway(Instant now, EngineId engine) {
  step(now, [&](Impl& impl) { impl.goesAway(engine); });
}

void Core::onProbeEnded(Instant now, EngineId engine, Outcome outcome, Duration elapsed,
                        const std::optional<LoadReport>& load) {
  step(now, [&](Impl& impl) { impl.feed(ProbeEnded{engine, outcome, elapsed, load}); });
}

void Core::onReservationResult(Instant now, RequestKey request, EngineId engine, bool held) {
  step(now, [&](Impl& impl) { impl.seatAnswered(request, engine, held); });
}

void Core::onClientPaused(Instant now, RequestKey request, bool paused) {
  step(now, [&](Impl& impl) { impl.paused(request, paused); });
}

void Core::reconfigure(Instant now, const Settings& settings) {
  step(now, [&](Impl& impl) { impl.reconfigure(settings); });
}

void Core::drain(Instant now) {
  step(now, [](Impl& impl) { impl.drain(); });
}

void Core::advance(Instant now) {
  step(now, [](Impl& impl) { impl.advance(); });
}

std::optional<Instant> Core::nextWakeup() const {
  return impl_->timers_.empty() ? std::nullopt : std::optional(impl_->timers_.begin()->first);
}

std::vector<Command> Core::takeCommands() { return std::exchange(impl_->out_, {}); }

bool Core::takeCommandsInto(std::vector<Command>& commands) {
  commands.clear();
  commands.swap(impl_->out_);
  return !commands.empty();
}

bool Core::isDraining() const { return impl_->draining_; }
std::size_t Core::openRequests() const { return impl_->open(); }
std::size_t Core::pendingObligations() const { return impl_->requests_.size(); }
const Counters& Core::counters() const { return impl_->counts_; }
const ViolationCounts& Core::violations() const { return impl_->violations(); }

CallKey Core::streamingCall(RequestKey request) const {
  const auto it = impl_->requests_.find(request);
  return it != impl_->requests_.end() && it->second.started ? it->second.out : 0;
}

}  // namespace gannetcourse::router
