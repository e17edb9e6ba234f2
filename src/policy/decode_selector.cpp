#include "decode_selector.h"

#include <algorithm>

#include "tuning.h"

namespace gannetcourse::policy {
namespace {

constexpr Duration kNoCost{1e18};

// Id of the cell or zone within which a link of this kind connects the engine; 0 = all engines.
std::uint32_t scopeIdOf(LinkKind link, const Engine& engine) {
  switch (link) {
    case LinkKind::kSameCell:
      return engine.entry.cell;
    case LinkKind::kSameZone:
      return engine.entry.zone;
    case LinkKind::kOtherZone:
      break;
  }
  return 0;
}

Tokens memoryOf(const Engine& engine) {
  return engine.entry.memoryTokens > 0 ? engine.entry.memoryTokens : kEngineMemoryPrior;
}

}  // namespace

Engine* DecodeSelector::select(const Request& request, const Engine& from, HealthRule rule) {
  CheapestEngine cheapest;
  for (auto& [id, engine] : registry_.engines()) {
    if (!engine.canDecode() || !eligibility_.isEligible(engine, request, rule)) continue;
    const Duration transfer =
        costs_.transferCost(from, linkBetween(from, engine), request.arrival.promptTokens);
    cheapest.offer(request, engine, transfer + estimate(engine, request).cost);
  }
  return cheapest.engine();
}

LeastDecodeCosts DecodeSelector::leastCosts(const Request& request) const {
  LeastDecodeCosts least = leastCosts(request, HealthRule::kHealthyOnly);
  if (least.empty()) return leastCosts(request, HealthRule::kAny);
  return least;
}

LeastDecodeCosts DecodeSelector::leastCosts(const Request& request, HealthRule rule) const {
  LeastDecodeCosts least;
  for (const auto& [id, engine] : registry_.engines()) {
    if (!engine.canDecode() || !eligibility_.isEligible(engine, request, rule)) continue;
    const DecodeEstimate decode = estimate(engine, request);
    for (const LinkKind link : kLinkKinds) {
      DecodeEstimate& best = least.try_emplace({link, scopeIdOf(link, engine)}, decode).first->second;
      if (decode.cost < best.cost) best = decode;
    }
  }
  return least;
}

// If no decode engine is eligible, the next one is assumed to be as fast as the others of late.
DecodeEstimate DecodeSelector::afterPrefill(const Engine& from, const Request& request,
                                            const LeastDecodeCosts& least) const {
  if (least.empty()) return {costs_.usualFirstTokenWait(), costs_.usualFirstTokenWait()};
  DecodeEstimate best{kNoCost, kNoCost};
  for (const LinkKind link : kLinkKinds) {
    const auto it = least.find({link, scopeIdOf(link, from)});
    if (it == least.end()) continue;
    const Tokens tokens = request.arrival.promptTokens;
    const Duration cost = it->second.cost + costs_.transferCost(from, link, tokens);
    if (cost < best.cost) best = {cost, it->second.time + costs_.transferTime(from, link, tokens)};
  }
  return best;
}

// Mixed engines are used for states of other engines only if no pure decode engine is eligible.
DecodeEstimate DecodeSelector::estimate(const Engine& engine, const Request& request) const {
  const Duration ownQueue = engine.attempts.awaitingFirstToken * costs_.firstTokenWait(engine);
  const Duration roleCost = engine.entry.role == Role::kMixed ? kLastResortCost : Duration(0);
  const DecodeEstimate wait = waitAt(engine, request);
  return {wait.cost + ownQueue + roleCost, wait.time + ownQueue};
}

// An engine that has a queue, or whose memory this request would overfill, costs the time until a stream ends
// there; one whose streams are slow costs the time that this stream would take longer.
DecodeEstimate DecodeSelector::waitAt(const Engine& engine, const Request& request) const {
  const double utilization = memoryUtilization(engine) + request.memoryNeeded / memoryOf(engine);
  const bool queues = loads_.freshReport(engine).requestsQueued.value_or(0) >= 1;
  const Duration time = costs_.firstTokenWait(engine) * (kLoadScoreOffset + engine.process.load.score);
  Duration cost = time + health_.penalty(engine, request);
  if (utilization > kMemoryNearlyFull || queues) cost += pace_.timeUntilStreamEnds(engine);
  cost += pace_.usualLength() * std::max(0.0, pace_.slowdown(engine) - kSlowPace);
  cost += kOverfillCost * std::max(0.0, utilization - kMemoryNearlyFull);
  return {cost, time};
}

// Share of the engine's memory that is in use: the reported share plus the attempts started since the report;
// without a report, an estimate from this router's own attempts.
double DecodeSelector::memoryUtilization(const Engine& engine) const {
  const LoadReport report = loads_.freshReport(engine);
  const Tokens memory = memoryOf(engine);
  const Tokens own = engine.attempts.decodeTokens;
  const double estimate = costs_.estimateAcrossRouters(own, aggregates_.of(engine).decodeTokens) / memory;
  const Tokens recent = engine.process.recentTokens.get(context_.now(), kReportLag);
  // On average the report already includes half of the attempts started within kReportLag.
  const double sinceReport = std::min(estimate, recent * context_.settings().routerCount / 2 / memory);
  const double utilization = report.memoryUtilization ? *report.memoryUtilization + sinceReport : estimate;
  return std::max({utilization, own / memory, report.slotUtilization.value_or(0)});
}

}  // namespace gannetcourse::policy
