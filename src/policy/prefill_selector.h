// The choice of a prefill engine: least time to first token, together with the decode engine after it.
#pragma once

#include "cost_model.h"
#include "decode_selector.h"
#include "engine_eligibility.h"
#include "prefix_affinity.h"

namespace gannetcourse::policy {

/// A prefill engine for a request, and what is expected of it.
struct PrefillPlan {
  Engine* engine = nullptr;  ///< Null where none is eligible.
  Duration prefillTime{0};
  Duration decodeTime{0};  ///< After the prefill, until the first token.
  Tokens cachedTokens = 0;
  bool combinedPrefillAndDecode = false;  ///< The engine does the decode in the same attempt.

  /// From now on, as expected.
  Duration timeToFirstToken() const { return prefillTime + decodeTime; }
};

/// Holds no state: the selection follows from the modules below.
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

  /// Among healthy engines, or among all where no healthy one is eligible.
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
