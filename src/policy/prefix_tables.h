// Estimates of what engines have in their prefix caches, and of how popular shared prefixes are.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "decaying_statistics.h"
#include "gannetcourse/policy.h"
#include "units.h"

namespace gannetcourse::policy {

/// Tokens of a prefix that engines have cached, by this router's own record. They decay: new text displaces
/// old text in an engine's cache.
class CachedPrefixTable {
 public:
  /// `since`: start of the engine's process; what an earlier one had cached is lost. Key 0 = no prefix.
  Tokens cachedTokens(std::uint64_t key, EngineId engine, Instant since, Instant now) const;
  /// The engine has this many tokens of the prefix cached now.
  void record(std::uint64_t key, EngineId engine, Tokens tokens, Instant now);
  /// Drops old entries once there are very many.
  void prune(Instant now);

 private:
  struct Entry {
    EngineId engine;
    Tokens tokens;
    Instant at;
  };

  std::unordered_map<std::uint64_t, std::vector<Entry>> entries_;  // never iterated for a decision: no order
};

/// How often each shared prefix was requested lately, by requests that were never started as well.
class PrefixPopularity {
 public:
  /// A request with the prefix has arrived.
  void record(std::uint64_t prefix, Instant now);
  /// The prefix's fraction of all requests, one request of its own left out.
  double fractionOf(std::uint64_t prefix, Instant now) const;
  /// Drops rare prefixes once there are very many.
  void prune(Instant now);

 private:
  std::unordered_map<std::uint64_t, DecayingSum> requests_;  // by prefix; never iterated for a decision
  DecayingSum allRequests_;
};

}  // namespace gannetcourse::policy
