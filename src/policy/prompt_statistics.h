// The mean length of the prompts that this router sees.
#pragma once

#include <algorithm>

#include "decision_context.h"
#include "tuning.h"

namespace gannetcourse::policy {

/// Owns the learned mean prompt and the mean of a prompt's tokens that no prefix cache has.
class PromptStatistics {
 public:
  explicit PromptStatistics(const DecisionContext& context) : context_(context) {}

  /// A request has arrived.
  void recordPrompt(Tokens prompt) { prompt_.add(prompt, context_.now(), kLearning); }
  /// A prefill has ended; `uncached`: tokens of the prompt that its engine had to prefill.
  void recordUncached(Tokens uncached) { uncached_.add(uncached, context_.now(), kLearning); }

  /// Mean prompt of the requests that arrive.
  Tokens meanPrompt() const { return prompt_.get(context_.now(), kPromptPrior, kLearning); }
  /// Mean of the uncached tokens of a prompt.
  Tokens meanUncached() const { return uncached_.get(context_.now(), kUncachedPromptPrior, kLearning); }
  /// A request's work in mean requests; 1 at least.
  double weightOf(const Request& request) const {
    return std::max(1.0, request.arrival.promptTokens / std::max(1.0, meanPrompt()));
  }

 private:
  const DecisionContext& context_;
  DecayingMean<Tokens> prompt_, uncached_;
};

}  // namespace gannetcourse::policy
