#include "platform/engine_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "platform/request_head.h"
#include "platform/status_response_handler.h"

namespace gannetcourse::platform {
namespace {

constexpr int kStatusOk = 200;
const Duration kSweepInterval{0.5};
// The record of a removed engine is kept this long, because the engine's process may still serve streams and
// accept releases.
const Duration kRemovedEngineRetention{30};

// Returns a function that builds the request head when the connection is established. X-Budget-Ms must be the
// time left when the request is sent, and connecting may take long.
http1::Client::HeadMaker attemptHead(net::Loop& loop, const net::Endpoint& to, const std::string& id,
                                     Duration timeout,
                                     const std::shared_ptr<const router::RequestPayload>& payload) {
  return [&loop, to, id, deadline = loop.now() + timeout, payload] {
    const double leftMs = std::floor((deadline - loop.exactNow()).count() * 1000);
    const auto budgetMs = static_cast<std::int64_t>(std::max(1.0, leftMs));
    return requestHead("POST", payload->target, to,
                       "X-Call-Id: " + id + "\r\nX-Budget-Ms: " + std::to_string(budgetMs) +
                           "\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(payload->prompt.size()) + "\r\n" + payload->headerFields);
  };
}

}  // namespace

EngineClient::EngineClient(net::Loop& loop, const http1::ClientOptions& options,
                           engines::EngineEventHandler& handler)
    : loop_(loop),
      client_(loop, options),
      handler_(handler),
      releases_(loop, client_, engines_, [this](EngineId engine) { onEngineActivity(engine); }) {
  sweepTimer_ = loop_.runAfter(kSweepInterval, [this] { sweep(); });
}

EngineClient::~EngineClient() {
  *alive_ = false;
  loop_.cancelTimer(sweepTimer_);
  for (const auto& [key, attempt] : attempts_) attempt->detach();
}

// ---- The engine table ----

void EngineClient::applyEngineList(const EngineListMessage& list) {
  if (list.isSnapshot) {
    for (auto& [id, engine] : engines_) engine.removed = true;
  }
  for (const EngineListMessageEntry& listed : list.engines) updateRecord(listed);
  const std::set<net::Endpoint> serving = servingAddresses();
  for (auto& [id, engine] : engines_) {
    if (!engine.removed) engine.removedAt = {};
    if (engine.isServing()) {
      engine.unsentCallsCancelled = false;
    } else {
      stopUsing(engine, serving.count(engine.address) > 0);
    }
  }
}

void EngineClient::updateRecord(const EngineListMessageEntry& listed) {
  const bool removed = listed.entry.state == EngineEntry::State::kRemoved;
  const bool known = engines_.count(listed.entry.id) > 0;
  if (removed && !known) return;
  EngineRecord& engine = engines_[listed.entry.id];
  engine.removed = removed;
  engine.draining = listed.entry.state == EngineEntry::State::kDraining;
  if (removed || !listed.address) return;
  if (known && engine.address != *listed.address) client_.retireEndpoint(engine.address);
  engine.address = *listed.address;
  client_.restoreEndpoint(engine.address);
}

// Cancels calls to a draining or removed engine that were started but not yet sent. Closes the connections to
// a removed engine as soon as they are idle. Does neither if `addressReused`: a serving engine has the same
// address, and its calls and connections must be kept.
void EngineClient::stopUsing(EngineRecord& engine, bool addressReused) {
  if (!engine.unsentCallsCancelled) {
    engine.unsentCallsCancelled = true;
    if (!addressReused) client_.cancelUnsent(engine.address);
  }
  if (!engine.removed || engine.removedAt != Instant{}) return;
  engine.removedAt = loop_.now();
  if (!addressReused) client_.retireEndpoint(engine.address);
}

std::set<net::Endpoint> EngineClient::servingAddresses() const {
  std::set<net::Endpoint> addresses;
  for (const auto& [id, engine] : engines_) {
    if (engine.isServing()) addresses.insert(engine.address);
  }
  return addresses;
}

// Erases the records of engines that were removed more than kRemovedEngineRetention ago and have no open
// attempt.
void EngineClient::eraseRemovedEngines() {
  const Instant now = loop_.now();
  std::erase_if(engines_, [&](const auto& entry) {
    const auto& [id, engine] = entry;
    const bool expired = engine.removed && now - engine.removedAt > kRemovedEngineRetention;
    if (!expired || hasOpenAttempt(id)) return false;
    client_.restoreEndpoint(engine.address);  // another engine may have the address by now
    return true;
  });
}

bool EngineClient::hasOpenAttempt(EngineId engine) const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [&](const auto& entry) { return entry.second->engine() == engine; });
}

