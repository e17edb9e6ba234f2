// Tracks whether the engine list that a node has is confirmed by discovery. No I/O, no clock.
#pragma once

#include <optional>

#include "gannetcourse/policy.h"

namespace gannetcourse::node {

/// What a node knows of its engine list since its start, when the list is the one that an earlier process
/// had. A discovery that has taken the node's question and is slow to answer is awaited for a limited time;
/// one that cannot be reached is not, because then the old list is all that can be had.
class EngineListFreshness {
 public:
  explicit EngineListFreshness(Instant startedAt) : startedAt_(startedAt) {}

  /// Sets whether discovery has taken a question that it has not answered yet.
  void setQuestionTaken(bool taken) { questionTaken_ = taken; }
  /// Discovery has told a list, or that nothing has changed.
  void confirm() { confirmed_ = true; }
  bool isConfirmed() const { return confirmed_; }

  /// Whether the list should not be used yet by what can wait.
  bool isAwaited(Instant now) const;
  /// When isAwaited() may change without further input; empty if never.
  std::optional<Instant> nextChange(Instant now) const;

 private:
  Instant startedAt_;
  bool questionTaken_ = false;
  bool confirmed_ = false;
};

}  // namespace gannetcourse::node
