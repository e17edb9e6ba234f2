#include "platform/engines.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "platform/status_reply.h"

namespace gannetcourse::platform {
namespace {

using instance::Json;

const Duration kSweep{0.5};
// A stream that is silent for this long has broken, whatever became of its engine: a client may not be left
// waiting for 5 s after the last event.
const Duration kSilent{4};
const Duration kEventWithin{2};   // how long an event may take from its first byte to its last
const Duration kEndWithin{2};     // how long after its last event a stream may take to end
const Duration kStatusBody{0.1};  // how long the body of a status that ends its attempt is waited for
const Duration kForgetGone{30};   // an engine that is off the list

std::string headOf(const char* method, const std::string& target, const net::Endpoint& to,
                   const std::string& more) {
  return std::string(method) + " " + target + " HTTP/1.1\r\nHost: " + to.text() + "\r\n" + more + "\r\n";
}

// What a read or write is asked with. The time told is what is left at the send, not at the decision: a
// connection may take its time to come up.
http1::Client::HeadMaker attemptHead(net::Loop& loop, const net::Endpoint& to, const std::string& id,
                                     Duration waits,
                                     const std::shared_ptr<const router::RequestPayload>& work) {
  return [&loop, to, id, until = loop.now() + waits, work] {
    const double leftMs = std::floor((until - loop.exactNow()).count() * 1000);
    const auto budget = static_cast<std::int64_t>(std::max(1.0, leftMs));
    return headOf("POST", work->target, to,
                  "X-Call-Id: " + id + "\r\nX-Budget-Ms: " + std::to_string(budget) +
                      "\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(work->prompt.size()) + "\r\n" + work->headerFields);
  };
}

}  // namespace

Outcome outcomeOf(int status, bool notRun, bool reads) {
  if (reads && status == 202) return Outcome::kPrefilled;
  if (status == 410 && notRun) return Outcome::kStateLost;
  if ((status == 503 || status == 504) && notRun) return Outcome::kRejected;
  return Outcome::kError;
}

Outcome outcomeOf(http1::CallResult how) {
  switch (how) {
    case http1::CallResult::kNoConnectionAvailable:
      return Outcome::kNotSent;
    case http1::CallResult::kNotConnected:
      return Outcome::kConnectFailed;
    case http1::CallResult::kMalformed:  // it may have run; who sends noise is there, so contact is not lost
      return Outcome::kError;
    default:
      return Outcome::kReset;
  }
}

// One attempt's answer: a read's 202, a stream, or a status that ends it.
class EngineClient::Attempt final : public http1::ResponseHandler,
                                    public std::enable_shared_from_this<Attempt> {
 public:
  Attempt(EngineClient& owner, router::CallKey key, EngineId engine, bool reads)
      : engine(engine), owner_(owner), key_(key), reads_(reads) {}

  void onHead(const http1::ResponseHead& head) override {
    heardAt = owner_.loop_.now();
    owner_.recordActivity(engine);
    status_ = head.status;
    const std::string* const turnedAway = head.fields.find("X-Rejected");
    notRun_ = turnedAway != nullptr && *turnedAway == "1";
    const std::string* const report = head.fields.find("X-Load-Report");
    if (report != nullptr) load_ = parseLoadReport(*report);
    streams_ = status_ == 200 && !reads_;
    const bool answers = streams_ || (reads_ && status_ == 202);
    if (!answers) endWithoutBody();
  }

  void onBody(std::string_view bytes) override {
    heardAt = owner_.loop_.now();
    owner_.recordActivity(engine);
    const std::shared_ptr<Attempt> self = shared_from_this();
    if (over) return;
    if (!streams_) {
      if (text_.size() < kMostText) text_.append(bytes);
      return;
    }
    bool whole = false;
    const bool good = events_.feed(bytes, [&](std::string event) {
      whole = true;
      passOn(std::move(event));
    });
    if (!events_.hasPartialEvent()) {
      eventSince_.reset();
    } else if (whole || !eventSince_) {
      eventSince_ = heardAt;
    }
    if (!good && !over) giveUp(Outcome::kError, "its events cannot be read");
  }

  void onEnd(http1::CallResult how, const std::string& why) override {
    const std::shared_ptr<Attempt> self = shared_from_this();
    if (over) return;
    if (how != http1::CallResult::kComplete && status_ != 0 && !streams_ && !(reads_ && status_ == 202))
      return finishByStatus();  // its head has said it
    if (how == http1::CallResult::kMalformed)
      return finish(outcomeOf(how), why, recovery::AttemptEnd::kAbandoned);
    if (how != http1::CallResult::kComplete) return finish(outcomeOf(how), why);
    if (streams_) {
      const bool whole = events_.finish([this](std::string event) {
        if (events_.isComplete()) passOn(std::move(event));
      });
      if (over) return;
      return finish(whole ? Outcome::kOk : Outcome::kError,
                    whole ? "tokens " + std::to_string(static_cast<std::uint64_t>(events_.generatedTokens()))
                          : "its stream ended before its last event");
    }
    finishByStatus();
  }

  void passOn(std::string event) {
    if (!over) owner_.handler_.onToken(key_, next_++, std::move(event));
  }

  // Gives it up: its connection has no further use.
  void giveUp(Outcome outcome, const char* why) {
    owner_.client_.cancel(call);
    finish(outcome, why, recovery::AttemptEnd::kAbandoned);
  }

  void abandon() {
    over = true;
    owner_.client_.cancel(call);
  }

  // Whether its stream has broken, though nothing told of it: silence, or an event that does not end.
  bool broken(Instant now) const {
    if (paused || !streams()) return false;
    const Duration silent = now - heardAt;
    return silent > (events_.isComplete() ? kEndWithin : kSilent) || eventOverdue(now);
  }
  bool eventOverdue(Instant now) const { return eventSince_ && now - *eventSince_ > kEventWithin; }
  void pause(bool pausedNow) {
    paused = pausedNow;
    heardAt = owner_.loop_.now();
    if (eventSince_) eventSince_ = heardAt;  // the wait was ours
  }

  const EngineId engine;
  http1::CallId call = 0;
  Instant heardAt{};
  bool over = false, paused = false;
  bool streams() const { return streams_ && next_ > 0; }

 private:
  static constexpr std::size_t kMostText = 4096;

  // The status has said how the attempt ended. Its body says nothing more and may never come.
  void endWithoutBody() {
    owner_.loop_.runAfter(kStatusBody, [self = weak_from_this(), alive = owner_.alive_] {
      const auto attempt = self.lock();
      if (!*alive || !attempt || attempt->over) return;
      attempt->owner_.client_.cancel(attempt->call);
      attempt->finishByStatus();
    });
  }

  // A read that ended with a success other than its own has run all the same: it may have left a state, as
  // one that was given up.
  void finishByStatus() {
    const bool otherSuccess = reads_ && status_ / 100 == 2 && status_ != 202;
    finish(outcomeOf(status_, notRun_, reads_), statusText(),
           otherSuccess ? recovery::AttemptEnd::kAbandoned : recovery::AttemptEnd::kConfirmed);
  }

  std::string statusText() const { return "status " + std::to_string(status_); }

  void finish(Outcome outcome, const std::string& why,
              recovery::AttemptEnd ending = recovery::AttemptEnd::kConfirmed) {
    over = true;
    const std::optional<LoadReport> load = events_.loadReport() ? events_.loadReport() : load_;
    owner_.removeAttempt(key_);
    if (outcome == Outcome::kPrefilled) {
      const Json reply = Json::parse(text_, nullptr, false);
      const bool told =
          reply.is_object() && reply.contains("cached_tokens") && reply["cached_tokens"].is_number();
      return owner_.handler_.onPrefillEnded(key_, "", told ? reply["cached_tokens"].get<double>() : 0, load);
    }
    owner_.handler_.onCallEnded(key_, outcome, events_.cachedTokens(), load, why, ending);
  }

  EngineClient& owner_;
  router::CallKey key_;
  bool reads_, streams_ = false, notRun_ = false;
  int status_ = 0;
  std::uint32_t next_ = 0;
  std::string text_;
  EventStreamDecoder events_;
  std::optional<Instant> eventSince_;  // since when an event is not whole
  std::optional<LoadReport> load_;
};

EngineClient::EngineClient(net::Loop& loop, const http1::ClientOptions& options,
                           engines::EngineEventHandler& sink)
    : loop_(loop),
      client_(loop, options),
      handler_(sink),
      releases_(loop, client_, engines_, [this](EngineId engine) { recordActivity(engine); }) {
  sweepTimer_ = loop_.runAfter(kSweep, [this] { sweep(); });
}

EngineClient::~EngineClient() {
  *alive_ = false;
  loop_.cancelTimer(sweepTimer_);
  for (auto& [key, attempt] : calls_) attempt->over = true;
}

void EngineClient::recordActivity(EngineId engine) {
  const auto it = engines_.find(engine);
  if (it != engines_.end()) it->second.lastHeardAt = loop_.now();
}

void EngineClient::applyEngineList(const EngineListMessage& list) {
  if (list.isSnapshot) {
    for (auto& [id, engine] : engines_) engine.removed = true;
  }
  for (const EngineListMessageEntry& told : list.engines) take(told);
  const std::set<net::Endpoint> serving = servingAddresses();
  for (auto& [id, engine] : engines_) {
    if (!engine.removed) engine.removedAt = {};
    if (engine.isServing()) {
      engine.unsentCallsCancelled = false;
      continue;
    }
    const bool addressFree = serving.count(engine.address) == 0;  // no other engine has come up at it
    // What was decided before the word came, and has not left, does not go there any more.
    if (!std::exchange(engine.unsentCallsCancelled, true) && addressFree)
      client_.cancelUnsent(engine.address);
    if (!engine.removed || engine.removedAt != Instant{}) continue;
    engine.removedAt = loop_.now();
    if (addressFree) client_.retireEndpoint(engine.address);
  }
}

void EngineClient::take(const EngineListMessageEntry& told) {
  const bool gone = told.entry.state == EngineEntry::State::kRemoved;
  const bool known = engines_.count(told.entry.id) > 0;
  if (gone && !known) return;
  EngineRecord& engine = engines_[told.entry.id];
  engine.removed = gone;
  engine.draining = told.entry.state == EngineEntry::State::kDraining;
  if (gone || !told.address) return;
  if (known && engine.address != *told.address) client_.retireEndpoint(engine.address);
  engine.address = *told.address;
  client_.restoreEndpoint(engine.address);
}

std::set<net::Endpoint> EngineClient::servingAddresses() const {
  std::set<net::Endpoint> addresses;
  for (const auto& [id, engine] : engines_) {
    if (engine.isServing()) addresses.insert(engine.address);
  }
  return addresses;
}

void EngineClient::start(const router::StartPrefill& read) {
  startAttempt(read.call, read.engine, read.id, read.timeout, read.payload, true);
}

void EngineClient::start(const router::StartDecode& write) {
  startAttempt(write.call, write.engine, write.id, write.timeout, write.payload, false);
}

void EngineClient::startAttempt(router::CallKey call, EngineId engine, const std::string& id, Duration waits,
                                const std::shared_ptr<const router::RequestPayload>& work, bool reads) {
  const auto attempt = std::make_shared<Attempt>(*this, call, engine, reads);
  attempt->heardAt = loop_.now();
  calls_[call] = attempt;
  const auto it = engines_.find(engine);
  if (it == engines_.end()) {
    loop_.defer([attempt, alive = alive_] {
      if (*alive) attempt->onEnd(http1::CallResult::kNotConnected, "engine has no address");
    });
    return;
  }
  const net::Endpoint& to = it->second.address;
  attempt->call = client_.start(to, attemptHead(loop_, to, id, waits, work),
                                std::shared_ptr<const std::string>(work, &work->prompt), attempt);
}

void EngineClient::cancelCall(router::CallKey call) {
  const auto node = calls_.extract(call);
  if (!node.empty()) node.mapped()->abandon();
}

void EngineClient::pauseStream(router::CallKey call, bool paused) {
  const auto it = calls_.find(call);
  if (it == calls_.end()) return;
  it->second->pause(paused);
  client_.pauseReading(it->second->call, paused);
}

void EngineClient::probe(EngineId engine) {
  loop_.defer([this, alive = alive_, engine] {
    if (*alive) handler_.onProbeEnded(engine, Outcome::kNotSent, Duration(0), {});
  });
}

void EngineClient::reserve(const router::ReserveCapacity& seat) {
  const auto it = engines_.find(seat.engine);
  if (it == engines_.end()) return handler_.onReservationResult(seat.request, seat.engine, false);
  const auto small = std::make_shared<StatusResponseHandler>(
      [this, alive = alive_, key = seat.request, engine = seat.engine](int status) {
        if (*alive) handler_.onReservationResult(key, engine, status == 200);
      });
  std::string head = headOf("POST", "/kv/leases/" + seat.id, it->second.address, "Content-Length: 0\r\n");
  client_.start(
      it->second.address, [head = std::move(head)] { return head; }, nullptr, small);
}

void EngineClient::releaseState(const router::ReleaseState& letGo) { releases_.startRelease(letGo.id); }

void EngineClient::sweep() {
  const Instant now = loop_.now();
  std::vector<std::shared_ptr<Attempt>> broken;
  for (const auto& [key, attempt] : calls_) {
    if (attempt->broken(now)) broken.push_back(attempt);
  }
  for (const auto& attempt : broken) {
    if (attempt->over) continue;
    const bool unfinished = attempt->eventOverdue(now);
    attempt->giveUp(unfinished ? Outcome::kError : Outcome::kReset,
                    unfinished ? "an event does not end" : "silent");
  }
  std::erase_if(engines_, [&](const auto& e) {
    const bool old = e.second.removed && now - e.second.removedAt > kForgetGone &&
                     std::none_of(calls_.begin(), calls_.end(),
                                  [&](const auto& c) { return c.second->engine == e.first; });
    if (old) client_.restoreEndpoint(e.second.address);  // it may be another's by now
    return old;
  });
  sweepTimer_ = loop_.runAfter(kSweep, [this] { sweep(); });
}

std::map<EngineId, std::size_t> EngineClient::openCallsByEngine() const {
  std::map<EngineId, std::size_t> open;
  for (const auto& [key, attempt] : calls_) ++open[attempt->engine];
  return open;
}

}  // namespace gannetcourse::platform
