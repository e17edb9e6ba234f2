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
  clients_.clear();  // while the fronts that they belong to still stand
}

// ---- From the fronts ----
void CoreDriver::openRequest(router::RequestKey key, router::NewRequest arrival,
                             std::shared_ptr<frontend::ClientStream> client) {
  clients_.emplace(key, std::move(client));
  step([&](router::Core& core, Instant now) { core.onRequest(now, std::move(arrival)); });
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

// ---- From the engines ----
void CoreDriver::onPrefillEnded(router::CallKey call, std::string state, double kept,
                                std::optional<LoadReport> load) {
  step(
      [&](router::Core& core, Instant now) { core.onPrefillEnded(now, call, std::move(state), kept, load); });
}

void CoreDriver::onToken(router::CallKey call, std::uint32_t index, std::string text) {
  step([&](router::Core& core, Instant now) { core.onToken(now, call, index, std::move(text)); });
}

void CoreDriver::onCallEnded(router::CallKey call, Outcome outcome, double kept,
                             std::optional<LoadReport> load, const std::string& why,
                             recovery::AttemptEnd ending) {
  step([&](router::Core& core, Instant now) {
    core.onCallEnded(now, call, outcome, kept, load, why, ending);
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

void CoreDriver::onReservationResult(router::RequestKey request, EngineId engine, bool held) {
  step([&](router::Core& core, Instant now) { core.onReservationResult(now, request, engine, held); });
}

// ---- To both ----
void CoreDriver::execute(const router::Command& command) {
  const auto client = [this](router::RequestKey key) {  // kept while it is told: it may leave in that
    const auto it = clients_.find(key);
    return it == clients_.end() ? nullptr : it->second;
  };
  std::visit(Overloaded{
                 [this](const router::StartPrefill& c) { engines_->start(c); },
                 [this](const router::StartDecode& c) { engines_->start(c); },
                 [this](const router::CancelCall& c) { engines_->cancelCall(c.call); },
                 [this](const router::ReserveCapacity& c) { engines_->reserve(c); },
                 [this](const router::ReleaseState& c) { engines_->releaseState(c); },
                 [this](const router::FenceAttempt& c) { engines_->fenceAttempt(c); },
                 [&](const router::ResumePoint& c) {
                   if (const auto side = client(c.request)) side->sendResumePoint(c);
                 },
                 [&](const router::SendToken& c) {
                   if (const auto side = client(c.request)) side->sendToken(c);
                 },
                 [this](const router::FinalResponse& c) {
                   const auto node = clients_.extract(c.request);
                   if (!node.empty()) node.mapped()->sendFinalResponse(c);
                 },
                 [this](const router::ProbeEngine& c) { engines_->probe(c.engine); },
                 [this](const router::Subscribe&) {
                   if (hooks_.subscribe) hooks_.subscribe();
                 },
                 [](const router::Fetch&) {},  // a watch begins with the full list
                 [this](const router::Record& c) {
                   if (hooks_.onRecord) hooks_.onRecord(c);
                 },
             },
             command);
}

void CoreDriver::runCommands() {
  // What is carried out may call back in here; the outermost run does it all, in order.
  if (std::exchange(runningCommands_, true)) return;
  while (core_.takeCommandsInto(commands_)) {
    for (const router::Command& command : commands_) execute(command);
  }
  runningCommands_ = false;
  const std::optional<Instant> wake = core_.nextWakeup();
  if (wake && (timer_ == 0 || *wake != timerDueAt_)) {
    loop_.cancelTimer(timer_);
    timerDueAt_ = *wake;
    timer_ = loop_.runAt(*wake, [this] {
      timer_ = 0;
      core_.advance(loop_.now());
      runCommands();
      if (hooks_.onTimerTurn) hooks_.onTimerTurn();
    });
  }
}

}  // namespace gannetcourse::node
