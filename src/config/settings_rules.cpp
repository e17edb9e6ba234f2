#include "config/settings_rules.h"

namespace gannetcourse::config {
namespace {

const Duration kPolicyInterval{0.02};  // the decision module acts on what has come due this often
const Duration kMaxResponseMargin{5};
constexpr int kMinAttempts = 2;  // one prefill and one decode

// Rule 1: each request has one answer, in time.
void checkResponseMargin(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  const Element limits = root.child("limits").value_or(root);
  if (settings.responseMargin >= kPolicyInterval && settings.responseMargin <= kMaxResponseMargin) return;
  faults.push_back(limits.fault("rule 1 (one answer in time): answer-margin " +
                                    formatDuration(settings.responseMargin) + " is not in 20ms..5s",
                                "choose what covers the network and a busy loop, such as 60ms"));
}

void checkFirstTokenTimeouts(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  const std::vector<Element> elements = root.child("classes")->children();
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const ClassLimits& limits = settings.classes[i];
    const Duration timeout = limits.firstTokenTimeout;
    if (timeout.count() <= 0) continue;
    if (timeout <= settings.responseMargin + 4 * kPolicyInterval)
      faults.push_back(elements[i].fault("rule 1 (one answer in time): first-token-within of '" +
                                             limits.name + "' leaves nothing after answer-margin",
                                         "raise it or lower answer-margin"));
    if (timeout < settings.policy.classes[i].ttftObjective)
      faults.push_back(
          elements[i].fault("first-token-within of '" + limits.name + "' is shorter than its aim",
                            "raise it or lower the aim"));
  }
}

void checkMaxAttempts(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  if (settings.policy.maxAttempts >= kMinAttempts) return;
  const Element limits = root.child("limits").value_or(root);
  faults.push_back(limits.fault("max-attempts is under 2: a read and a write are two", "raise it"));
}

// Rule 3: nothing new reaches an engine after its drain grace.
void checkDrainGrace(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  if (settings.connectTimeout < settings.drainGrace) return;
  const Element engines = root.child("engines").value_or(root);
  faults.push_back(engines.fault("rule 3 (drains are kept): connect-timeout " +
                                     formatDuration(settings.connectTimeout) + " is not under drain-grace " +
                                     formatDuration(settings.drainGrace) +
                                     ": a call could reach a draining engine too late",
                                 "lower connect-timeout"));
}

// Rule 4: no engine is overloaded while it warms up.
void checkSlowStart(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  const Settings& policy = settings.policy;
  const bool valid = policy.slowStartInitialCapacity > 0 && policy.slowStartOverloadFactor > 1 &&
                     policy.slowStartWindow.count() > 0 && policy.slowStartDuration >= policy.slowStartWindow;
  if (valid) return;
  const Element slowStart = root.child("cold-start").value_or(root);
  faults.push_back(slowStart.fault(
      "rule 4 (no cold engine pushed over): start-capacity must be over 0, overload-factor over 1, "
      "window over 0 and warm-after at least the window",
      "state what an engine bears right after its start"));
}

// Rule 5: no state outlives its lease.
void checkStateLease(const Element& root, const NodeSettings& settings, std::vector<Fault>& faults) {
  const Duration limit = settings.policy.stateLeaseLimit;
  if (limit >= 6 * kPolicyInterval) return;
  const Element limits = root.child("limits").value_or(root);
  faults.push_back(limits.fault("rule 5 (nothing left pinned): pin-limit " + formatDuration(limit) +
                                    " is under 120ms, too short for a state to be handed on",
                                "raise it"));
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
