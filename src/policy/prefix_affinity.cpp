#include "prefix_affinity.h"

#include <algorithm>
#include <cmath>

#include "hashing.h"
#include "tuning.h"

namespace gannetcourse::policy {
namespace {

constexpr double kMinHashFraction = 1e-18;  // keeps the logarithm finite
constexpr double kMaxRank = 1e18;           // above every rank
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

// The share that is assumed to be cached at the preferred engine is a constant. If the share were learned, it
// would fall under overload, when sessions move to other engines. The routers would then stop preferring the
// engine, and sessions would stay scattered over all engines.
Tokens PrefixAffinity::cachedTokens(const Engine& engine, const RequestArrived& request,
                                    const Engine* preferred) const {
  const Tokens ofPrefix = std::min(recorded(request.prefixKey, engine), request.prefixTokens);
  const Tokens known = std::max(recorded(request.sessionKey, engine), ofPrefix);
  const Tokens assumed = &engine == preferred ? kPreferredEngineCachedFraction * request.promptTokens : 0;
  return std::min(request.promptTokens, std::max(known, assumed));
}

// Weighted rendezvous hashing with the same result on all routers of a zone; engines of the own zone weigh
// more.
const Engine* PrefixAffinity::preferredEngine(const RequestArrived& request) const {
  const std::uint64_t key = affinityKey(request);
  if (key == 0) return nullptr;
  const Engine* preferred = nullptr;
  double lowestRank = kMaxRank;
  for (const auto& [id, engine] : registry_.engines()) {
    if (!engine.isServing() || engine.entry.role == Role::kDecode) continue;
    const double fraction = std::max(kMinHashFraction, toUnitInterval(hashCombine(key, id.value)));
    const double rank =
        -std::log(fraction) / (engine.entry.zone == context_.settings().zone ? kOwnZoneWeight : 1);
    if (rank >= lowestRank) continue;
    lowestRank = rank;
    preferred = &engine;
  }
  return preferred;
}

// A shared prefix is cached best if few engines prefill all its sessions. The key therefore depends on the
// prefix and on one of a few slots, each of which is mapped to one engine. The session selects the slot. The
// number of slots grows with the prefix's fraction of all requests.
std::uint64_t PrefixAffinity::affinityKey(const RequestArrived& request) const {
  if (request.prefixKey == 0) return request.sessionKey;
  const double fraction = popularity_.fractionOf(request.prefixKey, context_.now());
  const double engines = 1 + kPreferredEngineSpread * fraction * aggregates_.of(Role::kPrefill).engines;
  const double sessionFraction = toUnitInterval(hashCombine(request.sessionKey, kSpreadSalt));
  return hashCombine(request.prefixKey, static_cast<std::uint64_t>(sessionFraction * engines));
}

Tokens PrefixAffinity::recorded(std::uint64_t key, const Engine& engine) const {
  return cached_.cachedTokens(key, engine.entry.id, engine.slowStart.seenAt, context_.now());
}

}  // namespace gannetcourse::policy
