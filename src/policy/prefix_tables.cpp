#include "prefix_tables.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "tuning.h"

namespace gannetcourse::policy {
namespace {

// Makes room in a table that exceeds kMaxPrefixEntries: erases the entries of the lowest rank, and all of the
// same rank, so that the result does not depend on the table's order.
template <typename Table, typename Rank>
void eraseLowest(Table& table, const Rank& rank) {
  if (table.size() <= kMaxPrefixEntries) return;
  std::vector<decltype(rank(table.begin()->second))> ranks;
  ranks.reserve(table.size());
  for (const auto& [key, value] : table) ranks.push_back(rank(value));
  const auto last = ranks.begin() + static_cast<std::ptrdiff_t>(table.size() - kPrefixEntriesKept);
  std::nth_element(ranks.begin(), last, ranks.end());
  std::erase_if(table, [&](const auto& item) { return rank(item.second) <= *last; });
}

}  // namespace

Tokens CachedPrefixTable::cachedTokens(std::uint64_t key, EngineId engine, Instant since, Instant now) const {
  const auto it = key == 0 ? entries_.end() : entries_.find(key);
  if (it == entries_.end()) return 0;
  for (const Entry& entry : it->second) {
    if (entry.engine == engine && entry.at >= since) {
      return entry.tokens * std::exp((entry.at - now) / kCachedPrefixDecay);
    }
  }
  return 0;
}

void CachedPrefixTable::record(std::uint64_t key, EngineId engine, Tokens tokens, Instant now) {
  if (key == 0 || tokens <= 0) return;
  std::vector<Entry>& entries = entries_[key];
  const Instant oldest = now - kCachedPrefixDecay;
  std::erase_if(entries, [&](const Entry& entry) { return entry.engine == engine || entry.at < oldest; });
  entries.push_back({engine, tokens, now});
}

void CachedPrefixTable::prune(Instant now) {
  if (entries_.size() <= kMaxPrefixEntries) return;
  const Instant oldest = now - kCachedPrefixDecay / 2;
  std::erase_if(entries_, [oldest](const auto& item) { return item.second.back().at < oldest; });
  eraseLowest(entries_, [](const std::vector<Entry>& entries) { return entries.back().at; });
}

void PrefixPopularity::record(std::uint64_t prefix, Instant now) {
  requests_[prefix].add(1, now, kPopularityDecay);
  allRequests_.add(1, now, kPopularityDecay);
}

double PrefixPopularity::fractionOf(std::uint64_t prefix, Instant now) const {
  const auto it = requests_.find(prefix);
  const double others = it == requests_.end() ? 0 : it->second.get(now, kPopularityDecay) - 1;
  return others / (allRequests_.get(now, kPopularityDecay) + kPopularityPrior);
}

void PrefixPopularity::prune(Instant now) {
  if (requests_.size() <= kMaxPrefixEntries) return;
  std::erase_if(requests_,
                [now](const auto& item) { return item.second.get(now, kPopularityDecay) < kMinPopularity; });
  eraseLowest(requests_, [now](const DecayingSum& requests) { return requests.get(now, kPopularityDecay); });
}

}  // namespace gannetcourse::policy
