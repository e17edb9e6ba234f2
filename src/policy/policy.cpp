// The decision module: dispatches each event to the modules concerned. Its interface is
// include/gannetcourse/policy.h; docs/design.md explains the design. Requests without faults are scheduled
// like in FlowKV's load-aware scheduler: a load score for each engine, a prefill engine by least time to
// first token, and after the prefill a decode engine by least transfer time plus wait.

#include "gannetcourse/policy.h"

#include <utility>

#include "admission_control.h"
#include "attempt_manager.h"
#include "cost_model.h"
#include "decision_context.h"
#include "decode_selector.h"
#include "engine_eligibility.h"
#include "engine_health.h"
#include "engine_registry.h"
#include "load_score.h"
#include "outcome_recorder.h"
#include "prefill_selector.h"
#include "prefix_affinity.h"
#include "probing.h"
#include "prompt_statistics.h"
#include "request_lifecycle.h"
#include "retry_safety.h"
#include "role_aggregates.h"
#include "service_rate.h"
#include "slow_start.h"
#include "stream_pace.h"
#include "tuning.h"

namespace gannetcourse {

class Policy::Impl {
 public:
  explicit Impl(Settings settings) : context_(std::move(settings)) { applySettings(); }

  void handle(Instant now, const Event& event, std::vector<Action>& actions) {
    context_.beginEvent(now, actions);
    std::visit(Dispatcher{*this}, event);
    lifecycle_.removeEnded();
  }

 private:
  // Calls the handler for the type of the event.
  struct Dispatcher {
    Impl& impl;
    void operator()(const EngineListUpdate& event) const { impl.onEngineListUpdate(event); }
    void operator()(const EngineListAwaited& event) const { impl.onEngineListAwaited(event); }
    void operator()(const RequestArrived& event) const { impl.onRequestArrived(event); }
    void operator()(const AttemptEnded& event) const { impl.onAttemptEnded(event); }
    void operator()(const StreamStarted& event) const { impl.onStreamStarted(event); }
    void operator()(const ProbeEnded& event) const { impl.onProbeEnded(event); }
    // Ignored, since the policy never reserves capacity: it selects decode engines after the prefill.
    void operator()(const ReservationResult&) const {}
    void operator()(const TimerFired& event) const { impl.onTimerFired(event); }
    void operator()(const ClientDisconnected& event) const { impl.onClientDisconnected(event); }
    void operator()(const SettingsChanged& event) const { impl.onSettingsChanged(event); }
  };

  void onEngineListUpdate(const EngineListUpdate& update);
  void onEngineListAwaited(const EngineListAwaited& event);
  void onRequestArrived(const RequestArrived& arrival);
  void onAttemptEnded(const AttemptEnded& end);
  void onStreamStarted(const StreamStarted& start);
  void onProbeEnded(const ProbeEnded& end);
  void onTimerFired(const TimerFired& fired);
  void onClientDisconnected(const ClientDisconnected& disconnected);
  void onSettingsChanged(const SettingsChanged& changed);

  void applySettings();
  void doHousekeeping();