// ---- Attempts ----

void EngineClient::start(const router::StartPrefill& prefill) {
  startAttempt(
      {prefill.call, prefill.engine, prefill.id, prefill.timeout, prefill.payload, AttemptKind::kPrefill});
}

void EngineClient::start(const router::StartDecode& decode) {
  startAttempt({decode.call, decode.engine, decode.id, decode.timeout, decode.payload, AttemptKind::kDecode});
}

void EngineClient::startAttempt(const AttemptStart& start) {
  EngineAttempt::Owner& owner = *this;
  const auto attempt =
      std::make_shared<EngineAttempt>(loop_, client_, owner, start.call, start.engine, start.kind);
  attempts_[start.call] = attempt;
  const auto it = engines_.find(start.engine);
  if (it == engines_.end()) {
    loop_.defer([attempt, alive = alive_] {
      if (*alive) attempt->onEnd(http1::CallResult::kNotConnected, "engine has no address");
    });
    return;
  }
  const net::Endpoint& to = it->second.address;
  const std::shared_ptr<const std::string> body(start.payload, &start.payload->prompt);
  attempt->setCall(
      client_.start(to, attemptHead(loop_, to, start.id, start.timeout, start.payload), body, attempt));
}

void EngineClient::cancelCall(router::CallKey call) {
  const auto node = attempts_.extract(call);
  if (!node.empty()) node.mapped()->cancel();
}

void EngineClient::pauseStream(router::CallKey call, bool paused) {
  const auto it = attempts_.find(call);
  if (it != attempts_.end()) it->second->pause(paused);
}

void EngineClient::onEngineActivity(EngineId engine) {
  const auto it = engines_.find(engine);
  if (it != engines_.end()) it->second.lastActivityAt = loop_.now();
}

void EngineClient::onEvent(router::CallKey key, std::uint32_t index, std::string event) {
  handler_.onToken(key, index, std::move(event));
}

void EngineClient::onAttemptEnded(router::CallKey key, const AttemptResult& result) {
  attempts_.erase(key);
  if (result.outcome == Outcome::kPrefilled) {
    handler_.onPrefillEnded(key, "", result.cachedTokens, result.load);
  } else {
    handler_.onCallEnded(key, result.outcome, result.cachedTokens, result.load, result.reason, result.end);
  }
}

void EngineClient::sweep() {
  eraseRemovedEngines();
  sweepTimer_ = loop_.runAfter(kSweepInterval, [this] { sweep(); });
}

Duration EngineClient::longestEventGap() const {
  Duration longest{0};
  for (const auto& [key, attempt] : attempts_)
    longest = std::max(longest, attempt->timeSinceEvent(loop_.now()));
  return longest;
}

std::map<EngineId, std::size_t> EngineClient::openCallsByEngine() const {
  std::map<EngineId, std::size_t> open;
  for (const auto& [key, attempt] : attempts_) ++open[attempt->engine()];
  return open;
}

// ---- Other calls ----

void EngineClient::probe(EngineId engine) {
  loop_.defer([this, alive = alive_, engine] {
    if (*alive) handler_.onProbeEnded(engine, Outcome::kNotSent, Duration(0), {});
  });
}

void EngineClient::reserve(const router::ReserveCapacity& reservation) {
  const auto it = engines_.find(reservation.engine);
  if (it == engines_.end()) {
    handler_.onReservationResult(reservation.request, reservation.engine, false);
    return;
  }
  const auto response = std::make_shared<StatusResponseHandler>(
      [this, alive = alive_, key = reservation.request, engine = reservation.engine](int status) {
        if (*alive) handler_.onReservationResult(key, engine, status == kStatusOk);
      });
  std::string head =
      requestHead("POST", "/kv/leases/" + reservation.id, it->second.address, "Content-Length: 0\r\n");
  client_.start(
      it->second.address, [head = std::move(head)] { return head; }, nullptr, response);
}

void EngineClient::releaseState(const router::ReleaseState& release) { releases_.startRelease(release.id); }

}  // namespace gannetcourse::platform
