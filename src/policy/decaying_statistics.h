// Statistics in which recent samples count most. They hold no tuned value: the caller says how fast to
// forget.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::policy {

/// How a DecayingMean weighs old samples, new ones and the prior.
struct LearningRate {
  Duration decay;       ///< Time in which the weight of the samples falls to 1/e.
  double maxSamples;    ///< Samples that the mean averages over at most.
  double priorSamples;  ///< Samples that the prior counts for.
};

/// A mean of samples; without new ones it returns to the prior given to get(). T: double or Duration.
template <typename T>
class DecayingMean {
 public:
  /// `now` must not go back between calls.
  void add(T sample, Instant now, const LearningRate& rate) {
    weight_ = std::min(weightAt(now, rate) + 1, rate.maxSamples);
    value_ += (sample - value_) / weight_;
    at_ = now;
  }
  /// The mean at `now`; the prior where no sample has come.
  T get(Instant now, T prior, const LearningRate& rate) const {
    const double weight = weightAt(now, rate);
    return (value_ * weight + prior * rate.priorSamples) / (weight + rate.priorSamples);
  }

 private:
  double weightAt(Instant now, const LearningRate& rate) const {
    return weight_ * std::exp((at_ - now) / rate.decay);
  }

  T value_{};
  double weight_ = 0;
  Instant at_{};
};

/// A sum whose terms decay exponentially. One sum is always used with the same decay time.
class DecayingSum {
 public:
  /// What is left of the sum at `now`.
  double get(Instant now, Duration decay) const { return level_ * std::exp((at_ - now) / decay); }
  /// Replaces the sum.
  void set(double level, Instant now) {
    level_ = level;
    at_ = now;
  }
  /// Adds a term.
  void add(double amount, Instant now, Duration decay) { set(get(now, decay) + amount, now); }

 private:
  double level_ = 0;
  Instant at_{};
};

/// The upper median of some values; there must be at least one.
template <typename T>
T medianOf(std::vector<T> values) {
  const auto half = values.begin() + static_cast<long>(values.size() / 2);
  std::nth_element(values.begin(), half, values.end());
  return *half;
}

/// The samples of a time window that moves on. T: double or Duration.
template <typename T>
class SlidingWindowSamples {
 public:
  /// `now` must not go back between calls.
  void add(T sample, Instant now) { samples_.emplace_back(now, sample); }

  /// Drops samples from before `since`; the median of the others, `fallback` where there are none.
  T medianSince(Instant since, T fallback) {
    while (!samples_.empty() && samples_.front().first < since) samples_.pop_front();
    if (samples_.empty()) return fallback;
    std::vector<T> values;
    values.reserve(samples_.size());
    for (const auto& [at, sample] : samples_) values.push_back(sample);
    return medianOf(std::move(values));
  }

 private:
  std::deque<std::pair<Instant, T>> samples_;
};

}  // namespace gannetcourse::policy