  // Each module refers only to modules declared above it.
  policy::DecisionContext context_;
  policy::PromptStatistics prompts_{context_};
  policy::RoleAggregates aggregates_;
  policy::SlowStart slowStart_{context_, aggregates_, prompts_};
  policy::EngineRegistry registry_{slowStart_};
  policy::EngineHealth health_{context_, registry_, slowStart_};
  policy::LoadScores loads_{context_, registry_};
  policy::CostModel costs_{context_, registry_, aggregates_, prompts_, loads_};
  policy::StreamPace pace_{context_, registry_};
  policy::PrefixAffinity affinity_{context_, registry_, aggregates_};
  policy::RetrySafety retrySafety_{context_};
  policy::EngineEligibility eligibility_{health_, slowStart_, retrySafety_};
  policy::DecodeSelector decodeSelector_{context_, registry_, aggregates_, loads_,
                                         costs_,   pace_,     health_,     eligibility_};
  policy::PrefillSelector prefillSelector_{context_, registry_,    costs_,         affinity_,
                                           health_,  eligibility_, decodeSelector_};
  policy::ServiceRate serviceRate_{context_, aggregates_, costs_};
  policy::AdmissionControl admission_{context_, costs_, serviceRate_};
  policy::Probing probing_{context_, registry_, loads_};
  policy::AttemptManager attempts_{context_, registry_, slowStart_, health_, costs_, retrySafety_};
  policy::OutcomeRecorder recorder_{registry_, aggregates_, prompts_, costs_, pace_, affinity_, health_};
  policy::RequestLifecycle lifecycle_{{context_, registry_, health_, affinity_, pace_, retrySafety_,
                                       prefillSelector_, decodeSelector_, costs_, admission_, serviceRate_,
                                       attempts_, probing_}};
  bool started_ = false;  // the first event was handled
};

void Policy::Impl::onEngineListUpdate(const EngineListUpdate& update) {
  const bool first = !std::exchange(started_, true);
  if (first) costs_.recordIdle();
  if (update.scope == EngineListUpdate::Scope::kFetchFailed) {
    const Duration pause = policy::kEngineListRetryPause * (0.5 + context_.randomUnit());
    context_.emit(SetTimer{context_.now() + pause, {policy::kEngineListRetryTimer}});
  } else {
    registry_.apply(update);
  }
  if (!first) return;
  if (context_.settings().subscribeToDiscovery) context_.emit(SubscribeToEngineList{});
  doHousekeeping();
}

void Policy::Impl::onEngineListAwaited(const EngineListAwaited& event) {
  const bool wasAwaited = registry_.isListAwaited();
  registry_.setListAwaited(event.awaited);
  if (wasAwaited && !event.awaited) lifecycle_.dispatchQueue();
}

void Policy::Impl::onRequestArrived(const RequestArrived& arrival) {
  prompts_.recordPrompt(arrival.promptTokens);
  lifecycle_.open(arrival);
}

void Policy::Impl::onAttemptEnded(const AttemptEnded& end) {
  loads_.recordReport(end.engine, end.load);
  policy::Request* const request = lifecycle_.find(end.id);
  if (request == nullptr || !request->attemptInFlight) return;
  recorder_.recordEnd(*request, end);
  attempts_.onEnded(*request);
  lifecycle_.onAttemptEnded(*request, end);
}

void Policy::Impl::onStreamStarted(const StreamStarted& start) {
  policy::Request* const request = lifecycle_.find(start.id);
  if (request == nullptr || !request->attemptInFlight) return;
  if (request->stage == policy::RequestStage::kStreaming) return;
  policy::Engine& engine = registry_.findOrCreate(start.engine);
  recorder_.recordFirstToken(*request, engine);
  attempts_.onStreamStarted(*request, engine);
  request->state.end();
  recorder_.recordStreamStarted(*request, engine);
}

void Policy::Impl::onProbeEnded(const ProbeEnded& end) {
  loads_.recordReport(end.engine, end.load);
  lifecycle_.dispatchQueue();
  policy::Engine* const engine = registry_.find(end.engine);
  if (engine != nullptr && end.outcome == Outcome::kConnectFailed) {
    health_.recordProbeConnectFailure(*engine);
  }
}

void Policy::Impl::onTimerFired(const TimerFired& fired) {
  if (fired.timer.value == policy::kEngineListRetryTimer) {
    context_.emit(SubscribeToEngineList{});
  } else {
    doHousekeeping();
  }
}

void Policy::Impl::onClientDisconnected(const ClientDisconnected& disconnected) {
  policy::Request* const request = lifecycle_.find(disconnected.id);
  if (request != nullptr && !request->answered) lifecycle_.close(*request);
}

// Learned data is kept. Open requests keep their class, whose index does not change.
void Policy::Impl::onSettingsChanged(const SettingsChanged& changed) {
  Settings settings = changed.settings;
  settings.zone = context_.settings().zone;
  context_.applySettings(std::move(settings));
  applySettings();
}

void Policy::Impl::applySettings() {
  pace_.applySettings();
  admission_.applySettings();
}

void Policy::Impl::doHousekeeping() {
  context_.emit(SetTimer{context_.now() + policy::kHousekeepingPeriod, {policy::kHousekeepingTimer}});
  lifecycle_.checkAll();
  aggregates_.update(registry_.engines());
  loads_.update();
  costs_.updatePriors();
  pace_.update();
  lifecycle_.dispatchQueue();
  probing_.probeDecodeEngines();
  registry_.removeIdle();
  affinity_.prune();
}

Policy::Policy(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;
Policy::~Policy() = default;

void Policy::handle(Instant now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

}  // namespace gannetcourse
