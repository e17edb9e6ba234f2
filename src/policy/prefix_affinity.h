// Prefix affinity: estimates which prefill engine has a request's prompt cached, from this router's records
// or from a hash that all routers share.
#pragma once

#include "decision_context.h"
#include "engine_registry.h"
#include "prefix_tables.h"
#include "role_aggregates.h"

namespace gannetcourse::policy {

/// Owns the tables of cached prefixes and of their popularity.
class PrefixAffinity {
 public:
  PrefixAffinity(const DecisionContext& context, const EngineRegistry& registry,
                 const RoleAggregates& aggregates)
      : context_(context), registry_(registry), aggregates_(aggregates) {}

  /// A request has arrived: counts it for the popularity of its prefix.
  void recordRequest(const RequestArrived& request) { popularity_.record(request.prefixKey, context_.now()); }
  /// A prefill was started at the engine, which later requests can expect to have the shared prefix cached.
  void recordPrefillStarted(const Engine& engine, const RequestArrived& request);
  /// A prefill has succeeded at the engine, which now has the whole prompt cached.
  void recordPrefillEnded(const Engine& engine, const RequestArrived& request);
  /// Drops old entries. Must be called once per housekeeping period.
  void prune();

  /// The engine that all routers of the zone prefer for the request. The turns of a session may arrive at
  /// different routers, which have no record of the earlier turns; the common preference lets these turns
  /// reach the same engine. Null if only decode engines are in service or the request has no key.
  const Engine* preferredEngine(const RequestArrived& request) const;
  /// Estimated tokens of the prompt that the engine has cached. `preferred` is the request's preferred
  /// engine.
  Tokens cachedTokens(const Engine& engine, const RequestArrived& request, const Engine* preferred) const;

 private:
  std::uint64_t affinityKey(const RequestArrived& request) const;
  Tokens recorded(std::uint64_t key, const Engine& engine) const;

  const DecisionContext& context_;
  const EngineRegistry& registry_;
  const RoleAggregates& aggregates_;
  CachedPrefixTable cached_;
  PrefixPopularity popularity_;
};

}  // namespace gannetcourse::policy
