// Small statistics and hashing. They hold no tuned value: what to forget and when is told by the caller.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace gannetcourse {

// A figure learned from samples: recent ones count most, and without new ones it fades towards `prior`.
class Learned {
 public:
  void add(double sample, double now, double forget, double memory) {
    weight_ = std::min(weightAt(now, forget) + 1, memory);
    value_ += (sample - value_) / weight_;
    at_ = now;
  }
  double get(double now, double prior, double forget, double priorWeight) const {
    const double weight = weightAt(now, forget);
    return (value_ * weight + prior * priorWeight) / (weight + priorWeight);
  }

 private:
  double weightAt(double now, double forget) const { return weight_ * std::exp((at_ - now) / forget); }
  double value_ = 0, weight_ = 0, at_ = 0;
};

// The upper middle of some values; there must be one.
inline double middleOf(std::vector<double> values) {
  const auto half = values.begin() + static_cast<long>(values.size() / 2);
  std::nth_element(values.begin(), half, values.end());
  return *half;
}

// The median of the samples since a time.
class Recent {
 public:
  void add(double sample, double now) { samples_.emplace_back(now, sample); }
  double middle(double since, double otherwise) {
    while (!samples_.empty() && samples_.front().first < since) samples_.pop_front();
    if (samples_.empty()) return otherwise;
    std::vector<double> values;
    for (const auto& [at, sample] : samples_) values.push_back(sample);
    return middleOf(std::move(values));
  }

 private:
  std::deque<std::pair<double, double>> samples_;
};

// A level that fades with time.
class Fading {
 public:
  double get(double now, double forget) const { return level_ * std::exp((at_ - now) / forget); }
  void set(double level, double now) { level_ = level, at_ = now; }

 private:
  double level_ = 0, at_ = 0;
};

// A well-mixed number of a key and an id, alike on every node.
inline std::uint64_t hashOf(std::uint64_t key, std::uint64_t id) {
  std::uint64_t x = key ^ (id * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// A hash as a number from 0 up to 1.
inline double unitOf(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1.0p-53; }

}  // namespace gannetcourse
