#include "prefix_affinity.h"

#include <algorithm>
#include <cmath>

#include "hashing.h"
#include "tuning.h"

namespace gannetcourse::policy {
namespace {

constexpr double kLeastLot = 1e-18;       // keeps the logarithm finite
constexpr double kFirstRankLimit = 1e18;  // above every rank
constexpr std::uint64_t kSpreadSalt = 2;

}  // namespace

void PrefixAffinity::recordPrefillStarted(const Engine& engine, const RequestArrived& request) {
  cached_.record(request.prefixKey, engine.entry.id, request.prefixTokens, context_.now());
}

void PrefixAffinity::recordPrefillEnded(const Engine& engine, const RequestArrived& request) {
  cached_.record(request.sessionKey, engine.entry.id, request.promptTokens, context_.now());
  cached_.record(request.prefixKey, engine.entry.id, request.prefixTokens, context_.now());
}

void PrefixAffinity::prune() {
  cached_.prune(context_.now());
  popularity_.prune(context_.now());
}

// The preferred engine's share is fixed, not learned: it only holds while all routers send there. A learned
// one fell under overload, and the sessions scattered for good.
Tokens PrefixAffinity::cachedTokens(const Engine& engine, const RequestArrived& request,
                                    const Engine* preferred) const {
  const Tokens ofPrefix = std::min(recorded(request.prefixKey, engine), request.prefixTokens);
  const Tokens known = std::max(recorded(request.sessionKey, engine), ofPrefix);
  const Tokens assumed = &engine == preferred ? kPreferredEngineCachedFraction * request.promptTokens : 0;
  return std::min(request.promptTokens, std::max(known, assumed));
}

// Rendezvous hashing, the same on all routers of a zone, with better odds for engines of the own zone.
const Engine* PrefixAffinity::preferredEngine(const RequestArrived& request) const {
  const std::uint64_t key = affinityKey(request);
  if (key == 0) return nullptr;
  const Engine* preferred = nullptr;
  double first = kFirstRankLimit;
  for (const auto& [id, engine] : registry_.engines()) {
    if (!engine.isServing() || engine.entry.role == Role::kDecode) continue;
    const double lot = std::max(kLeastLot, toUnitInterval(hashCombine(key, id.value)));
    const double rank = -std::log(lot) / (engine.entry.zone == context_.settings().zone ? kOwnZoneOdds : 1);
    if (rank >= first) continue;
    first = rank;
    preferred = &engine;
  }
  return preferred;
}

// A prefix that sessions share is cached best where all of them are prefilled: their preferred engines go by
// the prefix, on as many engines as its fraction of the requests needs.
std::uint64_t PrefixAffinity::affinityKey(const RequestArrived& request) const {
  if (request.prefixKey == 0) return request.sessionKey;
  const double fraction = popularity_.fractionOf(request.prefixKey, context_.now());
  const double engines = 1 + kPreferredEngineSpread * fraction * aggregates_.of(Role::kPrefill).engines;
  const double lot = toUnitInterval(hashCombine(request.sessionKey, kSpreadSalt));
  return hashCombine(request.prefixKey, static_cast<std::uint64_t>(lot * engines));
}

Tokens PrefixAffinity::recorded(std::uint64_t key, const Engine& engine) const {
  return cached_.cachedTokens(key, engine.entry.id, engine.slowStart.seenAt, context_.now());
}

}  // namespace gannetcourse::policy
