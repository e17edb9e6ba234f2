// Estimates of the time that engines need for prefill, for the transfer of a state and until a first token,
// learned from attempts.
#pragma once

#include <map>
#include <utility>

#include "decision_context.h"
#include "engine_registry.h"
#include "load_score.h"
#include "prompt_statistics.h"
#include "role_aggregates.h"

namespace gannetcourse::policy {

/// Distance between the prefill engine that keeps a state and a decode engine.
enum class LinkKind { kSameCell, kSameZone, kOtherZone };
inline constexpr LinkKind kLinkKinds[] = {LinkKind::kSameCell, LinkKind::kSameZone, LinkKind::kOtherZone};

/// The link from a prefill engine to a decode engine.
LinkKind linkBetween(const Engine& from, const Engine& to);

/// Owns the cost estimates shared by all engines of a role, and the prefill and wait figures of each engine's
/// PerformanceRecord.
class CostModel {
 public:
  CostModel(const DecisionContext& context, const EngineRegistry& registry, const RoleAggregates& aggregates,
            PromptStatistics& prompts, const LoadScores& loads)
      : context_(context), registry_(registry), aggregates_(aggregates), prompts_(prompts), loads_(loads) {}

  /// Sets the priors to the medians of recent samples from all engines. Must be called once per housekeeping
  /// period.
  void updatePriors();

  /// Prefill time of one token without queueing.
  Duration prefillTimePerToken(const Engine& engine) const;
  /// Time that a prefill of this many uncached tokens takes there without queueing.
  Duration prefillWork(const Engine& engine, Tokens uncached) const;
  /// Expected time until such a prefill could begin: the wait in the engine's queue.
  Duration queueWait(const Engine& engine) const;
  /// Time that a prefill of the mean number of uncached tokens takes without queueing.
  Duration usualPrefillWork() const;
  /// Time after which the router learns how an engine has got on with its work: the end of a usual prefill,
  /// seen in the next pass over the queue.
  Duration feedbackDelay() const;
  /// Expected wait of an attempt at a decode engine before its first token.
  Duration firstTokenWait(const Engine& engine) const;
  /// Recent median of the waits for a first token at all decode engines.
  Duration usualFirstTokenWait() const { return decodeWaitPrior_; }
  /// Expected transfer time of a state of this many tokens.
  Duration transferTime(const Engine& from, LinkKind link, Tokens tokens) const;
  /// Cost of the transfer: its time, and the delay of other transfers if engines share the link.
  Duration transferCost(const Engine& from, LinkKind link, Tokens tokens) const;
  /// Recent mean duration of attempts at the request's stage: of prefills, or of decodes until the first
  /// token.
  Duration typicalDuration(const Request& request) const;
  /// Estimates the tokens that all routers have at an engine, from this router's own tokens there and their
  /// mean over the engines of the role.
  Tokens estimateAcrossRouters(Tokens own, Tokens mean) const;

  /// No request waits and no prefill is in flight: there is nothing to hear of.
  void recordIdle() { lastNewsAt_ = context_.now(); }
  /// A prefill has succeeded; `cachedTokens` as reported by the engine.
  void recordPrefill(Engine& engine, const Request& request, Duration elapsed, Tokens cachedTokens);
  /// The first token of the request's attempt was received.
  void recordFirstToken(Engine& engine, const Request& request);
  /// An attempt had no answer within `elapsed`. Counts `elapsed` as the attempt's duration, which is at least
  /// as long.
  void recordNoAnswer(const Request& request, Duration elapsed);
  /// A prefill has ended without a result after `elapsed`. If that is longer than was expected, the engine's
  /// queue is at least as long as that tells.
  void recordUnfinishedPrefill(Engine& engine, const Request& request, Duration elapsed);
  /// Recent mean of the time by which prefills ended later than expected.
  Duration prefillDelay() const { return prefillDelay_.get(context_.now(), kDelayPrior, kLearning); }
  /// The same for attempts at the request's stage.
  Duration usualDelay(const Request& request) const {
    const DecayingMean<Duration>& delay =
        request.stage == RequestStage::kDecoding ? firstTokenDelay_ : prefillDelay_;
    return delay.get(context_.now(), kDelayPrior, kLearning);
  }
  /// If the request's state was in transfer to another cell, counts `elapsed` as transfer time of the link.
  /// Returns false otherwise.
  bool recordSlowTransfer(const Engine& decodeEngine, const Request& request, Duration elapsed);

 private:
  using LinkKey = std::pair<std::uint32_t, LinkKind>;  // cell of the prefill engine

  /// Weight of this router's own tokens in an estimate for all routers, 0..1.
  double ownWeight(Tokens mean) const;
  void recordWait(Engine& engine, Duration wait);
  void recordDelay(DecayingMean<Duration>& delay, const Request& request, Duration elapsed);
  void recordTransfer(const Engine& from, LinkKind link, Duration perToken);
  DecayingMean<Duration>& typicalOf(const Request& request) {
    return request.stage == RequestStage::kDecoding ? typicalFirstToken_ : typicalPrefill_;
  }
  SlidingWindowSamples<Duration>& waitsOf(const Engine& engine) {
    return engine.canDecode() ? decodeWaits_ : prefillWaits_;
  }

  const DecisionContext& context_;
  const EngineRegistry& registry_;
  const RoleAggregates& aggregates_;
  PromptStatistics& prompts_;
  const LoadScores& loads_;

  std::map<LinkKey, DecayingMean<Duration>> transferCosts_;  // per token
  DecayingMean<Duration> typicalPrefill_, typicalFirstToken_;
  // Of attempts against their expected duration; 0 for those that were not late.
  DecayingMean<Duration> prefillDelay_, firstTokenDelay_;
  DecayingMean<Duration> newsInterval_;  // from an end of a prefill, or from idleness, to the next end
  Instant lastNewsAt_{};                 // last end of a prefill, or idleness
  SlidingWindowSamples<Duration> prefillCosts_;  // per token
  SlidingWindowSamples<Duration> prefillWaits_, decodeWaits_;
  Duration baseCost_ = kPrefillCostPrior;  // prefill time per token without queueing
  Duration prefillCostPrior_ = kPrefillCostPrior;
  Duration decodeWaitPrior_ = kFirstTokenWaitPrior;
  Duration prefillWaitPrior_{0};
};

}  // namespace gannetcourse::policy
