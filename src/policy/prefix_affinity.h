// Prefix affinity: which prefill engine has a request's prompt cached, by record or by agreement of the
// routers.
#pragma once

#include "decision_context.h"
#include "engine_registry.h"
#include "prefix_tables.h"
#include "role_aggregates.h"

namespace gannetcourse::policy {

/// Owns the record of cached prefixes and of their popularity.
class PrefixAffinity {
 public:
  PrefixAffinity(const DecisionContext& context, const EngineRegistry& registry,
                 const RoleAggregates& aggregates)
      : context_(context), registry_(registry), aggregates_(aggregates) {}

  /// A request has arrived; it counts for the popularity of its prefix.
  void recordRequest(const RequestArrived& request) { popularity_.record(request.prefixKey, context_.now()); }
  /// An attempt was started there: who comes next with the same shared prefix finds it cached.
  void recordPrefillStarted(const Engine& engine, const RequestArrived& request);
  /// The engine has the whole prompt cached now.
  void recordPrefillEnded(const Engine& engine, const RequestArrived& request);
  /// Drops old entries; to be called once each housekeeping period.
  void prune();

  /// The engine that all routers of the zone prefer for requests of which they have no record: with many
  /// routers the turns of a session come to different ones. Null where no engine serves or the request has no
  /// key.
  const Engine* preferredEngine(const RequestArrived& request) const;
  /// Tokens of the prompt that the engine is taken to have cached, `preferred` being the request's preferred
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
