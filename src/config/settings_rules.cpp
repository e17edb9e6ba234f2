#include "config/settings_rules.h"

namespace gannetcourse::config {
namespace {

const Duration kPolicyInterval{0.02};  // interval at which the decision module handles due work
const Duration kMaxResponseMargin{5};
constexpr int kMinAttempts = 2;  // one prefill and one decode

// Rule 1: each request gets exactly one final response before its deadline.
void checkResponseMargin(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  const Element limits = root.child("limits").value_or(root);
  if (settings.responseMargin >= kPolicyInterval && settings.responseMargin <= kMaxResponseMargin) return;
  faults.push_back(limits.fault("rule 1 (one response before the deadline): limits answer-margin " +
                                    formatDuration(settings.responseMargin) +
                                    " must be at least 20ms and at most 5s",
                                "set it to the delay of the network and of a busy event loop, such as 60ms"));
}

void checkFirstTokenTimeouts(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  const std::vector<Element> elements = root.child("classes")->children();
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const ClassLimits& limits = settings.classes[i];
    const Duration timeout = limits.firstTokenTimeout;
    if (timeout.count() <= 0) continue;
    if (timeout <= settings.responseMargin + 4 * kPolicyInterval)
      faults.push_back(
          elements[i].fault("rule 1 (one response before the deadline): first-token-within of class '" +
                                limits.name + "' must be more than answer-margin + 80ms",
                            "increase it or decrease answer-margin"));
    if (timeout < settings.policy.classes[i].ttftObjective)
      faults.push_back(elements[i].fault(
          "first-token-within of class '" + limits.name + "' must be at least the class's aim",
          "increase it or decrease the aim"));
  }
}

void checkMaxAttempts(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  if (settings.policy.maxAttempts >= kMinAttempts) return;
  const Element limits = root.child("limits").value_or(root);
  faults.push_back(limits.fault(
      "limits max-attempts must be at least 2: a request needs one prefill and one decode", "increase it"));
}

// Rule 3: no new call reaches a draining engine after its drain grace.
void checkDrainGrace(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  if (settings.connectTimeout < settings.drainGrace) return;
  const Element engines = root.child("engines").value_or(root);
  faults.push_back(engines.fault(
      "rule 3 (no new calls after the drain grace): engines connect-timeout " +
          formatDuration(settings.connectTimeout) + " must be less than limits drain-grace " +
          formatDuration(settings.drainGrace) + ": otherwise a call could reach a draining engine too late",
      "decrease connect-timeout or increase drain-grace"));
}

// Rule 4: no engine is overloaded during its slow start.
void checkSlowStart(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  const Settings& policy = settings.policy;
  const bool valid = policy.slowStartInitialCapacity > 0 && policy.slowStartOverloadFactor > 1 &&
                     policy.slowStartWindow.count() > 0 && policy.slowStartDuration >= policy.slowStartWindow;
  if (valid) return;
  const Element slowStart = root.child("cold-start").value_or(root);
  faults.push_back(slowStart.fault(
      "rule 4 (no overload during slow start): cold-start start-capacity must be more than 0, "
      "overload-factor more than 1, window more than 0s and warm-after at least window",
      "choose values that an engine can sustain right after its start"));
}

// Rule 5: no state outlives its lease.
void checkStateLease(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  const Duration limit = settings.policy.stateLeaseLimit;
  if (limit >= 6 * kPolicyInterval) return;
  const Element limits = root.child("limits").value_or(root);
  faults.push_back(
      limits.fault("rule 5 (no state kept after its lease): limits pin-limit " + formatDuration(limit) +
                       " must be at least 120ms: with less, a state may expire before its decode takes it",
                   "increase it"));
}

}  // namespace

void checkRules(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  checkResponseMargin(root, settings, faults);
  checkFirstTokenTimeouts(root, settings, faults);
  checkMaxAttempts(root, settings, faults);
  checkDrainGrace(root, settings, faults);
  checkSlowStart(root, settings, faults);
  checkStateLease(root, settings, faults);
}

}  // namespace gannetcourse::config
