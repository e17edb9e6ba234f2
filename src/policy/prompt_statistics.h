// Mean lengths of the prompts that this router receives.
#pragma once

#include <algorithm>

#include "decision_context.h"
#include "tuning.h"

namespace gannetcourse::policy {

/// Owns the mean length of prompts and the mean of their uncached tokens.
class PromptStatistics {
 public:
  explicit PromptStatistics(const DecisionContext& context) : context_(context) {}

  /// A request with this many prompt tokens has arrived.
  void recordPrompt(Tokens prompt) { prompt_.add(prompt, context_.now(), kLearning); }
  /// A prefill has ended; its engine had to prefill `uncached` tokens of the prompt.
  void recordUncached(Tokens uncached) { uncached_.add(uncached, context_.now(), kLearning); }

  /// Mean prompt length of arriving requests.
  Tokens meanPrompt() const { return prompt_.get(context_.now(), kPromptPrior, kLearning); }
  /// Mean number of uncached tokens per prefill.
  Tokens meanUncached() const { return uncached_.get(context_.now(), kUncachedPromptPrior, kLearning); }
  /// The request's prompt length relative to the mean, at least 1.
  double weightOf(const Request& request) const {
    return std::max(1.0, request.arrival.promptTokens / std::max(1.0, meanPrompt()));
  }

 private:
  const DecisionContext& context_;
  DecayingMean<Tokens> prompt_, uncached_;
};

}  // namespace gannetcourse::policy
