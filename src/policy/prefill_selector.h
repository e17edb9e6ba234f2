// Selection of a prefill engine by least time to first token, including the wait at a decode engine.
#pragma once

#include "cost_model.h"
#include "decode_selector.h"
#include "engine_eligibility.h"
#include "prefix_affinity.h"

namespace gannetcourse::policy {

/// A prefill engine for a request, with the expected times.
struct PrefillPlan {
  Engine* engine = nullptr;  ///< Null if none is eligible.
  Duration queueWait{0};     ///< Until the prefill begins.
  Duration prefillWork{0};   ///< The prefill itself.
  DecodeEstimate decode;     ///< From the prefill's end until the first token.
  Tokens cachedTokens = 0;
  bool combinedPrefillAndDecode = false;  ///< The engine also decodes, in the same attempt.

  /// Expected time from now until the first token.
  Duration timeToFirstToken() const { return queueWait + work(); }
  /// The part of it that is not the wait in the engine's queue.
  Duration work() const { return prefillWork + decode.time; }
};

/// Selects prefill engines. Holds no state of its own; all inputs come from the referenced modules.
class PrefillSelector {
 public:
  PrefillSelector(const DecisionContext& context, EngineRegistry& registry, const CostModel& costs,
                  const PrefixAffinity& affinity, const EngineHealth& health,
                  const EngineEligibility& eligibility, const DecodeSelector& decode)
      : context_(context),
        registry_(registry),
        costs_(costs),
        affinity_(affinity),
        health_(health),
        eligibility_(eligibility),
        decode_(decode) {}

  /// Selects among healthy engines, or among all if no healthy one is eligible.
  PrefillPlan select(const Request& request);

 private:
  PrefillPlan select(const Request& request, HealthRule rule);
  PrefillPlan planOn(Engine& engine, const Request& request, const Engine* preferred,
                     const LeastDecodeCosts& decodeCosts) const;
  Duration costOf(const PrefillPlan& plan, const Request& request) const;
  bool canPrefill(const Engine& engine) const;
  const DecisionContext& context_;
  EngineRegistry& registry_;
  const CostModel& costs_;
  const PrefixAffinity& affinity_;
  const EngineHealth& health_;
  const EngineEligibility& eligibility_;
  const DecodeSelector& decode_;
};

}  // namespace gannetcourse::policy
