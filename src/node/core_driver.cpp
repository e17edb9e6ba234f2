#include "node/core_driver.h"

#include <utility>

namespace gannetcourse::node {
namespace {

template <class... Fs>
struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <class... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

}  // namespace

CoreDriver::CoreDriver(net::Loop& loop, const Settings& settings, router::Options options, Hooks hooks)
    : loop_(loop), hooks_(std::move(hooks)), core_(settings, std::move(options)) {}

CoreDriver::~CoreDriver() { loop_.cancelTimer(timer_); }

void CoreDriver::stop() {
  stopped_ = true;
  loop_.cancelTimer(std::exchange(timer_, 0));
  hooks_ = {};
  clients_.clear();  // client streams refer to the frontends, which are destroyed next
}

// ---- From clients ----
void CoreDriver::openRequest(router::RequestKey key, router::NewRequest request,
                             std::shared_ptr<frontend::ClientStream> client) {
  clients_.emplace(key, std::move(client));
  step([&](router::Core& core, Instant now) { core.onRequest(now, std::move(request)); });
}

void CoreDriver::onClientDisconnected(router::RequestKey request) {
  clients_.erase(request);
  step([&](router::Core& core, Instant now) { core.onClientDisconnected(now, request); });
}

void CoreDriver::pauseRequest(router::RequestKey request, bool paused) {
  if (stopped_) return;
  core_.onClientPaused(loop_.now(), request, paused);
  engines_->pauseStream(core_.streamingCall(request), paused);
}

// ---- From engines ----
void CoreDriver::onPrefillEnded(router::CallKey call, std::string stateHandle, double cachedTokens,
                                std::optional<LoadReport> load) {
  step([&](router::Core& core, Instant now) {
    core.onPrefillEnded(now, call, std::move(stateHandle), cachedTokens, load);
  });
}

void CoreDriver::onToken(router::CallKey call, std::uint32_t index, std::string text) {
  step([&](router::Core& core, Instant now) { core.onToken(now, call, index, std::move(text)); });
}

void CoreDriver::onCallEnded(router::CallKey call, Outcome outcome, double cachedTokens,
                             std::optional<LoadReport> load, const std::string& reason,
                             recovery::AttemptEnd attemptEnd) {
  step([&](router::Core& core, Instant now) {
    core.onCallEnded(now, call, outcome, cachedTokens, load, reason, attemptEnd);
  });
}

void CoreDriver::onAttemptFenced(router::RequestKey request, int attempt) {
  step([&](router::Core& core, Instant now) { core.onAttemptFenced(now, request, attempt); });
}

void CoreDriver::onGoAway(EngineId engine) {
  if (hooks_.onEngineGoAway) hooks_.onEngineGoAway(engine);
  step([&](router::Core& core, Instant now) { core.onGoAway(now, engine); });
}

void CoreDriver::onProbeEnded(EngineId engine, Outcome outcome, Duration elapsed,
                              std::optional<LoadReport> load) {
  step([&](router::Core& core, Instant now) { core.onProbeEnded(now, engine, outcome, elapsed, load); });
}

void CoreDriver::onReservationResult(router::RequestKey request, EngineId engine, bool reserved) {
  step([&](router::Core& core, Instant now) { core.onReservationResult(now, request, engine, reserved); });
}

// ---- Commands ----
// Returns shared ownership, because a function called on the stream may remove the stream from clients_.
std::shared_ptr<frontend::ClientStream> CoreDriver::findClient(router::RequestKey request) const {
  const auto it = clients_.find(request);
  return it == clients_.end() ? nullptr : it->second;
}

void CoreDriver::execute(const router::Command& command) {
  std::visit(Overloaded{
                 [this](const router::StartPrefill& c) { engines_->start(c); },
                 [this](const router::StartDecode& c) { engines_->start(c); },
                 [this](const router::CancelCall& c) { engines_->cancelCall(c.call); },
                 [this](const router::ReserveCapacity& c) { engines_->reserve(c); },
                 [this](const router::ReleaseState& c) { engines_->releaseState(c); },
                 [this](const router::FenceAttempt& c) { engines_->fenceAttempt(c); },
                 [this](const router::ResumePoint& c) {
                   if (const auto client = findClient(c.request)) client->sendResumePoint(c);
                 },
                 [this](const router::SendToken& c) {
                   if (const auto client = findClient(c.request)) client->sendToken(c);
                 },
                 [this](const router::FinalResponse& c) {
                   const auto client = clients_.extract(c.request);
                   if (!client.empty()) client.mapped()->sendFinalResponse(c);
                 },
                 [this](const router::ProbeEngine& c) { engines_->probe(c.engine); },
                 [this](const router::Subscribe&) {
                   if (hooks_.subscribe) hooks_.subscribe();
                 },
                 [](const router::Fetch&) {},  // ignored: each subscription starts with the whole list
                 [this](const router::Record& c) {
                   if (hooks_.onRecord) hooks_.onRecord(c);
                 },
             },
             command);
}

// Executes all commands in order. A command may call back into the driver; such a nested runCommands()
// returns at once, and the outermost one executes the commands that were added.
void CoreDriver::runCommands() {
  if (runningCommands_) return;
  runningCommands_ = true;
  while (core_.takeCommandsInto(commands_)) {
    for (const router::Command& command : commands_) execute(command);
  }
  runningCommands_ = false;
  setTimer();
}

void CoreDriver::setTimer() {
  const std::optional<Instant> wakeup = core_.nextWakeup();
  const bool alreadySet = timer_ != 0 && wakeup == timerDueAt_;
  if (!wakeup || alreadySet) return;
  loop_.cancelTimer(timer_);
  timerDueAt_ = *wakeup;
  timer_ = loop_.runAt(*wakeup, [this] {
    timer_ = 0;
    core_.advance(loop_.now());
    runCommands();
    if (hooks_.onTimerHandled) hooks_.onTimerHandled();
  });
}

}  // namespace gannetcourse::node
