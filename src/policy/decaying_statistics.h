// Statistics that give recent samples the most weight. They contain no tuned values: the decay is a parameter
// of their functions.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <utility>
#include <vector>

#include "gannetcourse/policy.h"

namespace gannetcourse::policy {

/// Weights of old samples, new samples and the prior in a DecayingMean.
struct LearningRate {
  Duration decay;       ///< Time in which the weight of the samples falls to 1/e.
  double maxSamples;    ///< Upper limit of the samples' total weight.
  double priorSamples;  ///< Weight of the prior, in samples.
};

/// A mean of samples that decays to the prior passed to get() when no new samples arrive. T: double or
/// Duration.
template <typename T>
class DecayingMean {
 public:
  /// `now` must not decrease between calls.
  void add(T sample, Instant now, const LearningRate& rate) {
    weight_ = std::min(weightAt(now, rate) + 1, rate.maxSamples);
    value_ += (sample - value_) / weight_;
    at_ = now;
  }
  /// The mean at `now`; the prior if there is no sample.
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

/// A sum whose terms decay exponentially. All calls on one sum must pass the same decay time.
class DecayingSum {
 public:
  /// The decayed sum at `now`.
  double get(Instant now, Duration decay) const { return level_ * std::exp((at_ - now) / decay); }
  void set(double level, Instant now) {
    level_ = level;
    at_ = now;
  }
  void add(double amount, Instant now, Duration decay) { set(get(now, decay) + amount, now); }

 private:
  double level_ = 0;
  Instant at_{};
};

/// The upper median of the values, which must not be empty.
template <typename T>
T medianOf(std::vector<T> values) {
  const auto half = values.begin() + static_cast<long>(values.size() / 2);
  std::nth_element(values.begin(), half, values.end());
  return *half;
}

/// The samples of a sliding time window. T: double or Duration.
template <typename T>
class SlidingWindowSamples {
 public:
  /// `now` must not decrease between calls.
  void add(T sample, Instant now) { samples_.emplace_back(now, sample); }

  /// Drops samples older than `since` and returns the median of the others, or `fallback` if there are none.
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
