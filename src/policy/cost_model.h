// What work at an engine takes: prefill, transfer of a state, the wait for a first token. Learned from
// attempts.
#pragma once

#include <map>
#include <utility>

#include "decision_context.h"
#include "engine_registry.h"
#include "load_score.h"
#include "prompt_statistics.h"
#include "role_aggregates.h"

namespace gannetcourse::policy {

/// How far a state goes from its prefill engine to a decode engine.
enum class LinkKind { kSameCell, kSameZone, kOtherZone };
inline constexpr LinkKind kLinkKinds[] = {LinkKind::kSameCell, LinkKind::kSameZone, LinkKind::kOtherZone};

/// The link from a prefill engine to a decode engine.
LinkKind linkBetween(const Engine& from, const Engine& to);

/// Owns the costs that engines of a role share, and the performance records of the engines.
class CostModel {
 public:
  CostModel(const DecisionContext& context, const EngineRegistry& registry, const RoleAggregates& aggregates,
            PromptStatistics& prompts, const LoadScores& loads)
      : context_(context), registry_(registry), aggregates_(aggregates), prompts_(prompts), loads_(loads) {}

  /// Takes the medians of recent samples as priors; to be called once each housekeeping period.
  void updatePriors();

  /// Prefill time of a token where nothing queues.
  Duration prefillTimePerToken(const Engine& engine) const;
  /// Until a prefill of this many uncached tokens would end there, what queues included.
  Duration prefillTime(const Engine& engine, Tokens uncached) const;
  /// How long an attempt would wait at a decode engine before its first token.
  Duration firstTokenWait(const Engine& engine) const;
  /// Of a state of this many tokens, the cost of the distance included.
  Duration transferTime(const Engine& from, LinkKind link, Tokens tokens) const;
  /// How long prefills, or waits for decode engines' first tokens, took lately at the request's stage.
  Duration typicalDuration(const Request& request) const;
  /// What all routers have at an engine, from this router's own part and its mean over the role's engines.
  Tokens acrossRouters(Tokens own, Tokens mean) const;

  /// A prefill has ended well; `cachedTokens` as reported.
  void recordPrefill(Engine& engine, const Request& request, Duration elapsed, Tokens cachedTokens);
  /// The first token of the request's attempt has come.
  void recordFirstToken(Engine& engine, const Request& request);
  /// An attempt that did not answer in time took at least so long.
  void recordNoAnswer(const Request& request, Duration elapsed);
  /// If the request's state was on its way over a link, counts the time as the link's. False if it was not.
  bool recordSlowTransfer(const Engine& decodeEngine, const Request& request, Duration elapsed);

 private:
  using LinkKey = std::pair<std::uint32_t, LinkKind>;  // cell of the prefill engine

  /// Weight of this router's own part in an estimate of all routers' work, 0..1.
  double ownWeight(Tokens mean) const;
  void recordWait(Engine& engine, Duration wait);
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

  std::map<LinkKey, DecayingMean<Duration>> transferCosts_;  // of a token
  DecayingMean<Duration> typicalPrefill_, typicalFirstToken_;
  SlidingWindowSamples<Duration> prefillCosts_;  // of a token
  SlidingWindowSamples<Duration> prefillWaits_, decodeWaits_;
  Duration baseCost_ = kPrefillCostPrior;  // of a token where nothing queues
  Duration prefillCostPrior_ = kPrefillCostPrior;
  Duration decodeWaitPrior_ = kFirstTokenWaitPrior;
  Duration prefillWaitPrior_{0};
};

}  // namespace gannetcourse::policy
