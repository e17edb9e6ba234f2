#include "prefill_selector.h"

#include "tuning.h"

namespace gannetcourse::policy {

PrefillPlan PrefillSelector::select(const Request& request) {
  const PrefillPlan plan = select(request, HealthRule::kHealthyOnly);
  return plan.engine != nullptr ? plan : select(request, HealthRule::kAny);
}

PrefillPlan PrefillSelector::select(const Request& request, HealthRule rule) {
  const LeastDecodeCosts decodeCosts = decode_.leastCosts(request);
  const Engine* const preferred = affinity_.preferredEngine(request.arrival);
  CheapestEngine cheapest;
  PrefillPlan best;
  for (auto& [id, engine] : registry_.engines()) {
    if (!canPrefill(engine) || !eligibility_.isEligible(engine, request, rule)) continue;
    const PrefillPlan plan = planOn(engine, request, preferred, decodeCosts);
    if (cheapest.offer(request, engine, costOf(plan, request))) best = plan;
  }
  return best;
}

PrefillPlan PrefillSelector::planOn(Engine& engine, const Request& request, const Engine* preferred,
                                    const LeastDecodeCosts& decodeCosts) const {
  PrefillPlan plan;
  plan.engine = &engine;
  plan.combinedPrefillAndDecode = !engine.isPrefill();
  plan.cachedTokens = affinity_.cachedTokens(engine, request.arrival, preferred);
  plan.queueWait = costs_.queueWait(engine);
  plan.prefillWork = costs_.prefillWork(engine, request.arrival.promptTokens - plan.cachedTokens);
  plan.decode = plan.combinedPrefillAndDecode ? decode_.waitAt(engine, request)
                                              : decode_.afterPrefill(engine, request, decodeCosts);
  return plan;
}

// A mixed engine is selected if its combined prefill and decode is faster. A decode engine that can prefill
// is selected only if no other engine is eligible. Uncached tokens cost more than their prefill time, because
// they evict cached prefixes that later requests would have used.
Duration PrefillSelector::costOf(const PrefillPlan& plan, const Request& request) const {
  const Engine& engine = *plan.engine;
  const Tokens uncached = request.arrival.promptTokens - plan.cachedTokens;
  const bool sameZone = engine.entry.zone == context_.settings().zone;
  Duration cost = plan.queueWait + plan.prefillWork +
                  kCacheMissWeight * costs_.prefillTimePerToken(engine) * uncached +
                  kLoadScoreCost * engine.process.load.score + health_.penalty(engine, request) +
                  (sameZone ? Duration(0) : kOtherZoneCost);
  cost += plan.decode.cost;
  if (engine.entry.role == Role::kDecode) cost += kLastResortCost;
  if (context_.now() + plan.timeToFirstToken() >= request.deadline) cost += kLastResortCost;
  return cost;
}

bool PrefillSelector::canPrefill(const Engine& engine) const {
  switch (engine.entry.role) {
    case Role::kPrefill:
    case Role::kMixed:
      return true;
    case Role::kDecode:
      return context_.settings().decodeCanPrefill;
    case Role::kUnknown:
      break;
  }
  return false;
}

}  // namespace gannetcourse::policy
