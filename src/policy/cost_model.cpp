#include "cost_model.h"

#include <algorithm>

#include "load_report_bounds.h"
#include "tuning.h"

namespace gannetcourse::policy {
namespace {

constexpr Duration kLeastPrefillCost{1e-9};  // keeps ratios of costs finite

}  // namespace

LinkKind linkBetween(const Engine& from, const Engine& to) {
  if (from.entry.zone != to.entry.zone) return LinkKind::kOtherZone;
  return from.entry.cell == to.entry.cell ? LinkKind::kSameCell : LinkKind::kSameZone;
}

void CostModel::updatePriors() {
  const Instant since = context_.now() - kPeerSampleAge;
  prefillCostPrior_ = prefillCosts_.medianSince(since, kPrefillCostPrior);
  decodeWaitPrior_ = decodeWaits_.medianSince(since, kFirstTokenWaitPrior);
  prefillWaitPrior_ = prefillWaits_.medianSince(since, Duration(0));
}

// Queueing lengthens prefills, so the base cost follows the fastest tenth of the samples. An engine counts as
// slow only if it differs clearly from its peers; otherwise sessions would move on noise and lose their
// cached prefixes. It is not taken for slower than its own prefills were, queueing included: with few
// samples, the median of its peers may be far from them.
Duration CostModel::prefillTimePerToken(const Engine& engine) const {
  const Duration own =
      engine.process.performance.prefillCost.get(context_.now(), prefillCostPrior_, kLearning);
  if (own <= kSlowPrefillFactor * prefillCostPrior_) return baseCost_;
  const Duration slowed = baseCost_ * (own / std::max(prefillCostPrior_, kLeastPrefillCost));
  return std::clamp(slowed, baseCost_, std::max(baseCost_, own));
}

Duration CostModel::prefillWork(const Engine& engine, Tokens uncached) const {
  return prefillTimePerToken(engine) * (uncached + kPrefillFixedTokens);
}

Duration CostModel::usualPrefillWork() const {
  return baseCost_ * (prompts_.meanUncached() + kPrefillFixedTokens);
}

Duration CostModel::feedbackDelay() const {
  const Instant now = context_.now();
  const Duration untilAnswer = std::max(now - lastNewsAt_, newsInterval_.get(now, Duration(0), kLearning));
  return usualPrefillWork() + untilAnswer + kHousekeepingPeriod;
}

Duration CostModel::queueWait(const Engine& engine) const {
  const Tokens ownQueue = engine.attempts.queuedPrefillTokens;
  const std::optional<double>& reported = engine.process.load.report.requestsQueued;
  if (loads_.isQueueCurrent(engine) && reported) {  // the report covers the requests of all routers
    const Tokens queue = *reported * (prompts_.meanUncached() + kPrefillFixedTokens);
    return prefillTimePerToken(engine) * std::max(ownQueue, queue);
  }
  const double weight = ownWeight(aggregates_.of(engine).queuedPrefillTokens);
  const Tokens queue = ownQueue * (1 + (context_.settings().routerCount - 1) * weight);
  const Duration wait = engine.process.performance.wait.get(context_.now(), prefillWaitPrior_, kLearning);
  const double ofOthers = (context_.settings().routerCount - 1.0) / context_.settings().routerCount;
  return prefillTimePerToken(engine) * queue + (1 - weight) * ofOthers * wait;
}

Duration CostModel::firstTokenWait(const Engine& engine) const {
  return engine.process.performance.wait.get(context_.now(), decodeWaitPrior_, kLearning);
}

Duration CostModel::transferTime(const Engine& from, LinkKind link, Tokens tokens) const {
  const Duration prior = kTransferCostPrior[static_cast<int>(link)];
  const auto it = transferCosts_.find({from.entry.cell, link});
  const Duration perToken =
      it == transferCosts_.end() ? prior : it->second.get(context_.now(), prior, kLinkLearning);
  return perToken * tokens;
}

// Transfers share a link evenly, so this one delays another by about as long as it takes itself.
Duration CostModel::transferCost(const Engine& from, LinkKind link, Tokens tokens) const {
  const Duration time = transferTime(from, link, tokens);
  return link == LinkKind::kSameCell ? time : 2 * time;
}

Duration CostModel::typicalDuration(const Request& request) const {
  const DecayingMean<Duration>& typical =
      request.stage == RequestStage::kDecoding ? typicalFirstToken_ : typicalPrefill_;
  return typical.get(context_.now(), Duration(0), kLearning);
}

// Treats this router's tokens at an engine as a Poisson count with a gamma prior around the mean over the
// role's engines. If the router has few tokens at the engines, its count at a single engine says little about
// the other routers, so the estimate relies on the mean.
Tokens CostModel::estimateAcrossRouters(Tokens own, Tokens mean) const {
  const double weight = ownWeight(mean);
  return own + (context_.settings().routerCount - 1) * (weight * own + (1 - weight) * mean);
}

double CostModel::ownWeight(Tokens mean) const { return mean / (mean + prompts_.meanPrompt()); }

void CostModel::recordPrefill(Engine& engine, const Request& request, Duration elapsed, Tokens cachedTokens) {
  const Instant now = context_.now();
  typicalPrefill_.add(elapsed, now, kLearning);
  recordDelay(prefillDelay_, request, elapsed);
  newsInterval_.add(now - lastNewsAt_, now, kLearning);
  lastNewsAt_ = now;
  const Tokens prompt = request.arrival.promptTokens;
  const Tokens uncached = prompt - boundedCachedTokens(cachedTokens, prompt);
  prompts_.recordUncached(uncached);
  if (engine.isPrefill()) {
    recordWait(engine, elapsed - prefillTimePerToken(engine) * (uncached + kPrefillFixedTokens));
  }
  const Duration cost = elapsed / (uncached + kPrefillFixedTokens);
  prefillCosts_.add(cost, now);
  baseCost_ += (cost < baseCost_ ? kBaseCostStep : kBaseCostStep / kBaseCostStepRatio) * (cost - baseCost_);
  engine.process.performance.prefillCost.add(cost, now, kLearning);
}

void CostModel::recordFirstToken(Engine& engine, const Request& request) {
  const Duration elapsed = context_.now() - request.attemptStartedAt;
  const Engine* const from = registry_.find(request.prefillEngine);
  if (request.stage != RequestStage::kPrefilling && from != nullptr) {
    const LinkKind link = linkBetween(*from, engine);
    const Tokens tokens = request.arrival.promptTokens;
    if (link == LinkKind::kSameCell) {
      recordWait(engine, elapsed - transferTime(*from, link, tokens));
    } else {
      recordTransfer(*from, link, std::max(Duration(0), elapsed - firstTokenWait(engine)) / (tokens + 1));
    }
  }
  typicalOf(request).add(elapsed, context_.now(), kLearning);
  if (request.stage == RequestStage::kDecoding) recordDelay(firstTokenDelay_, request, elapsed);
}

void CostModel::recordNoAnswer(const Request& request, Duration elapsed) {
  typicalOf(request).add(elapsed, context_.now(), kLearning);
}

void CostModel::recordUnfinishedPrefill(Engine& engine, const Request& request, Duration elapsed) {
  if (request.stage != RequestStage::kPrefilling || elapsed <= request.expectedDuration) return;
  if (engine.isPrefill()) recordWait(engine, elapsed - request.prefillWork);
  recordDelay(prefillDelay_, request, elapsed);
}

// A state that does not arrive in time shows that the link is slow. All prefill engines of the cell share
// this link. If only completed transfers were counted, a congested link would look fast, and the decode
// engines would be taken for slow.
bool CostModel::recordSlowTransfer(const Engine& decodeEngine, const Request& request, Duration elapsed) {
  const Engine* const from = registry_.find(request.prefillEngine);
  if (request.stage != RequestStage::kDecoding || from == nullptr) return false;
  const LinkKind link = linkBetween(*from, decodeEngine);
  if (link == LinkKind::kSameCell) return false;
  recordTransfer(*from, link, elapsed / (request.arrival.promptTokens + 1));
  return true;
}

void CostModel::recordDelay(DecayingMean<Duration>& delay, const Request& request, Duration elapsed) {
  delay.add(std::max(Duration(0), elapsed - request.expectedDuration), context_.now(), kLearning);
}

void CostModel::recordWait(Engine& engine, Duration wait) {
  const Duration positive = std::max(Duration(0), wait);
  engine.process.performance.wait.add(positive, context_.now(), kLearning);
  waitsOf(engine).add(positive, context_.now());
}

void CostModel::recordTransfer(const Engine& from, LinkKind link, Duration perToken) {
  transferCosts_[{from.entry.cell, link}].add(perToken, context_.now(), kLinkLearning);
}

}  // namespace gannetcourse::policy
