// Tables of the prefixes that engines have cached and of the popularity of shared prefixes, both estimates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "decaying_statistics.h"
#include "gannetcourse/policy.h"
#include "units.h"

namespace gannetcourse::policy {

/// Tokens of each prefix that engines have cached, from this router's own attempts. The numbers decay over
/// time, because engines evict old prefixes for new ones.
class CachedPrefixTable {
 public:
  /// Estimated cached tokens of the prefix. Entries from before `since`, the start of the engine's process,
  /// are ignored. Key 0 = no prefix.
  Tokens cachedTokens(std::uint64_t key, EngineId engine, Instant since, Instant now) const;
  /// Stores that the engine now has this many tokens of the prefix cached.
  void record(std::uint64_t key, EngineId engine, Tokens tokens, Instant now);
  /// Drops the oldest entries once the table exceeds kMaxPrefixEntries.
  void prune(Instant now);
  std::size_t size() const { return entries_.size(); }  ///< In prefixes.

 private:
  struct Entry {
    EngineId engine;
    Tokens tokens;
    Instant at;
  };

  // By prefix key. Decisions must not iterate over this map, because its order is not deterministic.
  std::unordered_map<std::uint64_t, std::vector<Entry>> entries_;
};

/// Recent number of requests for each shared prefix, including requests that were never started.
class PrefixPopularity {
 public:
  /// A request with the prefix has arrived.
  void record(std::uint64_t prefix, Instant now);
  /// The prefix's fraction of recent requests, 0..1, not counting one request with it (the current one).
  double fractionOf(std::uint64_t prefix, Instant now) const;
  /// Drops the rarest prefixes once the table exceeds kMaxPrefixEntries.
  void prune(Instant now);
  std::size_t size() const { return requests_.size(); }  ///< In prefixes.

 private:
  // By prefix key. Decisions must not iterate over this map, because its order is not deterministic.
  std::unordered_map<std::uint64_t, DecayingSum> requests_;
  DecayingSum allRequests_;
};

}  // namespace gannetcourse::policy
