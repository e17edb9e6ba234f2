// Prefix affinity: which server still keeps how much of which text, by this node's own record, and how
// popular the beginnings are that sessions share. Both are estimates.
#pragma once

#include <cmath>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "gannetcourse/policy.h"
#include "statistics.h"
#include "tuning.h"

namespace gannetcourse {

// Tokens of a text that servers keep. They age: new text pushes old text out of a server's memory.
class PrefixTable {
 public:
  // `since`: when the server's process started; what an earlier one kept is gone.
  double keptAt(std::uint64_t key, EngineId server, double since, double now) const {
    const auto it = key == 0 ? kept_.end() : kept_.find(key);
    if (it == kept_.end()) return 0;
    for (const Kept& k : it->second) {
      if (k.server == server && k.at >= since) return k.tokens * std::exp((k.at - now) / kKeepFor);
    }
    return 0;
  }

  void keep(std::uint64_t key, EngineId server, double tokens, double now) {
    if (key == 0 || tokens <= 0) return;
    std::vector<Kept>& list = kept_[key];
    std::erase_if(list, [&](const Kept& k) { return k.server == server || k.at < now - kKeepFor; });
    list.push_back({server, tokens, now});
  }

  void prune(double now) {
    if (kept_.size() <= kMostKept) return;
    std::erase_if(kept_, [now](const auto& e) { return e.second.back().at < now - kKeepFor / 2; });
  }

 private:
  struct Kept {
    EngineId server;
    double tokens, at;
  };

  std::unordered_map<std::uint64_t, std::vector<Kept>> kept_;  // never walked in its own order
};

// How often each shared beginning was asked for lately, also by requests that were never sent.
class PrefixPopularity {
 public:
  void add(std::uint64_t prefix, double now) {
    for (Fading* count : {&asked_[prefix], &askedAll_}) count->set(count->get(now, kPopular) + 1, now);
  }

  // The part of all requests that ask for it, one of its own left out.
  double partOf(std::uint64_t prefix, double now) const {
    const auto it = asked_.find(prefix);
    const double others = it == asked_.end() ? 0 : it->second.get(now, kPopular) - 1;
    return others / (askedAll_.get(now, kPopular) + kPopularPrior);
  }

  void prune(double now) {
    if (asked_.size() <= kMostKept) return;
    std::erase_if(asked_, [now](const auto& e) { return e.second.get(now, kPopular) < kForgotten; });
  }

 private:
  static constexpr double kForgotten = 0.5;  // requests that are left of what was counted

  std::unordered_map<std::uint64_t, Fading> asked_;  // never walked
  Fading askedAll_;
};

}  // namespace gannetcourse
